#include <limpetlock/gateway/team_counters.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace limpetlock::gateway {

namespace {

constexpr int lowest_rank = 9;

} // namespace

std::string_view to_string(stage_refusal it)
{
    static constexpr std::array<std::string_view, 3> names{"forecast", "no_room", "late"};
    return names[static_cast<std::size_t>(it)];
}

metrics::labels team_counters::labels(std::string_view team, int priority)
{
    std::string name(team.empty() ? "-" : team);
    if (!teams_.contains(name)) {
        if (teams_.size() < max_teams)
            teams_.insert(name);
        else
            name = "other";
    }
    return {{"team", std::move(name)}, {"rank", fmt::to_string(std::clamp(priority, 0, lowest_rank))}};
}

void team_counters::count_asked(std::string_view team, int priority)
{
    registry_
        .get_counter("limpetlock_stage_requests_asked_total", "requests with stages, by team and priority",
                     labels(team, priority))
        .add();
}

void team_counters::count_admitted(std::string_view team, int priority)
{
    registry_
        .get_counter("limpetlock_stage_requests_admitted_total",
                     "requests whose stages were admitted as a whole, by team and priority",
                     labels(team, priority))
        .add();
}

void team_counters::count_refused(std::string_view team, int priority, stage_refusal reason)
{
    auto set = labels(team, priority);
    set.emplace_back("reason", std::string(to_string(reason)));
    registry_
        .get_counter("limpetlock_stage_requests_refused_total",
                     "requests refused for their stages, by team, priority and reason", set)
        .add();
}

void team_counters::count_used(std::string_view team, int priority, double cost_ms)
{
    registry_
        .get_counter("limpetlock_stage_used_ms_total",
                     "time of stage endpoints that pieces used, by team and priority", labels(team, priority))
        .add(static_cast<std::uint64_t>(std::lround(std::max(0.0, cost_ms))));
}

} // namespace limpetlock::gateway
