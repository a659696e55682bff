/// \file
/// The claims section of the configuration and the owner that it names for a key.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::claims {

/// The longest deadline of a caller. A grant may be dispatched for this long after its request.
constexpr duration longest_deadline{3000};

/// The claims section in force and the configuration number at which it last changed.
struct settings {
    std::int64_t number = 0;
    std::vector<std::string> owners;
    duration key_lifetime{600'000};
    duration lease{2000};
    std::size_t max_claims = 20'000;

    friend bool operator==(const settings&, const settings&) = default;
};

/// How long an owner holds the lease before it grants first attempts: no grant of a former owner is then
/// still before its dispatch.
constexpr duration first_attempt_hold(duration lease)
{
    return lease + longest_deadline;
}

/// How long an owner goes on granting first attempts while another owner does not vouch. A majority of
/// replaced owners that are cut off together cannot tell that they are replaced; this bounds how long they
/// grant.
constexpr duration missing_owner_limit(duration key_lifetime)
{
    return key_lifetime;
}

/// How long an owner holds the lease before it grants a retry without a record: everything that a former
/// owner granted, also one that went on for the limit above, is then older than the key lifetime.
constexpr duration retry_hold(duration key_lifetime)
{
    return key_lifetime + missing_owner_limit(key_lifetime);
}

/// How long a witness separates two incarnations. Longer than the lease by 5% and 1 ms, because clock rates
/// differ and time points are truncated to milliseconds.
constexpr duration witness_separation(duration lease)
{
    return lease + lease / 20 + duration{1};
}

/// Immutable map from a key to the name of its owner.
class owner_map {
public:
    explicit owner_map(settings section);

    const settings& section() const { return section_; }

    /// The owner of a key; empty when the section names no owner.
    std::string_view owner(std::string_view team, std::string_view key) const;

    bool contains(std::string_view name) const;
    std::size_t majority() const { return section_.owners.size() / 2 + 1; }

    /// How many other owners must confirm the predecessor of an incarnation, so that at least one of them is
    /// in every majority that an incarnation in between could have had.
    std::size_t predecessor_quorum() const { return section_.owners.size() - majority() + 1; }

private:
    settings section_;
};

/// Why a change of the claims section could leave two majorities without a common member, if it could. A
/// change is safe when the owners differ by one added or one removed name and the former section is in force
/// on a majority of its owners.
std::optional<std::string> unsafe_change(const settings& from, const settings& to);

} // namespace limpetlock::claims
