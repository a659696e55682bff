#include <limpetlock/gateway/chain_admission.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

stage_dispatcher make_pool(std::size_t endpoints, std::uint32_t batch = 10)
{
    stage_capacity capacity;
    capacity.max_batch_pieces = batch;
    capacity.call_ms = 200;
    capacity.piece_ms = 10;
    std::vector<endpoint> list;
    for (std::size_t n = 0; n < endpoints; ++n) {
        endpoint it;
        it.id = "e" + std::to_string(n);
        it.pool = "p";
        list.push_back(it);
    }
    stage_dispatcher out;
    out.configure(capacity, list);
    return out;
}

std::shared_ptr<const stage_task> make_task(const std::string& id, std::size_t pieces,
                                            std::int64_t objective_ms, int priority = 0)
{
    auto out = std::make_shared<stage_task>();
    out->request_id = id;
    for (std::uint32_t n = 0; n < pieces; ++n)
        out->pieces.push_back(n);
    out->objective_time = at(objective_ms);
    out->deadline = at(60'000);
    out->priority = priority;
    return out;
}

/// Two stages, the second one after the first.
const std::vector<chain_stage> two_stages{{"first", 0, 4, duration(300), {}},
                                          {"last", 1, 4, duration(0), {0}}};

stage_load load_of(const stage_dispatcher& pool, const stage_task& task)
{
    const auto profile = pool.profile(at(0));
    const auto item = make_order_item(task, task.pieces.size(), pool.options(), at(0));
    return {profile.least_time_before(item), profile.call_time(task.pieces.size())};
}

} // namespace

// Guards against work that is started although its last stage comes too late: only the queue of the last
// stage is long, and the first one is idle.
Test(chain_admission, chain_with_a_short_last_stage)
{
    const auto first = make_pool(2);
    auto last = make_pool(1);
    for (int n = 0; n < 10; ++n)
        last.submit(make_task("earlier-" + std::to_string(n), 10, 1'000 + n), at(0));
    const auto task = make_task("new", 4, 2'000);
    const auto estimate = estimate_chain(two_stages, {load_of(first, *task), load_of(last, *task)});
    cr_expect_eq(estimate.bottleneck, 1);
    cr_expect_eq(estimate.end, duration(3'000 + 240));
    cr_expect(decide_admission(estimate, duration(3'150)).admitted, "within the margin");
    const auto refused = decide_admission(estimate, duration(2'000));
    cr_expect_not(refused.admitted);
    cr_expect_eq(refused.retry_after, duration(1'240), "when the queue has become short enough");
}

// Guards against refusals for pieces that the request goes before: in a burst of less urgent requests, an
// urgent one has room.
Test(chain_admission, burst_of_the_least_urgent)
{
    auto pool = make_pool(1);
    for (int n = 0; n < 20; ++n)
        pool.submit(make_task("background-" + std::to_string(n), 10, 9'000, 5), at(0));
    const std::vector<chain_stage> chain{{"p", 0, 4, duration(0), {}}};
    const auto urgent = estimate_chain(chain, {load_of(pool, *make_task("urgent", 4, 2'000))});
    const auto same = estimate_chain(chain, {load_of(pool, *make_task("same", 4, 9'500, 5))});
    cr_expect(decide_admission(urgent, duration(2'000)).admitted);
    cr_expect_not(decide_admission(same, duration(2'000)).admitted);
}

// Guards against an estimate that ignores admitted requests whose first stage isn't done, so that more are
// admitted than the last stage can serve.
Test(chain_admission, admitted_chains_count_in_their_later_pools)
{
    const auto last = make_pool(1);
    auto profile = last.profile(at(0));
    int admitted = 0;
    for (int n = 0; n < 50; ++n) {
        const auto task = make_task("r", 10, 5'000 + n);
        const auto item = make_order_item(*task, 10, last.options(), at(0));
        const auto estimate = estimate_chain(
            two_stages, {{duration(0), duration(240)}, {profile.least_time_before(item), duration(300)}});
        if (!decide_admission(estimate, duration(3'000)).admitted)
            continue;
        profile.add(item);
        ++admitted;
    }
    cr_expect_eq(admitted, 10, "a call takes 300 ms, and the margin is shorter than a call");
}

// Guards against a pool that counts as lost while its endpoints are avoided for a moment, and against an
// assumed backlog of a pool without an available endpoint.
Test(chain_admission, a_short_avoidance_is_no_loss_of_capacity)
{
    auto pool = make_pool(2);
    for (int n = 0; n < 4; ++n)
        pool.submit(make_task("r" + std::to_string(n), 10, 1'000), at(0));
    const auto key = make_order_item(*make_task("new", 1, 2'000), 1, pool.options(), at(0));
    const duration before = pool.profile(at(0)).least_time_before(key);
    cr_expect_eq(before, duration(600));
    pool.hold_back("e0", at(100));
    cr_expect_eq(pool.profile(at(0)).least_time_before(key), before + duration(50));
    pool.hold_back("e0", at(900));
    pool.hold_back("e1", at(900));
    cr_expect_eq(pool.profile(at(0)).least_time_before(key), duration(900));
}

// Guards against figures from replies that fall slower than the queue, and against counting more than what
// goes before the request.
Test(chain_admission, reported_backlog_falls_with_its_age)
{
    auto pool = make_pool(1);
    for (int n = 0; n < 8; ++n)
        pool.submit(make_task("r" + std::to_string(n), 10, 1'000 + 1'000 * n), at(0));
    const auto outline = pool.profile(at(0)).outline();
    const auto key = [&](std::int64_t objective_ms) {
        return order_key(*make_task("new", 1, objective_ms), pool.options(), at(0));
    };
    cr_expect_eq(time_before(outline, key(500), duration(0)), duration(0));
    cr_expect_eq(time_before(outline, key(4'500), duration(0)), duration(1'200));
    cr_expect_eq(time_before(outline, key(20'000), duration(0)), duration(2'400));
    cr_expect_eq(time_before(outline, key(20'000), duration(1'000)), duration(1'400));
    cr_expect_eq(time_before(outline, key(20'000), duration(5'000)), duration(0));
}

// Guards against indexes beyond the chain in a message.
Test(chain_admission, a_chain_refers_to_earlier_stages_only)
{
    cr_expect(is_valid(two_stages));
    cr_expect_not(is_valid({{"p", 0, 1, duration(0), {0}}}));
    cr_expect_not(is_valid({{"p", 0, 1, duration(0), {}}, {"q", 1, 1, duration(0), {7}}}));
    cr_expect_not(is_valid({{"p", 0, UINT32_MAX, duration(0), {}}}));
}

// Guards against refusals because deferred tasks make the calls of a pool small: they would count as all that
// fits into a call, and the estimated backlog would be a multiple of the true one.
Test(chain_admission, small_calls_beside_deferred_tasks_are_not_typical)
{
    auto pool = make_pool(1);
    for (int n = 0; n < 10; ++n)
        pool.submit(make_task("deferred-" + std::to_string(n), 10, 5'000), at(0));
    const duration typical = pool.profile(at(0)).typical_call_time();
    std::int64_t now = 0;
    for (int n = 0; n < 30; ++n) {
        pool.submit(make_task("small-" + std::to_string(n), 1, now + 5'000), at(now));
        const auto call = pool.next_call(
            at(now), [](const stage_task& it) { return it.request_id.starts_with("deferred"); });
        cr_assert(call.has_value());
        cr_expect_eq(call->pieces.size(), 1);
        pool.finish_call(call->call_id, call_outcome::answered, at(now += 210));
    }
    cr_expect_eq(pool.profile(at(now)).typical_call_time(), typical);
}
