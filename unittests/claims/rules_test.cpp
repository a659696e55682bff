#include <limpetlock/claims/handover.hpp>
#include <limpetlock/claims/holder.hpp>
#include <limpetlock/claims/lease.hpp>
#include <limpetlock/claims/owner_map.hpp>
#include <limpetlock/claims/table.hpp>
#include <limpetlock/claims/witness.hpp>

#include <criterion/criterion.h>

#include <string>

using namespace limpetlock;
using namespace limpetlock::claims;
using namespace std::chrono_literals;

namespace {

const time_point start{1'000'000ms};

claims_section three_owners()
{
    return {7, {"a", "b", "c"}, 60s, 2000ms, 100};
}

claims_section one_owner()
{
    return {7, {"a"}, 60s, 2000ms, 100};
}

lease_state held_for(duration time, time_point now)
{
    return {now - time, now + 1s, now + 1s, now, now + 1s};
}

claim_request make_request(const std::string& attempt, bool first)
{
    return {"team", "key", "digest", attempt, first, 7};
}

witness eligible_witness(time_point now)
{
    witness it(three_owners(), now - 10s);
    for (auto t = now - 10s; t <= now; t += 1s)
        it.update_own_lease({std::nullopt, {}, {}, {}, t + 2s}, t);
    return it;
}

} // namespace

// Guards against support under a claims section that either the owner or the witness does not have in force.
Test(witness, supports_only_under_its_own_claims_number)
{
    auto it = eligible_witness(start);
    cr_assert_not(it.support("a", 5, 6, start));
    cr_assert_not(it.support("a", 5, 8, start));
    cr_assert(it.support("a", 5, 7, start));
}

// Guards against support by a witness whose process was suspended: another process may have had its support
// meanwhile.
Test(witness, supports_no_lease_after_a_suspension_until_it_waited_again)
{
    auto it = eligible_witness(start);
    cr_assert(it.support("a", 5, 7, start + 1s));
    auto now = start + 1s + three_owners().lease_time + 1ms;
    cr_expect_not(it.support("a", 5, 7, now));
    const auto end = now + witness::cold_start_wait(three_owners().lease_time);
    for (; now < end; now += 1s) {
        it.update_own_lease({std::nullopt, {}, {}, {}, now + 2s}, now);
        cr_expect_not(it.support("a", 5, 7, now));
    }
    it.update_own_lease({std::nullopt, {}, {}, {}, now + 2s}, now);
    cr_expect(it.support("a", 5, 7, now));
}

// Guards against support by a process that knows that it has been replaced.
Test(witness, retired_supports_no_lease)
{
    auto it = eligible_witness(start);
    it.retire();
    cr_assert_not(it.support("a", 5, 7, start));
}

// Guards against support for a replaced incarnation, also after the separation time.
Test(witness, never_returns_to_a_lower_incarnation)
{
    auto it = eligible_witness(start);
    cr_assert(it.support("a", 5, 7, start));
    cr_assert_not(it.support("a", 6, 7, start + 1s));
    cr_assert_not(it.support("a", 5, 7, start + 1500ms));
    cr_assert(it.support("a", 6, 7, start + 3s));
    cr_assert_not(it.support("a", 5, 7, start + 4s));
    cr_assert_eq(it.confirm_predecessor("a", 6), 5);
    cr_assert_eq(it.confirm_predecessor("a", 5), 0, "an incarnation that is replaced gets no confirmation");
}

// Guards against support for an older incarnation by a witness that has already confirmed the predecessor to
// a newer one.
Test(witness, confirmation_excludes_incarnations_in_between)
{
    auto it = eligible_witness(start);
    cr_assert(it.support("a", 5, 7, start));
    cr_assert_eq(it.confirm_predecessor("a", 9), 5);
    cr_assert_not(it.support("a", 8, 7, start + 5s));
}

