/// \file
/// Tests with real processes of how instances learn that endpoints are removed, while other instances or
/// connections to the store are lost.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Bound of the stand-in's settings from the removal of an endpoint's entry until no request reaches it.
constexpr milliseconds leave_time{2'000};

/// Time after which the watches of the start have ended and the instances have pinged one another.
constexpr milliseconds settle_time{1'500};

site_options options_with_plain(std::size_t n)
{
    site_options out;
    out.plain = n;
    return out;
}

std::string endpoint_id(std::size_t n)
{
    return fmt::format("i-plain-{}", n);
}

/// Whether the instance has dropped the endpoint since it had this many lines about that.
bool dropped(const platform_fleet& fleet, std::size_t instance, std::size_t endpoint, std::size_t lines)
{
    const auto all = fleet.log_lines(instance, "event=endpoint_gone endpoint=" + endpoint_id(endpoint) + " ");
    return all.size() > lines;
}

/// Waits until the instance has dropped the endpoint. Returns false after `until`.
bool wait_dropped(const platform_fleet& fleet, std::size_t instance, std::size_t endpoint,
                  steady_clock::time_point until)
{
    while (!dropped(fleet, instance, endpoint, 0)) {
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
