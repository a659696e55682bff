#include <limpetlock/admission/gate.hpp>

#include <algorithm>

namespace limpetlock::admission {

namespace {
constexpr double rounding = 1e-9; // sums of shares such as 0.1 don't come back to zero exactly
}

void gate::set_capacity(const std::string& pool, double slots)
{
    pools_[pool].capacity = std::max(0.0, slots);
}

bool gate::can_admit(const pool_shares& work, time_point now) const
{
    return std::all_of(work.begin(), work.end(), [&](const pool_share& it) {
        const auto found = pools_.find(it.pool);
        if (found == pools_.end() || found->second.capacity <= 0)
            return false;
        const auto& level = found->second;
        if (level.failures >= failure_threshold && now < level.held_until)
            return false;
        return level.occupied <= rounding || level.occupied + it.share <= level.capacity + rounding;
    });
}

void gate::record(const std::string& pool, bool answered, time_point now)
{
    auto& level = pools_[pool];
    level.failures = answered ? 0 : std::min(level.failures + 1, failure_threshold);
    if (level.failures >= failure_threshold)
        level.held_until = now + hold_interval;
}

bool gate::is_failing(const std::string& pool) const
{
    const auto it = pools_.find(pool);
    return it != pools_.end() && it->second.failures >= failure_threshold;
}

void gate::acquire(const pool_shares& work)
{
    for (const auto& it : work)
        pools_[it.pool].occupied += it.share;
}

void gate::release(const pool_shares& work)
{
    for (const auto& it : work) {
        auto& level = pools_[it.pool];
        level.occupied = std::max(0.0, level.occupied - it.share);
    }
}

double gate::capacity(const std::string& pool) const
{
    const auto it = pools_.find(pool);
    return it == pools_.end() ? 0 : it->second.capacity;
}

double gate::occupied(const std::string& pool) const
{
    const auto it = pools_.find(pool);
    return it == pools_.end() ? 0 : it->second.occupied;
}

} // namespace limpetlock::admission
