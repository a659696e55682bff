#include "../script_golden.hpp"

#include <limpetlock/routing/chooser.hpp>
#include <limpetlock/routing/retry_budget.hpp>
#include <limpetlock/support/hash.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace limpetlock;
using namespace limpetlock::routing;

namespace {

time_point time_at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

struct test_pool {
    explicit test_pool(std::size_t size, limit_options options = {}) : stats(size, endpoint_stats(options))
    {
        for (std::size_t n = 0; n < size; ++n)
            candidates.push_back({hash64("endpoint-" + std::to_string(n)), static_cast<std::uint32_t>(n % 3),
                                  false, &stats[n]});
    }

    std::deque<endpoint_stats> stats;
    std::vector<candidate> candidates;
    random_engine random{42};
};

limit_options high_limits()
{
    limit_options it;
    it.initial = it.maximum = 1000;
    return it;
}

// Simulates six instances that send 600 calls between two load reports, and returns the maximum number of
// calls at one endpoint.
std::size_t max_calls_between_reports(const std::string& strategy)
{
    constexpr std::size_t size = 12;
    std::vector<std::size_t> calls(size);
    for (int instance = 0; instance < 6; ++instance) {
        test_pool it(size, high_limits());
        it.random.seed(static_cast<unsigned>(instance));
        for (std::size_t n = 0; n < size; ++n)
            it.stats[n].record_report({static_cast<std::uint32_t>(n == 3 ? 2 : 5), 0, duration(0)},
                                      time_at(0));
        const auto chooser = make_chooser(strategy);
        for (int n = 0; n < 100; ++n) {
            const auto chosen = chooser->choose(it.candidates, {}, it.random, time_at(n * 20));
            it.stats[*chosen].record_start(time_at(n * 20));
            ++calls[*chosen];
        }
    }
    return *std::max_element(calls.begin(), calls.end());
}

} // namespace

// Guards against herding: all instances send their calls to the endpoint with the lowest load in the last
// report.
Test(chooser, no_herd_onto_the_least_reported_load)
{
    cr_assert_eq(max_calls_between_reports("least_reported"), 600U);
    cr_assert_leq(max_calls_between_reports("two_choices"), 2U * 600 / 12);
}

// Guards against a retry at an endpoint where the call has failed before, or in the failure domain of the
// last one although other domains have endpoints.
Test(chooser, retry_avoids_tried_endpoints_and_their_domain)
{
    for (const auto* name : {"two_choices", "prefix_affinity"}) {
        test_pool it(6);
        const auto strategy = make_chooser(name);
        std::vector<std::uint64_t> tried{it.candidates[0].id};
        for (int n = 0; n < 100; ++n) {
            const auto chosen = strategy->choose(it.candidates, {77, tried, 0, true}, it.random, time_at(0));
            cr_assert_neq(it.candidates[*chosen].failure_domain, 0U);
        }
        for (std::size_t n = 1; n < 6; ++n)
            if (n != 3)
                tried.push_back(it.candidates[n].id);
        cr_assert_eq(*strategy->choose(it.candidates, {77, tried, 0, true}, it.random, time_at(0)), 3U);
        tried.push_back(it.candidates[3].id);
        cr_assert_not(
            strategy->choose(it.candidates, {77, tried, 0, true}, it.random, time_at(0)).has_value());
    }
}

// Guards against a probing endpoint that gets more than one call at a time, or a call that must not run
// twice.
Test(chooser, probing_endpoint_takes_one_repeatable_call)
{
    test_pool it(1);
    it.candidates[0].probing = true;
    const auto strategy = make_two_choices();
    cr_assert_not(strategy->choose(it.candidates, {0, {}, {}, false}, it.random, time_at(0)).has_value());
    cr_assert(strategy->choose(it.candidates, {}, it.random, time_at(0)).has_value());
    it.stats[0].record_start(time_at(0));
    cr_assert_not(strategy->choose(it.candidates, {}, it.random, time_at(0)).has_value());
}

