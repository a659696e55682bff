#include "platform_codec_fake.hpp"

#include <limpetlock/gateway/event_framing.hpp>
#include <limpetlock/gateway/fleet_view.hpp>
#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/gateway/replica.hpp>
#include <limpetlock/gateway/retry_share.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

state_entry item(const std::string& key, std::int64_t revision, const std::string& value = "v")
{
    return {key, value, revision, false};
}

state_entry removal(const std::string& key, std::int64_t revision)
{
    return {key, {}, revision, true};
}

/// A published state that records the reported table versions and endpoints.
struct watched_state {
    watched_state()
        : state(names,
                {[this](const std::shared_ptr<const routing_table>& it) { versions.push_back(it->version); },
                 [this](const std::vector<endpoint>& it) { endpoints = it; }})
    {
    }

    std::vector<std::string> ids() const
    {
        std::vector<std::string> out;
        for (const auto& it : endpoints)
            out.push_back(it.id);
        std::sort(out.begin(), out.end());
        return out;
    }

    test::platform_codec_fake names;
    std::vector<std::int64_t> versions;
    std::vector<endpoint> endpoints;
    published_state state;
};

member instance_named(const std::string& name, std::int64_t capacity = 250)
{
    return {name, {"10.0.0.1", 7000}, "a", capacity, 1, false};
}

} // namespace

// Guards against an answer of a stale replica that puts an old value back.
Test(replica, keeps_the_newest_revision_whatever_the_order)
{
    replica it;
    cr_expect(it.apply(item("k", 5, "new")));
    cr_expect_not(it.apply(item("k", 3, "old")));
    cr_expect_not(it.apply(item("k", 5, "same")));
    cr_expect_eq(it.find("k")->value, "new");
    cr_expect(it.apply(removal("k", 6)));
    cr_expect_null(it.find("k"));
    cr_expect_not(it.apply(item("k", 5, "new")), "a removed entry must not come back by an old message");
}

Test(replica, listing_removes_what_it_lacks_but_not_later_changes)
{
    replica it;
    it.apply(item("s/a", 2));
    it.apply(item("s/b", 3));
    it.apply(item("s/c", 9));
    it.apply(item("t/d", 2));
    cr_expect(it.apply_listing("s/", {item("s/a", 2)}, 7));
    cr_expect_not_null(it.find("s/a"));
    cr_expect_null(it.find("s/b"));
    cr_expect_not_null(it.find("s/c"), "written after the listing");
    cr_expect_not_null(it.find("t/d"), "outside the prefix");
}

Test(replica, changes_carry_removals)
{
    replica it;
    it.apply(item("a", 2));
    it.apply(item("b", 3));
    it.apply(removal("a", 4));
    bool whole = true;
    const auto changes = it.changes_after(2, whole);
    cr_expect_not(whole);
    cr_assert_eq(changes.size(), 2);
    cr_expect(changes[0].removed);
}

Test(replica, dropped_removals_make_changes_whole)
{
    replica it;
    const auto last = static_cast<std::int64_t>(replica::max_removed) + 10;
    for (std::int64_t n = 1; n <= last; ++n)
        it.apply(removal("k" + std::to_string(n), n));
    it.apply(item("live", last + 1));
    bool whole = false;
    const auto changes = it.changes_after(1, whole);
    cr_expect(whole);
    cr_assert_eq(changes.size(), 1);
    cr_expect_eq(changes[0].key, "live");
    it.changes_after(last, whole);
    cr_expect_not(whole);
}

// Guards against use of a key that was revoked while the instance was cut off from the store: only a proof
// for its own table shows that the table is the newest.
Test(published_state, proof_of_a_newer_table_is_not_recorded)
{
    watched_state it;
    it.state.merge({item("table", 10, "7")}, at(0));
    cr_expect_not(it.state.record_proof({11, at(100)}), "the newer table is not held");
    cr_expect_not(it.state.proof_age(at(200)).has_value());
    cr_expect(it.state.record_proof({10, at(100)}));
    cr_expect_eq(it.state.proof_age(at(350))->count(), 250);
    cr_expect(it.state.record_proof({10, at(50)}), "an older proof is true as well");
    cr_expect_eq(it.state.proof_age(at(350))->count(), 250, "but does not replace the newer one");
}

