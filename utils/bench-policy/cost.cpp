#include "cost.hpp"

#include <limpetlock/admission/queue.hpp>
#include <limpetlock/membership/view.hpp>
#include <limpetlock/routing/chooser.hpp>
#include <limpetlock/support/hash.hpp>

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace limpetlock::bench {

namespace {

using nlohmann::json;

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

std::size_t heap_bytes()
{
    const auto it = mallinfo2();
    return it.uordblks + it.hblkhd;
}

double microseconds(std::size_t times, const std::function<void()>& run)
{
    const auto start = std::chrono::steady_clock::now();
    run();
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
    return took.count() / static_cast<double>(times);
}

json queue_costs(std::size_t teams)
{
    constexpr std::size_t per_team = 50;
    admission::stage_time_estimator times;
    const auto stages =
        std::make_shared<const std::vector<admission::stage_id>>(4, times.declare_stage("stage", 25));
    admission::queue_options options;
    options.max_waiting_per_rank = teams * per_team;
    admission::queue work(options, times);
    std::vector<std::string> names;
    for (std::size_t n = 0; n < teams; ++n)
        names.push_back("team-" + std::to_string(n));
    std::uint64_t id = 0;
    const auto offer_all = [&](std::size_t rounds) {
        for (std::size_t n = 0; n < rounds * teams; ++n)
            work.offer({++id, names[n % teams], admission::rank::standard, 100, at(1'000'000), stages},
                       at(0));
    };
    const auto empty = heap_bytes();
    offer_all(1);
    const auto one_each = heap_bytes();
    const double offered = microseconds(teams * (per_team - 1), [&] { offer_all(per_team - 1); });
    const auto full = heap_bytes();
    const double swept = microseconds(teams * per_team, [&] { work.expire(at(10)); });
    std::vector<admission::ticket> taken;
    taken.reserve(teams * per_team);
    const double next = microseconds(teams * per_team, [&] {
        while (auto it = work.pop_next(at(20)))
            taken.push_back(std::move(*it));
    });
    const double complete = microseconds(taken.size(), [&] {
        for (const auto& it : taken)
            work.complete(it, 110);
    });
    std::vector<admission::team_usage> served;
    served.reserve(teams);
    for (const auto& it : names)
        served.push_back({it, admission::rank::standard, 1000});
    const double exchanged = microseconds(teams, [&] { work.add_peer_usage(served); });
    return {{"cost", "queue"},
            {"teams", teams},
            {"offer_us", offered},
            {"next_us", next},
            {"complete_us", complete},
            {"expire_us_per_request", swept},
            {"peer_usage_us_per_team", exchanged},
            {"bytes_per_team_with_one_request", (one_each - empty) / teams},
            {"bytes_per_further_request", (full - one_each) / (teams * (per_team - 1))}};
}

json routing_costs(std::size_t endpoints)
{
    constexpr std::size_t choices = 20'000;
    const auto empty = heap_bytes();
    std::vector<routing::endpoint_stats> stats(endpoints);
    const auto used = heap_bytes() - empty;
    std::vector<routing::candidate> all;
    for (std::size_t n = 0; n < endpoints; ++n)
        all.push_back({hash64(std::to_string(n)), static_cast<std::uint32_t>(n % 16), false, &stats[n]});
    routing::random_engine random(1);
    json row{{"cost", "routing"}, {"endpoints", endpoints}, {"bytes_per_endpoint", used / endpoints}};
    std::uint64_t prefix = 0;
    for (const auto* name : {"two_choices", "prefix_affinity", "round_robin", "least_reported"}) {
        const auto chooser = routing::make_chooser(name);
        row[std::string(name) + "_us"] = microseconds(choices, [&] {
            for (std::size_t n = 0; n < choices; ++n) {
                routing::choice_context context;
                context.prefix_hash = ++prefix;
                const auto it = *chooser->choose(all, context, random, at(0));
                stats[it].record_start(at(0));
                stats[it].record_finish(at(0), routing::outcome::success, 100, 100);
            }
        });
    }
    return row;
}

json membership_costs(std::size_t endpoints)
{
    constexpr std::size_t results = 20'000;
    membership::instance_list list{1, {}};
    for (std::size_t n = 0; n < endpoints; ++n)
        list.instances.push_back({"server-" + std::to_string(n), "model", "10.0.0.1",
                                  static_cast<std::uint16_t>(n), 0, "domain", false});
    const auto empty = heap_bytes();
    membership::view view;
    const double applied = microseconds(endpoints, [&] { view.apply(list, at(0)); });
    const auto known = heap_bytes();
    const double snapshot = microseconds(endpoints, [&] { view.current_snapshot(); });
    const auto held = view.current_snapshot();
    const auto with_snapshot = heap_bytes();
    const auto& pool = held->pool("model");
    const double result = microseconds(results, [&] {
        for (std::size_t n = 0; n < results; ++n)
            view.record_success(pool[n % pool.size()].id, at(0), at(0));
    });
    const double ticked = microseconds(endpoints, [&] { view.tick(at(200)); });
    const double failed = microseconds(endpoints, [&] {
        for (const auto& it : pool)
            view.record_failure(it.id, membership::call_failure::connection_refused, at(200), at(200));
    });
    return {{"cost", "membership"},
            {"endpoints", endpoints},
            {"apply_us_per_endpoint", applied},
            {"snapshot_us_per_endpoint", snapshot},
            {"tick_us_per_endpoint", ticked},
            {"success_us", result},
            {"failure_us", failed},
            {"bytes_per_endpoint", (known - empty) / endpoints},
            {"snapshot_bytes_per_endpoint", (with_snapshot - known) / endpoints}};
}

} // namespace

std::vector<json> measure_costs()
{
    std::vector<json> all;
    for (const std::size_t teams : {5, 50, 290})
        all.push_back(queue_costs(teams));
    for (const std::size_t endpoints : {12, 200, 1700}) {
        all.push_back(routing_costs(endpoints));
        all.push_back(membership_costs(endpoints));
    }
    return all;
}

} // namespace limpetlock::bench
