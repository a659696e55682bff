/// \file
/// How long an endpoint that failed is left alone.
#pragma once

#include <limpetlock/support/time.hpp>

#include <algorithm>
#include <cstdint>

namespace limpetlock::gateway {

/// The first pause, doubled for each failure before the last one, up to the longest.
inline duration back_off(duration first, std::uint32_t earlier_failures, duration longest)
{
    constexpr std::uint32_t most_doublings = 4;
    return std::min(longest, first * (std::int64_t{1} << std::min(earlier_failures, most_doublings)));
}

} // namespace limpetlock::gateway
