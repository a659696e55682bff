/// \file
/// Endpoint time by stage, split by what became of it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace limpetlock::server {

/// useful: the answer was used. retried: the call failed and another attempt followed. hedged: the other call
/// of a hedged pair answered first. abandoned: the call failed or was cancelled and nothing followed.
enum class cost_kind { useful, retried, hedged, abandoned };
inline constexpr std::size_t cost_kind_count = 4;

inline std::string_view to_string(cost_kind it)
{
    constexpr std::array<std::string_view, cost_kind_count> names{"useful", "retried", "hedged", "abandoned"};
    return names[static_cast<std::size_t>(it)];
}

struct stage_cost {
    std::array<double, cost_kind_count> milliseconds{};
    std::array<std::uint64_t, cost_kind_count> calls{};
};

class stage_costs {
public:
    void add(const std::string& stage, cost_kind kind, double milliseconds)
    {
        const std::lock_guard lock(mutex_);
        auto& it = costs_[stage];
        it.milliseconds[static_cast<std::size_t>(kind)] += milliseconds;
        ++it.calls[static_cast<std::size_t>(kind)];
    }

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