Test(published_state, reports_each_table_once_and_rejects_invalid_ones)
{
    watched_state it;
    it.state.merge({item("table", 10, "7")}, at(0));
    it.state.merge({item("table", 11, "garbage")}, at(10));
    it.state.merge({item("table", 10, "7")}, at(20));
    cr_assert_eq(it.versions.size(), 1);
    cr_expect_eq(it.state.table()->version, 7, "the last valid table stays in force");
    it.state.merge({item("table", 12, "9")}, at(30));
    cr_expect_eq(it.state.table()->version, 9);
}

// Guards against the removal of live endpoints: their entries lapse while the store is unavailable and are
// published again about two seconds after it is back.
Test(published_state, lapsed_endpoints_stay_in_use_around_an_outage_of_the_store)
{
    watched_state it;
    it.state.merge({item("endpoint/one", 2), item("endpoint/two", 3)}, at(0));
    it.state.record_store_call(at(500));
    it.state.merge({removal("endpoint/one", 4)}, at(1'500));
    cr_expect_eq(it.ids().size(), 2, "kept: its entry may have lapsed");
    it.state.remove_lapsed_endpoints(at(1'500) + published_state::removal_grace);
    cr_expect_eq(it.ids(), (std::vector<std::string>{"two"}));
}

Test(published_state, removed_endpoints_go_at_once_while_the_store_answers)
{
    watched_state it;
    it.state.merge({item("endpoint/one", 2), item("endpoint/two", 3)}, at(0));
    it.state.merge({removal("endpoint/one", 4)}, at(10));
    cr_expect_eq(it.ids(), (std::vector<std::string>{"two"}));
}

Test(published_state, lapsed_endpoint_is_dropped_when_its_address_is_used_again)
{
    watched_state it;
    it.state.merge({item("endpoint/one", 2, "10.0.0.9:80")}, at(0));
    it.state.record_store_call(at(100));
    it.state.record_store_answer(at(2'100));
    it.state.merge({removal("endpoint/one", 4), item("endpoint/three", 5, "10.0.0.9:80")}, at(2'200));
    cr_expect_eq(it.ids(), (std::vector<std::string>{"three"}));
}

Test(fleet_view, silent_and_unreachable_instances_are_not_live)
{
    fleet_view it(instance_named("own"));
    it.record_contact({instance_named("one"), duration{0}}, at(0));
    it.record_contact({instance_named("two"), duration{0}}, at(0));
    cr_expect_eq(it.live_instances(at(100), true).size(), 3);
    it.mark_unreachable("one");
    cr_expect_eq(it.live_instances(at(100), true).size(), 2);
    it.record_contact({instance_named("one"), duration{50}}, at(200));
    cr_expect_eq(it.live_instances(at(200), true).size(), 2,
                 "reports of others don't show that the link works");
    it.record_contact({instance_named("one"), duration{0}}, at(300));
    cr_expect_eq(it.live_instances(at(300), true).size(), 3);
    cr_expect_eq(it.live_instances(at(300) + it.timeout(), true).size(), 1);
}

Test(fleet_view, stopping_instances_can_be_excluded)
{
    fleet_view it(instance_named("own"));
    auto leaving = instance_named("one");
    leaving.stopping = true;
    it.record_contact({leaving, duration{0}}, at(0));
    cr_expect_eq(it.live_instances(at(1), true).size(), 1);
    cr_expect_eq(it.live_instances(at(1), false).size(), 2);
}

// Guards against too small an estimate of the fleet: shares computed from it would exceed the common retry
// budget.
Test(fleet_view, size_estimate_counts_silent_instances_and_respects_the_minimum)
{
    fleet_view it(instance_named("own"));
    cr_expect_eq(it.size_estimate(at(0), 6), 6);
    for (int n = 0; n < 9; ++n)
        it.record_contact({instance_named("i" + std::to_string(n)), duration{0}}, at(0));
    cr_expect_eq(it.size_estimate(at(10'000), 6), 10);
    it.remove_expired(at(0) + fleet_view::retention);
    cr_expect_eq(it.size_estimate(at(0) + fleet_view::retention, 6), 6);
}

Test(responsibility, moves_only_the_keys_of_the_instance_that_left)
{
    std::vector<member> all;
    for (int n = 0; n < 8; ++n)
        all.push_back(instance_named("instance-" + std::to_string(n)));
    auto fewer = all;
    fewer.erase(fewer.begin() + 3);
    for (int n = 0; n < 200; ++n) {
        const std::string key = "pool-" + std::to_string(n);
        const auto before = by_responsibility(key, all);
        const auto after = by_responsibility(key, fewer);
        if (before.front().name != "instance-3")
            cr_expect_eq(before.front().name, after.front().name);
        else
            cr_expect_eq(before[1].name, after.front().name);
    }
}

Test(responsibility, larger_instances_get_more)
{
    std::vector<member> all{instance_named("small", 120), instance_named("large", 480)};
    int large = 0;
    constexpr int keys = 2000;
    for (int n = 0; n < keys; ++n)
        if (by_responsibility("pool-" + std::to_string(n), all).front().name == "large")
            ++large;
    cr_expect_gt(large, keys * 95 / 100);
    cr_expect_lt(large, keys);
}

// Guards against more retries than the budget in any window, although instances don't know each other's
// retries.
Test(retry_share, stays_within_the_budget_in_every_window)
{
    retry_share_options options;
    options.extra = 52;
    constexpr std::size_t instances = 6;
    std::vector<retry_share> all(instances, retry_share(options));
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> repeats;
    for (std::int64_t ms = 0; ms < 40'000; ms += 20) {
        auto& it = all[static_cast<std::size_t>(ms / 20) % instances];
        it.record_first_attempt(at(ms));
        requests.push_back(ms);
        if (it.try_acquire_retry(instances, at(ms)))
            repeats.push_back(ms);
    }
    cr_expect_gt(repeats.size(), 0);
    const auto in_window = [](const std::vector<std::int64_t>& list, std::int64_t end) {
        return std::count_if(list.begin(), list.end(),
                             [end](std::int64_t it) { return it > end - 10'000 && it <= end; });
    };
    for (std::int64_t end = 0; end < 40'000; end += 250)
        cr_expect_leq(static_cast<double>(in_window(repeats, end)),
                      0.2 * static_cast<double>(in_window(requests, end)) + 52);
}

Test(event_framing, passes_whole_events_only)
{
    event_framing it;
    cr_expect_eq(it.feed("id: 1\ndata: a\n"), "");
    cr_expect_eq(it.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
    cr_expect_eq(*it.last_event_id(), 1);
    cr_expect_eq(it.feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
    cr_expect_eq(*it.last_event_id(), 2);
    cr_expect_eq(it.feed("id: 3\ndata: cut"), "");
    cr_expect_gt(it.pending(), 0);
    it.discard_pending();
    cr_expect_eq(it.feed("id: 3\r\ndata: c\r\n\r\n"), "id: 3\r\ndata: c\r\n\r\n");
    cr_expect_eq(*it.last_event_id(), 3);
}

// Guards against bytes without an event being passed on as an answer, and against a comment or last event
// without an id that is lost at the end of a stream.
Test(event_framing, events_without_a_new_id_are_held_back)
{
    event_framing it;
    cr_expect_eq(it.feed(": nothing\n\n\n\n"), "");
    cr_expect_eq(it.pending(), 0);
    cr_expect_gt(it.buffered(), 0);
    cr_expect_eq(it.feed("id: 1\ndata: a\n\nid: 1\ndata: a\n\n"), ": nothing\n\n\n\nid: 1\ndata: a\n\n");
    cr_expect_eq(it.take_complete(), "id: 1\ndata: a\n\n");
    cr_expect_eq(it.feed("data: end\n\nid"), "");
    cr_expect_eq(it.pending(), 2);
    cr_expect_eq(it.take_complete(), "data: end\n\n");
    cr_expect_eq(it.feed(": 2\n\n"), "id: 2\n\n");
    cr_expect_eq(it.buffered(), 0);
}

Test(event_framing, any_cut_of_the_bytes_gives_the_same_stream)
{
    std::string all;
    for (int n = 1; n <= 20; ++n)
        all +=
            "id: " + std::to_string(n) + "\ndata: x" + std::string(static_cast<std::size_t>(n), 'y') + "\n\n";
    for (std::size_t step = 1; step < 40; ++step) {
        event_framing it;
        std::string out;
        for (std::size_t from = 0; from < all.size(); from += step)
            out += it.feed(std::string_view(all).substr(from, step));
        cr_expect_eq(out, all);
        cr_expect_eq(*it.last_event_id(), 20);
    }
}
