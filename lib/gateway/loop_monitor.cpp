#include <limpetlock/gateway/loop_monitor.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::gateway {

std::string_view to_string(work_kind it)
{
    static constexpr std::array<std::string_view, work_kind_count> names{"admission", "dispatch", "estimate",
                                                                         "expiry", "removal"};
    return names[static_cast<std::size_t>(it)];
}

std::optional<loop_report> loop_monitor::record_tick(time_point now)
{
    const duration lateness = now - last_tick_ - interval_;
    last_tick_ = now;
    max_in_period_ = std::max(max_in_period_, lateness);
    if (lateness > max_lateness)
        last_late_ = now;
    if (now - period_begin_ < report_period)
        return std::nullopt;
    loop_report out{now - std::exchange(period_begin_, now), std::exchange(max_in_period_, duration{0}), {}};
    for (std::size_t n = 0; n < work_kind_count; ++n)
        out.work[n] = std::chrono::duration_cast<std::chrono::microseconds>(std::exchange(work_[n], {}));
    if (out.max_lateness <= max_lateness)
        return std::nullopt;
    return out;
}

} // namespace limpetlock::gateway
