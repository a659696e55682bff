/// \file
/// Detects that this instance is too slow for the duties that other instances could take.
#pragma once

#include <limpetlock/support/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace limpetlock::gateway {

/// Why an instance is overloaded.
enum class overload_cause : std::uint8_t {
    late_loop,     ///< its event loop handles timers late
    saturated_link ///< bytes to its peers wait for the network
};

std::string_view to_string(overload_cause it);

/// Decides from the ticks of a timer and from the bytes that wait for the network whether this instance gives
/// up its duties. Once given up, they stay so for a time that grows with each recurrence, since the load goes
/// with the duty and an instance that took it back at once would give it up again.
class overload_detector {
public:
    /// `interval` is that of the timer.
    overload_detector(time_point start, duration interval) : last_tick_(start), interval_(interval) {}

    /// Records a tick of the timer.
    void record_tick(time_point now);

    /// Records the bytes that were queued for peers since the start, and those of them that wait now for the
    /// network on connections that still progress.
    void record_link(std::uint64_t queued_total, std::uint64_t waiting, time_point now);

    bool overloaded(time_point now) const { return now < until_; }

    /// Cause and lasting time of the last overload.
    overload_cause cause() const { return cause_; }
    duration hold() const { return hold_; }

    /// A tick is late, and a link saturated, if work waits for longer than this.
    static constexpr duration max_wait{200};

    /// Late ticks and a saturated link count after this time. A suspension shows a single late tick, whatever
    /// its length.
    static constexpr duration sustained{1'000};
    static constexpr std::size_t min_observations = 3;

    /// The duties are given up for this long at first, and twice as long each time that the overload returns
    /// within `forget_after` of the last one's end.
    static constexpr duration first_hold{5'000};
    static constexpr duration max_hold{40'000};
    static constexpr duration forget_after{60'000};

    /// Fewer waiting bytes are no sign of a saturated link: a single state push has up to a megabyte, but
    /// pings and stage orders have a kilobyte each.
    static constexpr std::uint64_t min_waiting_bytes = 65'536;

private:
    struct streak {
        time_point begin{};
        std::size_t observations{0};
    };

    void observe(overload_cause it, bool slow, time_point begin, time_point now);

    time_point last_tick_;
    duration interval_;
    std::array<streak, 2> streaks_; ///< of uninterrupted slowness, by cause
    std::uint64_t queued_total_{0};
    std::uint64_t waiting_{0};
    time_point link_recorded_at_{};
    time_point until_{};
    duration hold_{0};
    overload_cause cause_{overload_cause::late_loop};
};

} // namespace limpetlock::gateway
