/// \file
/// The time for which the gateway avoids an endpoint that failed.
#pragma once

#include <limpetlock/support/time.hpp>

#include <algorithm>
#include <cstdint>

namespace limpetlock::gateway {

/// The back-off after a failure: `first`, doubled for each consecutive failure before it, at most `longest`.
/// It is doubled at most four times.
inline duration back_off(duration first, std::uint32_t earlier_failures, duration longest)
{
    constexpr std::uint32_t max_doublings = 4;
    return std::min(longest, first * (std::int64_t{1} << std::min(earlier_failures, max_doublings)));
}

} // namespace limpetlock::gateway
