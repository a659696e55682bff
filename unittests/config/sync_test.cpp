#include <limpetlock/config/sync.hpp>
#include <limpetlock/config/watchers.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace limpetlock;
using namespace limpetlock::config;

namespace {

time_point at_ms(std::int64_t ms)
{
    return time_point(duration(ms));
}

std::vector<instance> fleet(std::size_t domains, std::size_t per_domain)
{
    std::vector<instance> found;
    for (std::size_t d = 0; d < domains; ++d)
        for (std::size_t n = 0; n < per_domain; ++n)
            found.push_back({fmt::format("i{}-{}", d, n), fmt::format("d{}", d), false});
    return found;
}

/// Calls decide() at each requested time until `end`, and `each` with the decision and the time. Returns
/// the time reached.
template <typename Each>
time_point run_until(synchronizer& it, time_point now, time_point end, Each each)
{
    while (now < end) {
        const decision made = it.decide(now);
        each(made, now);
        now = std::min(made.next_call_time, end);
    }
    return now;
}

} // namespace

// Guards against reads at shorter intervals than min_read_interval, whatever the service answers, and against
// further reads while a watch is running.
Test(sync, keeps_the_min_read_interval)
{
    const sync_settings settings;
    synchronizer it(settings, "a1", 1, at_ms(0));
    it.set_position({1, "x", 1}, at_ms(0));
    time_point former = at_ms(-1000);
    std::int64_t revision = 1;
    run_until(it, at_ms(0), at_ms(20'000), [&](const decision& made, time_point now) {
        if (!made.read)
            return;
        cr_assert_geq((now - former).count(), settings.min_read_interval.count());
        former = now;
        it.set_position({++revision, "x", revision}, now);
        it.record_read_answer(made.read->id, revision, 1, now);
    });
    cr_assert_leq(it.counters().reads, 80);

    synchronizer idle(settings, "a1", 1, at_ms(0));
    idle.set_position({1, "x", 1}, at_ms(0));
    std::optional<read_command> open;
    time_point answer{};
    run_until(idle, at_ms(0), at_ms(100'000), [&](const decision& made, time_point now) {
        if (open && now >= answer) {
            idle.record_read_answer(open->id, 1, 0, now);
            open.reset();
        }
        if (!made.read)
            return;
        open = made.read;
        answer = now + made.read->wait;
    });
    cr_assert_leq(idle.counters().reads, 11);
}