// Guards against counting an acknowledgement of an old or unknown round, from a process that is no owner, or
// with another send time, as a heartbeat of a former incarnation has.
Test(lease, counts_only_acknowledgements_of_its_own_recent_heartbeats)
{
    lease it("a", 5, three_owners());
    const auto first = it.start_round(start);
    cr_assert_not(it.record_ack("b", 1, {first, to_ms(start) - 1, true, 0, {}}, start));
    cr_assert_not(it.record_ack("b", 1, {first + 1, to_ms(start), true, 0, {}}, start));
    cr_assert_not(it.record_ack("x", 1, {first, to_ms(start), true, 0, {}}, start));
    cr_assert(it.record_ack("a", 5, {first, to_ms(start), true, 0, {}}, start));
    cr_assert_not(it.held(start));
    cr_assert(it.record_ack("b", 1, {first, to_ms(start), true, 0, {}}, start + 500ms));
    cr_assert(it.held(start + 1999ms));
    cr_assert_eq(it.remaining(start + 500ms).count(), 1500, "counted from the send time");
    cr_assert_not(it.held(start + 2000ms));
}

// Guards against a majority that counts the vote of a replaced witness, and against a lease of an owner that
// has been replaced.
Test(lease, replaced_processes_do_not_count)
{
    lease it("a", 5, three_owners());
    const auto round = it.start_round(start);
    it.record_ack("a", 5, {round, to_ms(start), true, 0, {}}, start);
    it.record_ack("b", 1, {round, to_ms(start), true, 0, {}}, start);
    cr_assert(it.held(start + 1s));
    it.record_incarnation("b", 2);
    cr_assert_not(it.held(start + 1s));
    cr_assert_not(it.record_ack("b", 1, {round, to_ms(start), true, 0, {}}, start + 1s));
    cr_assert(it.record_ack("b", 2, {round, to_ms(start), true, 0, {}}, start + 1s));
    cr_assert(it.held(start + 1s));
    it.record_incarnation("a", 6);
    cr_assert(it.superseded());
    cr_assert_not(it.held(start + 1s));
}

// Guards against a grant of a first attempt while a grant of a former owner can still be dispatched.
Test(table, first_attempts_wait_for_the_hold)
{
    table it("a", 5, one_owner());
    cr_assert_eq(it.claim(make_request("1", true), held_for(4999ms, start), start).verdict,
                 claim_verdict::refused);
    cr_assert_eq(it.claim(make_request("1", true), held_for(5000ms, start), start).verdict,
                 claim_verdict::granted);
}

// Guards against a grant of a key whose "not run" record is older than the hold of the lease: another
// incarnation may have granted the key while the lease was interrupted.
Test(table, not_run_record_older_than_the_hold_gives_no_grant)
{
    table it("a", 5, one_owner());
    it.claim(make_request("1", true), held_for(10s, start), start);
    cr_assert(it.settle({"team", "key", "1", claim_outcome::not_run, {}}, start));
    const auto later = start + 20s;
    cr_assert_eq(it.claim(make_request("2", false), held_for(19s, later), later).verdict,
                 claim_verdict::unknown);
    cr_assert_eq(it.claim(make_request("2", false), held_for(20s, later), later).verdict,
                 claim_verdict::granted);
}

// Guards against the loss of an answer when settlements arrive out of order.
Test(table, done_is_final)
{
    table it("a", 5, one_owner());
    it.claim(make_request("1", true), held_for(10s, start), start);
    cr_assert(it.settle({"team", "key", "1", claim_outcome::unknown, {}}, start));
    cr_assert(it.settle({"team", "key", "1", claim_outcome::done, "answer"}, start));
    cr_assert_not(it.settle({"team", "key", "1", claim_outcome::not_run, {}}, start));
    cr_assert_not(it.settle({"team", "key", "2", claim_outcome::not_run, {}}, start));
    const auto reply = it.claim(make_request("2", false), held_for(10s, start), start);
    cr_assert_eq(reply.verdict, claim_verdict::answered);
    cr_assert_str_eq(reply.answer.c_str(), "answer");
}

