/// \file
/// Claim table of an owner: one record per key, and the rules by which a key is granted.
#pragma once

#include <limpetlock/claims/lease.hpp>
#include <limpetlock/claims/messages.hpp>
#include <limpetlock/claims/owner_map.hpp>
#include <limpetlock/support/error.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace limpetlock::claims {

/// Longest answer that a record keeps.
constexpr std::size_t max_stored_answer_bytes = 16'384;

/// How long a granted record waits for its settlement before it becomes unknown: the time to dispatch, the
/// longest call after that, and one second for the settlement.
constexpr duration settlement_timeout = 2 * longest_deadline + duration{1000};

struct table_counters {
    std::uint64_t granted = 0;
    std::uint64_t answered = 0;
    std::uint64_t in_progress = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0;
    std::uint64_t key_reused = 0;
    std::uint64_t refused_full = 0;
    std::uint64_t refused_lease = 0;
    std::uint64_t settled = 0;
    std::uint64_t settle_ignored = 0;
    std::uint64_t expired_grants = 0;
    std::uint64_t expired_records = 0;
    std::uint64_t imported = 0;

    friend bool operator==(const table_counters&, const table_counters&) = default;
};

enum class table_errc {
    none,
    not_sealed,
    other_owner,
    not_predecessor,
    already_imported,
    no_lease,
    other_section
};

/// The claim table of one incarnation of an owner.
class table {
public:
    table(std::string name, std::int64_t incarnation, settings section);
    table(const table&) = delete;
    table& operator=(const table&) = delete;
    table(table&&) noexcept;
    table& operator=(table&&) noexcept;
    ~table();

    claim_reply claim(const claim_request& request, const lease_state& own_lease, time_point now);

    /// Records the outcome of an attempt. False when no record of this attempt waits for one.
    bool settle(const claim_settle& outcome, time_point now);

    /// Turns expired grants into unknown and drops records older than the key lifetime. Returns the number
    /// dropped.
    std::size_t expire(time_point now);

    /// Stops all grants for good. The handover of a table that is sealed without a lease is not usable.
    void seal(const lease_state& own_lease, time_point now);

    /// The records for the successor. Only the handover of a sealed table is marked as sealed.
    handover export_records(time_point now) const;

    /// Takes over the records of the direct predecessor; use the handover that `succession` accepts. Returns
    /// the number of records, or nullopt with the reason in last_error().
    std::optional<std::size_t> import_records(const handover& from, const lease_state& own_lease,
                                              time_point now);

    /// Adopts a claims section. Records stay. A change of owners ends the coverage that a handover gave, and
    /// a longer key lifetime counts only from now on, because older records are gone.
    void reconfigure(settings section, time_point now);

    bool sealed() const;
    std::size_t size() const;

    const table_counters& counters() const;
    const basic_error<table_errc>& last_error() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace limpetlock::claims
