#include "testkit/report.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace limpetlock::testkit {

namespace acc = boost::accumulators;
using nlohmann::json;

namespace {

const std::string phase_prefix = "phase ";

/// Counts and samples of the requests of one line of the report.
struct group {
    std::int64_t sent{0};
    std::int64_t attained{0};
    double first_ms{0}; ///< first arrival of the group
    double last_ms{0};  ///< last arrival of the group
    std::vector<double> latency_ms;
    std::vector<double> first_token_ms;
    std::vector<double> gaps_ms;
    std::map<std::string, std::int64_t> ends;
    std::map<std::string, std::int64_t> codes;
};

void add(group& to, const request_result& it)
{
    if (to.sent++ == 0)
        to.first_ms = it.request.at_ms;
    to.last_ms = it.request.at_ms;
    to.attained += it.attained ? 1 : 0;
    ++to.ends[to_text(it.verdict)];
    if (it.verdict == verdict::whole)
        to.latency_ms.push_back(it.latency_ms);
    else if (!it.attempts.empty())
        ++to.codes[it.attempts.back().code];
    if (it.first_token_ms >= 0)
        to.first_token_ms.push_back(it.first_token_ms);
    to.gaps_ms.insert(to.gaps_ms.end(), it.gaps_ms.begin(), it.gaps_ms.end());
}

std::vector<std::string> groups_of(const request_result& it, const json& deployment)
{
    const auto& request = it.request;
    const std::string team_class = deployment.at("teams").at(request.team).value("class", "none");
    return {"all",
            "rank " + request.what.rank,
            "team class " + team_class,
            "team " + request.team,
            "request " + request.what.name,
            phase_prefix + request.phase + (request.flood ? " (flood)" : "") + " / rank " + request.what.rank,
            phase_prefix + request.phase + (request.flood ? " (flood)" : "") + " / team class " + team_class};
}

/// The goodput of a phase is per second of the phase, that of other groups per second of the run.
json to_json(const std::string& name, const group& it, double run_seconds)
{
    const bool is_phase = name.starts_with(phase_prefix);
    const double seconds = is_phase ? std::max(1.0, (it.last_ms - it.first_ms) / 1000) : run_seconds;
    const auto share = static_cast<double>(it.attained) / static_cast<double>(it.sent);
    return {{"sent", it.sent},
            {"attained", it.attained},
            {"attainment", share},
            {"goodput_per_s", static_cast<double>(it.attained) / seconds},
            {"latency_ms", quantiles(it.latency_ms)},
            {"first_token_ms", quantiles(it.first_token_ms)},
            {"between_tokens_ms", quantiles(it.gaps_ms)},
            {"ends", it.ends},
            {"codes", it.codes}};
}

/// Counts a request in a series by second of arrival: {"sent":[...],"attained":[...]}.
void add_to_series(json& series, const request_result& it)
{
    const auto second = static_cast<std::size_t>(it.request.at_ms / 1000);
    for (const auto* name : {"sent", "attained"}) {
        auto& counts = series[name];
        while (counts.size() <= second)
            counts.push_back(0);
    }
    series["sent"][second] = series["sent"][second].get<int>() + 1;
    series["attained"][second] = series["attained"][second].get<int>() + (it.attained ? 1 : 0);
}

std::string quantile_text(const json& it)
{
    if (it.is_null())
        return fmt::format("{:>22}", "-");
    const auto text = fmt::format("{:.0f}/{:.0f}/{:.0f}", it["p50"].get<double>(), it["p95"].get<double>(),
                                  it["p99"].get<double>());
    return fmt::format("{:>22}", text);
}

} // namespace

json quantiles(const std::vector<double>& values)
{
    if (values.empty())
        return nullptr;
    if (values.size() == 1) // the accumulator yields no quantiles of a single value
        return {{"count", 1}, {"p50", values[0]}, {"p95", values[0]}, {"p99", values[0]}};
    using right_tail = acc::stats<acc::tag::tail_quantile<acc::right>>;
    // The cache holds every value, so the quantiles are exact.
    acc::accumulator_set<double, right_tail> set(acc::tag::tail<acc::right>::cache_size = values.size());
    for (const auto it : values)
        set(it);
    const auto at = [&](double p) { return acc::quantile(set, acc::quantile_probability = p); };
    return {{"count", values.size()}, {"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}};
}

json summarize(const std::vector<request_result>& results, const evaluation& evaluated,
               const json& deployment, double seconds)
{
    std::map<std::string, group> groups;
    std::map<std::string, std::int64_t> refusals;
    std::vector<double> delays_ms;
    json series = json::object();
    for (const auto& it : results) {
        delays_ms.push_back(it.send_delay_ms);
        add_to_series(series[it.request.what.rank], it);
        for (const auto& name : groups_of(it, deployment))
            add(groups[name], it);
        for (const auto& each : it.attempts)
            if (!each.code.empty())
                ++refusals[each.code + (each.ran.empty() ? "" : " ran=" + each.ran)];
    }
    json out = {{"seconds", seconds},   {"send_delay_ms", quantiles(delays_ms)},
                {"series", series},     {"counts", evaluated.counts},
                {"refusals", refusals}, {"broken", evaluated.violations}};
    for (const auto& [name, it] : groups)
        out["groups"][name] = to_json(name, it, seconds);
    for (const auto& [name, it] : evaluated.stages)
        out["stages"][name] = {
            {"useful_s", it.useful_s}, {"repeated_s", it.repeated_s}, {"abandoned_s", it.abandoned_s}};
    return out;
}

std::string to_table(const json& summary)
{
    std::string out = fmt::format("{:<44}{:>7}{:>9}{:>9}{:>22}{:>22}{:>22}\n", "group", "sent", "attained",
                                  "good/s", "latency p50/95/99", "first token", "between tokens");
    const auto groups = summary.value("groups", json::object());
    for (const auto& it : groups.items()) {
        const auto& row = it.value();
        out += fmt::format("{:<44}{:>7}{:>8.2f}%{:>9.1f}{}{}{}\n", it.key(), row["sent"].get<std::int64_t>(),
                           row["attainment"].get<double>() * 100, row["goodput_per_s"].get<double>(),
                           quantile_text(row["latency_ms"]), quantile_text(row["first_token_ms"]),
                           quantile_text(row["between_tokens_ms"]));
    }
    for (const auto* it : {"send_delay_ms", "counts", "refusals", "stages"})
        if (summary.contains(it) && !summary[it].empty())
            out += fmt::format("{}: {}\n", it, summary[it].dump());
    for (const auto& it : summary["broken"])
        out += fmt::format("BROKEN {}\n", it.get<std::string>());
    return out;
}

} // namespace limpetlock::testkit
