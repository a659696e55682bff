/// \file
/// Owner side of the lease. An owner sends heartbeats to all owners, which are its witnesses, and holds the
/// lease while a majority of them supports it.
#pragma once

#include <limpetlock/claims/messages.hpp>
#include <limpetlock/claims/owner_map.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::claims {

/// State of a lease at one moment. It stays valid across a suspension of the process, because it contains the
/// times at which the lease ends.
struct lease_state {
    /// Start of the present hold, nullopt if the lease is not held.
    std::optional<time_point> held_since;
    /// End of the support of a majority.
    time_point expires{};
    /// End of the support of every owner.
    time_point unanimous_until{};
    /// Last time at which every owner supported the lease, or the first time that it was held if later.
    time_point last_unanimous{};
    /// End of the time for which the acknowledgements of every owner count, with or without support.
    time_point acknowledged_until{};

    bool held(time_point now) const { return held_since && now < expires; }
    bool unanimous(time_point now) const { return held(now) && now < unanimous_until; }
    duration held_for(time_point now) const { return held(now) ? now - *held_since : duration{0}; }

    friend bool operator==(const lease_state&, const lease_state&) = default;
};

/// The lease of one incarnation of an owner. The witness of this process counts too: its acknowledgements go
/// to record_ack() under the owner's own name.
class lease {
public:
    lease(std::string name, std::int64_t incarnation, claims_section section);

    /// Begins a round of heartbeats that are sent to all owners now. Returns their sequence number.
    std::int64_t start_round(time_point now);

    /// Records an acknowledgement. Returns false if it does not support the lease; last_refusal() has the
    /// reason.
    bool record_ack(std::string_view witness, std::int64_t witness_incarnation, const heartbeat_ack& ack,
                    time_point now);

    /// Records an incarnation of any process, as seen in a frame of any kind. A newer incarnation of the
    /// owner itself ends the lease for good.
    void record_incarnation(std::string_view name, std::int64_t incarnation);

    /// Ends the lease for good, for example if the instance list shows the owner's name at another address.
    void supersede();

    /// Puts a claims section in force. A change of the owners or of the lease time ends the present hold.
    void reconfigure(claims_section section);

    bool held(time_point now) const { return state(now).held(now); }
    std::optional<time_point> held_since(time_point now) const { return state(now).held_since; }
    duration remaining(time_point now) const;
    lease_state state(time_point now) const;

    /// Whether a newer incarnation has replaced this one.
    bool superseded() const { return superseded_; }

    /// The reason why record_ack() last returned false.
    std::string_view last_refusal() const { return refusal_; }

private:
    /// One round of heartbeats to all owners.
    struct round {
        std::int64_t sequence;
        time_point sent;
    };
    /// What one witness acknowledged. The times are those at which the last such heartbeat was sent.
    struct vote {
        std::int64_t incarnation = 0;
        std::optional<time_point> supported;
        std::optional<time_point> acknowledged;
    };

    bool refuse(std::string_view reason);
    /// The last time at which a heartbeat counts from at least `votes` owners; nullopt if there are fewer.
    std::optional<time_point> quorum_end(std::size_t votes, std::optional<time_point> vote::*sent) const;
    std::optional<time_point> majority_end() const;
    time_point unanimous_end(std::optional<time_point> vote::*sent) const;

    std::string name_;
    std::int64_t incarnation_;
    owner_map map_;
    std::int64_t sequence_ = 0;
    std::deque<round> rounds_;
    std::map<std::string, vote, std::less<>> votes_;
    std::optional<time_point> held_since_;
    time_point expires_{};
    std::optional<time_point> last_unanimous_;
    bool superseded_ = false;
    std::string_view refusal_;
};

} // namespace limpetlock::claims
