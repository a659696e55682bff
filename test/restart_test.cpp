#include "fleet/booking_log.hpp"
#include "fleet/fleet.hpp"

#include <criterion/criterion.h>

using namespace limpetlock;
using limpetlock::test::booking_log;
using limpetlock::test::booking_totals;
using limpetlock::test::fleet;

namespace {

constexpr int callers = 12;
constexpr duration stop_timeout{30'000};

/// Number of attempts between two faults, so that each fault occurs under traffic.
constexpr std::size_t attempts_between_faults = 50;

void assert_no_violations(const booking_totals& it)
{
    cr_assert(it.violations.empty(), "%s", it.violations.empty() ? "" : it.violations.front().c_str());
}

void wait_until_granting(const fleet& it)
{
    cr_assert(it.wait_ready());
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
}

/// Returns the number of records that an instance has imported from its predecessor.
std::size_t imported_records(const fleet& it, std::size_t instance)
{
    const auto counters = test::claims_state(it, instance).value("counters", nlohmann::json::object());
    return counters.value("imported", std::size_t{0});
}

void wait_further_attempts(const fleet& it, const booking_log& log)
{
    const auto before = log.attempt_count();
    cr_assert(it.wait_until([&] { return log.attempt_count() >= before + attempts_between_faults; }));
}

void stop_and_start(fleet& it, std::size_t instance)
{
    it.terminate(instance);
    const auto code = it.wait_exit(instance, stop_timeout);
    cr_assert(code.has_value(), "%s doesn't stop", it.name(instance).c_str());
    cr_assert_eq(*code, 0);
    it.start(instance);
    cr_assert(it.wait_ready());
}

/// Checks that every owner grants first attempts again.
void assert_recovered(const fleet& it, booking_log& log, const std::string& prefix)
{
    cr_assert(it.wait_ready());
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    const auto keys = test::keys_of_each_owner(it, prefix, 2);
    log.send_all(0, keys, 1);
    for (const auto& key : keys)
        cr_assert_eq(it.executions(key), 1, "%s isn't granted after the restart", key.c_str());
}

std::vector<std::size_t> all_instances(const fleet& it)
{
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n < it.size(); ++n)
        out.push_back(n);
    return out;
}

} // namespace

// Guards against the loss of claims at a planned stop. An owner stops and restarts under traffic, and earlier
// bookings of its keys must be answered from the records that it handed over.
Test(restart, planned_stop_of_an_owner, .timeout = 120)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_owner(it, 4, "kept", 10);
    log.send_all(0, keys, 1);
    cr_assert_eq(log.answered_count(), keys.size());
    log.start_callers({0, 1, 2, 3, 5}, callers, "traffic");
    wait_further_attempts(it, log);
    stop_and_start(it, 4);
    cr_assert(it.wait_until([&] { return imported_records(it, 4) >= keys.size(); }), "%s",
              test::claims_state(it, 4).dump().c_str());
    wait_further_attempts(it, log);
    log.stop_callers();
    for (const auto& key : keys) {
        const auto again = log.send(1, key, 2);
        cr_assert_eq(again.status, 200, "%s: %s", key.c_str(), again.body.c_str());
    }
    assert_no_violations(log.check("planned stop of an owner"));
}

// Guards against double runs, false refusals and lost claims when all instances are restarted one after
// another by planned stops, as for a new release. Each restart waits until every owner grants first attempts,
// since an owner without a lease at its stop can't seal its records.
Test(restart, one_after_another, .timeout = 180)
{
    test::fleet_options options;
    options.key_lifetime_ms = 600'000; // The restarts take about a minute.
    fleet it(options);
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "kept", 3);
    log.send_all(0, keys, 1);
    cr_assert_eq(log.answered_count(), keys.size());
    log.start_callers(all_instances(it), callers, "rolling");
    for (std::size_t n = 0; n < it.size(); ++n) {
        stop_and_start(it, n);
        cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    }
    log.stop_callers();
    for (const auto& key : keys) {
        const auto again = log.send(1, key, 2);
        cr_assert_eq(again.status, 200, "%s: %s", key.c_str(), again.body.c_str());
    }
    for (std::size_t n = 0; n < it.size(); ++n)
        cr_assert(imported_records(it, n) > 0, "%s: %s", it.name(n).c_str(),
                  test::claims_state(it, n).dump().c_str());
    assert_no_violations(log.check("all restarted one after another"));
}

// Guards against double runs, false refusals and a fleet that doesn't recover when each restart begins as
// soon as the instance restarted before holds its lease. The other owners may then lose their leases and
// records.
Test(restart, in_quick_succession, .timeout = 180)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "quick", 3);
    log.send_all(0, keys, 1);
    log.start_callers(all_instances(it), callers, "quick-traffic");
    for (std::size_t n = 0; n < it.size(); ++n) {
        stop_and_start(it, n);
        cr_assert(it.wait_until([&] { return test::holds_lease(it, n); }), "%zu%s", n,
                  test::describe_claims(it).c_str());
    }
    log.send_all(1, keys, 2);
    log.stop_callers();
    assert_recovered(it, log, "after");
    assert_no_violations(log.check("all restarted in quick succession"));
}

// Guards against double runs and false refusals when two owners of different failure domains die at the same
// time. The pairs of instances cover all pairs of domains.
Test(restart, two_at_once, .timeout = 180)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    log.start_callers(all_instances(it), callers, "two");
    for (std::size_t n = 0; n < it.size(); n += 2) {
        wait_further_attempts(it, log);
        it.kill(n);
        it.kill(n + 1);
        wait_further_attempts(it, log);
        it.start(n);
        it.start(n + 1);
        cr_assert(it.wait_ready());
        cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    }
    log.stop_callers();
    assert_recovered(it, log, "after");
    assert_no_violations(log.check("two killed at once, three times"));
}

// Guards against owners that lose their records when all instances die at the same time, and then grant
// retries of bookings that ran.
Test(restart, all_at_once, .timeout = 180)
{
    fleet it;
    wait_until_granting(it);
    booking_log log(it);
    const auto keys = test::keys_of_each_owner(it, "lost", 3);
    log.send_all(0, keys, 1);
    log.start_callers(all_instances(it), callers, "all");
    wait_further_attempts(it, log);
    for (std::size_t n = 0; n < it.size(); ++n)
        it.kill(n);
    for (std::size_t n = 0; n < it.size(); ++n)
        it.start(n);
    cr_assert(it.wait_ready());
    log.send_all(1, keys, 2);
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    log.send_all(2, keys, 3);
    log.stop_callers();
    assert_recovered(it, log, "after");
    assert_no_violations(log.check("all killed at once"));
}
