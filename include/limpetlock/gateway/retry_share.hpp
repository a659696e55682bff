/// \file
/// The share of this instance in the retry budget of a pool. Instances keep to the budget together without
/// communication: each uses only its own share.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace limpetlock::gateway {

struct retry_share_options {
    double ratio{0.2};         ///< retries for each first attempt
    double extra{0};           ///< retries in each window beyond the ratio, over all instances
    duration window{10'000};   ///< length of the window in which attempts count
    double safety_factor{0.5}; ///< factor on the share, because the windows of instances are not aligned

    friend bool operator==(const retry_share_options&, const retry_share_options&) = default;
};

/// Counts the first attempts and retries of one pool. In any window, retries <= safety_factor * (ratio *
/// first attempts + extra / instances).
class retry_share {
public:
    explicit retry_share(retry_share_options options) : options_(options) {}

    void record_first_attempt(time_point now);

    /// Records a retry and returns true, or returns false if the share is used up. `instances` is the number
    /// of instances that share the budget.
    bool try_acquire_retry(std::size_t instances, time_point now);

    /// Whether try_acquire_retry would return true.
    bool can_retry(std::size_t instances, time_point now);

private:
    void expire(time_point now);

    retry_share_options options_;
    std::deque<time_point> first_attempts_;
    std::deque<time_point> retries_;
};

} // namespace limpetlock::gateway
