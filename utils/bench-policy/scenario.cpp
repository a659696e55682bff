#include "scenario.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace limpetlock::bench {

namespace {

using admission::rank;
using random_engine = boost::random::mt19937_64;

constexpr double flood_demand = 5; // multiple of the capacity of all endpoints

// Divides a demand among the teams: 40% to each large team and the rest equally to the small ones.
void add(scenario& to, rank priority, double demand)
{
    constexpr double large_part = 0.4;
    constexpr double small_part = (1 - large_part * large_teams) / (team_count - large_teams);
    for (std::size_t n = 0; n < team_count; ++n)
        to.streams.push_back(
            {n, priority, demand * (n < large_teams ? large_part : small_part), 0, to.measure_to_ms});
}

scenario steady(std::string name, double load)
{
    scenario it;
    it.name = std::move(name);
    add(it, rank::urgent, load * 0.5);
    add(it, rank::standard, load * 0.35);
    add(it, rank::background, load * 0.15);
    return it;
}

scenario flooded(std::string name, rank by, double urgent, double standard, double background)
{
    scenario it;
    it.name = std::move(name);
    add(it, rank::urgent, urgent);
    add(it, rank::standard, standard);
    add(it, rank::background, background);
    it.streams.push_back({0, by, flood_demand, it.measure_from_ms, it.measure_to_ms});
    return it;
}

scenario with_outage(scenario it)
{
    it.outage_from_ms = 20'000;
    it.outage_to_ms = 40'000;
    it.measure_to_ms = 70'000;
    it.end_ms = 82'000;
    for (auto& stream : it.streams)
        stream.to_ms = it.measure_to_ms;
    return it;
}

scenario team_skew(std::string name, balancing balancer)
{
    scenario it;
    it.name = std::move(name);
    it.balancer = balancer;
    for (std::size_t n = 0; n < team_count; ++n)
        it.streams.push_back({n, rank::standard, n < large_teams ? 0.6 : 0.1, 0, it.measure_to_ms});
    return it;
}

std::size_t pick_instance(const scenario& it, std::size_t team, random_engine& random)
{
    const auto any = boost::random::uniform_int_distribution<std::size_t>(0, instance_count - 1)(random);
    const bool first = boost::random::uniform_01<double>()(random) < 0.5;
    if (it.balancer == balancing::small_teams_on_one_instance && team >= large_teams)
        return team - large_teams;
    if (it.balancer == balancing::half_on_the_first && first)
        return 0;
    return any;
}

} // namespace

std::vector<scenario> all_scenarios()
{
    std::vector<scenario> all;
    all.push_back(steady("steady", 0.6));
    all.push_back(steady("busy", 0.9));
    all.push_back(flooded("background-flood", rank::background, 0.3, 0.25, 0.1));
    all.push_back(flooded("urgent-flood", rank::urgent, 0.2, 0.3, 0.15));
    all.push_back(team_skew("skew-callers", balancing::small_teams_on_one_instance));
    all.push_back(team_skew("skew-balancing", balancing::half_on_the_first));
    all.push_back(steady("slow-endpoint", 0.6));
    all.back().slow_factor = 5;
    all.push_back(with_outage(steady("outage", 0.6)));
    all.push_back(with_outage(steady("outage-busy", 0.9)));
    all.push_back(steady("report-lag", 0.85));
    all.back().report_lag_ms = 2000;
    return all;
}

std::vector<arrival> generate_arrivals(const scenario& it, std::uint64_t seed)
{
    std::vector<arrival> all;
    for (std::size_t n = 0; n < it.streams.size(); ++n) {
        const auto& stream = it.streams[n];
        random_engine random(seed * 1000 + n);
        const double cost = rank_profiles.at(static_cast<std::size_t>(stream.priority)).cost_ms;
        boost::random::exponential_distribution<double> gap(stream.demand * capacity_ms_per_s / cost / 1000);
        boost::random::exponential_distribution<double> rest(2 / cost);
        for (double t = static_cast<double>(stream.from_ms); t < static_cast<double>(stream.to_ms);
             t += gap(random))
            all.push_back({static_cast<std::int64_t>(t), pick_instance(it, stream.team, random), stream.team,
                           stream.priority, cost / 2 + rest(random)});
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const arrival& a, const arrival& b) { return a.at_ms < b.at_ms; });
    return all;
}

} // namespace limpetlock::bench
