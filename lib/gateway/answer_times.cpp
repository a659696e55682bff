#include <limpetlock/gateway/answer_times.hpp>

#include <cmath>
#include <cstdint>

namespace limpetlock::gateway {

namespace {

/// Weights of one answer in the moving averages.
constexpr double time_weight = 0.125;
constexpr double deviation_weight = 0.25;

constexpr double deviations = 2;

} // namespace

void answer_times::record(const std::string& route, duration took)
{
    const auto ms = static_cast<double>(took.count());
    const auto [it, first] = routes_.try_emplace(route, averages{ms, 0});
    if (first)
        return;
    averages& known = it->second;
    known.deviation_ms += deviation_weight * (std::abs(ms - known.time_ms) - known.deviation_ms);
    known.time_ms += time_weight * (ms - known.time_ms);
}

std::optional<duration> answer_times::expected(std::string_view route) const
{
    const auto it = routes_.find(route);
    if (it == routes_.end())
        return std::nullopt;
    return duration(static_cast<std::int64_t>(it->second.time_ms + deviations * it->second.deviation_ms));
}

} // namespace limpetlock::gateway
