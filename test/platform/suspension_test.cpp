/// \file
/// Tests of instances that stand still for a while, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t instances = 6;
constexpr milliseconds suspension{3'000};

// Targets: from this time after the waking on, less than this share of the requests is refused or fails.
constexpr milliseconds healing_time{3'000};
constexpr double max_lost_share = 0.02;

platform_call stream_call(int n)
{
    platform_call out;
    out.path = "/stream/x";
    out.request_id = fmt::format("{:016x}", n + 0x1000);
    out.pieces = "2,1";
    out.prefix_hashes = fmt::format("1:50,{:x}:80,{:x}:30", n % 40 + 2, n + 5'000);
    return out;
}

/// Sends requests to the instances of [first, last) in turn and returns their answers.
std::vector<platform_answer> send_traffic(platform_fleet& fleet, std::size_t first, std::size_t last,
                                          int& next, milliseconds length)
{
    constexpr milliseconds interval{20};
    std::vector<std::future<platform_answer>> sent;
    const auto started = steady_clock::now();
    for (int n = 0; n * interval < length; ++n) {
        const auto instance = first + static_cast<std::size_t>(n) % (last - first);
        sent.push_back(fleet.send(instance, stream_call(next++)));
        std::this_thread::sleep_until(started + (n + 1) * interval);
    }
    std::vector<platform_answer> out;
    out.reserve(sent.size());
    for (auto& it : sent)
        out.push_back(it.get());
    return out;
}

std::vector<std::size_t> count_calls(platform_fleet& fleet)
{
    std::vector<std::size_t> out;
    fleet.with_site([&out](site& it) {
        for (const auto& endpoint : it.first_stage)
            out.push_back(endpoint->calls().size());
    });
    return out;
}

void signal_range(platform_fleet& fleet, std::size_t first, std::size_t last, int number)
{
    for (std::size_t n = first; n < last; ++n)
        fleet.signal(n, number);
}

/// Suspends the instances of [first, last) under load, and checks the service after they woke.
void suspend_and_check(platform_fleet& fleet, std::size_t first, std::size_t last, int& next)
{
    auto before = std::async(std::launch::async,
                             [&] { return send_traffic(fleet, 0, instances, next, milliseconds(1'500)); });
    std::this_thread::sleep_for(milliseconds(1'450));
    signal_range(fleet, first, last, SIGSTOP);
    std::this_thread::sleep_for(suspension);
    signal_range(fleet, first, last, SIGCONT);
    before.get();
    send_traffic(fleet, 0, instances, next, healing_time);
    const auto calls_before = count_calls(fleet);
    const auto answers = send_traffic(fleet, 0, instances, next, milliseconds(4'000));
    const auto calls_after = count_calls(fleet);
    const auto lost = std::count_if(answers.begin(), answers.end(), [](const platform_answer& it) {
        return it.status != 200 || !it.complete;
    });
    cr_expect_lt(static_cast<double>(lost), max_lost_share * static_cast<double>(answers.size()),
                 "%ld of %zu requests", lost, answers.size());
    std::size_t total = 0;
    for (std::size_t n = 0; n < calls_after.size(); ++n)
        total += calls_after[n] - calls_before[n];
    for (std::size_t n = 0; n < calls_after.size(); ++n)
        cr_expect_geq((calls_after[n] - calls_before[n]) * 4 * calls_after.size(), total,
                      "endpoint %zu got %zu of %zu calls", n, calls_after[n] - calls_before[n], total);
}

} // namespace

// Guards against stage endpoints that get no calls any more, and against requests that are refused for that,
// after the instance that schedules their pool stood still while calls were running.
Test(suspension, service_is_whole_again_after_half_of_the_instances_stood_still)
{
    site_options options;
    options.stage_endpoints = 4;
    options.stage_call_time = milliseconds(100);
    options.max_batch_pieces = 4;
    platform_fleet fleet(instances, options);
    cr_assert(fleet.wait_ready());
    int next = 0;
    suspend_and_check(fleet, 0, instances / 2, next);
    suspend_and_check(fleet, instances / 2, instances, next);
}