// Guards against prefixes that move to another endpoint although only the endpoint of other prefixes was
// removed, and against a frequent prefix that overloads its endpoint.
Test(chooser, prefix_affinity_is_stable_and_bounded)
{
    test_pool it(12, high_limits());
    const auto strategy = make_prefix_affinity(1.25);
    std::size_t moved = 0;
    for (std::uint64_t prefix = 1; prefix <= 300; ++prefix) {
        const auto key = hash64(std::to_string(prefix));
        const auto before = *strategy->choose(it.candidates, {key, {}, {}, true}, it.random, time_at(0));
        const auto less = std::span(it.candidates).first(11);
        const auto after = *strategy->choose(less, {key, {}, {}, true}, it.random, time_at(0));
        moved += before != 11 && before != after ? 1 : 0;
    }
    cr_assert_eq(moved, 0U);
    for (int n = 0; n < 240; ++n)
        it.stats[*strategy->choose(it.candidates, {99, {}, {}, true}, it.random, time_at(0))].record_start(
            time_at(0));
    for (const auto& stats : it.stats)
        cr_assert_leq(stats.in_flight(), 26U);
}

// Guards against calls that are counted both as in flight and from the report, and against the use of expired
// reports.
Test(endpoint_stats, report_is_corrected_and_ages_out)
{
    endpoint_stats it;
    it.record_start(time_at(0));
    it.record_start(time_at(0));
    it.record_report({5, 0, duration(500)}, time_at(1000));
    cr_assert_float_eq(it.load(time_at(1000)), 5, 1e-9);
    it.record_start(time_at(1100));
    cr_assert_float_eq(it.load(time_at(1100)), 6, 1e-9);
    it.record_report({9, 0, duration(2000)}, time_at(1200));
    cr_assert_float_eq(it.load(time_at(1200)), 6, 1e-9, "an older report must not replace a newer one");
    cr_assert_float_eq(it.load(time_at(1000 + 500 + 3000)), 3, 1e-9);
}

