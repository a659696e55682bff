#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

endpoint endpoint_named(const std::string& id, const std::string& domain = "a", const std::string& pool = "p")
{
    endpoint out;
    out.id = id;
    out.pool = pool;
    out.address = {"10.0.0.1", 80};
    out.domain = domain;
    out.slots = 4;
    out.started_ms = 1;
    return out;
}

stage_capacity make_capacity(std::uint32_t batch = 12)
{
    stage_capacity out;
    out.max_batch_pieces = batch;
    out.call_ms = 240;
    out.piece_ms = 10;
    return out;
}

struct task_spec {
    std::string id;
    std::size_t pieces{1};
    std::int64_t wanted_ms{1'000};
    std::int64_t deadline_ms{10'000};
    std::string domain{"a"};
    std::uint64_t bytes{1'000};
    int priority{0};
    double tokens_per_piece{0};
};

std::shared_ptr<const stage_task> make_task(const task_spec& it)
{
    auto out = std::make_shared<stage_task>();
    out->request_id = it.id;
    for (std::uint32_t n = 0; n < it.pieces; ++n)
        out->pieces.push_back(n);
    out->objective_time = at(it.wanted_ms);
    out->deadline = at(it.deadline_ms);
    out->domain = it.domain;
    out->priority = it.priority;
    out->tokens_per_piece = it.tokens_per_piece;
    out->result_bytes = it.bytes;
    out->transfer_bytes = it.bytes * it.pieces;
    return out;
}

std::set<std::string> requests_in(const std::vector<queued_piece>& pieces)
{
    std::set<std::string> out;
    for (const auto& it : pieces)
        out.insert(it.task->request_id);
    return out;
}

} // namespace

// Guards against a call for each request: with many requests a second of a few pieces each, the high fixed
// cost of a call has to be shared.
Test(stage_dispatcher, one_call_takes_pieces_of_many_requests)
{
    stage_dispatcher it;
    it.configure(make_capacity(12), {endpoint_named("one")});
    for (int n = 0; n < 6; ++n)
        it.submit(make_task({"r" + std::to_string(n), 2}), at(0));
    const auto call = it.next_call(at(0));
    cr_assert(call.has_value());
    cr_expect_eq(call->pieces.size(), 12);
    cr_expect_eq(requests_in(call->pieces).size(), 6);
    cr_expect_not(it.next_call(at(0)).has_value(), "an endpoint works on one call at a time");
}

Test(stage_dispatcher, a_task_is_not_split_if_it_fits_into_one_call)
{
    stage_dispatcher it;
    it.configure(make_capacity(6), {endpoint_named("one")});
    it.submit(make_task({"first", 4, 500}), at(0));
    it.submit(make_task({"second", 4, 600}), at(0));
    it.submit(make_task({"third", 2, 700}), at(0));
    const auto call = it.next_call(at(0));
    cr_assert(call.has_value());
    cr_expect_eq(requests_in(call->pieces), (std::set<std::string>{"first", "third"}));
}

// Guards against a burst that makes part of the queue late. Late results are of little use, and if late tasks
// went first, the others would miss their objective as well.
Test(stage_dispatcher, tasks_that_can_meet_their_objective_go_before_late_ones)
{
    stage_dispatcher it;
    it.configure(make_capacity(2), {endpoint_named("one")});
    it.submit(make_task({"late", 2, 100}), at(0));
    it.submit(make_task({"in-time", 2, 2'000}), at(0));
    const auto call = it.next_call(at(0));
    cr_assert(call.has_value());
    cr_expect_eq(requests_in(call->pieces), (std::set<std::string>{"in-time"}));
}

// Guards against less urgent requests that displace urgent ones, and against urgent ones that always go
// first.
Test(stage_dispatcher, a_higher_priority_has_a_bounded_advantage)
{
    stage_dispatcher it;
    it.configure(make_capacity(1), {endpoint_named("one")});
    it.submit(make_task({"background", 1, 2'000, 10'000, "a", 1'000, 2}), at(0));
    it.submit(make_task({"urgent", 1, 2'500, 10'000, "a", 1'000, 0}), at(1));
    auto call = it.next_call(at(1));
    cr_assert(call.has_value());
    cr_expect_eq(requests_in(call->pieces), (std::set<std::string>{"urgent"}));
    it.finish_call(call->call_id, call_outcome::answered, at(250));
    it.submit(make_task({"later", 1, 6'000, 10'000, "a", 1'000, 0}), at(251));
    call = it.next_call(at(251));
    cr_assert(call.has_value());
    cr_expect_eq(requests_in(call->pieces), (std::set<std::string>{"background"}));
}

// Guards against a burst in which small requests with many pieces delay large ones: in order of arrival both
// would be late.
Test(stage_dispatcher, more_tokens_per_piece_have_a_bounded_advantage)
{
    stage_dispatcher it;
    it.configure(make_capacity(4), {endpoint_named("one")});
    it.submit(make_task({"small", 4, 3'000, 10'000, "a", 1'000, 0, 256}), at(0));
    it.submit(make_task({"large", 4, 6'900, 10'000, "a", 1'000, 0, 1'024}), at(0));
    const auto first = it.next_call(at(0));
    cr_assert(first.has_value());
    cr_expect(requests_in(first->pieces).contains("large"));
    it.finish_call(first->call_id, call_outcome::answered, at(300));
    it.submit(make_task({"later", 4, 8'000, 12'000, "a", 1'000, 0, 1'024}), at(300));
    const auto second = it.next_call(at(300));
    cr_assert(second.has_value());
    cr_expect(requests_in(second->pieces).contains("small"),
              "its objective time is earlier by more than the offset");
}

Test(stage_dispatcher, late_tasks_do_not_wait_for_ever)
{
    stage_dispatcher it;
    it.configure(make_capacity(1), {endpoint_named("one")});
    it.submit(make_task({"late", 1, 100, 100'000}), at(0));
    bool served = false;
    for (int n = 0; n < 8 && !served; ++n) {
        const std::int64_t now = n * 300;
        it.submit(make_task({"n" + std::to_string(n), 1, now + 5'000}), at(now + 1));
        const auto call = it.next_call(at(now + 1));
        cr_assert(call.has_value());
        served = requests_in(call->pieces).contains("late");
        it.finish_call(call->call_id, call_outcome::answered, at(now + 260));
    }
    cr_expect(served);
}

Test(stage_dispatcher, pieces_that_cannot_meet_their_deadline_expire_at_once)
{
    stage_dispatcher it;
    it.configure(make_capacity(), {endpoint_named("one")});
    it.submit(make_task({"hopeless", 3, 50, 200}), at(0));
    cr_expect_not(it.next_call(at(0)).has_value());
    cr_expect_eq(it.expire(at(0)).size(), 3);
    cr_expect_eq(it.waiting(), 0);
}

// Guards against calls whose results don't fit into the memory of the endpoint, where results stay until they
// are fetched.
Test(stage_dispatcher, memory_for_results_limits_the_calls)
{
    stage_dispatcher it;
    auto with_storage = make_capacity(12);
    with_storage.result_storage_mb = 4;
    it.configure(with_storage, {endpoint_named("one")});
    it.submit(make_task({"first", 3, 1'000, 10'000, "a", 1'000'000}), at(0));
    it.submit(make_task({"second", 3, 1'100, 10'000, "a", 1'000'000}), at(0));
    const auto call = it.next_call(at(0));
    cr_assert(call.has_value());
    cr_expect_eq(requests_in(call->pieces), (std::set<std::string>{"first"}));
    it.finish_call(call->call_id, call_outcome::answered, at(270));
    cr_expect_not(it.next_call(at(270)).has_value(), "the results of the first task are still stored");
    it.release_result_bytes("one", 3'000'000);
    cr_expect(it.next_call(at(271)).has_value());
}

// Guards against expensive transfers between failure domains when an endpoint of the task's own domain is
// free soon.
Test(stage_dispatcher, large_results_wait_a_bounded_time_for_a_local_endpoint)
{
    stage_dispatcher it;
    it.configure(make_capacity(), {endpoint_named("one", "a"), endpoint_named("two", "b")});
    it.submit(make_task({"busy", 1, 3'000, 10'000, "b", 1'000}), at(0));
    auto first = it.next_call(at(0));
    cr_assert(first.has_value());
    const std::string other = first->to.domain == "a" ? "b" : "a";
    it.submit(make_task({"large", 4, 3'000, 10'000, first->to.domain, 800'000}), at(1));
    cr_expect_not(it.next_call(at(1)).has_value(), "the endpoint of its domain is busy");
    const auto later = it.next_call(at(700));
    cr_assert(later.has_value(), "the wait for a local endpoint is bounded");
    cr_expect_eq(later->to.domain, other);
}

// Guards against calls to an endpoint that has become several times slower while a fast one is free soon.
Test(stage_dispatcher, a_slow_endpoint_is_used_only_if_it_finishes_sooner)
{
    stage_dispatcher it;
    it.configure(make_capacity(1), {endpoint_named("fast"), endpoint_named("slow")});
    std::int64_t now = 0;
    for (int n = 0; n < 6; ++n) {
        for (int k = 0; k < 2; ++k)
            it.submit(make_task({"w" + std::to_string(n * 2 + k), 1, now + 9'000, now + 20'000}), at(now));
        std::vector<stage_dispatch> calls;
        while (auto call = it.next_call(at(now)))
            calls.push_back(std::move(*call));
        for (const auto& call : calls)
            it.finish_call(call.call_id, call_outcome::answered,
                           at(now + (call.to.id == "slow" ? 1'500 : 250)));
        now += 1'600;
    }
    it.submit(make_task({"x", 1, now + 9'000, now + 20'000}), at(now));
    const auto call = it.next_call(at(now));
    cr_assert(call.has_value());
    cr_expect_eq(call->to.id, "fast");
    it.submit(make_task({"y", 1, now + 9'000, now + 20'000}), at(now));
    cr_expect_not(it.next_call(at(now)).has_value(),
                  "the fast one ends both calls before the slow one would end this");
}

Test(stage_dispatcher, failed_endpoints_are_avoided_and_tried_again)
{
    stage_dispatcher it;
    it.configure(make_capacity(), {endpoint_named("one")});
    it.submit(make_task({"r", 1}), at(0));
    auto call = it.next_call(at(0));
    cr_assert(call.has_value());
    it.finish_call(call->call_id, call_outcome::unreachable, at(5));
    cr_expect(it.retry(std::move(call->pieces.front()), at(5)));
    cr_expect_not(it.next_call(at(6)).has_value());
    cr_expect(it.next_call(at(600)).has_value());
}

Test(stage_dispatcher, a_piece_is_tried_a_bounded_number_of_times)
{
    stage_dispatcher it;
    it.configure(make_capacity(), {endpoint_named("one")});
    queued_piece piece{make_task({"r", 1, 1'000, 100'000}), 0, 0, at(0)};
    std::uint32_t tries = 1;
    while (it.retry(piece, at(0))) {
        ++piece.failed_attempts;
        ++tries;
    }
    cr_expect_eq(tries, stage_dispatcher::max_attempts);
}

Test(stage_dispatcher, a_hung_call_times_out)
{
    stage_dispatcher it;
    it.configure(make_capacity(), {endpoint_named("one")});
    it.submit(make_task({"r", 2}), at(0));
    const auto call = it.next_call(at(0));
    cr_assert(call.has_value());
    cr_expect_gt(call->timeout_at, at(0) + 2 * it.call_time(2));
    cr_expect_lt(call->timeout_at, at(2'000));
}

// Guards against a task that counts pieces of later objective time as backlog: it would be deferred at its
// first stage because of pieces that it goes before.
Test(stage_dispatcher, backlog_before_a_task_excludes_pieces_of_greater_order_key)
{
    stage_dispatcher it;
    it.configure(make_capacity(), {endpoint_named("one")});
    for (int n = 0; n < 10; ++n)
        it.submit(make_task({"patient-" + std::to_string(n), 12, 5'000}), at(0));
    const auto profile = it.profile(at(0));
    const auto before = [&](std::int64_t wanted_ms) {
        return profile.time_before(order_key(*make_task({"new", 1, wanted_ms}), it.options(), at(0)));
    };
    cr_expect_eq(before(2'000), duration(0));
    cr_expect_geq(before(6'000), duration(3'000));
    cr_expect_geq(before(100), duration(3'000), "late already");
}

// Guards against calls that carry less than a batch while pieces wait, without a statement of the cause.
Test(stage_dispatcher, a_call_states_why_places_stayed_empty)
{
    stage_dispatcher it;
    auto capacity = make_capacity(12);
    capacity.result_storage_mb = 9;
    it.configure(capacity, {endpoint_named("one", "a"), endpoint_named("busy", "b")});
    it.hold_back("busy", at(5'000));
    it.submit(make_task({"first", 5, 1'000, 10'000, "a", 1'000'000}), at(0));
    it.submit(make_task({"wide", 8, 1'100}), at(0));
    it.submit(make_task({"heavy", 5, 1'200, 10'000, "a", 1'000'000}), at(0));
    it.submit(make_task({"deferred", 3, 1'300}), at(0));
    it.submit(make_task({"hopeless", 2, 1'400, 200}), at(0));
    const auto call =
        it.next_call(at(0), [](const stage_task& task) { return task.request_id == "deferred"; });
    cr_assert(call.has_value());
    cr_expect_eq(call->pieces.size(), 5);
    cr_expect_eq(call->vacancy.places, 7);
    cr_expect_eq(call->vacancy.passed_over(pass_over_reason::size), 8);
    cr_expect_eq(call->vacancy.passed_over(pass_over_reason::storage), 5);
    cr_expect_eq(call->vacancy.passed_over(pass_over_reason::deferred), 3);
    cr_expect_eq(call->vacancy.passed_over(pass_over_reason::deadline), 2);
    batch_vacancy few;
    few.places = 12;
    few.pieces = {0, 4, 3, 0, 0};
    cr_expect(few.places_by_reason() ==
                  (std::array<std::size_t, pass_over_reason_count + 1>{0, 4, 3, 0, 0, 5}),
              "each empty place counts once");
}

// Guards against calls with empty places while the pool is short of capacity: tasks of 8 pieces would leave 4
// of 12 places empty in each call.
Test(stage_dispatcher, calls_are_full_when_more_than_two_full_batches_wait)
{
    stage_dispatcher it;
    it.configure(make_capacity(12), {endpoint_named("one")});
    for (int n = 0; n < 5; ++n)
        it.submit(make_task({"t" + std::to_string(n), 8, 5'000 + n}), at(0));
    std::int64_t now = 0;
    std::vector<std::size_t> sizes;
    std::map<std::string, std::set<std::size_t>> calls_of;
    while (it.waiting() > 0) {
        const auto call = it.next_call(at(now));
        cr_assert(call.has_value());
        for (const auto& piece : call->pieces)
            calls_of[piece.task->request_id].insert(sizes.size());
        sizes.push_back(call->pieces.size());
        it.finish_call(call->call_id, call_outcome::answered, at(now += 360));
    }
    cr_expect_eq(sizes, (std::vector<std::size_t>{12, 12, 8, 8}), "the last two batches aren't split");
    cr_expect_eq(calls_of["t1"], (std::set<std::size_t>{0, 1}), "the rest goes in the next call");
    for (const auto& [id, calls] : calls_of)
        cr_expect_leq(*calls.rbegin() - *calls.begin(), 1, "%s", id.c_str());
}

// Guards against a queue of deferred tasks that counts as lack of capacity, and against a started task that
// is deferred while its results occupy storage.
Test(stage_dispatcher, deferred_tasks_do_not_cause_splits)
{
    stage_dispatcher it;
    it.configure(make_capacity(12), {endpoint_named("one")});
    for (int n = 0; n < 5; ++n)
        it.submit(make_task({"t" + std::to_string(n), 8, 5'000 + n}), at(0));
    const auto deferred = [](const stage_task& task) { return task.request_id > "t1"; };
    auto call = it.next_call(at(0), deferred);
    cr_assert(call.has_value());
    cr_expect_eq(call->pieces.size(), 8);
    cr_expect_eq(call->vacancy.passed_over(pass_over_reason::deferred), 24);
    it.finish_call(call->call_id, call_outcome::answered, at(360));
    it.submit(make_task({"a", 8, 4'000}), at(360));
    call = it.next_call(at(360));
    cr_assert(call.has_value());
    cr_expect_eq(call->pieces.size(), 12, "more than two full batches wait");
    it.finish_call(call->call_id, call_outcome::answered, at(720));
    call = it.next_call(at(720), [](const stage_task&) { return true; });
    cr_assert(call.has_value(), "the rest of the split task isn't deferred");
    cr_expect_eq(call->pieces.size(), 4);
}

Test(endpoint_selector, the_same_part_of_a_prompt_stays_at_its_engine)
{
    endpoint_selector it;
    std::vector<endpoint> all;
    for (int n = 0; n < 8; ++n)
        all.push_back(endpoint_named("e" + std::to_string(n)));
    it.set_endpoints(all, at(0));
    std::map<std::uint64_t, std::string> placed;
    for (std::uint64_t part = 1; part <= 200; ++part)
        placed[part] = it.select({"p", part, "a", {}}, at(0))->id;
    auto fewer = all;
    fewer.erase(fewer.begin() + 2);
    it.set_endpoints(fewer, at(10));
    std::set<std::string> used;
    for (const auto& [part, id] : placed) {
        used.insert(id);
        if (id != "e2")
            cr_expect_eq(it.select({"p", part, "a", {}}, at(10))->id, id);
    }
    cr_expect_eq(used.size(), 8);
}

Test(endpoint_selector, a_full_engine_is_not_selected)
{
    endpoint_selector it;
    it.set_endpoints({endpoint_named("one"), endpoint_named("two")}, at(0));
    const auto home = it.select({"p", 77, "a", {}}, at(0))->id;
    it.record_load(home, {4, 2, 4}, at(10));
    cr_expect_neq(it.select({"p", 77, "a", {}}, at(20))->id, home);
    cr_expect_eq(it.select({"p", 77, "a", {}}, at(10'000))->id, home, "the report has expired");
}

// Guards against new requests to an endpoint that can't be reached.
Test(endpoint_selector, unreachable_endpoints_are_selected_last)
{
    endpoint_selector it;
    it.set_endpoints({endpoint_named("one"), endpoint_named("two")}, at(0));
    const auto first = it.select({"p", 0, "a", {}}, at(0))->id;
    it.begin_attempt(first, at(0));
    it.end_attempt(first, attempt_outcome::unreachable, at(1));
    for (int n = 0; n < 20; ++n)
        cr_expect_neq(it.select({"p", 0, "a", {}}, at(2 + n))->id, first);
    const std::string other = first == "one" ? "two" : "one";
    cr_expect_eq(it.select({"p", 0, "a", {other}}, at(30))->id, first, "better than none");
}

Test(endpoint_selector, leaving_endpoints_get_no_new_work)
{
    endpoint_selector it;
    auto leaving = endpoint_named("one");
    leaving.leaving = true;
    it.set_endpoints({leaving, endpoint_named("two")}, at(0));
    for (int n = 0; n < 20; ++n)
        cr_expect_eq(it.select({"p", static_cast<std::uint64_t>(n), "a", {}}, at(n))->id, "two");
    cr_expect_not(it.accepts_work("one"));
    cr_expect_not(it.select({"p", 0, "a", {"two"}}, at(0)).has_value());
}
