/// \file
/// The claims section of the configuration, the durations that follow from it, and the map from a key to its
/// owner.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::claims {

/// Longest deadline of a caller, 3 s. A grant may be dispatched for this long after its request.
constexpr duration longest_deadline{3000};

/// The claims section in force.
struct claims_section {
    std::int64_t claims_number = 0; ///< Configuration number at which the section last changed.
    std::vector<std::string> owners;
    /// How long a record is kept after its last change of state.
    duration key_lifetime{600'000};
    /// How long an acknowledged heartbeat supports the lease, counted from when it was sent.
    duration lease_time{2000};
    /// Number of records at which a table refuses keys without a record.
    std::size_t max_claims = 20'000;

    friend bool operator==(const claims_section&, const claims_section&) = default;
};

/// How long an owner must hold the lease before it grants first attempts. After this time no grant of a
/// former owner can still be dispatched.
constexpr duration first_attempt_hold(duration lease_time)
{
    return lease_time + longest_deadline;
}

/// How long an owner continues to grant first attempts while another owner does not support its lease. A
/// majority of owners that were replaced while cut off together cannot detect the replacement; this limit
/// bounds how long they grant.
constexpr duration missing_owner_limit(duration key_lifetime)
{
    return key_lifetime;
}

/// How long an owner must hold the lease before it grants a retry of a key that has no record. After this
/// time every grant of a former owner is older than the key lifetime, even if that owner continued to grant
/// for missing_owner_limit().
constexpr duration retry_hold(duration key_lifetime)
{
    return key_lifetime + missing_owner_limit(key_lifetime);
}

/// How long after its support of one incarnation a witness may support another. The margin of 5% covers
/// different clock rates, and that of 1 ms covers time points that are truncated to milliseconds.
constexpr duration witness_separation(duration lease_time)
{
    return lease_time + lease_time / 20 + duration{1};
}

/// Immutable map from a key to the name of its owner.
class owner_map {
public:
    explicit owner_map(claims_section section);

    const claims_section& section() const { return section_; }

    /// Returns the owner of a key, or an empty name if the section has no owners.
    std::string_view owner(std::string_view team, std::string_view key) const;

    /// Returns whether `name` is an owner.
    bool contains(std::string_view name) const;

    /// Number of owners that make a majority.
    std::size_t majority() const { return section_.owners.size() / 2 + 1; }

    /// Number of other owners that must confirm the predecessor of an incarnation. Every majority that an
    /// incarnation in between could have had then contains at least one of them.
    std::size_t predecessor_quorum() const { return section_.owners.size() - majority() + 1; }

private:
    claims_section section_;
};

/// Returns the reason if a change of the claims section could lead to two majorities without a common member,
/// otherwise nullopt. A change is safe if at most one owner is added or removed and the former section is in
/// force on a majority of its owners. This function checks only the first condition.
std::optional<std::string> unsafe_change(const claims_section& from, const claims_section& to);

} // namespace limpetlock::claims