// Guards against too many reads while the service fails or answers every watch at once, and against a
// back-off that is longer than the time in which a change must be in force.
Test(sync, backs_off_within_its_limit)
{
    const sync_settings settings;
    cr_assert_lt((settings.watch_wait + settings.read_timeout + settings.max_back_off).count(), 18'000);
    for (const bool fails : {true, false}) {
        synchronizer it(settings, "a1", 1, at_ms(0));
        it.set_position({1, "x", 5}, at_ms(0));
        time_point former = at_ms(0);
        run_until(it, at_ms(0), at_ms(60'000), [&](const decision& made, time_point now) {
            if (!made.read)
                return;
            cr_assert_leq((now - former).count(), settings.max_back_off.count());
            former = now;
            if (fails)
                it.record_read_failure(made.read->id, now);
            else
                it.record_read_answer(made.read->id, 5, 0, now);
        });
        cr_assert_leq(it.counters().reads, 35);
        cr_assert_geq(it.counters().reads, 15);
    }
}

// Guards against a hung read that blocks all further reads, and against its late answer being treated as the
// answer to a newer read.
Test(sync, abandons_hung_reads)
{
    synchronizer it({}, "a1", 1, at_ms(0));
    it.set_position({1, "x", 1}, at_ms(0));
    std::int64_t reads = 0;
    std::int64_t first = 0;
    run_until(it, at_ms(0), at_ms(30'000), [&](const decision& made, time_point) {
        if (made.read && ++reads == 1)
            first = made.read->id;
    });
    cr_assert_geq(reads, 2);
    it.record_read_answer(first, 9, 1, at_ms(30'000));
    cr_assert_eq(it.counters().stale_revisions, 0);
    cr_assert_eq(it.counters().read_failures, reads - 1);
}

// Guards against instances without watchers that wait for a whole interval after a failed fallback read, and
// against fallback reads that grow with the size of a failure domain.
Test(sync, falls_back_without_watchers)
{
    const auto list = fleet(1, 20);
    const auto chosen = choose_watchers(list, 2);
    std::int64_t quiet_reads = 0;
    for (const instance& one : list) {
        if (std::binary_search(chosen.begin(), chosen.end(), one.name))
            continue;
        synchronizer silent({}, one.name, 1, at_ms(0));
        silent.set_instances(list, at_ms(0));
        silent.set_position({1, "x", 1}, at_ms(0));
        run_until(silent, at_ms(0), at_ms(30'000), [&](const decision& made, time_point now) {
            if (made.read && now < at_ms(20'000))
                silent.record_read_failure(made.read->id, now);
            else if (made.read)
                silent.record_read_answer(made.read->id, 1, 0, now);
        });
        cr_assert_geq(silent.counters().fallback_reads, 5);

        synchronizer quiet({}, one.name, 1, at_ms(0));
        quiet.set_instances(list, at_ms(0));
        quiet.set_position({1, "x", 1}, at_ms(0));
        run_until(quiet, at_ms(0), at_ms(1'000'000), [&](const decision& made, time_point now) {
            quiet.record_peer_report(chosen[0], 1, "x", now);
            if (made.read)
                quiet.record_read_answer(made.read->id, 1, 0, now);
        });
        quiet_reads += quiet.counters().fallback_reads;
    }
    // One read in 10 s in the whole domain, within the bounds of the jitter.
    cr_assert_geq(quiet_reads, 80);
    cr_assert_leq(quiet_reads, 120);
}

// Guards against repeated pulls without a back-off from a peer whose version cannot be adopted.
Test(sync, backs_off_from_peers_with_unusable_versions)
{
    synchronizer it({}, "a1", 1, at_ms(0));
    it.set_position({1, "x", 1}, at_ms(0));
    run_until(it, at_ms(0), at_ms(60'000), [&](const decision& made, time_point now) {
        for (const char* peer : {"b1", "b2", "b3"})
            it.record_peer_report(peer, 2, "y", now);
        if (made.pull)
            it.record_pull_answer(made.pull->id, now);
    });
    cr_assert_leq(it.counters().pulls, 30);
    cr_assert_geq(it.counters().pulls, 10);
    cr_assert_eq(it.counters().pull_failures, it.counters().pulls);
}

// Guards against a pull of the whole document while the watch may still deliver the patch, and against a
// second pull from a failed peer while another one could answer.
Test(sync, pulls_late_and_from_another_peer)
{
    const sync_settings settings;
    synchronizer it(settings, "a1", 1, at_ms(0));
    it.set_position({1, "x", 1}, at_ms(0));
    cr_assert(it.decide(at_ms(900)).read.has_value());
    it.record_peer_report("b1", 2, "y", at_ms(1000));
    it.record_peer_report("b2", 2, "y", at_ms(1000));
    cr_assert(!it.decide(at_ms(1000)).pull.has_value());
    cr_assert(!it.decide(at_ms(1000) + settings.pull_delay - duration(1)).pull.has_value());
    const decision first = it.decide(at_ms(1000) + settings.pull_delay);
    cr_assert(first.pull.has_value());
    it.record_pull_failure(first.pull->id, at_ms(1510));
    std::optional<pull_command> second;
    run_until(it, at_ms(1510), at_ms(1510) + settings.pull_timeout, [&](const decision& made, time_point) {
        if (made.pull && !second)
            second = made.pull;
    });
    cr_assert(second.has_value());
    cr_assert_neq(second->peer, first.pull->peer);
}

// Guards against an instance that becomes ready with the old entries of a stale replica before a peer has
// reported to it.
Test(sync, is_not_ready_behind_its_peers)
{
    synchronizer it({}, "a1", 1, at_ms(0));
    it.set_instances(fleet(1, 3), at_ms(0));
    cr_assert(!it.decide(at_ms(100)).ready);
    it.set_position({1, "x", 1}, at_ms(200));
    cr_assert(!it.decide(at_ms(200)).ready);
    it.record_peer_report("i0-1", 4, "z", at_ms(300));
    const decision behind = it.decide(at_ms(300));
    cr_assert(!behind.ready);
    cr_assert(behind.pull.has_value());
    cr_assert(behind.pull->peer == "i0-1");
    it.set_position({4, "z", 9}, at_ms(310));
    it.record_pull_answer(behind.pull->id, at_ms(310));
    cr_assert(it.decide(at_ms(310)).ready);
    it.record_peer_report("i0-1", 5, "z", at_ms(400));
    cr_assert(it.decide(at_ms(400)).ready, "an instance that was ready must stay ready");
}

// Guards against an instance that acts on reports from before its pause.
Test(sync, forgets_reports_after_a_pause)
{
    synchronizer it({}, "a1", 1, at_ms(0));
    it.set_position({2, "x", 2}, at_ms(0));
    it.record_peer_report("b1", 2, "y", at_ms(100));
    cr_assert(it.decide(at_ms(100)).new_divergence.has_value());
    cr_assert(it.diverged(at_ms(100)));
    const decision after_pause = it.decide(at_ms(3900));
    cr_assert_eq(it.counters().pauses, 1);
    cr_assert(!it.diverged(at_ms(3900)));
    cr_assert(!after_pause.pull.has_value());
    it.record_peer_report("b1", 2, "y", at_ms(4000));
    cr_assert(!it.decide(at_ms(4000)).new_divergence.has_value(), "a divergence must be returned only once");
    cr_assert_eq(it.counters().divergences, 1);
}

// Guards against watchers that differ between instances with the same list, are missing in a domain, or
// change in several places when one instance is added or removed.
Test(watchers, are_a_stable_function_of_the_list)
{
    auto list = fleet(16, 23);
    const auto chosen = choose_watchers(list, 2);
    cr_assert_eq(chosen.size(), 32U);
    cr_assert(std::is_sorted(chosen.begin(), chosen.end()));
    std::reverse(list.begin(), list.end());
    cr_assert(choose_watchers(list, 2) == chosen);

    list.erase(
        std::find_if(list.begin(), list.end(), [&](const instance& it) { return it.name == chosen[0]; }));
    const auto after = choose_watchers(list, 2);
    std::vector<std::string> kept;
    std::set_intersection(chosen.begin(), chosen.end(), after.begin(), after.end(), std::back_inserter(kept));
    cr_assert_eq(kept.size(), 31U);
    cr_assert_eq(after.size(), 32U);
}

// Guards against leaving instances as watchers while others are available.
Test(watchers, prefer_instances_that_stay)
{
    std::vector<instance> list{{"a1", "a", true}, {"a2", "a", false}, {"b1", "b", true}};
    cr_assert(choose_watchers(list, 1) == std::vector<std::string>({"a2", "b1"}));
    cr_assert(choose_watchers({}, 2).empty());
    std::vector<std::string> staying;
    list.clear();
    for (int n = 0; n < 20; ++n) {
        list.push_back({fmt::format("i{:02}", n), "a", n % 2 == 0});
        if (n % 2 != 0)
            staying.push_back(list.back().name);
    }
    cr_assert(choose_watchers(list, staying.size()) == staying);
}
