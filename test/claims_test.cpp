#include "fleet/booking_log.hpp"
#include "fleet/fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <testkit/outputs.hpp>

#include <algorithm>

using namespace limpetlock;
using limpetlock::test::booking_log;
using limpetlock::test::booking_totals;
using limpetlock::test::fleet;
using nlohmann::json;

namespace {

/// Slowdown factor with which a booking takes about 0.5 s, so that a fault occurs while the endpoint works.
constexpr double half_second_slowdown = 120;

/// Slowdown factor with which a booking takes about 1.5 s, longer than its timeout of 1 s.
constexpr double slowdown_beyond_timeout = 300;

constexpr duration recovery_timeout{30'000};

void assert_no_violations(const booking_totals& it)
{
    cr_assert(it.violations.empty(), "%s", it.violations.empty() ? "" : it.violations.front().c_str());
}

void slow_down(const fleet& it, double factor)
{
    it.endpoint_fault({{"pool", "dispatch"}, {"slow", factor}});
}

void clear_faults(const fleet& it)
{
    it.endpoint_fault({{"pool", "dispatch"}, {"clear", true}});
}

void wait_until_granting(const fleet& it)
{
    cr_assert(it.wait_ready());
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
}

/// Sends first attempts in the background and waits until all of them have reached an endpoint.
void send_async_and_wait_received(const fleet& it, booking_log& log, std::size_t instance,
                                  const std::vector<std::string>& keys)
{
    const auto wanted = test::received_bookings(it) + static_cast<std::int64_t>(keys.size());
    log.send_all_async(instance, keys, 1);
    cr_assert(it.wait_until([&] { return test::received_bookings(it) >= wanted; }));
    cr_assert(test::running_bookings(it) > 0, "the endpoints finished all bookings before the fault");
}

bool all_have_run(const fleet& it, const std::vector<std::string>& keys)
{
    const json page = it.runs();
    return std::all_of(keys.begin(), keys.end(),
                       [&](const std::string& key) { return page["keys"].contains(key); });
}

} // namespace

// Guards against a second run, and a false "not run", when a caller retries at another instance while the one
// that holds the call is frozen. The keys belong to all owners, so the frozen instance owns some of them.
Test(claims, holder_frozen, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "frozen", 2);
    slow_down(it, half_second_slowdown);
    send_async_and_wait_received(it, log, 0, keys);
    it.freeze(0);
    log.send_all(1, keys, 2);
    log.send_all(2, keys, 3);
    it.thaw(0);
    log.wait_pending();
    log.send_all(3, keys, 4);
    const auto totals = log.check("holder frozen");
    assert_no_violations(totals);
    cr_assert_eq(totals.max_executions_per_key, 1);
}

// Guards against an attempt that waits in the socket of a frozen instance and runs after the thaw, although a
// retry of the same key has been answered or refused as "not run" in the meantime.
Test(claims, holder_frozen_before_claim_request, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "early", 2);
    it.freeze(0);
    log.send_all_async(0, keys, 1);
    log.send_all(1, keys, 2);
    it.thaw(0);
    log.wait_pending();
    log.send_all(2, keys, 3);
    assert_no_violations(log.check("holder frozen before it asks"));
}

// Guards against a second run, and a false "not run", when the instance that holds the call dies.
Test(claims, holder_killed, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "killed", 2);
    slow_down(it, half_second_slowdown);
    send_async_and_wait_received(it, log, 0, keys);
    it.kill(0);
    log.send_all(1, keys, 2);
    it.start(0);
    log.send_all(2, keys, 3);
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    log.send_all(3, keys, 4);
    assert_no_violations(log.check("holder killed"));
}

// Guards against a second grant when the owner of a key resumes after a retry. The owner is frozen while the
// call is in flight, and no other process replaces it.
Test(claims, owner_frozen, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_owner(it, 4, "owner-frozen", 6);
    slow_down(it, half_second_slowdown);
    send_async_and_wait_received(it, log, 0, keys);
    it.freeze(4);
    log.send_all(1, keys, 2);
    it.thaw(4);
    log.wait_pending();
    cr_assert(log.send_until_answered(keys, 3, recovery_timeout));
    assert_no_violations(log.check("owner frozen"));
}

// Guards against an owner that has lost its records and grants a key again. The owner is killed while the
// call is in flight and restarted at its old address.
Test(claims, owner_killed, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_owner(it, 4, "owner-killed", 6);
    slow_down(it, half_second_slowdown);
    send_async_and_wait_received(it, log, 0, keys);
    it.kill(4);
    log.send_all(1, keys, 2);
    it.start(4);
    log.send_all(2, keys, 3);
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    log.send_all(3, keys, 4);
    assert_no_violations(log.check("owner killed"));
}

// Guards against two owners of one key. The owner is frozen while the call is in flight and replaced under
// the same name at a new address. The old process resumes later with requests in its sockets and a lease that
// it still takes for valid.
Test(claims, owner_replaced_while_frozen, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_owner(it, 4, "replaced", 6);
    const auto late = test::keys_of_owner(it, 4, "replaced-late", 6);
    slow_down(it, half_second_slowdown);
    send_async_and_wait_received(it, log, 0, keys);
    it.freeze(4);
    log.send_all_async(4, late, 1);
    log.send_all(1, keys, 2);
    it.replace_at_new_address(4);
    log.send_all(2, keys, 3);
    cr_assert(it.wait_ready());
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    clear_faults(it);
    log.send_all(3, late, 2);
    it.thaw_replaced();
    log.send_all(2, late, 3);
    log.wait_pending();
    log.send_all(3, keys, 4);
    log.send_all(5, late, 4);
    const auto fresh = test::keys_of_owner(it, 4, "replaced-fresh", 6);
    log.send_all(5, fresh, 1);
    cr_assert(all_have_run(it, fresh), "the replacement does not grant first attempts");
    assert_no_violations(log.check("owner replaced while frozen"));
}

