#include <limpetlock/gateway/overload_detector.hpp>

#include <algorithm>
#include <array>

namespace limpetlock::gateway {

std::string_view to_string(overload_cause it)
{
    static constexpr std::array<std::string_view, 2> names{"late_loop", "saturated_link"};
    return names[static_cast<std::size_t>(it)];
}

void overload_detector::record_tick(time_point now)
{
    observe(overload_cause::late_loop, now - last_tick_ > interval_ + max_wait, last_tick_ + interval_, now);
    last_tick_ = now;
}

void overload_detector::record_link(std::uint64_t queued_total, std::uint64_t waiting, time_point now)
{
    const time_point before = link_recorded_at_;
    const auto ms = static_cast<double>((now - before).count());
    const std::uint64_t left_before = queued_total - queued_total_ + waiting_;
    const std::uint64_t sent = left_before - std::min(left_before, waiting);
    queued_total_ = queued_total;
    waiting_ = waiting;
    link_recorded_at_ = now;
    if (before == time_point{} || ms <= 0)
        return;
    const double time_to_send =
        static_cast<double>(waiting) * ms / static_cast<double>(std::max<std::uint64_t>(1, sent));
    const bool slow = waiting >= min_waiting_bytes && time_to_send > static_cast<double>(max_wait.count());
    observe(overload_cause::saturated_link, slow, before, now);
}

void overload_detector::observe(overload_cause it, bool slow, time_point begin, time_point now)
{
    auto& run = streaks_[static_cast<std::size_t>(it)];
    if (!slow) {
        run = {};
        return;
    }
    if (run.observations++ == 0)
        run.begin = begin;
    if (run.observations < min_observations || now - run.begin <= sustained)
        return;
    if (!overloaded(now)) {
        const bool recurs = hold_ > duration{0} && now - until_ < forget_after;
        hold_ = recurs ? std::min(max_hold, hold_ * 2) : first_hold;
        cause_ = it;
    }
    until_ = now + hold_;
}

} // namespace limpetlock::gateway
