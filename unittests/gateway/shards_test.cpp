#include <limpetlock/gateway/stage_dispatcher.hpp>
#include <limpetlock/gateway/stage_shards.hpp>
#include <limpetlock/support/hash.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

constexpr std::uint32_t shards = 9;

std::vector<std::string> ids_of(std::size_t n)
{
    std::vector<std::string> out;
    for (std::size_t k = 0; k < n; ++k)
        out.push_back("endpoint-" + std::to_string(k));
    return out;
}

std::map<std::string, std::uint32_t> assignment(const std::vector<std::string>& ids)
{
    std::map<std::string, std::uint32_t> out;
    const auto assigned = assign_to_shards(ids, shards);
    for (std::size_t n = 0; n < ids.size(); ++n)
        out[ids[n]] = assigned[n];
    return out;
}

std::size_t moved(const std::map<std::string, std::uint32_t>& before,
                  const std::map<std::string, std::uint32_t>& after)
{
    return static_cast<std::size_t>(std::count_if(after.begin(), after.end(), [&before](const auto& it) {
        const auto found = before.find(it.first);
        return found != before.end() && found->second != it.second;
    }));
}

/// A deployment of domains with this many endpoints in each of two stage pools, and others in a plain one.
stage_layout make_layout(const std::vector<std::pair<std::size_t, std::size_t>>& domains)
{
    routing_table table;
    table.pools["parse"].stage = stage_capacity{};
    table.pools["embed"].stage = stage_capacity{};
    table.pools["plain"] = {};
    std::vector<endpoint> list;
    const auto add = [&list](const std::string& pool, const std::string& domain, std::size_t n) {
        for (std::size_t k = 0; k < n; ++k) {
            endpoint it;
            it.id = domain + pool + std::to_string(k);
            it.pool = pool;
            it.domain = domain;
            list.push_back(std::move(it));
        }
    };
    for (std::size_t n = 0; n < domains.size(); ++n) {
        const std::string domain(1, static_cast<char>('a' + n));
        add("parse", domain, domains[n].first);
        add("embed", domain, domains[n].second);
        add("plain", domain, 100);
    }
    return {table, list};
}

std::vector<member> instances(std::size_t n, std::int64_t capacity = 100)
{
    std::vector<member> out;
    for (std::size_t k = 0; k < n; ++k) {
        member it;
        it.name = "instance-" + std::to_string(capacity) + "-" + std::to_string(k);
        it.capacity = capacity;
        out.push_back(std::move(it));
    }
    return out;
}

std::map<stage_group, std::string> holders(const stage_layout& layout, std::vector<member> members)
{
    stage_duties duties(layout.divided_groups(), std::move(members));
    std::map<stage_group, std::string> out;
    for (const auto& it : layout.divided_groups())
        out[it] = duties.order(it).front();
    return out;
}

} // namespace

// Guards against shards without endpoints of a pool, and against two queues that feed the same endpoints for
// long because the lists of two instances differ in one endpoint or in their order.
Test(stage_shards, are_balanced_and_change_little_with_the_list)
{
    for (const std::size_t n : {9, 100, 203, 400}) {
        const auto ids = ids_of(n);
        const auto all = assignment(ids);
        std::vector<std::size_t> sizes(shards, 0);
        for (const auto& [id, shard] : all)
            ++sizes[shard];
        const auto [least, most] = std::minmax_element(sizes.begin(), sizes.end());
        cr_expect_leq(*most - *least, 1);
        auto reversed = ids;
        std::reverse(reversed.begin(), reversed.end());
        cr_expect(assignment(reversed) == all);
        std::size_t total = 0;
        for (std::size_t k = 0; k < n; ++k) {
            auto fewer = ids;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(k));
            total += moved(all, assignment(fewer));
        }
        cr_log_info("%zu endpoints: %.2f others move on average", n,
                    static_cast<double>(total) / static_cast<double>(n));
        cr_expect_leq(total, n * shards / 2);
    }
}

