/// \file
/// Tests with real processes of how instances learn that endpoints are removed, while other instances or
/// connections to the store are lost.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using limpetlock::platformkit::store_mode;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Bound of the stand-in's settings from the removal of an endpoint's entry until no request reaches it.
constexpr milliseconds leave_time{2'000};

/// Time after which the watches of the start have ended and the instances have pinged one another.
constexpr milliseconds settle_time{1'500};

/// Time after a disturbance after which the bound holds again, as in the stand-in's settings.
constexpr milliseconds contact_time{3'000};

site_options options_with_plain(std::size_t n)
{
    site_options out;
    out.plain = n;
    out.relays_store = true;
    return out;
}

std::string endpoint_id(std::size_t n)
{
    return fmt::format("i-plain-{}", n);
}

/// Waits until the instance has dropped the endpoint. Returns false after `until`.
bool wait_dropped(const platform_fleet& fleet, std::size_t instance, std::size_t endpoint,
                  steady_clock::time_point until)
{
    const std::string line = "event=endpoint_gone endpoint=" + endpoint_id(endpoint) + " ";
    while (fleet.log_lines(instance, line).empty()) {
        if (steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

/// Waits until the instance knows that the endpoint is leaving. Returns false after `until`.
bool wait_leaving(const platform_fleet& fleet, std::size_t instance, std::size_t endpoint,
                  steady_clock::time_point until)
{
    const std::string line = "event=endpoint_known endpoint=" + endpoint_id(endpoint) + " ";
    const auto known = [&] {
        const auto all = fleet.log_lines(instance, line);
        return std::any_of(all.begin(), all.end(),
                           [](const std::string& it) { return it.find("leaving=yes") != std::string::npos; });
    };
    while (!known()) {
        if (steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

} // namespace

// Guards against a removed endpoint that an undisturbed instance keeps for good: it was removed while the
// others were down, and the state that they list after their restart has no trace of it. Each instance is the
// undisturbed one in turn, so that those that watch the store are killed together.
Test(removals, reach_the_instance_that_was_not_killed)
{
    constexpr std::size_t instances = 5;
    platform_fleet fleet(instances, options_with_plain(instances + 1));
    cr_assert(fleet.wait_ready());
    for (std::size_t calm = 0; calm < instances; ++calm) {
        std::this_thread::sleep_for(settle_time);
        for (std::size_t n = 0; n < instances; ++n)
            if (n != calm)
                fleet.signal(n, SIGKILL);
        std::this_thread::sleep_for(milliseconds(150));
        fleet.with_site([&](site& it) { it.state.remove("servers/" + endpoint_id(calm)); });
        const auto removed_at = steady_clock::now();
        std::this_thread::sleep_for(milliseconds(150));
        for (std::size_t n = 0; n < instances; ++n)
            if (n != calm)
                fleet.start(n);
        cr_expect(wait_dropped(fleet, calm, calm, removed_at + leave_time), "instance %zu keeps %s", calm,
                  endpoint_id(calm).c_str());
        cr_assert(fleet.wait_ready());
    }
}

// Guards against a removed endpoint that stays in use because all instances that watch the store are lost at
// once, for good, and the others wait for changes from them.
Test(removals, reach_the_instances_that_are_left)
{
    constexpr std::size_t instances = 6;
    platform_fleet fleet(instances, options_with_plain(instances + 1));
    cr_assert(fleet.wait_ready());
    for (std::size_t first = 0; first < instances; first += 2) {
        std::this_thread::sleep_for(settle_time);
        for (std::size_t n = 0; n < instances; ++n)
            if (n != first && n != first + 1)
                fleet.signal(n, SIGKILL);
        fleet.with_site([&](site& it) { it.state.remove("servers/" + endpoint_id(first)); });
        const auto until = steady_clock::now() + leave_time;
        for (std::size_t n = first; n < first + 2; ++n)
            cr_expect(wait_dropped(fleet, n, first, until), "instance %zu keeps %s", n,
                      endpoint_id(first).c_str());
        for (std::size_t n = 0; n < instances; ++n)
            if (n != first && n != first + 1)
                fleet.start(n);
        cr_assert(fleet.wait_ready());
    }
}

// Guards against an endpoint that left and stays in use because the connections to the store had gone silent:
// a dead watch that is noticed late, and a grace for entries that lapsed, which begins when the removal is
// learned. At several moments of the watches, with a second silence soon after the first one.
Test(removals, are_known_in_time_after_connections_to_the_store_went_silent)
{
    constexpr std::size_t instances = 6;
    constexpr std::size_t rounds = 5;
    platform_fleet fleet(instances, options_with_plain(rounds + 1));
    cr_assert(fleet.wait_ready());
    for (std::size_t round = 0; round < rounds; ++round) {
        std::this_thread::sleep_for(settle_time + milliseconds(310) * round);
        cr_expect_gt(fleet.silence_store_connections(), 0);
        if (round == 3) {
            std::this_thread::sleep_for(milliseconds(900));
            fleet.silence_store_connections();
        }
        std::this_thread::sleep_for(contact_time + milliseconds(100));
        const bool removed = round % 2 == 0;
        fleet.with_site([&](site& it) {
            const std::string key = "servers/" + endpoint_id(round);
            if (removed)
                it.state.remove(key);
            else
                it.state.put(key, it.plain[round]->entry("draining"));
        });
        const auto until = steady_clock::now() + leave_time;
        for (std::size_t n = 0; n < instances; ++n) {
            const bool known =
                removed ? wait_dropped(fleet, n, round, until) : wait_leaving(fleet, n, round, until);
            cr_expect(known, "round %zu: instance %zu keeps %s", round, n, endpoint_id(round).c_str());
        }
    }
}

// Guards against an endpoint that left and stays in use because no watch delivers anything, on new
// connections neither, although reads are answered.
Test(removals, are_known_in_time_while_watches_are_silent)
{
    constexpr std::size_t instances = 6;
    platform_fleet fleet(instances, options_with_plain(4));
    cr_assert(fleet.wait_ready());
    std::this_thread::sleep_for(settle_time);
    fleet.with_site([](site& it) { it.state.set_mode(store_mode::silent_watches); });
    for (std::size_t round = 0; round < 3; ++round) {
        std::this_thread::sleep_for(contact_time + milliseconds(330) * round);
        fleet.with_site([&](site& it) { it.state.remove("servers/" + endpoint_id(round)); });
        const auto until = steady_clock::now() + leave_time;
        for (std::size_t n = 0; n < instances; ++n)
            cr_expect(wait_dropped(fleet, n, round, until), "round %zu: instance %zu keeps %s", round, n,
                      endpoint_id(round).c_str());
    }
}

// Guards against a watch that is given up while its answer arrives slowly, as over a slow link, and against
// the same answer on a new connection beside it: neither would arrive.
Test(removals, are_known_although_changes_arrive_slowly)
{
    constexpr std::size_t instances = 6;
    constexpr std::size_t rounds = 4;
    platform_fleet fleet(instances, options_with_plain(rounds + 1));
    cr_assert(fleet.wait_ready());
    std::this_thread::sleep_for(settle_time);
    for (std::size_t round = 0; round < rounds; ++round) {
        // Up to this length, no instance has a reason to read the changes itself.
        const milliseconds length(round < rounds / 2 ? 700 : 1'300);
        fleet.with_site([&](site& it) { it.state.set_watch_body_time(length); });
        std::this_thread::sleep_for(milliseconds(330) * round);
        fleet.with_site([&](site& it) { it.state.remove("servers/" + endpoint_id(round)); });
        const auto until = steady_clock::now() + leave_time;
        for (std::size_t n = 0; n < instances; ++n) {
            cr_expect(wait_dropped(fleet, n, round, until), "round %zu: instance %zu keeps %s", round, n,
                      endpoint_id(round).c_str());
            if (length < milliseconds(1'000))
                cr_expect_eq(fleet.log_lines(n, "event=watch_behind").size(), 0, "instance %zu", n);
        }
    }
}
