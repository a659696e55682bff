#include <limpetlock/gateway/retry_share.hpp>

#include <algorithm>

namespace limpetlock::gateway {

void retry_share::expire(time_point now)
{
    const time_point window_start = now - options_.window;
    while (!first_attempts_.empty() && first_attempts_.front() <= window_start)
        first_attempts_.pop_front();
    while (!retries_.empty() && retries_.front() <= window_start)
        retries_.pop_front();
}

void retry_share::record_first_attempt(time_point now)
{
    expire(now);
    first_attempts_.push_back(now);
}

bool retry_share::can_retry(std::size_t instances, time_point now)
{
    expire(now);
    const double extra = options_.extra / static_cast<double>(std::max<std::size_t>(1, instances));
    const double share =
        options_.safety_factor * (options_.ratio * static_cast<double>(first_attempts_.size()) + extra);
    return static_cast<double>(retries_.size()) + 1 <= share;
}

bool retry_share::try_acquire_retry(std::size_t instances, time_point now)
{
    if (!can_retry(instances, now))
        return false;
    retries_.push_back(now);
    return true;
}

} // namespace limpetlock::gateway
