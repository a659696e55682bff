/// \file
/// Counts by team and priority what happens to requests with stages.
#pragma once

#include <limpetlock/support/metrics.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace limpetlock::gateway {

/// Why a request with stages is refused.
enum class stage_refusal : std::uint8_t {
    forecast, ///< by its entry instance, for the time of the stages and the last figures of the queues
    no_room,  ///< by the responsible instance, before its first stage
    late      ///< a piece could no longer be done in time after the request was admitted
};

std::string_view to_string(stage_refusal it);

/// The first max_teams teams have series of their own, the others share those of the team `other`.
class team_counters {
public:
    static constexpr std::size_t max_teams = 64;

    explicit team_counters(metrics::registry& registry) : registry_(registry) {}

    void count_asked(std::string_view team, int priority);
    void count_admitted(std::string_view team, int priority);
    void count_refused(std::string_view team, int priority, stage_refusal reason);

    /// Counts the time of endpoints that pieces of the team use, in milliseconds.
    void count_used(std::string_view team, int priority, double cost_ms);

private:
    metrics::labels labels(std::string_view team, int priority);

    metrics::registry& registry_;
    std::set<std::string, std::less<>> teams_;
};

} // namespace limpetlock::gateway
