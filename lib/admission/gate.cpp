#include <limpetlock/admission/gate.hpp>

#include <algorithm>

namespace limpetlock::admission {

namespace {
// Adding and subtracting shares such as 0.1 doesn't return to exactly zero.
constexpr double rounding_tolerance = 1e-9;
} // namespace

void gate::set_capacity(const std::string& pool, double slots)
{
    pools_[pool].capacity = std::max(0.0, slots);
}

bool gate::can_admit(const pool_shares& shares, time_point now) const
{
    return std::all_of(shares.begin(), shares.end(), [&](const pool_share& it) {
        const auto found = pools_.find(it.pool);
        if (found == pools_.end() || found->second.capacity <= 0)
            return false;
        const auto& state = found->second;
        if (state.consecutive_failures >= failure_threshold && now < state.held_until)
            return false;
        return state.occupied <= rounding_tolerance ||
               state.occupied + it.share <= state.capacity + rounding_tolerance;
    });
}

void gate::record_call(const std::string& pool, bool answered, time_point now)
{
    auto& state = pools_[pool];
    state.consecutive_failures = answered ? 0 : std::min(state.consecutive_failures + 1, failure_threshold);
    if (state.consecutive_failures >= failure_threshold)
        state.held_until = now + hold_interval;
}

bool gate::is_failing(const std::string& pool) const
{
    const auto it = pools_.find(pool);
    return it != pools_.end() && it->second.consecutive_failures >= failure_threshold;
}

void gate::acquire(const pool_shares& shares)
{
    for (const auto& it : shares)
        pools_[it.pool].occupied += it.share;
}

void gate::release(const pool_shares& shares)
{
    for (const auto& it : shares) {
        auto& state = pools_[it.pool];
        state.occupied = std::max(0.0, state.occupied - it.share);
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
