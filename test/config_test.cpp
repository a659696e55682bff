#include "fleet/fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <vector>

using namespace limpetlock;
using limpetlock::test::fleet;
using nlohmann::json;

namespace {

/// Target P7: an accepted configuration is in force on all instances within this time.
constexpr duration in_force_target{18'000};

std::int64_t config_number_at(const fleet& it, std::size_t instance)
{
    const json page = it.state(instance);
    return page.is_object() ? page["config"].value("number", std::int64_t{0}) : 0;
}

json config_at(const fleet& it, std::size_t instance)
{
    return it.call_admin(instance, "GET", "/admin/v1/config").json();
}

std::int64_t queue_limit_at(const fleet& it, std::size_t instance)
{
    const json page = config_at(it, instance);
    return page.is_object() ? page["document"]["limits"].value("queue_per_team", std::int64_t{0}) : 0;
}

bool all_have_number(const fleet& it, std::int64_t number, const std::vector<std::size_t>& instances)
{
    return std::all_of(instances.begin(), instances.end(),
                       [&](std::size_t n) { return config_number_at(it, n) == number; });
}

std::vector<std::size_t> all_instances(const fleet& it)
{
    std::vector<std::size_t> out;
    for (std::size_t n = 0; n < it.size(); ++n)
        out.push_back(n);
    return out;
}

bool wait_number(const fleet& it, std::int64_t number)
{
    return it.wait_until([&] { return all_have_number(it, number, all_instances(it)); }, in_force_target);
}

json patch_of(const std::string& author, std::int64_t base, const json& patch)
{
    return {{"kind", "patch"}, {"author", author}, {"base", base}, {"patch", patch}};
}

json queue_patch(const std::string& author, std::int64_t base, std::int64_t queue)
{
    return patch_of(author, base, {{"limits", {{"queue_per_team", queue}}}});
}

/// Returns the result of the entry with this revision, or an empty string while the instance doesn't list it.
std::string result_at(const fleet& it, std::size_t instance, std::int64_t revision)
{
    const json page = config_at(it, instance);
    if (!page.is_object())
        return {};
    for (const auto& outcome : page["outcomes"])
        if (outcome["revision"] == revision)
            return outcome["result"];
    return {};
}

/// Waits until all instances list the result. All six instances read the service, since two of each failure
/// domain do.
bool wait_result(const fleet& it, std::int64_t revision, const std::string& result)
{
    return it.wait_until(
        [&] {
            const auto all = all_instances(it);
            return std::all_of(all.begin(), all.end(),
                               [&](std::size_t n) { return result_at(it, n, revision) == result; });
        },
        in_force_target);
}

std::int64_t config_calls(const fleet& it)
{
    return it.platform_call_counts().value("config", std::int64_t{0});
}

/// Counts observations of a configuration number below the expected one, and of an instance that is ready
/// without it.
struct observed_numbers {
    std::int64_t expected;
    int lower{0};
    int ready_without{0};

    void observe(const fleet& it, std::size_t instance)
    {
        const bool was_ready = it.ready(instance);
        const std::int64_t number = config_number_at(it, instance);
        const bool answered = it.state(instance).is_object();
        lower += answered && number != 0 && number < expected ? 1 : 0;
        ready_without += answered && was_ready && number < expected ? 1 : 0;
    }
};

} // namespace

// Guards against a patch with a stale base that silently overwrites a newer one. Of two patches with the same
// base, the one published first must come into force on all instances and the other be reported as stale, in
// both orders.
Test(config, decides_racing_patches_alike_on_all_instances)
{
    fleet it;
    cr_assert(it.wait_ready());
    std::int64_t number = 1;
    for (const bool ann_first : {true, false}) {
        const json ann = queue_patch("ann", number, 100 + number);
        const json bob = queue_patch("bob", number, 200 + number);
        const auto accepted_revision = it.publish(ann_first ? ann : bob);
        const auto stale_revision = it.publish(ann_first ? bob : ann);
        cr_assert(wait_number(it, number + 1));
        cr_assert(wait_result(it, stale_revision, "stale_base"));
        cr_assert(all_have_number(it, number + 1, all_instances(it)));
        int accepted = 0;
        for (std::size_t n = 0; n < it.size(); ++n) {
            // An instance that learned the configuration from a peer first lists the peer instead of the
            // entry.
            const std::string result = result_at(it, n, accepted_revision);
            accepted += result == "accepted" ? 1 : 0;
            cr_assert(result.empty() || result == "accepted", "%s at %s", result.c_str(), it.name(n).c_str());
            cr_assert_eq(queue_limit_at(it, n), (ann_first ? 100 : 200) + number, "at %s",
                         it.name(n).c_str());
            cr_assert_eq(config_at(it, n)["digest"], config_at(it, 0)["digest"]);
        }
        cr_assert_gt(accepted, 0);
        ++number;
    }
}

// Guards against a partly valid patch whose valid part comes into force, and against an invalid entry that
// blocks the entries after it.
Test(config, rejects_an_invalid_patch_entirely)
{
    fleet it;
    cr_assert(it.wait_ready());
    const json partly_valid{{"limits", {{"queue_per_team", 99}, {"retry_share", 7}}}};
    const json trial{{"base", 1}, {"patch", partly_valid}};
    const auto tried = it.call_admin(0, "POST", "/admin/v1/config/check", trial.dump());
    cr_assert_eq(tried.json()["result"], "invalid", "%s", tried.body.c_str());
    const auto before = queue_limit_at(it, 0);

    const auto refused = it.publish(patch_of("ann", 1, partly_valid));
    cr_assert(wait_result(it, refused, "invalid"));
    for (std::size_t n = 0; n < it.size(); ++n) {
        cr_assert_eq(config_number_at(it, n), 1);
        cr_assert_eq(queue_limit_at(it, n), before);
    }
    it.publish(queue_patch("ann", 1, 98));
    cr_assert(wait_number(it, 2));
    for (std::size_t n = 0; n < it.size(); ++n)
        cr_assert_eq(queue_limit_at(it, n), 98);
}

// Guards against a stale replica that brings an old configuration back into force, in running instances and
// in one that starts and reads the stale replica first.
Test(config, keeps_its_number_when_a_replica_is_stale)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.publish(queue_patch("ann", 1, 71));
    it.publish(queue_patch("ann", 2, 72));
    cr_assert(wait_number(it, 3));
    it.platform_fault({{"mode", "stale"}, {"revision", 1}});
    it.kill(2);
    it.start(2);
    observed_numbers seen{3};
    const auto stale_seen = [&](std::size_t n) {
        const json page = it.state(n);
        return page.is_object() && page["config"]["counters"].value("stale_revisions", 0) > 0;
    };
    cr_assert(it.wait_until(
        [&] {
            for (std::size_t n = 0; n < it.size(); ++n)
                seen.observe(it, n == 2 ? 0 : n);
            return stale_seen(0) && stale_seen(5);
        },
        duration{30'000}));
    cr_assert(it.wait_until(
        [&] {
            const bool ready = it.ready(2);
            cr_assert(!ready || config_number_at(it, 2) == 3, "ready with a stale configuration");
            return ready;
        },
        duration{30'000}));
    cr_assert_eq(seen.lower, 0);
    cr_assert(all_have_number(it, 3, all_instances(it)));
    it.platform_fault({{"mode", "ok"}});
    it.publish(queue_patch("ann", 3, 73));
    cr_assert(wait_number(it, 4));
}

// Guards against an outage of the configuration service that lowers an instance's number or ends its process,
// and against changes that are lost after the outage.
Test(config, keeps_its_number_in_an_outage)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.publish(queue_patch("ann", 1, 71));
    cr_assert(wait_number(it, 2));
    it.platform_fault({{"mode", "down"}});
    observed_numbers seen{2};
    cr_assert(it.wait_until(
        [&] {
            bool failed = true;
            for (std::size_t n = 0; n < it.size(); ++n) {
                seen.observe(it, n);
                const json page = it.state(n);
                failed =
                    failed && page.is_object() && page["config"]["counters"].value("read_failures", 0) > 1;
            }
            return failed;
        },
        duration{30'000}));
    cr_assert_eq(seen.lower, 0);
    cr_assert(all_have_number(it, 2, all_instances(it)));
    const auto served = it.post(0, "/v1/services/plant-feed/stock", {{"plant", 1}});
    cr_assert_eq(served.status, 200, "%s", served.body.c_str());
    it.platform_fault({{"mode", "ok"}});
    it.publish(queue_patch("ann", 2, 72));
    cr_assert(wait_number(it, 3));
}

// Guards against an instance that starts while the configuration service is down and becomes ready without
// the configuration in force, or never becomes ready. It must learn the configuration from its peers.
Test(config, lets_a_new_instance_learn_from_peers)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.publish(queue_patch("ann", 1, 71));
    cr_assert(wait_number(it, 2));
    it.platform_fault({{"config_down", true}});
    it.kill(3);
    it.start(3);
    cr_assert(it.wait_until(
                  [&] {
                      const bool ready = it.ready(3);
                      cr_assert(!ready || config_number_at(it, 3) == 2,
                                "ready without the configuration in force");
                      return ready;
                  },
                  duration{30'000}),
              "%s", (it.state(3)["peers"].dump() + it.state(3)["members"].dump()).c_str());
    cr_assert_eq(queue_limit_at(it, 3), 71);
    it.platform_fault({{"config_down", false}});
    it.publish(queue_patch("ann", 2, 72));
    cr_assert(wait_number(it, 3));
}

// Guards against configurations that differ permanently after a partition. Instances that can't reach each
// other must accept the same change, and agree on the next one after the partition.
Test(config, agrees_after_a_partition)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.partition({0, 1}, {2, 3, 4, 5});
    it.publish(queue_patch("ann", 1, 71));
    const auto stale_revision = it.publish(queue_patch("bob", 1, 81));
    cr_assert(wait_number(it, 2));
    cr_assert(wait_result(it, stale_revision, "stale_base"));
    it.heal_partitions();
    it.publish(queue_patch("bob", 2, 82));
    cr_assert(wait_number(it, 3));
    for (std::size_t n = 0; n < it.size(); ++n) {
        cr_assert_eq(queue_limit_at(it, n), 82);
        cr_assert_eq(config_at(it, n)["diverged"], false);
    }
}

// Guards against an instance that was frozen during a change and keeps the old configuration permanently, or
// brings the old number back to the other instances.
Test(config, reaches_an_instance_that_was_frozen)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.freeze(4);
    it.publish(queue_patch("ann", 1, 71));
    it.publish(queue_patch("ann", 2, 72));
    cr_assert(it.wait_until([&] { return all_have_number(it, 3, {0, 1, 2, 3, 5}); }, in_force_target));
    it.thaw(4);
    observed_numbers seen{3};
    cr_assert(it.wait_until(
        [&] {
            seen.observe(it, 0);
            return config_number_at(it, 4) == 3;
        },
        in_force_target));
    cr_assert_eq(seen.lower, 0);
    cr_assert(all_have_number(it, 3, all_instances(it)));
}

// Guards against a change that takes longer than the target. It also prints the seconds until a change is in
// force on all instances, and the calls to the service while idle and per change.
Test(config, puts_a_change_in_force_in_time)
{
    constexpr int changes = 10;
    // Three rounds of the watches, each of which waits 10 s.
    constexpr duration idle{30'000};
    fleet it;
    cr_assert(it.wait_ready());
    // Each instance waits for changes of the configuration and of the instance list.
    const auto all_watches_waiting = [&] {
        return it.wait_until([&] { return it.platform_call_counts()["waiting"] == 2 * it.size(); });
    };
    cr_assert(all_watches_waiting());
    const auto calls_at_start = config_calls(it);
    it.wait_until([] { return false; }, idle);
    const auto calls_idle = config_calls(it) - calls_at_start;
    std::vector<double> seconds;
    std::int64_t calls = 0;
    for (int n = 0; n < changes; ++n) {
        cr_assert(all_watches_waiting());
        const auto calls_before = config_calls(it);
        const time_point published = boot_clock::now();
        it.publish(queue_patch("ann", n + 1, 100 + n));
        cr_assert(wait_number(it, n + 2), "change %d", n);
        seconds.push_back(static_cast<double>((boot_clock::now() - published).count()) / 1e3);
        cr_assert(all_watches_waiting());
        calls += config_calls(it) - calls_before;
    }
    std::sort(seconds.begin(), seconds.end());
    fmt::print("seconds until in force on {}: median {:.3f}, longest {:.3f}\n", it.size(),
               seconds[seconds.size() / 2], seconds.back());
    fmt::print("service calls: {:.2f} per change, {:.2f} per idle second\n",
               static_cast<double>(calls) / changes,
               static_cast<double>(calls_idle) * 1e3 / static_cast<double>(idle.count()));
}
