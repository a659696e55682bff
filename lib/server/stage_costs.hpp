/// \file
/// Endpoint time by stage, divided by whether the results of the calls were used.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace limpetlock::server {

/// Use of the time of a call to an endpoint.
///   useful: the answer was used.
///   retried: the call failed and another attempt followed.
///   hedged: the other call of a hedged pair answered first.
///   abandoned: the call failed or was cancelled, and no attempt followed.
enum class cost_kind { useful, retried, hedged, abandoned };
inline constexpr std::size_t cost_kind_count = 4;

inline std::string_view to_string(cost_kind it)
{
    constexpr std::array<std::string_view, cost_kind_count> names{"useful", "retried", "hedged", "abandoned"};
    return names[static_cast<std::size_t>(it)];
}

/// Time and number of the calls of a stage, by cost_kind.
struct stage_cost {
    std::array<double, cost_kind_count> milliseconds{};
    std::array<std::uint64_t, cost_kind_count> calls{};
};

/// Sums the cost of the calls of each stage. Thread-safe.
class stage_costs {
public:
    /// Adds one call to the cost of a stage.
    void add(const std::string& stage, cost_kind kind, double milliseconds)
    {
        const std::lock_guard lock(mutex_);
        auto& it = costs_[stage];
        it.milliseconds[static_cast<std::size_t>(kind)] += milliseconds;
        ++it.calls[static_cast<std::size_t>(kind)];
    }

    /// Returns the cost of each stage by its name.
    std::map<std::string, stage_cost> all() const
    {
        const std::lock_guard lock(mutex_);
        return costs_;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, stage_cost> costs_;
};

} // namespace limpetlock::server
