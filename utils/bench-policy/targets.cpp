#include "targets.hpp"

#include <fmt/format.h>

#include <string>

namespace limpetlock::bench {

namespace {

using nlohmann::json;

constexpr double most_lost_to_lower_rank = 0.02;
constexpr double most_below_large_teams = 0.02;
constexpr double most_retries = 0.1;
constexpr double most_recovery_s = 10;
constexpr double standard_share = 0.2;
constexpr double background_share = 0.1;

double number(const json& row, const char* part, const char* name)
{
    return row[part][name].get<double>();
}

// The rank that floods, or none. It is no part of the comparison with the simplest policy: round robin gives
// it most of the capacity (88% and 90%), of which the shares of the other ranks have to come.
std::string flooding_rank(const std::string& scenario)
{
    if (scenario == "background-flood")
        return "background";
    return scenario == "urgent-flood" ? "urgent" : "";
}

} // namespace

std::vector<std::string> missed_targets(const json& row, const json& baseline)
{
    std::vector<std::string> missed;
    const auto scenario = row["scenario"].get<std::string>();
    const auto need = [&](bool met, const char* what, double value) {
        if (!met)
            missed.push_back(fmt::format("{}: {} ({:.4f})", scenario, what, value));
    };
    const double urgent = number(row, "urgent", "attainment");
    if (scenario == "background-flood")
        need(urgent >= 1 - most_lost_to_lower_rank, "urgent attainment in a lower-rank flood", urgent);
    if (scenario == "urgent-flood") {
        const double standard = number(row, "standard", "share_kept");
        const double background = number(row, "background", "share_kept");
        need(standard >= standard_share, "share that standard keeps", standard);
        need(background >= background_share, "share that background keeps", background);
    }
    const double behind = number(row, "large", "attainment") - number(row, "small", "attainment");
    need(behind <= most_below_large_teams, "small teams behind large ones", behind);
    if (row.contains("recovery_s")) {
        const double back = row["recovery_s"].get<double>();
        const double added = row["retries_added"].get<double>();
        need(back >= 0 && back <= most_recovery_s, "seconds until goodput is back", back);
        need(added <= most_retries, "retries and hedges in an outage", added);
    }
    for (const auto* rank : {"urgent", "standard", "background"}) {
        const double below = number(baseline, rank, "attainment") - number(row, rank, "attainment");
        need(below <= 0 || rank == flooding_rank(scenario), rank, -below);
    }
    return missed;
}

} // namespace limpetlock::bench
