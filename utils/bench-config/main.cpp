/// \file
/// Measures the configuration library: the costs of parsing and folding by document size, and the calls to
/// the configuration service by fleet size. Prints JSON lines and then tables.
#include "measurements.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <exception>
#include <fstream>

DEFINE_uint32(repetitions, 300, "how often each operation is measured");
DEFINE_uint32(partners, 3, "random peers that a heartbeat goes to in fleets of more than 6 instances");
DEFINE_uint32(fleet_teams, 30, "teams in the document of the fleet measurement");
DEFINE_string(json, "", "file for the JSON lines; standard output when empty");

namespace limpetlock::config {

namespace {

constexpr std::size_t watchers_per_domain = 2;

nlohmann::json to_json(const cost_row& it)
{
    return {{"measurement", "cost"},
            {"operation", it.operation},
            {"teams", it.teams},
            {"document_bytes", it.document_bytes},
            {"median_us", it.median_us},
            {"p99_us", it.p99_us},
            {"allocated_bytes", it.allocated_bytes},
            {"kept_bytes", it.kept_bytes}};
}

nlohmann::json to_json(const fleet_row& it)
{
    return {
        {"measurement", "fleet"},
        {"instances", it.instances},
        {"domains", it.domains},
        {"watchers", it.watchers},
        {"partners", it.partners},
        {"start_calls", it.start_calls},
        {"idle_calls_per_s", it.idle_calls_per_s},
        {"burst_calls_per_change", it.burst_calls_per_change},
        {"changing_calls_per_s", it.changing_calls_per_s},
        {"outage_calls_per_s", it.outage_calls_per_s},
        {"pulls_per_change", it.pulls_per_change},
        {"pulled_bytes_per_change_and_instance", it.pulled_bytes_per_change_and_instance},
        {"median_spread_ms", it.median_spread_ms},
        {"longest_spread_ms", it.longest_spread_ms},
        {"most_served", it.most_served},
        {"watchers_lost_ms", it.watchers_lost_ms ? nlohmann::json(*it.watchers_lost_ms) : nlohmann::json()},
        {"replaced_ms", it.replaced_ms}};
}

void print_costs(const std::vector<cost_row>& rows)
{
    fmt::print("\n{:<20}{:>7}{:>10}{:>11}{:>9}{:>12}{:>10}\n", "operation", "teams", "doc bytes", "median us",
               "p99 us", "alloc bytes", "kept");
    for (const cost_row& it : rows)
        fmt::print("{:<20}{:>7}{:>10}{:>11.1f}{:>9.1f}{:>12}{:>10}\n", it.operation, it.teams,
                   it.document_bytes, it.median_us, it.p99_us, it.allocated_bytes, it.kept_bytes);
}

void print_fleets(const std::vector<fleet_row>& rows)
{
    fmt::print("\ncalls to the service: start = in the first 30 s; burst = in the 5 s after a change; "
               "chg/s = at a change every 16 s\n");
    fmt::print("{:>9}  {:<13}{:>7}{:>8}{:>8}{:>8}{:>10}\n", "instances", "watchers", "start", "idle/s",
               "burst", "chg/s", "outage/s");
    for (const fleet_row& it : rows)
        fmt::print("{:>9}  {:<13}{:>7}{:>8.2f}{:>8.1f}{:>8.2f}{:>10.1f}\n", it.instances, it.watchers,
                   it.start_calls, it.idle_calls_per_s, it.burst_calls_per_change, it.changing_calls_per_s,
                   it.outage_calls_per_s);
    fmt::print("\nms until in force everywhere: median and longest of the changes; one published when all "
               "watchers die; after all but one instance are replaced in an outage\n"
               "pulls per change, the most that one instance serves, and bytes per change and instance\n");
    fmt::print("{:>9}  {:<13}{:>8}{:>8}{:>9}{:>10}{:>8}{:>8}{:>8}\n", "instances", "watchers", "median",
               "longest", "lost", "replaced", "pulls", "served", "bytes");
    for (const fleet_row& it : rows)
        fmt::print("{:>9}  {:<13}{:>8.0f}{:>8.0f}{:>9}{:>10.0f}{:>8.1f}{:>8}{:>8.0f}\n", it.instances,
                   it.watchers, it.median_spread_ms, it.longest_spread_ms,
                   it.watchers_lost_ms ? fmt::format("{:.0f}", *it.watchers_lost_ms) : "-", it.replaced_ms,
                   it.pulls_per_change, it.most_served, it.pulled_bytes_per_change_and_instance);
}

std::vector<fleet_row> measure_fleets()
{
    const auto partners = static_cast<std::size_t>(FLAGS_partners);
    const auto teams = static_cast<std::size_t>(FLAGS_fleet_teams);
    std::vector<fleet_row> rows;
    for (const fleet_size& size :
         {fleet_size{6, 3, 0}, fleet_size{60, 8, partners}, fleet_size{370, 16, partners}})
        for (const std::size_t watchers : {size.instances, watchers_per_domain})
            rows.push_back(measure_fleet(size, watchers, teams));
    return rows;
}

void run()
{
    const auto costs = measure_costs({30, 100, 290, 1000}, static_cast<std::size_t>(FLAGS_repetitions));
    const auto fleets = measure_fleets();
    std::string lines;
    for (const cost_row& it : costs)
        lines += to_json(it).dump() + "\n";
    for (const fleet_row& it : fleets)
        lines += to_json(it).dump() + "\n";
    if (FLAGS_json.empty())
        fmt::print("{}", lines);
    else
        std::ofstream(FLAGS_json) << lines;
    print_costs(costs);
    print_fleets(fleets);
}

} // namespace

} // namespace limpetlock::config

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the configuration library");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        limpetlock::config::run();
    } catch (const std::exception& e) {
        fmt::print(stderr, "bench-config: {}\n", e.what());
        return 1;
    }
    return 0;
}
