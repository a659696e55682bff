/// \file
/// The platform's published state as this instance knows it: its entries, the decoded table and endpoints,
/// and the time at which the table was last known to be the newest.
#pragma once

#include <limpetlock/gateway/platform_codec.hpp>
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

/// Proof that no table newer than `table_revision` was published before `at`.
struct table_proof {
    std::int64_t table_revision{0};
    time_point at{};

    friend bool operator==(const table_proof&, const table_proof&) = default;
};

/// Merges entries of the store and of peers, decodes them and reports changes.
class published_state {
public:
    /// Called with each new table and with each changed list of endpoints.
    struct callbacks {
        std::function<void(const std::shared_ptr<const routing_table>&)> on_table;
        std::function<void(const std::vector<endpoint>&)> on_endpoints;
    };

    /// `codec` has to outlive this object.
    published_state(const platform_codec& codec, callbacks calls);

    /// Merges changed entries of the store or of a peer.
    void merge(std::vector<state_entry> entries, time_point now);
    /// Applies a full listing of the endpoints as of `revision`; see replica::apply_listing.
    void apply_listing(std::vector<state_entry> entries, std::int64_t revision, time_point now);
    /// Records that every change up to the revision has been merged.
    void advance_revision(std::int64_t revision) { entries_.advance_revision(revision); }

    /// Records a proof. Returns false if it is for a newer table than the one in force.
    bool record_proof(const table_proof& proof);

    /// Records that the store did not answer. Entries that are removed around that time may have lapsed
    /// although their endpoint is live, so the endpoints stay in use for removal_grace.
    void record_store_failure(time_point now) { store_failed_at_ = now; }

    /// Removes the lapsed endpoints whose grace has ended.
    void remove_lapsed_endpoints(time_point now);

    const replica& entries() const { return entries_; }
    std::shared_ptr<const routing_table> table() const { return table_; }
    std::int64_t table_revision() const { return table_revision_; }

    /// Time since the table was last known to be the newest; nullopt if it never was.
    std::optional<duration> proof_age(time_point now) const;

    /// How long an endpoint stays in use after its entry lapsed. Entries of live endpoints are published
    /// again about two seconds after the store is back.
    static constexpr duration removal_grace{1'700};

    /// How long after a failed call to the store removed entries are taken as possibly lapsed.
    static constexpr duration unsettled_after_failure{4'000};

private:
    void update_table(time_point now);
    void update_endpoints(time_point now);
    std::vector<endpoint> decode_entries();
    void retain_lapsed_endpoints(std::vector<endpoint>& next, bool unsettled, time_point now);
    void log_changes(const std::vector<endpoint>& next, bool unsettled) const;

    /// Result of decoding an entry, kept so that only changed entries are decoded again.
    struct decoded_entry {
        std::int64_t revision{0};
        std::optional<endpoint> decoded; ///< nullopt if the entry was rejected
    };

    const platform_codec& codec_;
    callbacks callbacks_;
    replica entries_;
    std::shared_ptr<const routing_table> table_;
    std::int64_t table_revision_{0};
    std::optional<time_point> proven_at_;
    std::optional<time_point> store_failed_at_;
    std::map<std::string, decoded_entry, std::less<>> decoded_;
    std::vector<endpoint> endpoints_;
    std::map<std::string, time_point> missing_since_; ///< of lapsed endpoints in use, by id
};

} // namespace limpetlock::gateway