// Guards against other responsible instances than before in deployments of today's size.
Test(stage_shards, small_domains_are_not_divided)
{
    cr_expect_eq(shard_count(0), 1);
    cr_expect_eq(shard_count(48), 1);
    cr_expect_eq(shard_count(49), 2);
    cr_expect_eq(shard_count(400), 9);
    cr_expect_eq(shard_count(1'000'000), max_shards);
    const auto fleet = instances(12);
    const auto smallest = make_layout({{6, 5}, {6, 6}});
    cr_expect(smallest.draw("r1", "a") == std::vector<stage_group>{stage_group{}});
    const auto today = make_layout({{26, 22}, {20, 4}});
    cr_expect(today.draw("r1", "a") == (std::vector<stage_group>{{"a", 0, 1}}));
    cr_expect(today.fallbacks({"a", 0, 1}, "r1", "embed", false) ==
              (std::vector<stage_group>{{"a", 0, 1}, stage_group{}}));
    cr_expect(today.divided_groups().empty());
    stage_duties duties(today.divided_groups(), fleet);
    std::vector<std::string> names;
    for (const auto& it : by_responsibility("stages/a", fleet))
        names.push_back(it.name);
    cr_expect(duties.order({"a", 0, 1}) == names);
}

// Guards against requests that go to a shard without an endpoint of their pool, and against requests that all
// draw the same shards.
Test(stage_shards, requests_draw_two_shards_with_endpoints_of_their_pools)
{
    const auto layout = make_layout({{397, 3}, {300, 60}});
    std::map<std::uint32_t, int> first;
    for (int n = 0; n < 900; ++n) {
        const std::string id = "request-" + std::to_string(n);
        const auto drawn = layout.draw(id, "a");
        cr_assert_eq(drawn.size(), 2);
        cr_expect_neq(drawn[0].shard, drawn[1].shard);
        cr_expect_eq(drawn[0].shards, shards);
        ++first[drawn[0].shard];
        // The pool has three endpoints, which are in the shards 0 to 2.
        const auto list = layout.fallbacks(drawn[0], id, "embed", false);
        cr_expect_lt(list[0].shard, 3);
        cr_expect_eq(list[list.size() - 2], (stage_group{"a", 0, 1}));
        cr_expect_eq(list.back(), stage_group{});
    }
    const std::set<std::uint32_t> used{0, 1, 2};
    const auto assigned = assign_to_shards(ids_of(3), shards);
    cr_expect(std::set<std::uint32_t>(assigned.begin(), assigned.end()) == used);
    cr_expect_eq(first.size(), shards);
    for (const auto& [shard, n] : first)
        cr_expect_gt(n, 60);
    cr_expect(prefers_second(duration{500}, duration{300}));
    cr_expect_not(prefers_second(duration{300}, duration{300}));
    cr_expect_not(prefers_second(duration{500}, std::nullopt));
    cr_expect_not(prefers_second(std::nullopt, duration{1}));
}

// Guards against an instance with the work of several shards while others have none, and against a loss of
// one instance that moves the queues of many others.
Test(stage_duties, one_shard_per_instance_and_few_moves)
{
    const auto layout = make_layout({{300, 100}, {300, 100}, {300, 100}});
    auto fleet = instances(270, 90);
    const auto large = instances(30, 500);
    fleet.insert(fleet.end(), large.begin(), large.end());
    const auto all = holders(layout, fleet);
    cr_assert_eq(all.size(), 27);
    std::set<std::string> names;
    std::size_t total = 0;
    std::size_t large_holders = 0;
    for (const auto& [group, name] : all) {
        names.insert(name);
        large_holders += name.starts_with("instance-500") ? 1 : 0;
        auto fewer = fleet;
        std::erase_if(fewer, [&name = name](const member& it) { return it.name == name; });
        const auto after = holders(layout, fewer);
        for (const auto& [other, holder] : after)
            total += holder != all.at(other) ? 1 : 0;
    }
    cr_expect_eq(names.size(), 27);
    cr_expect_geq(large_holders, 20);
    cr_log_info("%zu of 27 holders are large; %.2f shards move with the loss of a holder", large_holders,
                static_cast<double>(total) / 27);
    cr_expect_leq(total, std::size_t{27} * 4);
    // With fewer instances than shards, nobody has more than one beyond the others.
    std::map<std::string, int> counts;
    for (const auto& [group, name] : holders(layout, instances(10)))
        ++counts[name];
    for (const auto& [name, n] : counts)
        cr_expect(n == 2 || n == 3);
    cr_expect_eq(counts.size(), 10);
}

