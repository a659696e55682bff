/// \file
/// Tests of how an instance notices that the store was away, and that a watch of it is silent.
#include "platform_codec_fake.hpp"

#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/gateway/store_availability.hpp>
#include <limpetlock/gateway/watch_schedule.hpp>

#include <criterion/criterion.h>

#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

constexpr duration contact_time{3'000};

} // namespace

// Guards against a grace for removed endpoints after a single call that was lost on a silent connection.
Test(store_availability, lost_call_is_no_outage_if_the_next_one_is_answered)
{
    store_availability it;
    it.record_call(at(0));
    it.record_call(at(240));
    cr_expect_not(it.record_answer(at(250)).has_value());
    cr_expect_not(it.may_have_lapsed(at(260)));
    it.record_call(at(1'000));
    cr_expect_not(it.may_have_lapsed(at(1'100)));
    cr_expect_not(it.record_answer(at(1'010)).has_value());
}

// Guards against the removal of live endpoints whose entries lapsed while the store was away, and against a
// grace that lasts longer than until they are published again.
Test(store_availability, outage_lasts_until_entries_are_published_again)
{
    store_availability it;
    it.record_call(at(0));
    cr_expect_not(it.may_have_lapsed(at(0) + store_availability::min_outage - duration(1)));
    cr_expect(it.may_have_lapsed(at(0) + store_availability::min_outage));
    it.record_call(at(3'000));
    const auto outage = it.record_answer(at(3'010));
    cr_assert(outage.has_value());
    cr_expect_eq(outage->count(), 3'010);
    cr_expect(it.may_have_lapsed(at(3'010) + store_availability::republish_time - duration(1)));
    cr_expect_not(it.may_have_lapsed(at(3'010) + store_availability::republish_time));
}

// Guards against an answer from before the lost calls that hides the outage.
Test(store_availability, answer_to_an_earlier_call_shows_nothing)
{
    store_availability it;
    it.record_call(at(1'000));
    cr_expect_not(it.record_answer(at(900)).has_value());
    cr_expect(it.may_have_lapsed(at(1'900)), "a peer's proof from before");
    cr_expect(it.record_answer(at(2'000)).has_value());
}

// Guards against a watch on a silent connection that is given up too late for the next one to wait within the
// time after which the bounds hold again, or so early that an answer of a slow store is lost.
Test(watch_schedule, silent_watch_ends_within_the_contact_time)
{
    for (const duration it : {duration(1'000), contact_time, duration(5'000)}) {
        const watch_schedule schedule(it);
        cr_expect_lt(schedule.timeout().count(), it.count() * 4 / 5);
        cr_expect_gt(schedule.timeout().count(), schedule.wait().count() + it.count() / 4);
    }
}

// Guards against a silent watch that is noticed only by the second read of the same instance, while instances
// read in turn.
Test(watch_schedule, one_read_shows_that_a_watch_is_silent)
{
    watch_schedule it(contact_time);
    it.record_read({7, 1}, {8, 1}, at(0));
    cr_expect_not(it.is_behind({7, 1}, true, at(100)), "the change may be on its way");
    cr_expect(it.is_behind({7, 1}, true, at(0) + watch_schedule::watch_delivery_time));
    cr_expect_not(it.is_behind({7, 1}, false, at(0) + watch_schedule::watch_delivery_time));
    cr_expect(it.is_behind({7, 1}, false, at(0) + watch_schedule::peer_delivery_time));
    it.record_read({7, 1}, {9, 1}, at(300));
    cr_expect(it.is_behind({7, 1}, true, at(0) + watch_schedule::watch_delivery_time),
              "a further read doesn't begin the time anew");
    cr_expect_not(it.is_behind({8, 1}, true, at(5'000)), "changes arrive");
    it.restart();
    cr_expect_not(it.is_behind({7, 1}, true, at(5'000)));
}

// Guards against calls for missing changes when there are none, and before anything is known.
Test(watch_schedule, read_of_known_changes_shows_nothing)
{
    watch_schedule it(contact_time);
    it.record_read({7, 1}, {7, 1}, at(0));
    it.record_read({7, 1}, {6, 1}, at(0));
    cr_expect_not(it.is_behind({7, 1}, true, at(9'000)));
    it.record_read({}, {7, 1}, at(0));
    cr_expect_not(it.is_behind({}, true, at(9'000)));
}

// Guards against a watch that waits in an era of the store that has ended.
Test(watch_schedule, watch_does_not_go_on_in_another_era)
{
    watch_schedule it(contact_time);
    it.record_read({7, 1}, {3, 2}, at(0));
    cr_expect(it.is_behind({7, 1}, true, at(0)));
    cr_expect(it.is_in_another_era());
    cr_expect_not(it.is_behind({7, 1}, false, at(0)), "its peers have the new era's entries");
}

// Guards against a removed endpoint that stays in use for a grace although the store answered all the time,
// and for longer than entries take to be published again, however late the removal is learned.
Test(published_state, grace_of_a_removed_endpoint_ends_when_entries_are_published_again)
{
    test::platform_codec_fake names;
    std::vector<endpoint> endpoints;
    published_state it(names, {[](const auto&) {}, [&](const auto& list) { endpoints = list; }});
    it.merge(
        {{"endpoint/one", "v", 2, false}, {"endpoint/two", "v", 3, false}, {"endpoint/three", "v", 4, false}},
        at(0));
    it.record_store_call(at(1'000));
    it.record_store_answer(at(1'240));
    it.merge({{"endpoint/one", {}, 5, true}}, at(1'300));
    cr_expect_eq(endpoints.size(), 2, "a lost call is no outage");
    it.record_store_call(at(2'000));
    it.record_store_answer(at(4'000));
    it.merge({{"endpoint/two", {}, 6, true}}, at(5'500));
    cr_expect_eq(endpoints.size(), 2, "it may have lapsed");
    it.remove_lapsed_endpoints(at(5'999));
    cr_expect_eq(endpoints.size(), 2);
    it.remove_lapsed_endpoints(at(6'000));
    cr_expect_eq(endpoints.size(), 1, "it hasn't published its entry again");
    it.merge({{"endpoint/three", {}, 7, true}}, at(6'100));
    cr_expect_eq(endpoints.size(), 0);
}
