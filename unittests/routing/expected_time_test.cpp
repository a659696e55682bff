#include <limpetlock/routing/candidate_choice.hpp>
#include <limpetlock/routing/expected_time.hpp>
#include <limpetlock/routing/part_placements.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace limpetlock;
using namespace limpetlock::routing;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

double expected(const time_estimator& it, const char* endpoint, std::int64_t now, double tokens = 6'800)
{
    return it.expected_time("p", endpoint, {tokens, 0}, at(now)).ms;
}

} // namespace

// Guards against old figures that are taken for the present state, and against a late answer to a probe that
// replaces a newer report.
Test(expected_time, a_report_loses_its_weight_with_its_age)
{
    time_estimator it;
    const double unknown = expected(it, "a", 0);
    it.record_report("p", "a", {0, 0, 2.5}, at(0));
    const double fresh = expected(it, "a", 50);
    cr_expect_gt(fresh, 2 * unknown);
    cr_expect_eq(expected(it, "a", 100), fresh, "full weight up to fresh_report_age");
    cr_expect_lt(expected(it, "a", 300), 0.8 * fresh);
    cr_expect_lt(expected(it, "a", 3'000), 1.2 * unknown, "tends to the usual time");
    it.record_report("p", "a", {9, 9, 20}, at(-10));
    cr_expect_eq(expected(it, "a", 50), fresh, "older than the known one");
    cr_expect(it.has_fresh_report("a", at(100)) && !it.has_fresh_report("a", at(101)));
    cr_expect(it.states_time_factor("p", at(60)) && !it.states_time_factor("p", at(60'000)));
    cr_expect_not(it.states_time_factor("other", at(0)));
}

// Guards against several requests of one instance that all go to the endpoint that looked best in one report.
Test(expected_time, own_requests_since_the_report_count_until_their_first_event)
{
    time_estimator it;
    it.record_report("p", "a", {0, 0, 1}, at(0));
    const double idle = expected(it, "a", 10);
    it.begin_request("p", "a", 1, {6'800, 0}, at(5));
    const double one = expected(it, "a", 10);
    cr_expect_gt(one, 1.8 * idle);
    it.record_report("p", "a", {1, 0, 1}, at(8));
    cr_expect_lt(expected(it, "a", 10), 1.1 * idle, "the report includes the request");
    it.begin_request("p", "a", 2, {6'800, 0}, at(9));
    cr_expect_gt(expected(it, "a", 10), 1.8 * idle);
    it.end_request("a", 2);
    cr_expect_lt(expected(it, "a", 10), 1.1 * idle);
    it.begin_request("p", "a", 3, {6'800, 0}, at(9));
    cr_expect_lt(expected(it, "a", 60'000), 1.5 * idle, "a request that never ended is forgotten");
}

// Guards against an engine that is avoided for ever, against a model that absurd measurements spoil, and
// against state that grows with the endpoints that ever existed.
Test(expected_time, speeds_are_learned_bounded_and_forgotten)
{
    time_estimator it;
    for (std::int64_t n = 0; n < 200; ++n)
        for (const auto* id : {"slow", "fast", "fast2", "fast3"}) {
            it.record_report("p", id, {1, 0, 1}, at(n * 1'000));
            const auto estimate = it.expected_time("p", id, {6'800, 0}, at(n * 1'000));
            it.record_time("p", id, estimate, duration(id[0] == 's' ? 180 : 80), at(n * 1'000));
        }
    const double slow = it.speed_of("slow", at(200'000));
    const double fast = it.speed_of("fast", at(200'000));
    cr_expect_gt(slow / fast, 1.8, "%.2f %.2f", slow, fast);
    cr_expect_lt(it.speed_of("slow", at(2'000'000)), 1.1, "it is tried again");
    cr_expect_lt(std::abs(expected(it, "fast", 199'050) - 80), 25);
    for (int n = 0; n < 50; ++n)
        it.record_time("p", "broken", it.expected_time("p", "broken", {1e12, 0}, at(300'000)),
                       duration::max(), at(300'000));
    cr_expect_leq(it.speed_of("broken", at(300'000)), 4.1);
    cr_expect_lt(expected(it, "fast", 300'000), 1'000'000);
    it.retain({}, {});
    cr_expect_eq(it.speed_of("slow", at(200'000)), 1);
}

// Guards against requests that leave their failure domain, or a choice of one, and against instances that
// all compare the same engines.
Test(candidate_choice, at_most_one_candidate_is_in_another_domain)
{
    std::minstd_rand random(7);
    std::vector<drawable_endpoint> others;
    others.reserve(30);
    for (int n = 0; n < 30; ++n)
        others.push_back({"o" + std::to_string(n), n % 3 == 0 ? "a" : n % 3 == 1 ? "b" : "c"});
    const std::vector<drawable_endpoint> homes{{"h0", "b"}, {"h1", "a"}, {"h2", "c"}};
    std::set<std::string> seen;
    for (int n = 0; n < 200; ++n) {
        const auto drawn = draw_candidates(homes, others, "a", random);
        cr_assert_eq(drawn.size(), max_candidates);
        cr_expect_eq(drawn[0].endpoint, "h0");
        cr_expect_eq(drawn[1].endpoint, "h1", "the other home of the domain");
        cr_expect_eq(
            std::count_if(drawn.begin(), drawn.end(), [](const auto& it) { return it.domain != "a"; }), 1);
        std::set<std::string> ids;
        for (const auto& it : drawn)
            ids.insert(it.endpoint);
        cr_expect_eq(ids.size(), drawn.size());
        seen.insert(ids.begin(), ids.end());
    }
    cr_expect_gt(seen.size(), 10);
    cr_expect_eq(draw_candidates({{"h0", "b"}}, {{"o1", "b"}, {"o2", "b"}}, "a", random).size(), 2,
                 "there is a choice even if the domain has no endpoint");
    cr_expect(draw_candidates({}, others, "a", random).empty());
}

// Guards against instances that break ties in the same way, and against requests that leave their usual
// endpoint when nothing is known of any.
Test(candidate_choice, ties_are_broken_at_random_only_between_reports)
{
    std::minstd_rand random(7);
    time_estimate known;
    known.ms = 100;
    known.report_age = duration(5);
    time_estimate slow = known;
    slow.ms = 110;
    std::set<std::size_t> winners;
    for (int n = 0; n < 50; ++n)
        winners.insert(pick_candidate({{"a", slow, 0}, {"b", known, 0}, {"c", known, 1}}, random).winner);
    cr_expect(winners == (std::set<std::size_t>{1, 2}));
    time_estimate unknown;
    unknown.ms = 100;
    for (int n = 0; n < 20; ++n)
        cr_expect_eq(pick_candidate({{"a", unknown, 0}, {"b", unknown, 0}}, random).winner, 0);
    cr_expect_eq(pick_candidate({{"a", known, 30}, {"b", slow, 0}}, random).runner_up, std::size_t{0});
}

Test(part_placements, memory_is_bounded_and_parts_expire)
{
    part_placements it;
    it.record(1, "a", at(0));
    cr_expect(it.has(1, "a", at(30'000)) && !it.has(1, "a", at(30'001)) && !it.has(1, "b", at(0)));
    for (std::uint64_t n = 0; n < 10'000; ++n)
        it.record(n, "a", at(0));
    cr_expect_eq(it.size(), part_placements::max_parts);
    it.record(99'999, "b", at(60'000));
    cr_expect(it.has(99'999, "b", at(60'000)), "expired parts make room");
    for (int n = 0; n < 10; ++n)
        it.record(99'999, "e" + std::to_string(n), at(60'000));
    cr_expect_not(it.has(99'999, "b", at(60'000)));
}
