/// \file
/// The published state as this instance knows it: the copy, what it means, and how old that knowledge is.
#pragma once

#include <limpetlock/gateway/dialect.hpp>
#include <limpetlock/gateway/replica.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::gateway {

/// Says that no table newer than `table_revision` was published before `at`.
struct table_proof {
    std::int64_t table_revision{0};
    time_point at{};

    friend bool operator==(const table_proof&, const table_proof&) = default;
};

class published_state {
public:
    struct callbacks {
        std::function<void(const std::shared_ptr<const routing_table>&)> on_table;
        std::function<void(const std::vector<endpoint>&)> on_endpoints;
    };

    /// The names outlive the state.
    published_state(const dialect& codec, callbacks calls);

    /// Merges entries of the store or of a peer.
    void merge(std::vector<state_entry> entries, time_point now);
    void apply_listing(std::vector<state_entry> entries, std::int64_t revision, time_point now);
    void advance_revision(std::int64_t revision) { entries_.advance_revision(revision); }

    /// False when the proof speaks of a newer table than the one that is held.
    bool record_proof(const table_proof& proof);

    /// The store did not answer. Entries that vanish around such a time may have lapsed although their
    /// endpoint lives, so they stay in use for removal_grace.
    void record_store_failure(time_point now) { store_failed_at_ = now; }

    /// Takes endpoints out whose grace has ended.
    void remove_lapsed_endpoints(time_point now);

    const replica& entries() const { return entries_; }
    std::shared_ptr<const routing_table> table() const { return table_; }
    std::int64_t table_revision() const { return table_revision_; }

    /// Time since the table was known to be the newest; nullopt when it never was.
    std::optional<duration> proof_age(time_point now) const;

    /// Lapsed entries of living endpoints are back about two seconds after the store is.
    static constexpr duration removal_grace{1'700};

    /// How long after a failed call the store counts as unsettled.
    static constexpr duration unsettled_after_failure{4'000};

private:
    void update_table(time_point now);
    void update_endpoints(time_point now);
    std::vector<endpoint> decode_entries();
    void retain_lapsed_endpoints(std::vector<endpoint>& next, bool unsettled, time_point now);
    void log_changes(const std::vector<endpoint>& next, bool unsettled) const;

    /// What an entry of the copy means, so that only changed entries are decoded.
    struct decoded_entry {
        std::int64_t revision{0};
        std::optional<endpoint> decoded;
    };

    const dialect& codec_;
    callbacks callbacks_;
    replica entries_;
    std::shared_ptr<const routing_table> table_;
    std::int64_t table_revision_{0};
    std::optional<time_point> proven_at_;
    std::optional<time_point> store_failed_at_;
    std::map<std::string, decoded_entry, std::less<>> decoded_;
    std::vector<endpoint> endpoints_;
    std::map<std::string, time_point> missing_since_;
};

} // namespace limpetlock::gateway
