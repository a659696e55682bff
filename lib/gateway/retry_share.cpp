#include <limpetlock/gateway/retry_share.hpp>

#include <algorithm>

namespace limpetlock::gateway {

void retry_share::expire(time_point now)
{
    const time_point limit = now - options_.window;
    while (!first_.empty() && first_.front() <= limit)
        first_.pop_front();
    while (!repeats_.empty() && repeats_.front() <= limit)
        repeats_.pop_front();
}

void retry_share::first_attempt(time_point now)
{
    expire(now);
    first_.push_back(now);
}

bool retry_share::try_repeat(std::size_t instances, time_point now)
{
    expire(now);
    const double extra = options_.extra / static_cast<double>(std::max<std::size_t>(1, instances));
    const double share = options_.safety * (options_.ratio * static_cast<double>(first_.size()) + extra);
    if (static_cast<double>(repeats_.size()) + 1 > share)
        return false;
    repeats_.push_back(now);
    return true;
}

} // namespace limpetlock::gateway
