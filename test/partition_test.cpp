#include "fleet/booking_log.hpp"
#include "fleet/fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <testkit/outputs.hpp>

using namespace limpetlock;
using limpetlock::test::booking_log;
using limpetlock::test::booking_totals;
using limpetlock::test::fleet;
using nlohmann::json;

namespace {

constexpr duration recovery_timeout{60'000};

/// Instances of failure domain a, of six instances in three domains.
const std::vector<std::size_t> domain_a{0, 3};
const std::vector<std::size_t> other_instances{1, 2, 4, 5};

void assert_no_violations(const booking_totals& it)
{
    cr_assert(it.violations.empty(), "%s", it.violations.empty() ? "" : it.violations.front().c_str());
}

/// Returns whether an instance answers a call that is not a booking.
bool serves_other_work(const fleet& it, std::size_t instance)
{
    const json body{{"plant", instance}};
    const auto out = it.post(instance, "/v1/services/plant-feed/stock", body);
    return out.status == 200 && out.json()["result"] == testkit::service_result("stock", body);
}

} // namespace

// Guards against a booking that runs on both sides of a partition, owners that grant without a majority, a
// partition that stops other calls, and a fleet that doesn't recover.
Test(partition, domain_partitioned, .timeout = 180)
{
    fleet it;
    cr_assert(it.wait_ready());
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    booking_log log(it);
    const auto before = test::keys_of_each_owner(it, "before", 2);
    const auto during = test::keys_of_each_owner(it, "during", 3);
    it.endpoint_fault({{"pool", "dispatch"}, {"slow", 40}});
    log.send_all_async(0, before, 1);
    log.send_all_async(1, before, 2);
    it.partition(domain_a, other_instances);
    log.send_all_async(3, during, 1);
    log.send_all_async(4, during, 2);
    log.wait_pending();
    cr_assert(it.wait_until([&] { return !test::holds_lease(it, 0) && !test::holds_lease(it, 3); }),
              "an owner without a majority holds its lease");
    for (std::size_t n = 0; n < it.size(); ++n)
        cr_assert(it.wait_until([&] { return serves_other_work(it, n); }), "instance %zu does not answer", n);
    const auto granted = test::keys_of_owner(it, 1, "majority", 4);
    const auto refused = test::keys_of_owner(it, 0, "minority", 4);
    log.send_all(2, granted, 1);
    log.send_all(3, refused, 1);
    for (const auto& key : granted)
        cr_assert_eq(it.executions(key), 1, "the majority grants no first attempts");
    for (const auto& key : refused)
        cr_assert_eq(it.executions(key), 0, "the minority grants first attempts");
    log.send_all(3, before, 3);
    log.send_all(5, during, 3);
    it.heal_partitions();
    log.send_all(0, during, 4);
    log.send_all(2, before, 4);
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    const auto after = test::keys_of_each_owner(it, "after", 1);
    log.send_all(0, after, 1);
    for (const auto& key : after)
        cr_assert_eq(it.executions(key), 1, "%s isn't granted after the partition", key.c_str());
    assert_no_violations(log.check("domain partitioned, same keys on both sides"));
}

// Guards against double runs and false refusals while callers retry on both sides of a partition that begins
// and heals twice.
Test(partition, callers_on_both_sides, .timeout = 180)
{
    fleet it;
    cr_assert(it.wait_ready());
    cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    booking_log log(it);
    log.start_callers({0, 1, 3, 4, 2, 5}, 12, "both");
    for (int n = 0; n < 2; ++n) {
        it.partition(domain_a, other_instances);
        cr_assert(it.wait_until([&] { return !test::holds_lease(it, 0) && !test::holds_lease(it, 3); }));
        const auto answered_before = log.answered_count();
        cr_assert(
            it.wait_until([&] { return log.answered_count() > answered_before + 20; }, recovery_timeout),
            "the majority grants no first attempts");
        it.heal_partitions();
        cr_assert(it.wait_owners_grant(false), "%s", test::describe_claims(it).c_str());
    }
    assert_no_violations(log.check("domain partitioned twice under traffic"));
}