// Guards against a limit that stays high at an overloaded endpoint, decreases for each refused call of one
// burst, or stays low after the overload.
Test(endpoint_stats, limit_falls_on_overload_and_recovers)
{
    endpoint_stats it;
    const auto call = [&](std::int64_t now, outcome result, double took) {
        it.record_start(time_at(now));
        it.record_finish(time_at(now), result, took, 100);
    };
    for (int n = 0; n < 20; ++n)
        call(0, outcome::overloaded, 1);
    cr_assert_float_eq(it.concurrency_limit(), 4 * 0.7, 1e-9);
    for (int n = 1; n <= 40; ++n)
        call(n * 1000, outcome::overloaded, 1);
    cr_assert_float_eq(it.concurrency_limit(), 0.25, 1e-9);
    for (int n = 0; n < 100; ++n)
        call(50'000 + n * 100, outcome::success, 100);
    cr_assert_gt(it.concurrency_limit(), 1.5);
    for (int n = 0; n < 100; ++n)
        call(60'000 + n * 100, outcome::success, 500);
    cr_assert_lt(it.concurrency_limit(), 0.6);
}

// Guards against a limit that stays low with hundreds of instances. An instance then has too few calls to
// raise the limit by their results, so load reports without queued calls raise it up to the instance's share
// of the endpoint. Reports with queued calls lower it.
Test(endpoint_stats, reports_move_the_limit)
{
    const auto options = scaled_limits(8, 370);
    endpoint_stats it(options);
    for (int n = 0; n < 30; ++n)
        it.record_report({8, 20, duration(0)}, time_at(n * 1000));
    cr_assert_float_eq(it.concurrency_limit(), options.minimum, 1e-9);
    it.record_report({2, 0, duration(4000)}, time_at(31'000));
    cr_assert_float_eq(it.concurrency_limit(), options.minimum, 1e-9,
                       "an expired report must not change the limit");
    for (int n = 31; n < 40; ++n)
        it.record_report({2, 0, duration(0)}, time_at(n * 1000));
    cr_assert_float_eq(it.concurrency_limit(), options.initial, 1e-9);
}

// Guards against a retry storm. In an outage of 20 s at the rates of the planned deployment, retries and
// hedges add at most 10% of the calls; afterwards the budget refills.
Test(retry_budget, outage_adds_at_most_a_tenth)
{
    retry_budget it;
    for (int n = 0; n < 1000; ++n) {
        it.record_first_attempt();
        it.record_first_success();
    }
    int calls = 0;
    int extra = 0;
    for (; calls < 4 * 20; ++calls) {
        it.record_first_attempt();
        extra += it.try_acquire_retry() ? 1 : 0;
        extra += it.try_acquire_retry() ? 1 : 0;
        extra += it.try_acquire_hedge() ? 1 : 0;
    }
    cr_assert_leq(extra * 10, calls);
    cr_assert_not(it.try_acquire_retry());
    for (int n = 0; n < 11; ++n)
        it.record_first_success();
    cr_assert(it.try_acquire_retry());
}

// Guards against hedges beyond their share, and against a sum of hedges and retries beyond the budget.
Test(retry_budget, hedges_and_retries_share_tokens)
{
    retry_budget it;
    int hedges = 0;
    int retries = 0;
    for (int n = 0; n < 10'000; ++n) {
        it.record_first_attempt();
        it.record_first_success();
        hedges += it.try_acquire_hedge() ? 1 : 0;
        retries += n % 5 == 0 && it.try_acquire_retry() ? 1 : 0;
    }
    cr_assert_leq(hedges, 502);
    cr_assert_leq(hedges + retries, 1002);
    cr_assert_gt(hedges, 400);
}

// Guards against a hedge delay from too few measurements, and against one that adapts too late when latencies
// change.
Test(hedge_delay, follows_the_quantile)
{
    hedge_delay it(0.95, duration(1000));
    for (int n = 0; n < 29; ++n)
        it.record(duration(100), time_at(n));
    cr_assert_not(it.current().has_value());
    for (int n = 0; n < 1000; ++n)
        it.record(duration(n % 100), time_at(n));
    cr_assert_geq(it.current()->count(), 90);
    cr_assert_leq(it.current()->count(), 101);
    for (int n = 0; n < 3000; ++n)
        it.record(duration(500), time_at(1000 + n));
    cr_assert_geq(it.current()->count(), 450);
}

// Guards against unintended changes of choices with load reports, concurrency limits, tried endpoints and
// failure domains: the session is compared with a golden file.
Test(chooser, golden_session)
{
    test_pool it(5);
    std::map<std::string, std::unique_ptr<chooser>> strategies;
    std::vector<std::uint64_t> tried;
    const auto choose = [&](const test::words& w) -> std::string {
        auto& strategy = strategies[w[2]];
        if (!strategy)
            strategy = make_chooser(w[2]);
        choice_context context{std::stoull(w[3]), tried, {}, true};
        if (w.size() > 4)
            context.avoid_domain = static_cast<std::uint32_t>(std::stoul(w[4]));
        const auto now = time_at(std::stoll(w[1]));
        const auto chosen = strategy->choose(it.candidates, context, it.random, now);
        if (!chosen)
            return "none";
        it.stats[*chosen].record_start(now);
        return "endpoint " + std::to_string(*chosen);
    };
    test::check_session("chooser", [&](const test::words& w) -> std::string {
        if (w[0] == "choose")
            return choose(w);
        if (w[0] == "forget") {
            tried.clear();
            return "ok";
        }
        const auto n = std::stoul(w[1]);
        if (w[0] == "tried") {
            tried.push_back(it.candidates[n].id);
            return "ok";
        }
        const auto now = time_at(std::stoll(w[2]));
        if (w[0] == "report")
            it.stats[n].record_report(
                {static_cast<std::uint32_t>(std::stoul(w[3])), 0, duration(std::stoll(w[4]))}, now);
        if (w[0] == "overloaded")
            it.stats[n].record_finish(now, outcome::overloaded, 1, 100);
        if (w[0] == "success")
            it.stats[n].record_finish(now, outcome::success, std::stod(w[3]), 100);
        char text[80];
        std::snprintf(text, sizeof text, "load %.2f limit %.3f", it.stats[n].load(now),
                      it.stats[n].concurrency_limit());
        return text;
    });
}
