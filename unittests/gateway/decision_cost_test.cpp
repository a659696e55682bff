// Costs of the decisions of an instance that schedules a stage pool, as its queue grows.
#include <limpetlock/gateway/cached_estimate.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

constexpr std::size_t pieces_per_task = 8;

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

std::shared_ptr<const stage_task> make_task(std::size_t n)
{
    auto out = std::make_shared<stage_task>();
    out->request_id = "request-" + std::to_string(n);
    for (std::uint32_t piece = 0; piece < pieces_per_task; ++piece)
        out->pieces.push_back(piece);
    out->objective_time = at(1'000 + static_cast<std::int64_t>(n) % 1'000);
    out->deadline = at(60'000);
    out->domain = "a";
    out->result_bytes = 1'000;
    out->team = "team-" + std::to_string(n % 40);
    return out;
}

stage_dispatcher make_pool(std::size_t tasks, bool team_turns)
{
    stage_dispatcher out;
    out.set_team_turns(team_turns);
    out.set_admission(false);
    stage_capacity capacity;
    capacity.max_batch_pieces = 24;
    capacity.call_ms = 240;
    capacity.piece_ms = 8.6;
    std::vector<endpoint> endpoints(6);
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
        endpoints[n].id = "e" + std::to_string(n);
        endpoints[n].domain = "a";
        endpoints[n].started_ms = 1;
    }
    out.configure(capacity, std::move(endpoints));
    for (std::size_t n = 0; n < tasks; ++n)
        out.submit(make_task(n), at(0));
    return out;
}

double processor_ms()
{
    timespec it{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e3 + static_cast<double>(it.tv_nsec) / 1e6;
}

/// Least processor time of several rounds, in milliseconds.
template <typename Work>
double cost_of(Work work)
{
    double out = 1e9;
    for (int n = 0; n < 9; ++n) {
        const double begin = processor_ms();
        work();
        out = std::min(out, processor_ms() - begin);
    }
    return out;
}

/// Cost of finding the places of 400 tasks in the queue of a pool that has this many.
double cost_of_places(std::size_t tasks, bool team_turns)
{
    const auto pool = make_pool(tasks, team_turns);
    const auto profile = pool.profile(at(10));
    const auto item = make_order_item(*make_task(7), pieces_per_task, pool.options(), at(10));
    cr_assert(profile.time_before(item) > duration{0});
    return cost_of([&] {
        for (int n = 0; n < 400; ++n)
            cr_assert(profile.time_before(item) > duration{0});
    });
}

} // namespace

// The responsible instance asks for the place of each waiting task. If each answer costs a pass over the
// whole queue, the instance stops replying when most waits, and other instances start its tasks a second
// time.
Test(decision_cost, place_in_a_long_queue_costs_no_pass_over_it)
{
    for (const bool team_turns : {false, true}) {
        const double of_short = cost_of_places(100, team_turns);
        const double of_long = cost_of_places(3'200, team_turns);
        // 32 times the queue; a search in a sorted one takes less than twice as many steps.
        cr_expect(of_long < 4 * of_short, "team turns %d: %.3f ms for 100 tasks, %.3f ms for 3,200",
                  team_turns, of_short, of_long);
    }
}

// The backlog in each reply must not examine a task once for each of its pieces.
Test(decision_cost, backlog_examines_each_task_once)
{
    const auto pool = make_pool(400, false);
    std::size_t examined = 0;
    const task_filter deferred = [&examined](const stage_task&) {
        ++examined;
        return false;
    };
    cr_assert(pool.backlog_ahead(at(10), deferred) > duration{0});
    cr_expect_leq(examined, 400, "%zu", examined);
}

// A backlog that is measured for each reply takes all processor time when many tasks wait, since each of them
// is polled. The pieces examined in a second must not grow with the queue or the replies.
Test(decision_cost, replies_share_one_estimate_of_the_backlog)
{
    for (const std::size_t waiting : {400U, 3'200U, 25'600U}) {
        cached_estimate it;
        std::size_t examined = 0;
        for (std::int64_t ms = 0; ms < 1'000; ++ms)
            if (!it.get(at(ms))) {
                it.set(duration{700}, waiting, at(ms));
                examined += waiting;
            }
        cr_expect_leq(examined, 26'000, "%zu waiting: %zu", waiting, examined);
        cr_expect(it.get(at(1'000)).value_or(duration{700}) == duration{700});
    }
}

// An estimate that is kept too long refuses or defers requests for a queue that is gone.
Test(decision_cost, estimate_of_a_short_queue_is_renewed_often)
{
    cached_estimate it;
    cr_assert_not(it.get(at(0)));
    it.set(duration{700}, 100, at(0));
    cr_expect(it.get(at(49)));
    cr_expect_not(it.get(at(50)));
}

// While all tasks wait for a later stage, each order and tick looks for a call. The search must not be
// repeated for each free endpoint.
Test(decision_cost, deferred_tasks_are_examined_once_for_all_endpoints)
{
    auto pool = make_pool(400, false);
    std::size_t examined = 0;
    const task_filter deferred = [&examined](const stage_task&) {
        ++examined;
        return true;
    };
    cr_assert_not(pool.next_call(at(10), deferred));
    // Once for the threshold for filling and once for the batch.
    cr_expect_leq(examined, 800, "%zu", examined);
}
