/// \file
/// Tests of the choice of engines by the load that they report, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <vector>

using namespace limpetlock::test;
using limpetlock::platformkit::health_behaviour;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t engines = 4;

site_options slow_reading_engines()
{
    site_options out;
    out.engines = engines;
    out.engine_time = milliseconds(60);
    out.events = 2;
    return out;
}

/// Sends requests with long prompts one after the other and returns the time that each took, sorted.
std::vector<milliseconds> send_prompts(platform_fleet& fleet, int count)
{
    std::vector<milliseconds> out;
    for (int n = 0; n < count; ++n) {
        platform_call call;
        call.path = "/resumable/x";
        call.request_id = fmt::format("{:016x}", n + 0x1000);
        call.prefix_hashes = fmt::format("{:x}:3000,{:x}:4000", n % 12 + 1, n + 5'000);
        const auto started = steady_clock::now();
        const auto answer = fleet.send_and_wait(0, std::move(call));
        cr_assert(answer.status == 200 && answer.complete, "request %d: %d", n, answer.status);
        out.push_back(std::chrono::duration_cast<milliseconds>(steady_clock::now() - started));
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::size_t health_checks(site& it)
{
    std::size_t out = 0;
    for (const auto& engine : it.engines)
        out += engine->health_checks();
    return out;
}

} // namespace

// Guards against requests that wait for probes longer than the bound, or fail, when the health path of all
// engines never answers.
Test(load, a_health_path_that_does_not_answer_does_not_delay_requests)
{
    platform_fleet fleet(1, slow_reading_engines());
    cr_assert(fleet.wait_ready());
    const auto without = send_prompts(fleet, 30);
    std::size_t checks = 0;
    fleet.with_site([&checks](site& it) {
        checks = health_checks(it);
        for (auto& engine : it.engines) {
            engine->state_time_percent(100);
            engine->behave_when_checked(health_behaviour::hang);
        }
    });
    cr_expect_eq(checks, 0, "no probes in a pool that doesn't state how long work takes");
    const auto with = send_prompts(fleet, 60);
    fleet.with_site([&checks](site& it) { checks = health_checks(it); });
    // Each engine is probed twice before the first pause, and later after 1, 2 and 4 s.
    cr_expect_geq(checks, 2 * engines);
    cr_expect_leq(checks, 6 * engines, "%zu", checks);
    const auto median = [](const std::vector<milliseconds>& all) { return all[all.size() / 2].count(); };
    cr_expect_leq(median(with), median(without) + 10, "%ld, before %ld", median(with), median(without));
    // A request that waited for the end of its probes would take 100 ms longer. Two may be slow for other
    // reasons.
    const auto third_slowest = with[with.size() - 3].count();
    cr_expect_lt(third_slowest, median(without) + 60, "%ld", third_slowest);
}

// Guards against requests that go to an engine in a slow period because their prompts lead there, and against
// a report of another process that has the address of an engine.
Test(load, requests_avoid_an_engine_that_reports_to_be_slow)
{
    platform_fleet fleet(1, slow_reading_engines());
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        for (auto& engine : it.engines)
            engine->state_time_percent(100);
        it.engines[1]->behave_when_checked(health_behaviour::other_id);
    });
    send_prompts(fleet, 24);
    std::array<std::size_t, engines> before{};
    const auto count = [&fleet](std::array<std::size_t, engines>& out) {
        fleet.with_site([&out](site& it) {
            for (std::size_t n = 0; n < engines; ++n)
                out[n] = it.engines[n]->runs().size();
        });
    };
    fleet.with_site([](site& it) { it.engines[0]->state_time_percent(2'000); });
    count(before);
    send_prompts(fleet, 48);
    std::array<std::size_t, engines> after{};
    count(after);
    std::array<std::size_t, engines> served{};
    for (std::size_t n = 0; n < engines; ++n)
        served[n] = after[n] - before[n];
    cr_expect_leq(served[0], 4, "%zu of 48; 20 by affinity alone", served[0]);
    cr_expect_geq(served[1], 6, "%zu", served[1]);
}
