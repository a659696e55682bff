/// \file
/// Claim table of an owner: one record per key, and the rules for granting a key.
#pragma once

#include <limpetlock/claims/lease.hpp>
#include <limpetlock/claims/messages.hpp>
#include <limpetlock/claims/owner_map.hpp>
#include <limpetlock/support/error.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace limpetlock::claims {

/// Largest answer that a record stores, in bytes.
constexpr std::size_t max_stored_answer_bytes = 16'384;

/// Time after which a grant without a settlement becomes an unknown outcome: the time to dispatch, the
/// longest call after that, and one second for the settlement.
constexpr duration settlement_timeout = 2 * longest_deadline + duration{1000};

/// Counts of events since the start of the table.
struct table_counters {
    // One count for each verdict.
    std::uint64_t granted = 0;
    std::uint64_t answered = 0;
    std::uint64_t in_progress = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0;
    std::uint64_t key_reused = 0;
    /// Refusals because the table was full.
    std::uint64_t refused_full = 0;
    /// Denials of keys without a record because of the lease, the owner map, a seal or the claims number.
    std::uint64_t refused_lease = 0;
    std::uint64_t settled = 0;
    /// Settlements for which no record waited.
    std::uint64_t settle_ignored = 0;
    std::uint64_t expired_grants = 0;
    std::uint64_t expired_records = 0;
    /// Records taken over from a handover.
    std::uint64_t imported = 0;

    friend bool operator==(const table_counters&, const table_counters&) = default;
};

/// Reasons why import_records() fails.
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
    table(std::string name, std::int64_t incarnation, claims_section section);
    table(const table&) = delete;
    table& operator=(const table&) = delete;
    table(table&&) noexcept;
    table& operator=(table&&) noexcept;
    ~table();

    /// Decides on a claim request and records a grant. `own_lease` is the lease of this owner at `now`.
    claim_reply claim(const claim_request& request, const lease_state& own_lease, time_point now);

    /// Records the outcome of an attempt. Returns false if the key has no record of this attempt or the
    /// record is done.
    bool settle(const claim_settle& outcome, time_point now);

    /// Turns expired grants into unknown outcomes and drops records older than the key lifetime. Returns the
    /// number of dropped records.
    std::size_t expire(time_point now);

    /// Stops all grants for good. A successor cannot use the handover of a table that is sealed without a
    /// lease.
    void seal(const lease_state& own_lease, time_point now);

    /// Returns the records for the successor. The handover is marked as sealed only if the table was sealed
    /// while the lease was held.
    handover export_records(time_point now) const;

    /// Imports the records of the direct predecessor from the handover that `handover_collector` accepted.
    /// Returns the number of records, or nullopt with the reason in last_error().
    std::optional<std::size_t> import_records(const handover& from, const lease_state& own_lease,
                                              time_point now);

    /// Puts a claims section in force. Records stay. A change of the owners ends the coverage that a handover
    /// gave. After an increase of the key lifetime the coverage reaches back at most one former lifetime
    /// before the change, because older records were dropped.
    void reconfigure(claims_section section, time_point now);

    bool sealed() const;

    /// Number of records.
    std::size_t size() const;

    const table_counters& counters() const;

    /// The error of the last import_records() that failed.
    const basic_error<table_errc>& last_error() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace limpetlock::claims