// Guards against two grants when retries of a key reach different instances at the same time, before, during
// and after the run of the first attempt.
Test(claims, retries_at_once, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "at-once", 2);
    slow_down(it, half_second_slowdown / 4);
    for (std::size_t n = 0; n < it.size(); ++n)
        log.send_all_async(n, keys, static_cast<int>(n) + 1);
    log.wait_pending();
    log.send_all(1, keys, 7);
    const auto totals = log.check("retries at once");
    assert_no_violations(totals);
    cr_assert_eq(totals.answered, keys.size());
}

// Guards against a second booking when a key is reused with another body, and against answering one body with
// the result of the other.
Test(claims, another_body, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    for (std::size_t n = 0; n < it.size(); ++n) {
        const auto key = test::keys_of_owner(it, n, "body", 1).front();
        const auto first = it.book(0, key, 1, {{"truck", 1}});
        cr_assert_eq(first.status, 200, "%s", first.body.c_str());
        const auto other = it.book(1, key, 2, {{"truck", 2}});
        cr_assert_eq(other.status, 409, "%s", other.body.c_str());
        cr_assert_eq(other.code(), "key_reused", "%s", other.body.c_str());
        const auto again = it.book(2, key, 3, {{"truck", 1}});
        cr_assert_eq(again.json()["result"], testkit::service_result("book", {{"truck", 1}}));
        cr_assert_eq(it.executions(key), 1);
    }
}

// Guards against a second run, and a false "not run", when an endpoint runs a booking and closes the
// connection before it answers.
Test(claims, endpoint_dies_after_the_call, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "after", 2);
    it.endpoint_fault({{"pool", "dispatch"}, {"die_after", 1.0}});
    log.send_all(0, keys, 1);
    cr_assert(all_have_run(it, keys));
    clear_faults(it);
    log.send_all(1, keys, 2);
    log.send_all(2, keys, 3);
    const auto totals = log.check("endpoint dies after the call");
    assert_no_violations(totals);
    cr_assert_eq(totals.unknown, keys.size());
}

// Guards against a "not run", or a repeated call, when an endpoint closes the connection before it runs the
// request. The instance can't know that the call did not run.
Test(claims, endpoint_dies_before_the_call, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "before", 2);
    it.endpoint_fault({{"pool", "dispatch"}, {"die_before", 1.0}});
    log.send_all(0, keys, 1);
    clear_faults(it);
    log.send_all(1, keys, 2);
    const auto totals = log.check("endpoint dies before the call");
    assert_no_violations(totals);
    cr_assert_eq(totals.unknown, keys.size());
    cr_assert_eq(totals.max_executions_per_key, 0);
}

// Guards against bookings on reused connections. If the endpoint closes such a connection at the first byte
// of the next request, the outcome is unknown. Lookups first leave idle connections behind.
Test(claims, endpoint_closes_idle_connections, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    for (int n = 0; n < 20; ++n)
        cr_assert_eq(it.post(0, "/v1/services/dispatch/lookup", {{"truck", n}}).status, 200);
    it.endpoint_fault({{"pool", "dispatch"}, {"close_idle", true}});
    const auto keys = test::keys_of_each_owner(it, "idle", 2);
    log.send_all(0, keys, 1);
    const auto totals = log.check("endpoint closes idle connections");
    assert_no_violations(totals);
    cr_assert_eq(totals.answered, keys.size());
}

// Guards against losing an answer that comes after the timeout of the call. The caller gets an unknown
// outcome, and its next attempt must get the answer without a second run.
Test(claims, endpoint_answers_late, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "late", 2);
    slow_down(it, slowdown_beyond_timeout);
    for (const auto& key : keys)
        log.send_async(test::owner_of(it, key), key, 1);
    log.wait_pending();
    cr_assert_eq(log.answered_count(), 0U, "the endpoints are not slow enough");
    cr_assert(it.wait_until([&] { return all_have_run(it, keys); }));
    clear_faults(it);
    cr_assert(log.send_until_answered(keys, 2, recovery_timeout));
    const auto totals = log.check("endpoint answers late");
    assert_no_violations(totals);
    cr_assert_eq(totals.answered, keys.size());
}

// Guards against one request id for two attempts. Instances that start in the same millisecond have the same
// incarnation, and an owner that sees one id twice takes the second claim request for a repetition and grants
// it again.
Test(claims, request_ids_differ_between_instances, .timeout = 120)
{
    fleet it;
    cr_assert(it.wait_ready());
    for (std::size_t n = 0; n < it.size(); ++n) {
        const auto out = it.post(n, "/v1/services/plant-feed/stock", {{"plant", n}});
        const auto id = out.json().value("request_id", "");
        cr_assert(id.starts_with(it.name(n) + "-"), "%s", out.body.c_str());
    }
}