namespace {

/// Figures of one simulated run of a stage pool.
struct pool_run {
    double fill{0}; ///< mean pieces of a call
    std::int64_t median_ms{0};
    std::int64_t p95_ms{0};
    std::int64_t p99_ms{0};
};

/// Runs 192 endpoints as shards of this size on the same arrivals for a minute, at this utilization with full
/// batches. A request goes to the shorter of its two queues if `choose` is set, by figures without delay;
/// otherwise to the first.
pool_run simulate(std::size_t shard_size, double utilization, bool choose)
{
    constexpr std::size_t endpoints = 192;
    constexpr std::int64_t step_ms = 10;
    constexpr std::int64_t end_ms = 60'000;
    stage_capacity capacity;
    capacity.max_batch_pieces = 12;
    capacity.call_ms = 240;
    capacity.piece_ms = 10;
    const std::size_t n = endpoints / shard_size;
    std::vector<stage_dispatcher> queues(n);
    for (std::size_t k = 0; k < n; ++k) {
        std::vector<endpoint> list;
        for (std::size_t e = 0; e < shard_size; ++e) {
            endpoint it;
            it.id = std::to_string(k) + "/" + std::to_string(e);
            it.domain = "a";
            list.push_back(std::move(it));
        }
        queues[k].configure(capacity, std::move(list));
    }
    struct running {
        std::size_t queue;
        stage_dispatch call;
    };
    std::multimap<std::int64_t, running> calls;
    std::vector<std::int64_t> times;
    std::size_t pieces = 0;
    std::size_t call_count = 0;
    // Requests of three pieces; a step has as many as the hash of its number selects, from 0 to twice the
    // mean.
    const double rate = utilization * endpoints * 12 / 360.0 / 3 * step_ms;
    double owed = 0;
    std::size_t next_id = 0;
    for (std::int64_t ms = 0; ms < end_ms; ms += step_ms) {
        const time_point now{duration(1'000'000 + ms)};
        while (!calls.empty() && calls.begin()->first <= ms) {
            auto& it = calls.begin()->second;
            queues[it.queue].finish_call(it.call.call_id, call_outcome::answered, now);
            for (const auto& piece : it.call.pieces)
                times.push_back((now - piece.queued_at).count());
            calls.erase(calls.begin());
        }
        owed += rate * 2 * static_cast<double>(hash64(std::to_string(ms)) % 1'000) / 1'000;
        for (; owed >= 1; owed -= 1) {
            auto task = std::make_shared<stage_task>();
            task->request_id = std::to_string(next_id++);
            task->pieces = {0, 1, 2};
            task->objective_time = now + duration(3'000);
            task->deadline = now + duration(20'000);
            task->domain = "a";
            const std::size_t first = hash64(task->request_id, 1) % n;
            const std::size_t second =
                n == 1 ? first : (first + 1 + hash64(task->request_id, 2) % (n - 1)) % n;
            const bool shorter = choose && prefers_second(queues[first].backlog_ahead(now, {}),
                                                          queues[second].backlog_ahead(now, {}));
            queues[shorter ? second : first].submit(task, now);
        }
        for (std::size_t k = 0; k < n; ++k)
            while (auto call = queues[k].next_call(now)) {
                pieces += call->pieces.size();
                ++call_count;
                const auto took = queues[k].call_time(call->pieces.size()).count();
                calls.emplace(ms + took, running{k, std::move(*call)});
            }
    }
    std::sort(times.begin(), times.end());
    const auto at_share = [&times](double share) {
        return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
    };
    return {static_cast<double>(pieces) / static_cast<double>(call_count), at_share(0.5), at_share(0.95),
            at_share(0.99)};
}

} // namespace

// Guards against shards so small that the division costs more than the limit of one machine: compares the
// time of pieces with one queue for all endpoints. The figures are in docs/design/sharded-responsibility.md.
Test(stage_shards, cost_little_against_one_queue)
{
    constexpr double utilization = 0.9;
    const auto one = simulate(192, utilization, false);
    for (const std::size_t size : {12, 24, 48, 96}) {
        const auto chosen = simulate(size, utilization, true);
        const auto first = simulate(size, utilization, false);
        cr_log_info("%zu endpoints a shard: fill %.1f, %ld/%ld/%ld ms; without choice %.1f, %ld/%ld/%ld ms",
                    size, chosen.fill, chosen.median_ms, chosen.p95_ms, chosen.p99_ms, first.fill,
                    first.median_ms, first.p95_ms, first.p99_ms);
        if (size >= endpoints_per_shard) {
            cr_expect_lt(chosen.p95_ms, one.p95_ms * 5 / 4);
            cr_expect_lt(first.p95_ms, one.p95_ms * 2);
        }
    }
    cr_log_info("one queue: fill %.1f, %ld/%ld/%ld ms", one.fill, one.median_ms, one.p95_ms, one.p99_ms);
}
