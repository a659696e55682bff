/// \file
/// This instance's part of a retry budget that all instances share without talking to each other.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace limpetlock::gateway {

struct retry_share_options {
    double ratio{0.2};
    double extra{0}; ///< over all instances
    duration window{10'000};
    double safety_factor{
        0.5}; ///< part of the share that is spent, since windows of instances are not aligned

    friend bool operator==(const retry_share_options&, const retry_share_options&) = default;
};

/// Counts first sendings and repeats of one pool. In any window, repeats <= safety * (ratio * requests +
/// extra / instances).
class retry_share {
public:
    explicit retry_share(retry_share_options options) : options_(options) {}

    void record_first_attempt(time_point now);

    /// Takes a repeat; false when the share is used up.
    bool try_acquire_retry(std::size_t instances, time_point now);

private:
    void expire(time_point now);

    retry_share_options options_;
    std::deque<time_point> first_attempts_;
    std::deque<time_point> retries_;
};

} // namespace limpetlock::gateway
