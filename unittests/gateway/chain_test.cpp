#include <limpetlock/gateway/chain_admission.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>
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

constexpr duration no_slack_limit{1'000'000};

stage_load load_of(const stage_dispatcher& pool, const stage_task& task)
{
    const auto profile = pool.profile(at(0));
    const auto item = make_order_item(task, task.pieces.size(), pool.options(), at(0));
    return {profile.least_time_before(item, no_slack_limit), profile.call_time(task.pieces.size())};
}

/// Requests of two stages, the last of which is short: it serves 33 pieces a second, the first one 66.
class two_stage_run {
public:
    explicit two_stage_run(bool admits) : admits_(admits) {}

    std::size_t served{0};
    std::size_t in_time{0}; ///< served within the objective
    std::size_t asked{0};
    std::size_t wasted_pieces{0}; ///< of first stages whose request came late
    std::size_t late{0};          ///< admitted and not served

    void run()
    {
        for (std::int64_t now = 0; now < 30'000; now += 10) {
            if (now % 80 == 0)
                offer(now);
            for (auto* const pool : {&first_, &last_})
                step(*pool, now);
        }
    }

private:
    struct open_request {
        std::size_t left{4};
        time_point deadline{};
    };

    std::shared_ptr<const stage_task> task_of(const std::string& id, std::uint32_t stage, time_point deadline)
    {
        auto out = std::make_shared<stage_task>();
        out->request_id = id;
        out->stage = stage;
        out->pieces = {0, 1, 2, 3};
        out->deadline = deadline - (stage == 0 ? duration(240) : duration(0));
        out->objective_time = out->deadline - duration(1'500);
        return out;
    }

    void offer(std::int64_t now)
    {
        ++asked;
        const std::string id = std::to_string(asked);
        const time_point deadline = at(now + 3'000);
        const auto task = task_of(id, 0, deadline);
        if (admits_ && !has_room(id, deadline, now))
            return;
        open_[id] = {4, deadline};
        first_.submit(task, at(now));
    }

    bool has_room(const std::string& id, time_point deadline, std::int64_t now)
    {
        const auto item = [&](const stage_dispatcher& pool, const std::string& of, std::uint32_t stage,
                              time_point end) {
            return make_order_item(*task_of(of, stage, end), 4, pool.options(), at(now));
        };
        auto last = last_.profile(at(now));
        for (const auto& [open_id, it] : open_)
            if (in_first_.contains(open_id))
                last.add(item(last_, open_id, 1, it.deadline));
        const auto first = first_.profile(at(now));
        const auto estimate = estimate_chain(
            two_stages,
            {{first.least_time_before(item(first_, id, 0, deadline), deadline - at(now) - duration(1'980)),
              duration(240)},
             {last.least_time_before(item(last_, id, 1, deadline), deadline - at(now) - duration(1'740)),
              duration(240)}});
        const bool out = decide_admission(estimate, deadline - at(now)).admitted;
        if (out)
            in_first_.insert(id);
        return out;
    }

    void step(stage_dispatcher& pool, std::int64_t now)
    {
        auto& running = running_[&pool];
        for (auto it = running.begin(); it != running.end();) {
            if (it->first > now) {
                ++it;
                continue;
            }
            pool.finish_call(it->second.call_id, call_outcome::answered, at(now));
            for (const auto& piece : it->second.pieces)
                complete(pool, piece, now);
            it = running.erase(it);
        }
        for (const auto& it : pool.expire(at(now)))
            drop(pool, it.task->request_id);
        while (auto call = pool.next_call(at(now)))
            running.emplace(now + pool.call_time(call->pieces.size()).count(), std::move(*call));
    }

    void complete(const stage_dispatcher& pool, const queued_piece& piece, std::int64_t now)
    {
        const auto found = open_.find(piece.task->request_id);
        if (found == open_.end() || --found->second.left > 0)
            return;
        if (&pool == &first_) {
            in_first_.erase(found->first);
            found->second.left = 4;
            last_.submit(task_of(found->first, 1, found->second.deadline), at(now));
            return;
        }
        served += at(now) <= found->second.deadline ? 1 : 0;
        in_time += at(now) <= found->second.deadline - duration(1'500) ? 1 : 0;
        open_.erase(found);
    }

    void drop(const stage_dispatcher& pool, const std::string& id)
    {
        if (open_.erase(id) == 0)
            return;
        in_first_.erase(id);
        ++late;
        wasted_pieces += &pool == &last_ ? 4 : 0;
    }

    bool admits_;
    stage_dispatcher first_{make_pool(2, 10)};
    stage_dispatcher last_{make_pool(1, 10)};
    std::map<std::string, open_request> open_;
    std::set<std::string> in_first_;
    std::map<const stage_dispatcher*, std::multimap<std::int64_t, stage_dispatch>> running_;
};

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

// Guards against first stages of requests whose last stage comes too late, and against an admission that
// costs more requests than it saves.
Test(chain_admission, admission_starts_what_can_end)
{
    two_stage_run with(true);
    with.run();
    two_stage_run without(false);
    without.run();
    cr_expect_geq(with.served, without.served, "%zu and %zu", with.served, without.served);
    cr_expect_geq(with.in_time, without.in_time, "%zu and %zu", with.in_time, without.in_time);
    cr_expect_leq(with.wasted_pieces * 5, without.wasted_pieces, "%zu and %zu", with.wasted_pieces,
                  without.wasted_pieces);
    cr_expect_leq(with.late * 20, with.asked, "%zu of %zu were admitted and came late", with.late,
                  with.asked);
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
        const auto estimate =
            estimate_chain(two_stages, {{duration(0), duration(240)},
                                        {profile.least_time_before(item, no_slack_limit), duration(300)}});
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
    const duration before = pool.profile(at(0)).least_time_before(key, no_slack_limit);
    cr_expect_eq(before, duration(600));
    pool.hold_back("e0", at(100));
    cr_expect_eq(pool.profile(at(0)).least_time_before(key, no_slack_limit), before + duration(50));
    pool.hold_back("e0", at(900));
    pool.hold_back("e1", at(900));
    cr_expect_eq(pool.profile(at(0)).least_time_before(key, no_slack_limit), duration(900));
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
