/// \file
/// Tests of a store that comes back from an older copy, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::store_mode;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t instances = 3;

/// The stand-in's bound for the adoption of a configuration, less the time that a request takes.
constexpr milliseconds adoption_time{1'900};

/// Time for which the store is away.
constexpr milliseconds outage{1'500};

/// Time after which a change without faults is in force and the instances have pinged one another.
constexpr milliseconds spread_time{700};

platform_call call_to(const std::string& path, int n)
{
    platform_call out;
    out.path = path;
    out.request_id = fmt::format("{:016x}", n + 0x1000);
    out.deadline = milliseconds(1'500);
    return out;
}

void add_route(site& it, const std::string& prefix)
{
    auto route = it.config["routes"][2];
    route["name"] = prefix;
    route["prefix"] = prefix;
    it.config["routes"].push_back(route);
}

/// The store is away, and comes back from its copy.
void lose_changes(platform_fleet& fleet)
{
    fleet.with_site([](site& it) { it.state.set_mode(store_mode::refusing); });
    std::this_thread::sleep_for(outage);
    fleet.with_site([](site& it) {
        it.state.restore_copy();
        it.state.set_mode(store_mode::serving);
    });
}

/// Expects the status from each instance.
void expect_status(platform_fleet& fleet, const std::string& path, int status)
{
    for (std::size_t n = 0; n < instances; ++n)
        cr_expect_eq(fleet.send_and_wait(n, call_to(path, static_cast<int>(n))).status, status,
                     "%s at instance %zu", path.c_str(), n);
}

} // namespace

// Guards against a change that is not in force in time, or at some instances never, because the store gave it
// a revision that it had given to a lost change before. Twice, with as many changes as were lost.
Test(restored, change_after_a_loss_is_in_force_in_time)
{
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    for (int n = 1; n <= 2; ++n) {
        fleet.with_site([](site& it) { it.state.take_copy(); });
        for (int k = 1; k <= 3; ++k) {
            fleet.with_site([&](site& it) {
                add_route(it, fmt::format("/lost{}-{}/", n, k));
                it.publish_config();
            });
            std::this_thread::sleep_for(spread_time);
        }
        lose_changes(fleet);
        fleet.with_site([](site& it) { it.write_again(); });
        std::this_thread::sleep_for(spread_time);
        const std::string prefix = fmt::format("/new{}/", n);
        fleet.with_site([&](site& it) {
            add_route(it, prefix);
            it.publish_config();
        });
        std::this_thread::sleep_for(adoption_time);
        expect_status(fleet, prefix + "x", 200);
        expect_status(fleet, fmt::format("/lost{}-3/x", n), 200);
    }
}

// Guards against a configuration that comes back older while the store has only that of its copy: dropped
// routes and revoked keys stay away, also at an instance that starts meanwhile.
Test(restored, configuration_of_the_copy_does_not_come_into_force_again)
{
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        it.state.take_copy();
        it.config["routes"].erase(4);
        it.config["tenants"][0]["apiKeys"] = {"key-two"};
        add_route(it, "/new/");
        it.publish_config();
    });
    std::this_thread::sleep_for(spread_time);
    lose_changes(fleet);
    fleet.signal(2, SIGKILL);
    fleet.wait_exit(2, milliseconds(1'000));
    fleet.start(2);
    std::this_thread::sleep_for(milliseconds(1'500));
    for (std::size_t n = 0; n < instances; ++n) {
        cr_expect_neq(fleet.send_and_wait(n, call_to("/open/x", 1)).status, 200, "a dropped route at %zu", n);
        cr_expect_neq(fleet.send_and_wait(n, call_to("/lookup/x", 2)).status, 200, "a revoked key at %zu", n);
    }
    fleet.with_site([](site& it) { it.write_again(); });
    std::this_thread::sleep_for(adoption_time);
    for (std::size_t n = 0; n < instances; ++n) {
        auto call = call_to("/new/x", 3);
        call.api_key = "key-two";
        cr_expect_eq(fleet.send_and_wait(n, call).status, 200, "the valid key at %zu", n);
    }
}

// Guards against new work for an endpoint that was leaving, or had left, when the store lost that, and
// against one that stays away although it has written its entry again.
Test(restored, endpoints_that_were_leaving_get_no_work_until_they_write_their_entry_again)
{
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        it.state.take_copy();
        it.state.put("servers/i-plain-0", it.plain[0]->entry("draining"));
    });
    std::this_thread::sleep_for(spread_time);
    lose_changes(fleet);
    std::this_thread::sleep_for(milliseconds(1'000));
    for (int n = 0; n < 12; ++n)
        cr_expect_eq(
            fleet.send_and_wait(static_cast<std::size_t>(n) % instances, call_to("/lookup/x", n)).status,
            200);
    fleet.with_site([](site& it) {
        cr_expect_eq(it.plain[0]->runs().size(), 0, "%zu requests at a leaving endpoint",
                     it.plain[0]->runs().size());
        it.state.put("servers/i-plain-0", it.plain[0]->entry("draining"));
        it.state.put("servers/i-plain-1", it.plain[1]->entry());
        it.state.remove("servers/i-plain-0");
        it.state.take_copy();
        it.state.put("servers/i-plain-0", it.plain[0]->entry());
    });
    std::this_thread::sleep_for(spread_time);
    lose_changes(fleet);
    fleet.with_site([](site& it) { it.state.put("servers/i-plain-0", it.plain[0]->entry()); });
    std::this_thread::sleep_for(adoption_time);
    for (int n = 0; n < 24; ++n)
        cr_expect_eq(
            fleet.send_and_wait(static_cast<std::size_t>(n) % instances, call_to("/lookup/x", 50 + n)).status,
            200);
    fleet.with_site([](site& it) { cr_expect_gt(it.plain[0]->runs().size(), 3); });
}
