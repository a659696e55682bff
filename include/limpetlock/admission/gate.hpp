/// \file
/// Limits the concurrent work that this instance sends to each pool.
#pragma once

#include <limpetlock/support/time.hpp>

#include <map>
#include <string>
#include <vector>

namespace limpetlock::admission {

/// Expected concurrency of one request in a pool: the fraction of its time that it spends there.
struct pool_share {
    std::string pool;
    double share{1};

    friend bool operator==(const pool_share&, const pool_share&) = default;
};

/// Shares of one request in all pools that it uses.
using pool_shares = std::vector<pool_share>;

/// Tracks the capacity of each pool and the slots in use by admitted requests. The capacity is the sum of the
/// concurrency limits of the pool's routable endpoints (routing::endpoint_stats::concurrency_limit).
/// Not thread-safe.
class gate {
public:
    /// Sets the capacity of a pool. Requests that were admitted before continue, even above a lower capacity.
    void set_capacity(const std::string& pool, double slots);

    /// Returns whether every pool of the request has free capacity. A pool without a capacity admits nothing;
    /// an idle pool with any capacity above 0 admits one request. A failing pool (see is_failing()) admits
    /// one request per hold_interval. The other requests stay in the queue, where they may outlast the
    /// outage, instead of failing at once.
    bool can_admit(const pool_shares& shares, time_point now) const;

    /// Records the result of a call to a pool: whether an endpoint answered it.
    void record_call(const std::string& pool, bool answered, time_point now);

    /// Consecutive failures after which a pool is failing. A single dead endpoint of several causes fewer.
    static constexpr int failure_threshold = 8;
    static constexpr duration hold_interval{200}; ///< in ms

    /// Occupies the slots of an admitted request. Each call must be followed by release() with the same
    /// shares.
    void acquire(const pool_shares& shares);
    void release(const pool_shares& shares);

    /// Returns whether the last failure_threshold calls to the pool all failed, so that requests are held
    /// back.
    bool is_failing(const std::string& pool) const;

    /// Slots of a pool, and the slots in use; both may be fractional.
    double capacity(const std::string& pool) const;
    double occupied(const std::string& pool) const;

private:
    struct pool_state {
        double capacity{0};
        double occupied{0};
        int consecutive_failures{0};
        time_point held_until{}; // requests are held back until then while the pool is failing
    };

    std::map<std::string, pool_state> pools_;
};

} // namespace limpetlock::admission
