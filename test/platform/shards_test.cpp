/// \file
/// Tests of stage endpoints that are divided into shards, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <thread>
#include <utility>

using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t instances = 5;
constexpr std::size_t entries = 2; ///< instances that get the requests of the tests
constexpr int requests = 150;

/// 144 endpoints in two stage pools of one domain, which has three shards.
site_options divided_site(milliseconds call_time = milliseconds(120))
{
    site_options out;
    out.stage_endpoints = 72;
    out.stage_call_time = call_time;
    return out;
}

std::vector<std::future<platform_answer>> send_streams(platform_fleet& fleet, int first)
{
    std::vector<std::future<platform_answer>> out;
    for (int n = 0; n < requests; ++n) {
        platform_call call;
        call.path = "/stream/x";
        call.request_id = fmt::format("{:016x}", first + n);
        call.pieces = "2,1";
        call.prefix_hashes = fmt::format("1:50,{:x}:80", n + 1'000);
        out.push_back(fleet.send(static_cast<std::size_t>(n) % entries, std::move(call)));
    }
    return out;
}

std::size_t first_stage_pieces(platform_fleet& fleet)
{
    std::size_t out = 0;
    fleet.with_site([&out](site& it) {
        for (const auto& endpoint : it.first_stage)
            for (const auto& call : endpoint->calls())
                out += call.pieces;
    });
    return out;
}

bool wait_all_released(platform_fleet& fleet)
{
    return fleet.wait_until([](site& it) {
        std::size_t held = 0;
        for (const auto& list : {&it.first_stage, &it.second_stage})
            for (const auto& endpoint : *list)
                held += endpoint->held_results();
        return held == 0;
    });
}

} // namespace

// Guards against pieces that run twice because two shards use the same endpoint, and against results that no
// instance releases because their shard isn't known there. The calls take longer than an instance waits for a
// reply, so each task is polled.
Test(shards, pieces_run_once_and_results_are_released)
{
    platform_fleet fleet(instances, divided_site(milliseconds(700)));
    cr_assert(fleet.wait_ready());
    std::this_thread::sleep_for(milliseconds(700));
    for (auto& it : send_streams(fleet, 0x1000)) {
        const auto answer = it.get();
        cr_expect_eq(answer.status, 200, "%s", answer.body.c_str());
        cr_expect(answer.complete);
    }
    cr_expect_eq(first_stage_pieces(fleet), std::size_t{2} * requests);
    cr_expect(wait_all_released(fleet), "results were not released at their producers");
}

// Guards against tasks that are lost with the instances of their shards. The three instances that get no
// requests include holders of shards; the entries take the shards over.
Test(shards, tasks_move_when_the_responsible_instances_die)
{
    platform_fleet fleet(instances, divided_site());
    cr_assert(fleet.wait_ready());
    std::this_thread::sleep_for(milliseconds(700));
    auto answers = send_streams(fleet, 0x1000);
    std::this_thread::sleep_for(milliseconds(60));
    for (std::size_t n = entries; n < instances; ++n)
        fleet.signal(n, SIGKILL);
    for (auto& it : answers) {
        const auto answer = it.get();
        cr_expect_eq(answer.status, 200, "%s", answer.body.c_str());
        cr_expect(answer.complete);
    }
}

// Guards against slow instances that keep their shards: these run for a tenth of the time only. Requests that
// arrive after they gave the shards up don't depend on them, so no task moves and no piece runs twice.
Test(shards, slow_instances_give_up_their_shards)
{
    platform_fleet fleet(instances, divided_site());
    cr_assert(fleet.wait_ready());
    std::this_thread::sleep_for(milliseconds(700));
    std::atomic<bool> slow{true};
    auto slowdown = std::async(std::launch::async, [&] {
        while (slow) {
            for (const auto& [number, length] : {std::pair(SIGSTOP, 360), std::pair(SIGCONT, 40)}) {
                for (std::size_t n = entries; n < instances; ++n)
                    fleet.signal(n, number);
                std::this_thread::sleep_for(milliseconds(length));
            }
        }
    });
    for (auto& it : send_streams(fleet, 0x1000))
        cr_expect_eq(it.get().status, 200);
    std::this_thread::sleep_for(milliseconds(2'500));
    const std::size_t before = first_stage_pieces(fleet);
    for (auto& it : send_streams(fleet, 0x2000))
        cr_expect_eq(it.get().status, 200);
    cr_expect_eq(first_stage_pieces(fleet) - before, std::size_t{2} * requests);
    slow = false;
    slowdown.get();
}
