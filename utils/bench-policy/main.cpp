/// \file
/// Compares scheduling policies on the same arrivals, and measures the costs of the policy objects. Writes
/// JSON lines to the file given by --json and a table to standard output.

#include "cost.hpp"
#include "driver.hpp"
#include "targets.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <numeric>

DEFINE_string(json, "", "file for the results as JSON lines");
DEFINE_string(only, "", "name of the only scenario to run, or \"cost\"");
DEFINE_string(policy, "", "name of the only policy to run");
DEFINE_bool(
    check, false,
    "compare the chosen policy with the targets and the simplest policy, and fail when one is missed");
DEFINE_uint64(seed, 1, "seed of the arrivals");

namespace {

using namespace limpetlock;
using namespace limpetlock::bench;
using nlohmann::json;

std::vector<policy> all_policies()
{
    return {{"chosen", true, true, true, true, "two_choices", true},
            {"no-hedging", true, true, true, true, "two_choices", false},
            {"local-fairness", true, false, true, true, "two_choices", true},
            {"least-reported", true, true, true, true, "least_reported", true},
            {"round-robin-fifo", false, false, false, false, "round_robin", false}};
}

std::int64_t quantile(std::vector<std::int64_t> values, double q)
{
    if (values.empty())
        return 0;
    const auto n = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

// Requests selected by a filter: their number, and the latencies of those answered before their deadline.
struct group {
    std::size_t all{0};
    std::vector<std::int64_t> latencies;

    double attainment() const
    {
        return all == 0 ? 1 : static_cast<double>(latencies.size()) / static_cast<double>(all);
    }
};

template <typename Filter>
group select(const scenario& in, const std::vector<arrival>& arrivals, const run_result& run, Filter filter)
{
    group it;
    for (std::size_t n = 0; n < arrivals.size(); ++n) {
        if (arrivals[n].at_ms < in.measure_from_ms || !filter(arrivals[n]))
            continue;
        ++it.all;
        if (run.requests[n].end == request_outcome::answered)
            it.latencies.push_back(run.requests[n].latency_ms);
    }
    return it;
}

// Seconds from the end of the outage until the answer rate over two seconds reaches 90% of the mean rate
// before the outage, or -1 if it never does.
double recovery_s(const scenario& in, const run_result& run)
{
    constexpr std::int64_t step_ms = 250;
    constexpr std::int64_t window_ms = 2000;
    const auto answers = [&](std::int64_t from, std::int64_t to) {
        return std::count_if(run.requests.begin(), run.requests.end(), [&](const request_result& it) {
            return it.end == request_outcome::answered && it.ended_ms >= from && it.ended_ms < to;
        });
    };
    const auto before = static_cast<double>(answers(in.measure_from_ms, in.outage_from_ms)) /
                        static_cast<double>(in.outage_from_ms - in.measure_from_ms);
    for (auto t = in.outage_to_ms; t + window_ms <= in.measure_to_ms; t += step_ms)
        if (static_cast<double>(answers(t, t + window_ms)) >= 0.9 * before * window_ms)
            return static_cast<double>(t - in.outage_to_ms) / 1000;
    return -1;
}

double jain(const std::vector<double>& values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    const double squares = std::inner_product(values.begin(), values.end(), values.begin(), 0.0);
    return squares == 0 ? 1 : sum * sum / (static_cast<double>(values.size()) * squares);
}

json describe(const scenario& in, const policy& how, const std::vector<arrival>& arrivals,
              const run_result& run)
{
    json row{{"scenario", in.name}, {"policy", how.name}, {"seed", FLAGS_seed}};
    const double window =
        capacity_ms_per_s * static_cast<double>(in.measure_to_ms - in.measure_from_ms) / 1000;
    for (std::size_t n = 0; n < admission::rank_count; ++n) {
        const auto rank = static_cast<admission::rank>(n);
        const auto it = select(in, arrivals, run, [&](const arrival& a) { return a.priority == rank; });
        row[std::string(to_string(rank))] = {{"attainment", it.attainment()},
                                             {"p50_ms", quantile(it.latencies, 0.5)},
                                             {"p95_ms", quantile(it.latencies, 0.95)},
                                             {"p99_ms", quantile(it.latencies, 0.99)},
                                             {"share_kept", run.useful_in_window.at(n) / window}};
    }
    const auto large = select(in, arrivals, run, [](const arrival& a) { return a.team < large_teams; });
    const auto small = select(in, arrivals, run, [](const arrival& a) { return a.team >= large_teams; });
    std::vector<double> teams;
    for (std::size_t n = 0; n < team_count; ++n)
        teams.push_back(
            select(in, arrivals, run, [&](const arrival& a) { return a.team == n; }).attainment());
    row["large"] = {{"attainment", large.attainment()}, {"p95_ms", quantile(large.latencies, 0.95)}};
    row["small"] = {{"attainment", small.attainment()}, {"p95_ms", quantile(small.latencies, 0.95)}};
    row["jain_attainment"] = jain(teams);
    row["endpoint_s"] = {{"useful", run.useful_ms / 1000},
                         {"retried", run.retried_ms / 1000},
                         {"hedged", run.hedged_ms / 1000},
                         {"abandoned", run.abandoned_ms / 1000}};
    if (in.outage_to_ms > 0) {
        row["recovery_s"] = recovery_s(in, run);
        row["retries_added"] = static_cast<double>(run.retries_in_outage) /
                               static_cast<double>(std::max<std::size_t>(1, run.first_in_outage));
    }
    return row;
}

void print(const json& row)
{
    const auto rank = [&](const char* name) {
        const auto& it = row[name];
        return fmt::format("{:6.2f} {:5}/{:5}/{:5} {:5.1f}", 100 * it["attainment"].get<double>(),
                           it["p50_ms"].get<int>(), it["p95_ms"].get<int>(), it["p99_ms"].get<int>(),
                           100 * it["share_kept"].get<double>());
    };
    fmt::print("{:16} {:16} |{} |{} |{} |{:6.2f} {:5} {:6.2f} {:5} {:.3f} |{:6.0f} {:5.0f} {:5.0f} {:5.0f}",
               row["scenario"].get<std::string>(), row["policy"].get<std::string>(), rank("urgent"),
               rank("standard"), rank("background"), 100 * row["small"]["attainment"].get<double>(),
               row["small"]["p95_ms"].get<int>(), 100 * row["large"]["attainment"].get<double>(),
               row["large"]["p95_ms"].get<int>(), row["jain_attainment"].get<double>(),
               row["endpoint_s"]["useful"].get<double>(), row["endpoint_s"]["retried"].get<double>(),
               row["endpoint_s"]["hedged"].get<double>(), row["endpoint_s"]["abandoned"].get<double>());
    if (row.contains("recovery_s"))
        fmt::print(" | back after {} s, retries added {:.1f}%", row["recovery_s"].get<double>(),
                   100 * row["retries_added"].get<double>());
    fmt::print("\n");
}

json measure(const scenario& in, const policy& how, const std::vector<arrival>& arrivals)
{
    auto row = describe(in, how, arrivals, simulate(in, how, arrivals));
    print(row);
    return row;
}

int check_targets()
{
    const auto policies = all_policies();
    std::size_t missed = 0;
    for (const auto& in : all_scenarios()) {
        const auto arrivals = generate_arrivals(in, FLAGS_seed);
        const auto chosen = measure(in, policies.front(), arrivals);
        for (const auto& it : missed_targets(chosen, measure(in, policies.back(), arrivals))) {
            fmt::print("missed: {}\n", it);
            ++missed;
        }
    }
    fmt::print("{} targets missed\n", missed);
    return missed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_check)
        return check_targets();
    std::ofstream lines(FLAGS_json.empty() ? "/dev/null" : FLAGS_json);
    if (FLAGS_only != "cost")
        fmt::print("{:33} | urgent: att% p50/p95/p99 share% | standard | background | small att% p95, large "
                   "att% p95, "
                   "Jain | endpoint s: useful retried hedged abandoned\n",
                   "scenario, policy");
    for (const auto& in : all_scenarios()) {
        if (!FLAGS_only.empty() && FLAGS_only != in.name)
            continue;
        const auto arrivals = generate_arrivals(in, FLAGS_seed);
        for (const auto& how : all_policies()) {
            if (!FLAGS_policy.empty() && FLAGS_policy != how.name)
                continue;
            lines << measure(in, how, arrivals).dump() << "\n";
        }
    }
    if (!FLAGS_only.empty() && FLAGS_only != "cost")
        return 0;
    for (const auto& row : measure_costs()) {
        lines << row.dump() << "\n";
        fmt::print("{}\n", row.dump());
    }
    return 0;
}
