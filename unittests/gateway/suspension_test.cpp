// Simulations of a stage pool around a pause, without a network: of the instance that schedules the pool, or
// of one endpoint.
#include <limpetlock/gateway/fleet_view.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

constexpr std::int64_t tick_ms = 25;
constexpr std::size_t endpoint_count = 5;

struct standstill {
    std::int64_t begin_ms{3'000};
    std::int64_t end_ms{6'000};
};

struct pool_options {
    std::optional<standstill> of_scheduler;
    std::optional<standstill> of_endpoint; ///< of the endpoint "e0"
    std::int64_t length_ms{25'000};
    std::int64_t count_from_ms{16'000};
};

/// Number of calls that each endpoint got from count_from_ms on.
using call_counts = std::map<std::string, int>;

stage_capacity make_capacity()
{
    stage_capacity out;
    out.max_batch_pieces = 12;
    out.call_ms = 240;
    out.piece_ms = 10;
    return out;
}

std::vector<endpoint> make_endpoints()
{
    std::vector<endpoint> out;
    for (std::size_t n = 0; n < endpoint_count; ++n) {
        endpoint it;
        it.id = "e" + std::to_string(n);
        it.pool = "p";
        it.address = {"10.0.0.1", 80};
        it.domain = "a";
        it.started_ms = 1;
        out.push_back(std::move(it));
    }
    return out;
}

/// Plays a pool with about two thirds of the load that it can take. A paused scheduler makes no calls and
/// gets the answers that came meanwhile when it wakes; a paused endpoint goes on with its call where it was.
call_counts play(const pool_options& options, std::uint32_t seed)
{
    stage_dispatcher dispatcher;
    dispatcher.configure(make_capacity(), make_endpoints());
    std::minstd_rand random(seed);
    call_counts out;
    std::multimap<std::int64_t, std::uint64_t> ends;
    std::int64_t submitted = 0;
    for (std::int64_t now = 0; now < options.length_ms; now += tick_ms) {
        if (random() % 2 == 0) {
            auto task = std::make_shared<stage_task>();
            task->request_id = std::to_string(++submitted);
            task->pieces = {0, 1, 2, 3, 4};
            task->objective_time = at(now + 4'000);
            task->deadline = at(now + 8'000);
            task->domain = "a";
            dispatcher.submit(task, at(now));
        }
        const auto& stop = options.of_scheduler;
        if (stop && now >= stop->begin_ms && now < stop->end_ms)
            continue;
        while (!ends.empty() && ends.begin()->first <= now) {
            dispatcher.finish_call(ends.begin()->second, call_outcome::answered, at(now));
            ends.erase(ends.begin());
        }
        dispatcher.tick(at(now));
        dispatcher.expire(at(now));
        while (const auto call = dispatcher.next_call(at(now))) {
            if (now >= options.count_from_ms)
                ++out[call->to.id];
            std::int64_t end = now + dispatcher.call_time(call->pieces.size()).count();
            const auto& frozen = options.of_endpoint;
            if (frozen && call->to.id == "e0" && now < frozen->end_ms && end > frozen->begin_ms)
                end += frozen->end_ms - std::max(now, frozen->begin_ms);
            ends.emplace(end, call->call_id);
        }
    }
    return out;
}

void check_all_used(const call_counts& calls, std::uint32_t seed)
{
    int total = 0;
    for (const auto& [id, n] : calls)
        total += n;
    for (const auto& it : make_endpoints()) {
        const auto found = calls.find(it.id);
        const int own = found == calls.end() ? 0 : found->second;
        cr_expect_geq(own * 2 * static_cast<int>(endpoint_count), total, "seed %u: %s got %d of %d calls",
                      seed, it.id.c_str(), own, total);
    }
}

} // namespace

// Guards against endpoints that get no calls any more after their scheduler stood still: the pause counts as
// time of the calls that were running, and an endpoint without calls can't show that it isn't slow.
Test(suspension, endpoints_are_used_again_after_their_scheduler_stood_still)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        pool_options options;
        options.of_scheduler = standstill{};
        check_all_used(play(options, seed), seed);
    }
}

// Guards against the same after a pause of an endpoint, which answers the call it had late.
Test(suspension, endpoint_that_stood_still_is_used_again)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        pool_options options;
        options.of_endpoint = standstill{};
        check_all_used(play(options, seed), seed);
    }
}

// Guards against back-offs for failures that this process caused itself: after its pause the time limits of
// all running calls have passed.
Test(suspension, calls_that_failed_across_a_suspension_are_no_evidence)
{
    stage_dispatcher it;
    it.configure(make_capacity(), make_endpoints());
    auto task = std::make_shared<stage_task>();
    task->request_id = "r";
    task->pieces = {0};
    task->objective_time = at(10'000);
    task->deadline = at(20'000);
    it.submit(task, at(0));
    it.tick(at(0));
    const auto call = it.next_call(at(0));
    cr_assert(call.has_value());
    it.finish_call(call->call_id, call_outcome::broken, at(3'000));
    cr_expect(it.avoided_endpoints(at(3'000)).empty());
}

// Guards against operators who can't see which endpoints get no calls, and why.
Test(suspension, avoided_endpoints_are_named_with_their_reason)
{
    stage_dispatcher it;
    it.configure(make_capacity(), make_endpoints());
    it.hold_back("e1", at(500));
    auto task = std::make_shared<stage_task>();
    task->request_id = "r";
    task->pieces = {0};
    task->objective_time = at(10'000);
    task->deadline = at(20'000);
    it.submit(task, at(0));
    const auto call = it.next_call(at(0));
    cr_assert(call.has_value());
    it.finish_call(call->call_id, call_outcome::answered, at(5'000));
    const auto before = it.avoided_endpoints(at(400));
    cr_assert_eq(before.size(), 2);
    const auto reason_of = [&before](const std::string& id) {
        const auto found = std::find_if(before.begin(), before.end(),
                                        [&id](const avoided_endpoint& e) { return e.id == id; });
        return found == before.end() ? avoidance::none : found->reason;
    };
    cr_expect_eq(reason_of("e1"), avoidance::held_back);
    cr_expect_eq(reason_of(call->to.id), avoidance::slow);
    cr_expect(it.avoided_endpoints(at(60'000)).empty(), "slowness that nothing confirms ends");
}

// Guards against an instance that takes itself as the only one after a suspension, and takes over the duties
// of all others until it has heard of them.
Test(suspension, peers_stay_live_for_as_long_as_before_the_suspension)
{
    member own;
    own.name = "own";
    fleet_view view(own);
    member other;
    other.name = "other";
    view.record_contact({other, duration{0}}, at(0));
    cr_expect_eq(view.live_instances(at(4'000), true).size(), 1, "silent while this process ran");
    view.record_contact({other, duration{0}}, at(4'000));
    view.record_suspension(duration{3'000}, at(7'200));
    cr_expect_eq(view.live_instances(at(7'200), true).size(), 2);
    cr_expect_eq(view.live_instances(at(7'900), true).size(), 2);
    cr_expect_eq(view.live_instances(at(8'400), true).size(), 1, "still silent after the suspension");
    cr_expect_eq(view.recent_reports(at(7'200), 1).front().age, duration(3'200),
                 "others are told the true age");
}
