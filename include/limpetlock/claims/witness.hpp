/// \file
/// Witness side of the lease: whether this process supports the lease of an incarnation of an owner.
#pragma once

#include <limpetlock/claims/lease.hpp>

#include <map>
#include <string>
#include <string_view>

namespace limpetlock::claims {

/// Decides which incarnation of each owner this process supports. Two incarnations of an owner never have the
/// support of one witness within the same lease time.
///
/// Only an eligible witness supports leases. A witness becomes eligible when the lease of its own process has
/// held for witness_separation(). It also becomes eligible once cold_start_wait() has passed since its start,
/// its last loss of the lease or its last suspension, if every owner then acknowledges its heartbeats. Call
/// support() for the name of this process at every heartbeat: a pause between the calls that is longer than
/// the lease time counts as a suspension.
class witness {
public:
    witness(claims_section section, time_point start);

    /// Returns whether the acknowledgement of this heartbeat may support the sender's lease. If not,
    /// last_refusal() has the reason. A heartbeat of an incarnation below the highest seen must not be
    /// acknowledged at all, because the sender takes any acknowledgement as proof that this process knows of
    /// no newer incarnation.
    bool support(std::string_view name, std::int64_t incarnation, std::int64_t claims_number, time_point now);

    /// Updates the lease of this process. Call it after each acknowledgement that the process receives, with
    /// or without support.
    void update_own_lease(const lease_state& own_lease, time_point now);

    /// Returns the incarnation of `name` before `incarnation` that this witness supported last, or 0 for
    /// none. From then on the witness supports no incarnation below `incarnation`.
    std::int64_t confirm_predecessor(std::string_view name, std::int64_t incarnation);

    /// Puts a claims section in force. After a change of the owners or of the lease time the witness supports
    /// no lease for witness_separation() of the former lease time.
    void reconfigure(claims_section section, time_point now);

    /// Ends all support for good. Call it when a newer incarnation of this process is seen.
    void retire() { retired_ = true; }

    /// Returns whether this witness may support leases now.
    bool eligible(time_point now);

    /// Number of process names that have an entry.
    std::size_t entries() const { return entries_.size(); }

    /// The reason why support() last returned false.
    std::string_view last_refusal() const { return refusal_; }

    /// How long a witness whose process holds no lease waits before it can become eligible.
    static duration cold_start_wait(duration lease_time) { return first_attempt_hold(lease_time); }

private:
    /// Incarnations of one owner; 0 stands for none.
    struct entry {
        std::int64_t highest = 0;     ///< The highest seen.
        std::int64_t supported = 0;   ///< The one supported last.
        std::int64_t predecessor = 0; ///< The one supported before that.
        time_point supported_at{};    ///< Time of the last support.
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
