/// \file
/// Shows whether the event loop of this process is late, and on which kinds of work its time went.
#pragma once

#include <limpetlock/support/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace limpetlock::gateway {

/// Work of the stage scheduler whose cost may depend on the length of its queues.
enum class work_kind : std::uint8_t {
    admission, ///< estimates for tasks that ask for room
    dispatch,  ///< choice of the pieces of calls
    estimate,  ///< backlog that a reply states
    expiry,    ///< search for tasks and results that have expired
    removal    ///< of cancelled tasks
};

inline constexpr std::size_t work_kind_count = 5;

std::string_view to_string(work_kind it);

/// What the loop did in one reported period.
struct loop_report {
    duration period{0};                                            ///< from the first to the last tick
    duration max_lateness{0};                                      ///< of a tick
    std::array<std::chrono::microseconds, work_kind_count> work{}; ///< time by work_kind

    friend bool operator==(const loop_report&, const loop_report&) = default;
};

/// Observes the ticks of a timer and the time of measured work.
class loop_monitor {
public:
    /// `interval` is that of the timer.
    loop_monitor(time_point start, duration interval)
        : last_tick_(start), period_begin_(start), interval_(interval)
    {
    }

    void record_work(work_kind kind, std::chrono::nanoseconds time)
    {
        work_[static_cast<std::size_t>(kind)] += time;
    }

    /// Records a tick of the timer. Returns a report at the end of each period in which a tick was late.
    std::optional<loop_report> record_tick(time_point now);

    /// Whether the loop was late at some time from `begin` to `now`. A tick that is overdue counts.
    bool late_since(time_point begin, time_point now) const
    {
        return now - last_tick_ > interval_ + max_lateness || (last_late_ && *last_late_ > begin);
    }

    /// A tick that is handled later than this shows a late loop.
    static constexpr duration max_lateness{100};

    /// Late ticks are reported together for this long.
    static constexpr duration report_period{1'000};

private:
    time_point last_tick_;
    time_point period_begin_;
    duration interval_;
    duration max_in_period_{0};
    std::optional<time_point> last_late_;
    std::array<std::chrono::nanoseconds, work_kind_count> work_{};
};

/// Measures the time until the end of its scope as work of one kind.
class work_timer {
public:
    work_timer(loop_monitor& monitor, work_kind kind)
        : monitor_(monitor), kind_(kind), begin_(std::chrono::steady_clock::now())
    {
    }
    work_timer(const work_timer&) = delete;
    work_timer& operator=(const work_timer&) = delete;
    ~work_timer() { monitor_.record_work(kind_, std::chrono::steady_clock::now() - begin_); }

private:
    loop_monitor& monitor_;
    work_kind kind_;
    std::chrono::steady_clock::time_point begin_;
};

} // namespace limpetlock::gateway
