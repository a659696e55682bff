/// \file
/// Bounds the processor time of estimates that examine a whole queue.
#pragma once

#include <limpetlock/support/time.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace limpetlock::gateway {

/// How long an estimate over this many waiting pieces is used. The longer the queue, the more a new estimate
/// costs, and the less the queue changes in proportion: the processor time of estimates stays the same.
inline duration estimate_lifetime(std::size_t waiting_pieces)
{
    constexpr duration min_lifetime{50};
    constexpr std::int64_t pieces_per_ms = 8;
    return std::max(min_lifetime, duration(static_cast<std::int64_t>(waiting_pieces) / pieces_per_ms));
}

/// An estimated time that is measured again when it is too old.
class cached_estimate {
public:
    /// The estimate, unless it is too old or was never set.
    std::optional<duration> get(time_point now) const
    {
        return now < expires_ ? std::optional(value_) : std::nullopt;
    }

    void set(duration value, std::size_t waiting_pieces, time_point now)
    {
        value_ = value;
        expires_ = now + estimate_lifetime(waiting_pieces);
    }

private:
    duration value_{0};
    time_point expires_{};
};

} // namespace limpetlock::gateway
