#include "../script_golden.hpp"

#include <limpetlock/admission/gate.hpp>
#include <limpetlock/admission/queue.hpp>

#include <criterion/criterion.h>

#include <map>

using namespace limpetlock;
using namespace limpetlock::admission;

namespace {

time_point time_at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

// A queue with one simulated server, which serves one request at a time and without a pause.
class single_server {
public:
    explicit single_server(queue_options options = {}) : requests(std::move(options), times) {}

    bool offer(const std::string& team, rank priority, double cost, std::int64_t deadline = 1'000'000'000)
    {
        return requests.offer({++last_id, team, priority, cost, time_at(deadline), nullptr}, time_at(now))
            .has_value();
    }

    std::optional<ticket> serve(double factor = 1)
    {
        const auto it = requests.pop_next(time_at(now));
        if (!it)
            return it;
        const double actual = it->cost_ms * factor;
        now += static_cast<std::int64_t>(actual);
        by_team[it->team] += actual;
        by_rank[it->priority] += actual;
        requests.complete(*it, actual);
        return it;
    }

    stage_time_estimator times;
    queue requests;
    std::int64_t now{0};
    std::uint64_t last_id{0};
    std::map<std::string, double> by_team;
    std::map<rank, double> by_rank;
};

} // namespace

// Guards against a flood of background requests that delays urgent ones: an urgent request waits for at most
// one background request, which is admitted by the minimum share of its rank.
Test(queue, background_flood_leaves_urgent_first)
{
    single_server it;
    for (int n = 0; n < 300; ++n) {
        for (int k = 0; k < 5; ++k)
            it.offer("flood", rank::background, 100);
        it.offer("plant", rank::urgent, 50);
        int others = 0;
        while (it.requests.waiting(rank::urgent) > 0)
            others += it.serve()->priority == rank::urgent ? 0 : 1;
        cr_assert_leq(others, 1);
        it.serve();
    }
    cr_assert_float_eq(it.by_rank[rank::urgent], 300 * 50, 1e-6);
}

// Guards against a flood of urgent requests that starves the other ranks: each rank keeps its configured
// minimum share of the served cost.
Test(queue, urgent_flood_leaves_each_rank_its_share)
{
    single_server it;
    while (it.now < 100'000) {
        for (int k = 0; k < 5; ++k)
            it.offer("flood", rank::urgent, 100);
        it.offer("plant", rank::standard, 150);
        it.offer("lab", rank::background, 400);
        it.serve();
    }
    const double total = it.by_rank[rank::urgent] + it.by_rank[rank::standard] + it.by_rank[rank::background];
    cr_assert_geq(it.by_rank[rank::standard], 0.2 * total - 400);
    cr_assert_geq(it.by_rank[rank::background], 0.1 * total - 800);
    cr_assert_geq(it.by_rank[rank::urgent], 0.65 * total);
}

// Guards against a team that displaces others by the number or the cost of its requests.
Test(queue, large_team_gets_no_more_than_small_ones)
{
    queue_options options;
    options.weights["double"] = 2;
    single_server it(options);
    for (int n = 0; n < 400; ++n) {
        for (int k = 0; k < 5; ++k)
            it.offer("large", rank::standard, 200);
        it.offer("small", rank::standard, 50);
        it.offer("small", rank::standard, 50);
        it.offer("double", rank::standard, 100);
        it.offer("double", rank::standard, 100);
        it.serve();
    }
    cr_assert_float_eq(it.by_team["large"], it.by_team["small"], 400);
    cr_assert_float_eq(it.by_team["double"], 2 * it.by_team["small"], 800);
}

// Guards against an advantage for a team whose requests cost far more than their estimate.
Test(queue, actual_cost_counts_and_not_the_estimate)
{
    single_server it;
    for (int n = 0; n < 500; ++n) {
        it.offer("honest", rank::standard, 100);
        it.offer("heavy", rank::standard, 100);
        const auto head = it.requests.pop_next(time_at(it.now));
        const double actual = head->team == "heavy" ? 500 : 100;
        it.by_team[head->team] += actual;
        it.requests.complete(*head, actual);
    }
    cr_assert_float_eq(it.by_team["heavy"], it.by_team["honest"], 1000);
}

// Guards against a team that fills the queue for other teams, or whose background requests fill it for its
// own urgent ones.
Test(queue, bound_is_per_team_and_rank)
{
    single_server it;
    for (int n = 0; n < 64; ++n)
        cr_assert(it.offer("flood", rank::background, 10));
    cr_assert_not(it.offer("flood", rank::background, 10));
    cr_assert_eq(it.requests.last_error().code, errc::queue_full);
    cr_assert(it.offer("flood", rank::urgent, 10));
    cr_assert(it.offer("small", rank::background, 10));
}

// Guards against the acceptance of requests that can't meet their deadline, and against an estimate from an
// outage that causes all later requests to be refused.
Test(queue, refuses_requests_that_cannot_meet_their_deadline)
{
    stage_time_estimator times;
    const auto generate = times.declare_stage("generate", 100);
    const auto stages = std::make_shared<const std::vector<stage_id>>(1, generate);
    queue requests({}, times);
    const auto offer = [&](std::uint64_t id, std::int64_t now, std::int64_t left) {
        return requests.offer({id, "plant", rank::urgent, 100, time_at(now + left), stages}, time_at(now))
            .has_value();
    };
    cr_assert(offer(1, 0, 500));
    cr_assert_not(offer(2, 0, 90));
    cr_assert_eq(requests.last_error().code, errc::deadline_unreachable);
    for (int n = 0; n < 100; ++n)
        times.record(generate, 2000, time_at(n * 10));
    cr_assert_not(offer(3, 1000, 500));
    cr_assert(offer(4, 1000, 10'000));
    cr_assert_eq(requests.expire(time_at(1000)), std::vector<std::uint64_t>{1});
    cr_assert(offer(5, 20'000, 500));
}

// Guards against the admission of a request whose caller no longer waits.
Test(queue, expired_and_cancelled_work_is_never_released)
{
    single_server it;
    it.offer("a", rank::urgent, 10, 100);
    it.offer("a", rank::urgent, 10, 500);
    it.offer("b", rank::urgent, 10, 500);
    cr_assert(it.requests.cancel(3, "b", rank::urgent));
    cr_assert_not(it.requests.cancel(3, "b", rank::urgent));
    it.now = 200;
    cr_assert_eq(it.serve()->id, 2U);
    cr_assert_eq(it.requests.waiting(), 0U);
    cr_assert_eq(it.requests.expire(time_at(200)), std::vector<std::uint64_t>{1});
}

// Guards against old requests that are kept during an outage and displace new ones after it.
Test(queue, work_held_in_an_outage_is_dropped_at_half_its_time)
{
    single_server it;
    it.offer("a", rank::urgent, 10, 3000);
    it.offer("a", rank::background, 10, 10'000);
    cr_assert(it.requests.expire(time_at(1600)).empty());
    cr_assert_eq(it.requests.expire(time_at(1600), true), std::vector<std::uint64_t>{1});
    cr_assert(it.requests.expire(time_at(4900), true).empty());
    cr_assert_eq(it.requests.waiting(rank::background), 1U);
}

// Guards against a request without free capacity in its pools that blocks requests for other pools.
Test(queue, passes_over_requests_that_do_not_fit)
{
    single_server it;
    it.offer("a", rank::urgent, 10);
    it.offer("b", rank::standard, 10);
    const auto taken = it.requests.pop_next(time_at(0), [](std::uint64_t id) { return id != 1; });
    cr_assert_eq(taken->id, 2U);
    cr_assert_not(it.requests.pop_next(time_at(0), [](std::uint64_t id) { return id != 1; }));
    cr_assert_eq(it.requests.pop_next(time_at(0))->id, 1U);
}

// Guards against a team that gets its full share at every instance. Usage at peers delays the team, but not
// beyond the bound, and equal usage by all teams has no effect.
Test(queue, peer_usage_delays_a_team)
{
    queue_options options;
    options.max_peer_lead_ms = 4000;
    single_server it(options);
    const auto fill = [&] {
        for (int n = 0; n < 64; ++n) {
            it.offer("large", rank::standard, 100);
            it.offer("small", rank::standard, 100);
        }
    };
    fill();
    it.requests.add_peer_usage({{"large", rank::standard, 1000}, {"small", rank::standard, 0}});
    for (int n = 0; n < 10; ++n)
        cr_assert(it.serve()->team == "small");
    fill();
    it.requests.add_peer_usage({{"large", rank::standard, 1000}, {"small", rank::standard, 1000}});
    it.by_team.clear();
    for (int n = 0; n < 10; ++n)
        it.serve();
    cr_assert_float_eq(it.by_team["large"], it.by_team["small"], 200);
    fill();
    it.requests.add_peer_usage({{"large", rank::standard, 1e9}});
    for (int n = 0; n < 45; ++n)
        it.serve();
    fill();
    it.by_team.clear();
    it.serve();
    it.serve();
    cr_assert_gt(it.by_team["large"], 0);
}

// Guards against usage that is reported to peers twice or not at all.
Test(queue, usage_is_reported_once)
{
    single_server it;
    it.offer("a", rank::urgent, 10);
    it.offer("b", rank::standard, 20);
    it.serve(2);
    it.serve();
    const std::vector<team_usage> expected{{"a", rank::urgent, 20}, {"b", rank::standard, 20}};
    cr_assert(it.requests.extract_usage() == expected);
    cr_assert(it.requests.extract_usage().empty());
}

// Guards against a gate that admits more requests to a pool than its capacity, or that admits none at a
// capacity below one request.
Test(gate, bounds_each_pool)
{
    gate it;
    const pool_shares answer{{"encoder", 0.1}, {"model", 0.9}};
    cr_assert_not(it.can_admit(answer, time_at(0)));
    it.set_capacity("encoder", 10);
    it.set_capacity("model", 2);
    it.acquire(answer);
    it.acquire(answer);
    cr_assert_not(it.can_admit(answer, time_at(0)));
    cr_assert(it.can_admit({{"encoder", 1}}, time_at(0)));
    it.release(answer);
    cr_assert(it.can_admit(answer, time_at(0)));
    it.release(answer);
    it.set_capacity("model", 0.1);
    cr_assert(it.can_admit(answer, time_at(0)));
}

// Guards against an outage in which all queued requests are admitted and fail. A failing pool admits one
// request per hold interval, and all of them again after its first answer.
Test(gate, holds_work_for_a_pool_that_does_not_answer)
{
    gate it;
    const pool_shares shares{{"model", 1}};
    it.set_capacity("model", 100);
    it.set_capacity("encoder", 100);
    for (int n = 0; n < gate::failure_threshold - 1; ++n)
        it.record_call("model", false, time_at(0));
    cr_assert(it.can_admit(shares, time_at(0)));
    int released = 0;
    for (int now = 0; now < 20'000; ++now) {
        if (!it.can_admit(shares, time_at(now)))
            continue;
        ++released;
        it.record_call("model", false, time_at(now));
    }
    cr_assert_leq(released, 101);
    cr_assert_geq(released, 99);
    cr_assert(it.can_admit({{"encoder", 1}}, time_at(0)));
    it.record_call("model", true, time_at(20'000));
    cr_assert(it.can_admit(shares, time_at(20'000)));
}

// Guards against unintended changes of decisions with several ranks and teams, a full queue, expiry and peer
// usage: the session is compared with a golden file.
Test(queue, golden_session)
{
    queue_options options;
    options.max_waiting_per_team = 3;
    stage_time_estimator times;
    queue requests(options, times);
    const auto stage = times.declare_stage("generate", 50);
    const auto stages = std::make_shared<const std::vector<stage_id>>(1, stage);
    std::map<std::string, ticket> taken;
    const auto offer = [&](const test::words& w) {
        const auto now = std::stoll(w[1]);
        const auto it = requests.offer({std::stoull(w[2]), w[3], *parse_rank(w[4]), std::stod(w[5]),
                                        time_at(now + std::stoll(w[6])), stages},
                                       time_at(now));
        return it ? "accepted, " + std::to_string(*it) + " before it"
                  : "refused: " + requests.last_error().reason;
    };
    const auto next = [&](const test::words& w) -> std::string {
        const auto it = requests.pop_next(time_at(std::stoll(w[1])));
        if (!it)
            return "nothing";
        taken[std::to_string(it->id)] = *it;
        return std::to_string(it->id) + " " + it->team + " " + std::string(to_string(it->priority)) +
               (it->by_min_share ? " by share" : "");
    };
    test::check_session("queue", [&](const test::words& w) -> std::string {
        if (w[0] == "offer")
            return offer(w);
        if (w[0] == "next")
            return next(w);
        if (w[0] == "complete") {
            requests.complete(taken.at(w[1]), std::stod(w[2]));
            return "ok";
        }
        if (w[0] == "peers") {
            requests.add_peer_usage({{w[1], *parse_rank(w[2]), std::stod(w[3])}});
            return "ok";
        }
        std::string ids = "expired";
        for (const auto id : requests.expire(time_at(std::stoll(w[1]))))
            ids += " " + std::to_string(id);
        return ids;
    });
}
