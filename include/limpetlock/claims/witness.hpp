/// \file
/// Member side of the lease: whether this process supports the lease of an owner's incarnation.
#pragma once

#include <limpetlock/claims/lease.hpp>

#include <map>
#include <string>
#include <string_view>

namespace limpetlock::claims {

/// Keeps one entry per owner name: the highest incarnation seen, the incarnation vouched for last, the time
/// of that, and the one vouched for before it.
///
/// A witness is settled when its own lease has held for one lease time. It is also settled after the cold
/// start wait since its start, or since it last lost its lease or was suspended, if by then every owner
/// acknowledges its heartbeats. An unsettled witness vouches for nobody. Call vouch() for the own name at
/// every heartbeat, so that a pause in the calls shows a suspension.
class witness {
public:
    witness(settings section, time_point start);

    /// Whether an acknowledgement of this heartbeat may say that it vouches; last_refusal() has the reason if
    /// not.
    /// A heartbeat of an incarnation below the highest seen must not be acknowledged at all: the sender takes
    /// any acknowledgement as proof that this process knows of no newer incarnation.
    bool support(std::string_view name, std::int64_t incarnation, std::int64_t claims_number, time_point now);

    /// Notes the lease of this process itself. Call it after each acknowledgement, vouching or not.
    void update_own_lease(const lease_state& own_lease, time_point now);

    /// The incarnation of `name` below `incarnation` that this witness vouched for last, 0 for none. From
    /// then on the witness vouches for no incarnation below `incarnation`.
    std::int64_t confirm_predecessor(std::string_view name, std::int64_t incarnation);

    /// Adopts a claims section. After a change of owners or of the lease time the witness waits one former
    /// lease.
    void reconfigure(settings section, time_point now);

    /// Vouches for nobody any more. Call it when a newer incarnation of the own name is seen.
    void retire() { retired_ = true; }

    bool eligible(time_point now);
    std::size_t entries() const { return entries_.size(); }
    std::string_view last_refusal() const { return refusal_; }

    /// The wait without a lease of one's own after which a witness counts as settled.
    static duration cold_start_wait(duration lease) { return first_attempt_hold(lease); }

private:
    struct entry {
        std::int64_t highest = 0;
        std::int64_t supported = 0;
        std::int64_t predecessor = 0;
        time_point supported_at{};
    };

    bool refuse(std::string_view reason);
    entry& find(std::string_view name);
    void restart_wait(time_point now);
    void update(time_point now);

    owner_map map_;
    std::map<std::string, entry, std::less<>> entries_;
    lease_state own_lease_;
    bool eligible_ = false;
    bool retired_ = false;
    time_point waiting_since_;
    time_point last_call_;
    time_point no_support_until_;
    std::string_view refusal_;
};

} // namespace limpetlock::claims
