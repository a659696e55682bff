/// \file
/// Time types of all modules. Functions that decide take the current time as an argument of type time_point.
#pragma once

#include <chrono>
#include <cstdint>

namespace limpetlock {

using duration = std::chrono::duration<std::int64_t, std::milli>;

/// A monotonic clock that also advances while the machine is suspended (CLOCK_BOOTTIME), so that a lease or a
/// deadline can expire during a suspension.
struct boot_clock {
    using duration = limpetlock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using time_point = boot_clock::time_point;

/// Milliseconds since the epoch of boot_clock, the start of the machine.
inline std::int64_t to_ms(time_point t)
{
    return t.time_since_epoch().count();
}

} // namespace limpetlock
