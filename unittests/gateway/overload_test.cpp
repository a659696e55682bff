#include <limpetlock/gateway/overload_detector.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>
#include <limpetlock/gateway/stage_shards.hpp>

#include <criterion/criterion.h>

#include <memory>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

constexpr duration interval{100};

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

/// Ticks from one time to another with this distance.
void tick(overload_detector& it, std::int64_t from, std::int64_t to, std::int64_t distance)
{
    for (std::int64_t ms = from; ms <= to; ms += distance)
        it.record_tick(at(ms));
}

member instance_named(const std::string& name, bool overloaded = false)
{
    member out;
    out.name = name;
    out.overloaded = overloaded;
    return out;
}

} // namespace

// Guards against an instance that keeps a duty for which it is too slow, against one that gives it up after a
// suspension or a single late tick, and against one that takes it back and gives it up every few seconds.
Test(overload, late_ticks_for_over_a_second_give_up_duties)
{
    overload_detector it(at(0), interval);
    tick(it, 100, 2'000, 100);
    it.record_tick(at(7'000));
    cr_expect_not(it.overloaded(at(7'000)), "a suspension");
    tick(it, 7'100, 8'000, 100);
    tick(it, 8'400, 8'800, 400);
    tick(it, 8'900, 9'000, 100);
    cr_expect_not(it.overloaded(at(9'000)), "two late ticks");
    tick(it, 9'400, 10'600, 400);
    cr_expect(it.overloaded(at(10'600)));
    cr_expect_eq(it.cause(), overload_cause::late_loop);
    cr_expect_eq(it.hold(), overload_detector::first_hold);
    tick(it, 10'700, 15'600, 100);
    cr_expect_not(it.overloaded(at(15'600)));
    tick(it, 16'000, 17'600, 400);
    cr_expect(it.overloaded(at(17'600)));
    cr_expect_eq(it.hold(), overload_detector::first_hold * 2);
    tick(it, 17'700, 100'000, 100);
    tick(it, 100'400, 102'000, 400);
    cr_expect_eq(it.hold(), overload_detector::first_hold, "the load of long ago counts");
}

// Guards against an instance that keeps a duty although its replies wait for its link, and against one that
// takes a large push over a fast link for a saturated one.
Test(overload, bytes_that_wait_longer_than_the_bound_give_up_duties)
{
    overload_detector fast(at(0), interval);
    overload_detector slow(at(0), interval);
    for (std::int64_t n = 1; n <= 8; ++n) {
        const auto k = static_cast<std::uint64_t>(n);
        fast.record_link(k * 1'000'000, 200'000, at(n * 300));
        // The link carries 350 kB in 300 ms. From 900 ms on, the waiting bytes take longer than 200 ms.
        slow.record_link(k * 450'000, k * 100'000, at(n * 300));
        cr_expect_eq(slow.overloaded(at(n * 300)), n >= 6);
    }
    cr_expect_not(fast.overloaded(at(2'400)));
    cr_expect_eq(slow.cause(), overload_cause::saturated_link);
}

// Guards against a slow instance that keeps its shard, and against no responsible instance when all are slow.
Test(overload, overloaded_instances_are_responsible_last)
{
    const std::vector<stage_group> groups{{"a", 0, 2}, {"a", 1, 2}};
    std::vector<member> fleet{instance_named("one"), instance_named("two"), instance_named("three")};
    stage_duties before(groups, fleet);
    const std::string holder = before.order(groups[0]).front();
    for (auto& it : fleet)
        it.overloaded = it.name == holder;
    stage_duties after(groups, fleet);
    for (const auto& it : groups) {
        cr_expect_neq(after.order(it).front(), holder);
        cr_expect_eq(after.order(it).back(), holder);
        cr_expect_eq(after.order(it).size(), 3);
    }
    cr_expect_eq(by_responsibility("watch", fleet).back().name, holder);
    for (auto& it : fleet)
        it.overloaded = true;
    stage_duties all(groups, fleet);
    cr_expect(all.order(groups[0]) == before.order(groups[0]));
    // The shard leaves the only usable instance when the other one resumes.
    stage_duties pair(groups, {instance_named("one"), instance_named("two", true)});
    cr_expect_eq(pair.order(groups[0]).front(), "one");
    cr_expect_eq(pair.order(groups[1]).front(), "one");
}

// Guards against pieces that run twice: a slow instance gets the cancellation of a task that was moved to
// another one before it dispatches it.
Test(overload, moved_task_is_not_dispatched_by_the_slow_instance)
{
    stage_capacity capacity;
    capacity.max_batch_pieces = 8;
    capacity.call_ms = 100;
    endpoint listed;
    listed.id = "e";
    const auto task = std::make_shared<stage_task>();
    task->request_id = "r";
    task->pieces = {0, 1};
    task->deadline = at(9'000);
    task->objective_time = at(5'000);
    stage_dispatcher slow;
    stage_dispatcher next;
    for (auto* it : {&slow, &next}) {
        it->configure(capacity, {listed});
        it->submit(task, at(0));
    }
    slow.cancel("r", 0, 0);
    cr_expect_not(slow.next_call(at(900)).has_value());
    cr_expect(slow.idle());
    cr_expect_eq(next.next_call(at(900))->pieces.size(), 2);
}
