/// \file
/// Detects that this process stood still: suspended with its machine, stopped, or without processor time.
#pragma once

#include <limpetlock/support/time.hpp>

#include <optional>

namespace limpetlock {

/// Detects suspensions of this process from the time between two ticks of a timer.
class suspension_detector {
public:
    /// `max_tick_gap` is a multiple of the timer's interval; a longer time between two ticks shows a
    /// suspension.
    suspension_detector(time_point start, duration max_tick_gap)
        : last_tick_(start), max_tick_gap_(max_tick_gap)
    {
    }

    /// Returns the length of the suspension that this tick shows; 0 if it shows none.
    duration tick(time_point now)
    {
        const duration gap = now - last_tick_;
        last_resumed_ = last_resumed(now);
        last_tick_ = now;
        return gap > max_tick_gap_ ? gap : duration{0};
    }

    /// Returns the end of the last suspension, or nullopt if there was none. A suspension that no tick has
    /// shown yet counts as ending at `now`.
    std::optional<time_point> last_resumed(time_point now) const
    {
        return now - last_tick_ > max_tick_gap_ ? now : last_resumed_;
    }

    /// Whether the process was suspended at some time from `begin` to `now`.
    bool suspended_since(time_point begin, time_point now) const
    {
        const auto resumed = last_resumed(now);
        return resumed && *resumed > begin;
    }

private:
    time_point last_tick_;
    duration max_tick_gap_;
    std::optional<time_point> last_resumed_;
};

} // namespace limpetlock
