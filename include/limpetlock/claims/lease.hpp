/// \file
/// Owner side of the lease: which witnesses acknowledged which heartbeat, and until when that is a majority.
#pragma once

#include <limpetlock/claims/messages.hpp>
#include <limpetlock/claims/owner_map.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::claims {

/// A lease as seen at one moment. It stays valid after a suspension, because it carries its own ends.
struct lease_state {
    std::optional<time_point> held_since;
    time_point expires{};
    /// Until when every owner vouches, not only a majority.
    time_point unanimous_until{};
    /// When every owner vouched last, or the first time that the lease was held.
    time_point last_unanimous{};
    /// Until when every owner has acknowledged a heartbeat, vouching or not.
    time_point acknowledged_until{};

    bool held(time_point now) const { return held_since && now < expires; }
    bool unanimous(time_point now) const { return held(now) && now < unanimous_until; }
    duration held_for(time_point now) const { return held(now) ? now - *held_since : duration{0}; }

    friend bool operator==(const lease_state&, const lease_state&) = default;
};

/// The lease of one incarnation of an owner name. The owner's own witness counts as one, through note_ack()
/// with the owner's name.
class lease {
public:
    lease(std::string name, std::int64_t incarnation, settings section);

    /// Notes one round of heartbeats sent now to all owners and returns its sequence number.
    std::int64_t start_round(time_point now);

    /// Notes an acknowledgement. False when it does not count; last_refusal() says why.
    bool record_ack(std::string_view witness, std::int64_t witness_incarnation, const heartbeat_ack& ack,
                    time_point now);

    /// Notes an incarnation seen under any name, from a frame of any kind. A larger incarnation under the
    /// owner's own name ends the lease for good.
    void record_incarnation(std::string_view name, std::int64_t incarnation);

    /// Ends the lease for good, for example when the instance list shows the own name at another address.
    void supersede();

    /// Adopts a claims section. A change of owners or of the lease time ends the present hold.
    void reconfigure(settings section);

    bool held(time_point now) const { return state(now).held(now); }
    std::optional<time_point> held_since(time_point now) const { return state(now).held_since; }
    duration remaining(time_point now) const;
    lease_state state(time_point now) const;

    bool superseded() const { return superseded_; }
    std::string_view last_refusal() const { return refusal_; }

private:
    struct round {
        std::int64_t sequence;
        time_point sent;
    };
    struct vote {
        std::int64_t incarnation = 0;
        std::optional<time_point> supported;
        std::optional<time_point> acknowledged;
    };

    bool refuse(std::string_view reason);
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
