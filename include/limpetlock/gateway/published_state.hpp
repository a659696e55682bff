/// \file
/// The platform's published state as this instance knows it: its entries, the decoded table and endpoints,
/// and the time at which the table was last known to be the newest.
#pragma once

#include <limpetlock/gateway/evacuations.hpp>
#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/gateway/replica.hpp>
#include <limpetlock/gateway/store_availability.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// Proof that no table newer than `table_revision` was published before `at`.
struct table_proof {
    state_revision table_revision;
    time_point at{};
    std::int64_t table_version{0}; ///< of the same table; 0 if unknown

    friend bool operator==(const table_proof&, const table_proof&) = default;
};

/// The state of a peer, as the answer to a pull of the changes after `after`.
struct peer_state {
    std::vector<state_entry> entries;
    state_revision after;
    state_revision revision;     ///< up to which the peer has every change
    bool whole{false};           ///< the entries are all that the peer has, and not only the changes
    bool has_evacuations{false}; ///< the peer knows the orders to evacuate failure domains

    friend bool operator==(const peer_state&, const peer_state&) = default;
};

/// Merges entries of the store and of peers, decodes them and reports changes.
class published_state {
public:
    /// Called with each new table and with each changed list of endpoints.
    struct callbacks {
        std::function<void(const std::shared_ptr<const routing_table>&)> on_table;
        std::function<void(const std::vector<endpoint>&)> on_endpoints;
        /// Called before on_endpoints with the endpoints whose entries were written anew, with their
        /// cold_left.
        std::function<void(const std::vector<endpoint>&)> on_entries{};
        /// Called when orders to evacuate failure domains take effect or end. If it isn't set, the orders are
        /// ignored.
        std::function<void(const evacuation_changes&)> on_evacuations{};
    };

    /// `codec` has to outlive this object.
    published_state(const platform_codec& codec, callbacks calls);

    /// Merges entries that the store has now.
    void merge(std::vector<state_entry> entries, time_point now);
    /// Merges all changes after `after` and up to `revision`, which may arrive late: entries that were
    /// removed since are left out. Returns false if the changes don't complete the copy; see
    /// replica::record_changes.
    bool merge_changes(std::vector<state_entry> entries, state_revision after, state_revision revision,
                       time_point now);
    /// Merges the state of a peer. Returns false if the changes don't complete the copy.
    bool merge_peer_state(peer_state from_peer, time_point now);
    /// Applies a full listing of the endpoints as of `revision`; see replica::apply_listing.
    void apply_listing(std::vector<state_entry> entries, state_revision revision, time_point now);
    /// The same for a full listing of the orders to evacuate failure domains.
    void apply_evacuation_listing(std::vector<state_entry> entries, state_revision revision, time_point now);
    /// Records that full listings of the table, the endpoints and the orders have been applied.
    void record_listing(state_revision revision) { entries_.record_listing(revision); }

    /// Records a proof. Returns false if it is for a newer table than the one in force, or for another
    /// version of another era.
    bool record_proof(const table_proof& proof);

    /// Records the era of an answer to a call of the store that was sent at `sent`. Returns false for an
    /// answer of an earlier era, which was late, and for one without an era (0) where others have one. If the
    /// call was sent after the present era was learned, the store disproves that: the era is the earlier one
    /// then.
    bool record_store_era(std::int64_t era, time_point sent, time_point now);

    /// Records the era that a peer knows. Returns false if the peer's state can't be used: its era is unknown
    /// here although the store has answered lately.
    bool record_peer_era(std::int64_t era, time_point now);

    /// Whether what the store lost at the begin of the era may be assumed to be written again. Until then, a
    /// read doesn't show that the table in force is the newest.
    bool is_era_settled(time_point now) const { return !era_began_ || now - *era_began_ >= era_settle_time; }

    /// Whether a peer's table is newer than the one in force.
    bool is_newer_table(state_revision revision, std::int64_t version) const;

    /// Records that a call was sent that the store answers at once.
    void record_store_call(time_point sent) { availability_.record_call(sent); }
    /// Records that the store gave an answer, here or to a peer, at `at` or later.
    void record_store_answer(time_point at);

    /// Removes the lapsed endpoints whose grace has ended.
    void remove_lapsed_endpoints(time_point now);

    /// Ends the orders that the store lost and whose grace has ended.
    void remove_lapsed_evacuations(time_point now)
    {
        report_evacuations(evacuations_.remove_lapsed(now), now);
    }

    /// Whether the orders to evacuate failure domains are read and followed.
    bool follows_evacuations() const { return static_cast<bool>(callbacks_.on_evacuations); }
    const evacuations& evacuation_orders() const { return evacuations_; }

    /// Whether changes were merged of a peer that doesn't know the orders, so orders may be missing here
    /// until the next listing of them.
    bool misses_evacuations() const { return evacuations_missing_; }

    const replica& entries() const { return entries_; }
    std::shared_ptr<const routing_table> table() const { return table_; }
    state_revision table_revision() const { return table_revision_; }
    /// Version of the table in force; 0 if there is none.
    std::int64_t table_version() const { return table_ ? table_->version : 0; }

    /// Time since the table was last known to be the newest; nullopt if it never was.
    std::optional<duration> proof_age(time_point now) const;

    /// The longest time for which an endpoint stays in use after its entry was found to be removed, while the
    /// entry may have lapsed; see store_availability.
    static constexpr duration removal_grace{1'700};

    /// What the store lost is taken as written again this long after its return was noticed.
    static constexpr duration era_settle_time{1'000};

    /// A peer's era is taken over only if the store has not answered here for this long.
    static constexpr duration store_answer_memory{1'500};

private:
    void set_era(std::int64_t era, std::string_view source, time_point now);
    void update_table(time_point now);
    void update_endpoints(time_point now);
    void update_evacuations(time_point now);
    void report_evacuations(const evacuation_changes& changes, time_point now);
    std::vector<endpoint> decode_entries(std::vector<endpoint>& written);
    void retain_lapsed_endpoints(std::vector<endpoint>& next, bool unsettled, time_point now);
    void log_changes(const std::vector<endpoint>& next, bool unsettled) const;

    /// Result of decoding an entry, kept so that only changed entries are decoded again.
    struct decoded_entry {
        state_revision revision;
        std::optional<endpoint> decoded; ///< nullopt if the entry was rejected
        std::int64_t number{0};          ///< endpoint::entry_number
    };

    const platform_codec& codec_;
    callbacks callbacks_;
    replica entries_;
    std::shared_ptr<const routing_table> table_;
    state_revision table_revision_;
    std::int64_t era_{0};
    time_point era_learned_{};
    std::optional<time_point> era_began_; ///< when the store was found to have come back from a copy
    std::optional<time_point> store_answered_at_;
    std::optional<time_point> proven_at_;
    store_availability availability_;
    std::map<std::string, decoded_entry, std::less<>> decoded_;
    std::vector<endpoint> endpoints_;
    evacuations evacuations_;
    bool evacuations_missing_{false};
    std::map<std::string, time_point> missing_since_; ///< of lapsed endpoints in use, by id
};

} // namespace limpetlock::gateway