// Guards against imported coverage that still counts after the lease was interrupted, since another
// incarnation may have granted keys meanwhile.
Test(table, an_interrupted_lease_ends_the_imported_coverage)
{
    table it("a", 8, one_owner());
    const handover from{"a", 5, true, 200'000, {}, 7};
    cr_assert(it.import_records(from, held_for(1s, start), start).has_value());
    cr_assert_not(it.import_records(from, held_for(1s, start), start).has_value(), "imported twice");
    const auto later = start + 10s;
    cr_assert_eq(it.claim(make_request("2", false), held_for(5s, later), later).verdict,
                 claim_verdict::unknown);
    cr_assert_eq(it.claim(make_request("2", false), held_for(11s, later), later).verdict,
                 claim_verdict::granted);
}

// Guards against returning a truncated or empty answer as the answer of the call.
Test(table, an_answer_too_long_to_store_is_unknown)
{
    table it("a", 5, one_owner());
    it.claim(make_request("1", true), held_for(10s, start), start);
    it.settle({"team", "key", "1", claim_outcome::done, std::string(max_stored_answer_bytes + 1, 'x')},
              start);
    cr_assert_eq(it.claim(make_request("2", false), held_for(10s, start), start).verdict,
                 claim_verdict::unknown);
}

// Guards against two pairs of team and key that share a record, which would return an answer to another team.
Test(table, equal_concatenations_of_team_and_key_have_separate_records)
{
    table it("a", 5, one_owner());
    auto one = make_request("1", true);
    one.team = "plant-1";
    one.key = "1-x";
    auto two = make_request("2", true);
    two.team = "plant-11";
    two.key = "-x";
    cr_assert_eq(it.claim(one, held_for(10s, start), start).verdict, claim_verdict::granted);
    cr_assert_eq(it.claim(two, held_for(10s, start), start).verdict, claim_verdict::granted);
    cr_assert_eq(it.size(), 2U);
    it.seal(held_for(10s, start), start);
    for (const auto& record : it.export_records(start).records)
        cr_assert(record.team == one.team ? record.key == one.key : record.key == two.key);
}

// Guards against an import of records from an owner that is not the direct predecessor, and against a second
// successor that gets the same records.
Test(handover, is_used_by_one_confirmed_successor)
{
    auto own = eligible_witness(start);
    own.support("a", 5, 7, start);
    handover_keeper keeper;
    cr_assert(keeper.keep({"a", 5, true, 60'000, {}, 7}, 60s, start));
    cr_assert_not(keeper.keep({"a", 6, false, 60'000, {}, 7}, 60s, start), "not sealed");
    const auto reply = keeper.answer_pull(own, "a", 8, start + 3s);
    cr_assert(reply.sealed);
    cr_assert(keeper.answer_pull(own, "a", 8, start + 3s).sealed, "a lost reply may be asked for again");

    handover_collector it("a", 8, owner_map(three_owners()));
    it.record_reply("b", reply);
    cr_assert_not(it.accepted().has_value(), "one of the two other owners has not confirmed");
    it.record_reply("c", {"a", 7, false, 0, {}, 0});
    cr_assert_not(it.accepted().has_value(), "the other owner supported an incarnation in between");
    it.record_reply("c", {"a", 5, false, 0, {}, 0});
    cr_assert(it.accepted().has_value());
    cr_assert_not(keeper.answer_pull(own, "a", 9, start + 3s).sealed, "already used");
}

// Guards against a keeper that returns records although it supported an incarnation after the sealed one.
Test(handover, keeper_that_supported_a_later_incarnation_returns_no_records)
{
    auto own = eligible_witness(start);
    own.support("a", 5, 7, start);
    handover_keeper keeper;
    keeper.keep({"a", 5, true, 60'000, {}, 7}, 60s, start);
    own.update_own_lease({std::nullopt, {}, {}, {}, start + 4s}, start + 1500ms);
    cr_assert(own.support("a", 6, 7, start + 2500ms));
    const auto reply = keeper.answer_pull(own, "a", 8, start + 3s);
    cr_assert_not(reply.sealed);
    cr_assert_eq(reply.incarnation, 6);
}

// Guards against a change of owners after which a former and a new majority may have no common member.
Test(owner_map, only_one_owner_may_change_at_a_time)
{
    auto next = three_owners();
    next.owners = {"a", "b", "c", "d"};
    cr_assert_not(unsafe_change(three_owners(), next).has_value());
    next.owners = {"b", "c"};
    cr_assert_not(unsafe_change(three_owners(), next).has_value());
    next.owners = {"a", "b", "d"};
    cr_assert(unsafe_change(three_owners(), next).has_value());
}

// Guards against a suspension that is not detected because the timer has not ticked since.
Test(suspension_detector, detects_a_suspension_before_and_after_the_tick)
{
    suspension_detector it(start, max_tick_gap);
    it.tick(start + 200ms);
    cr_assert_not(it.last_resumed(start + 400ms).has_value());
    cr_assert(it.last_resumed(start + 5s) == start + 5s);
    it.tick(start + 5s);
    cr_assert(it.last_resumed(start + 6s) == start + 5s);
}
