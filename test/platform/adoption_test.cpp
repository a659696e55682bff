/// \file
/// Tests of the time until a published configuration is in force, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <csignal>
#include <limits>
#include <thread>

using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::store_mode;
using std::chrono::milliseconds;

namespace {

/// The stand-in's bound for the adoption of a configuration, less the time that a request takes.
constexpr milliseconds adoption_time{1'900};

constexpr std::size_t all_answers = std::numeric_limits<std::size_t>::max();

platform_call call_to(const std::string& path, int n)
{
    platform_call out;
    out.path = path;
    out.request_id = fmt::format("{:016x}", n + 0x1000);
    out.deadline = milliseconds(1'500);
    return out;
}

/// Publishes a configuration with a further route.
void publish_route(site& it, const std::string& prefix)
{
    auto route = it.config["routes"][2];
    route["name"] = prefix;
    route["prefix"] = prefix;
    it.config["routes"].push_back(route);
    it.publish_config();
}

} // namespace

// Guards against a configuration that is in force too late because answers of the store are lost: two in a
// row fit into the bound, also while no watch delivers the change.
Test(adoption, change_is_in_force_in_time_although_two_reads_are_lost)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    for (int n = 1; n <= 3; ++n) {
        const std::string prefix = fmt::format("/new{}/", n);
        fleet.with_site([&](site& it) {
            it.state.set_mode(store_mode::silent_watches);
            it.state.lose_answers("/v1/kv-key", 2);
            publish_route(it, prefix);
        });
        std::this_thread::sleep_for(adoption_time);
        cr_expect_eq(fleet.send_and_wait(0, call_to(prefix + "x", n)).status, 200, "change %d", n);
        fleet.with_site([](site& it) { it.state.set_mode(store_mode::serving); });
        std::this_thread::sleep_for(milliseconds(1'000));
    }
}

// Guards against a change that no instance learns by watches and listings: the history with the change is
// lost, and the watch goes on after the revision of the listing. Reads of the table get no answer here.
Test(adoption, listing_after_lost_history_brings_the_configuration)
{
    platform_fleet fleet(3);
    cr_assert(fleet.wait_ready());
    const std::string prefix = "/new/";
    fleet.with_site([&](site& it) {
        it.state.lose_answers("/v1/kv-key", all_answers);
        publish_route(it, prefix);
        it.state.put("servers/i-other", "not an entry");
        it.state.forget_history();
    });
    std::this_thread::sleep_for(adoption_time);
    for (std::size_t n = 0; n < 3; ++n)
        cr_expect_eq(fleet.send_and_wait(n, call_to(prefix + "x", static_cast<int>(n))).status, 200,
                     "instance %zu", n);
}

// Guards against a large configuration that no instance ever adopts, because its reads are given up while
// they still arrive over a slow link, and against reads that take the link from one another.
Test(adoption, large_configuration_is_in_force_in_time_over_a_slow_link)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    // The first change ends the watch that waits already.
    fleet.with_site([&](site& it) {
        it.state.set_mode(store_mode::silent_watches);
        publish_route(it, "/first/");
        it.state.set_body_time(milliseconds(650));
    });
    std::this_thread::sleep_for(adoption_time);
    std::size_t calls = 0;
    fleet.with_site([&](site& it) {
        publish_route(it, "/second/");
        calls = it.state.calls();
    });
    std::this_thread::sleep_for(adoption_time);
    cr_expect_eq(fleet.send_and_wait(0, call_to("/second/x", 1)).status, 200);
    fleet.with_site([&](site& it) { calls = it.state.calls() - calls; });
    cr_expect_leq(calls, 6, "%zu calls for one change", calls);
}

// Guards against a large configuration that reaches only the instances that watch the store. Reads get no
// answer here, so the others have it from peers, which compress it.
Test(adoption, large_configuration_is_in_force_in_time_at_instances_that_do_not_watch)
{
    constexpr std::size_t instances = 10;
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready(milliseconds(10'000)));
    fleet.with_site([](site& it) {
        for (int n = 0; n < 500; ++n) {
            auto route = it.config["routes"][2];
            route["name"] = route["prefix"] = fmt::format("/filler{}/", n);
            it.config["routes"].push_back(route);
        }
        it.state.lose_answers("/v1/kv-key", all_answers);
        publish_route(it, "/new/");
    });
    std::this_thread::sleep_for(adoption_time);
    for (std::size_t n = 0; n < instances; ++n)
        cr_expect_eq(fleet.send_and_wait(n, call_to("/new/x", static_cast<int>(n))).status, 200,
                     "instance %zu", n);
}

// Guards against a request that runs by a configuration that was replaced while the instance was suspended.
// The request waits in the socket, so that the instance has it before it can read the newer configuration.
Test(adoption, suspended_instance_confirms_its_configuration_before_it_serves)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    cr_expect_eq(fleet.send_and_wait(0, call_to("/open/x", 1)).status, 200);
    fleet.signal(0, SIGSTOP);
    fleet.with_site([](site& it) {
        it.config["routes"].erase(4);
        it.publish_config();
    });
    std::this_thread::sleep_for(milliseconds(2'500));
    auto answer = fleet.send(0, call_to("/open/x", 2));
    std::this_thread::sleep_for(milliseconds(200));
    fleet.signal(0, SIGCONT);
    cr_expect_eq(answer.get().status, 404, "the route is no longer there");
    fleet.with_site([](site& it) {
        for (const auto& endpoint : it.plain)
            for (const auto& run : endpoint->runs())
                cr_expect_neq(run.request_id, call_to("", 2).request_id, "a dropped route was served");
    });
}
