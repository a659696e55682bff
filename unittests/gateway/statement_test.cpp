#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/endpoint_statements.hpp>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000'000 + ms));
}

endpoint endpoint_of(const std::string& id, std::int64_t started_ms = 1)
{
    endpoint out;
    out.id = id;
    out.pool = "pool";
    out.address = {"host-" + id, 80};
    out.slots = 4;
    out.started_ms = started_ms;
    return out;
}

answer_metadata leaving_answer()
{
    answer_metadata out;
    out.leaving = true;
    return out;
}

answer_metadata pause_of(std::int64_t ms)
{
    answer_metadata out;
    out.retry_after = duration(ms);
    return out;
}

bool is_leaving(const endpoint_statements& it, std::vector<endpoint> list, const std::string& id)
{
    it.mark_leaving(list);
    for (const auto& e : list)
        if (e.id == id)
            return e.leaving;
    return false;
}

} // namespace

// Guards against work for an endpoint that said in an answer that it leaves, while its entry still says that
// it is ready, or says so again after the store came back from an older copy.
Test(statements, endpoint_that_states_its_leaving_gets_no_work_until_it_starts_again)
{
    endpoint_statements it("one");
    const std::vector<endpoint> list{endpoint_of("e"), endpoint_of("f")};
    it.set_endpoints(list);
    int changes = 0;
    it.set_leaving_handler([&changes] { ++changes; });
    it.record_answer("e", leaving_answer(), false, at(0), at(10));
    cr_expect_eq(changes, 1);
    cr_expect(is_leaving(it, list, "e"));
    cr_expect_not(is_leaving(it, list, "f"));
    it.record_answer("e", {}, true, at(20), at(30));
    cr_expect(is_leaving(it, list, "e"), "an answer without the statement doesn't end it");
    it.set_endpoints({endpoint_of("f")});
    it.leavings_for_peers(at(60'000), 24);
    it.set_endpoints(list);
    cr_expect(is_leaving(it, list, "e"), "listed again as the same process");
    const std::vector<endpoint> again{endpoint_of("e", 2), endpoint_of("f")};
    it.set_endpoints(again);
    cr_expect_not(is_leaving(it, again, "e"));
}

// Guards against blaming a new process for what the one before it, or another one at its address, said.
Test(statements, answer_of_another_process_says_nothing)
{
    endpoint_statements it("one");
    const std::vector<endpoint> list{endpoint_of("e", 2), endpoint_of("f")};
    it.set_endpoints(list);
    it.record_answer(endpoint_of("e", 1), leaving_answer(), true, at(0), at(10));
    auto elsewhere = leaving_answer();
    elsewhere.wrong_endpoint = true;
    it.record_answer("f", elsewhere, true, at(0), at(10));
    it.merge(leaving_statement{"e", 1, "two", at(5)}, at(10));
    it.merge(leaving_statement{"f", 1, "two", at(50)}, at(10));
    cr_expect_not(is_leaving(it, list, "e"));
    cr_expect_not(is_leaving(it, list, "f"));
}

// Guards against instances that learn of a leaving only from their own requests, and against one faulty
// instance that takes a whole pool away from the others.
Test(statements, leaving_spreads_to_peers_but_leaves_a_pool_its_last_endpoint)
{
    std::vector<endpoint> list;
    for (int n = 0; n < 60; ++n)
        list.push_back(endpoint_of("e" + std::to_string(n)));
    endpoint_statements one("one");
    endpoint_statements two("two");
    one.set_endpoints(list);
    two.set_endpoints(list);
    const auto exchange = [&] {
        for (int n = 0; n < 3; ++n)
            for (const auto& it : one.leavings_for_peers(at(200), 24))
                two.merge(it, at(200));
    };
    for (int n = 0; n < 59; ++n)
        one.record_answer("e" + std::to_string(n), leaving_answer(), true, at(0), at(100));
    const auto version = two.version();
    exchange();
    cr_expect_eq(two.leaving_count(), 59);
    cr_expect_gt(two.version(), version, "peers pass it on");
    cr_expect(is_leaving(two, list, "e0"));
    cr_expect_not(is_leaving(two, list, "e59"));
    one.record_answer("e59", leaving_answer(), true, at(0), at(100));
    exchange();
    cr_expect(is_leaving(one, list, "e0"));
    cr_expect_not(is_leaving(two, list, "e0"), "no endpoint would be left by the word of one instance");
    two.record_answer("e0", leaving_answer(), true, at(300), at(310));
    cr_expect(is_leaving(two, list, "e0"), "its own knowledge holds");
}

// Guards against requests to an endpoint that asked for none, and against a burst at the end of its pause.
Test(statements, paused_endpoint_gets_nothing_and_returns_gradually)
{
    endpoint_statements statements("one");
    endpoint_selector it(statements);
    const std::vector<endpoint> list{endpoint_of("e"), endpoint_of("f")};
    statements.set_endpoints(list);
    it.set_endpoints(list, at(0));
    statements.record_answer("e", pause_of(2'000), true, at(0), at(0));
    for (int n = 0; n < 20; ++n) {
        const auto to = it.select({"pool", static_cast<std::uint64_t>(n), "", {}}, at(n * 100 - 1));
        cr_assert(to.has_value());
        cr_expect_eq(to->id, "f");
    }
    cr_expect_not(it.select({"pool", 0, "", {"f"}}, at(1'000)).has_value());
    cr_expect_not(it.next_held_back({"pool", 0, "", {"f"}}, at(1'000)).has_value());
    cr_expect(it.next_pause_end({"pool", 0, "", {"f"}}, at(1'000)) == at(2'000));
    int sent = 0;
    for (int n = 0; n < 6; ++n) {
        const auto to = it.select({"pool", 0, "", {}}, at(2'100));
        cr_assert(to.has_value());
        it.begin_attempt(to->id, at(2'100));
        sent += to->id == "e" ? 1 : 0;
    }
    cr_expect_leq(sent, 1, "%d of 6 requests at once", sent);
    cr_expect(it.select({"pool", 0, "", {"f"}}, at(2'200)).has_value());
}

// Guards against a pause that never ends, or none at all, by a value that is absurd or can't be read, and
// against a shorter pause that ends a longer one.
Test(statements, pauses_are_bounded_and_the_longest_holds)
{
    endpoint_statements it("one");
    it.set_endpoints({endpoint_of("e"), endpoint_of("f"), endpoint_of("g")});
    it.record_answer("e", pause_of(1'000'000'000'000), true, at(0), at(0));
    cr_expect(it.paused_until("e", at(1)) == at(endpoint_statements::max_pause.count()));
    answer_metadata malformed;
    malformed.malformed_retry_after = true;
    it.record_answer("f", malformed, true, at(0), at(0));
    cr_expect(it.paused_until("f", at(1)) == at(endpoint_statements::default_pause.count()));
    it.record_answer("g", pause_of(5'000), true, at(0), at(0));
    it.record_answer("g", pause_of(500), true, at(0), at(100));
    cr_expect(it.paused_until("g", at(200)) == at(5'000));
    cr_expect_not(it.paused_until("g", at(5'000)).has_value());
    it.set_endpoints({endpoint_of("g", 2)});
    cr_expect_not(it.paused_until("g", at(200)).has_value(), "a new process");
}
