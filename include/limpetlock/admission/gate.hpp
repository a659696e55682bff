/// \file
/// Bounds the work that this instance has released to each pool.
#pragma once

#include <limpetlock/support/time.hpp>

#include <map>
#include <string>
#include <vector>

namespace limpetlock::admission {

/// The expected concurrency of one request in a pool: the part of its time that it spends there.
struct pool_share {
    std::string pool;
    double share{1};

    friend bool operator==(const pool_share&, const pool_share&) = default;
};

using pool_shares = std::vector<pool_share>;

/// Says how much work the endpoints can take now from this instance. The capacity of a pool is the sum of the
/// concurrency limits of its routable endpoints (routing::endpoint_stats::concurrency_limit).
class gate {
public:
    /// Sets the slots of a pool. Work that was released before stays, also above a lower capacity.
    void set_capacity(const std::string& pool, double slots);

    /// Whether every pool of the footprint has room. A pool that has no capacity yet has none; an idle pool
    /// with any capacity takes one request.
    /// A pool whose last calls all failed takes one request per hold_interval: the others stay in the queue,
    /// where they may outlast the outage, instead of failing at once.
    bool can_admit(const pool_shares& work, time_point now) const;

    /// Result of a call to a pool: whether an endpoint answered it.
    void record_call(const std::string& pool, bool answered, time_point now);

    static constexpr int failure_threshold =
        8; ///< failures in a row; one dead endpoint of several causes fewer
    static constexpr duration hold_interval{200};

    void acquire(const pool_shares& work);
    void release(const pool_shares& work);

    /// Whether the last calls to the pool all failed, and work is held back.
    bool is_failing(const std::string& pool) const;

    double capacity(const std::string& pool) const;
    double occupied(const std::string& pool) const;

private:
    struct pool_state {
        double capacity{0};
        double occupied{0};
        int consecutive_failures{0};
        time_point held_until{};
    };

    std::map<std::string, pool_state> pools_;
};

} // namespace limpetlock::admission
