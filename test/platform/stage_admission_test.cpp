#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <thread>
#include <vector>

using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t max_answers = 128;

platform_call stream_call(int n)
{
    platform_call out;
    out.path = "/stream/x";
    out.request_id = fmt::format("{:016x}", n + 0x1000);
    out.pieces = "2,1";
    out.prefix_hashes = fmt::format("1:50,{:x}:80,{:x}:30", n % 7 + 2, n + 1000);
    out.deadline = seconds(4);
    return out;
}

/// A site whose stages serve two requests in each 400 ms.
site_options scarce_stages()
{
    site_options out;
    out.stage_endpoints = 1;
    out.stage_call_time = milliseconds(400);
    out.max_batch_pieces = 4;
    return out;
}

std::size_t runs_of(site& it, const std::string& id)
{
    std::size_t out = 0;
    for (const auto& engine : it.engines)
        for (const auto& run : engine->runs())
            out += run.request_id == id ? 1 : 0;
    return out;
}

} // namespace

// Guards against first stages of requests whose last stage comes too late, and against requests that wait in
// the queue only to be refused: those without room are refused at once, with a time to come back.
Test(stage_admission, requests_without_room_are_refused_at_once)
{
    platform_fleet fleet(2, scarce_stages(), {"--stage_admission", "--team_turns"});
    cr_assert(fleet.wait_ready());
    std::this_thread::sleep_for(milliseconds(500));
    constexpr int requests = 60;
    std::vector<std::future<platform_answer>> answers;
    answers.reserve(max_answers);
    const auto sent = steady_clock::now();
    for (int n = 0; n < requests; ++n)
        answers.push_back(fleet.send(static_cast<std::size_t>(n) % 2, stream_call(n)));
    std::this_thread::sleep_for(milliseconds(700));
    int refused_at_once = 0;
    for (const auto& it : answers)
        refused_at_once += it.wait_for(seconds(0)) == std::future_status::ready ? 1 : 0;
    int served = 0;
    int refused = 0;
    for (int n = 0; n < requests; ++n) {
        const auto answer = answers[static_cast<std::size_t>(n)].get();
        if (answer.status == 200) {
            ++served;
            continue;
        }
        ++refused;
        cr_expect_eq(answer.status, 503);
        cr_expect_gt(std::atof(answer.header("Retry-After").c_str()), 0.2);
        fleet.with_site([&](site& it) { cr_expect_eq(runs_of(it, fmt::format("{:016x}", n + 0x1000)), 0); });
    }
    const auto took = steady_clock::now() - sent;
    fleet.with_site([&](site& it) {
        std::size_t pieces = 0;
        for (const auto& call : it.first_stage.front()->calls())
            pieces += call.pieces;
        cr_expect_leq(pieces, 2U * static_cast<unsigned>(served) + 4, "%zu pieces for %d requests", pieces,
                      served);
    });
    cr_expect_geq(served, 10, "served %d", served);
    std::size_t lines = 0;
    for (std::size_t n = 0; n < 2; ++n)
        lines += fleet.log_lines(n, "event=stage_chain_refused").size();
    cr_expect_gt(lines, 0, "the decisions are logged");
    cr_expect_geq(refused_at_once, refused * 4 / 5, "%d of %d", refused_at_once, refused);
    cr_expect_lt(took, seconds(6));
}

// Guards against requests that are lost or answered wrongly when the responsible instance is killed in a
// flood, and against an instance that takes over and refuses although there is room again.
Test(stage_admission, the_responsible_instance_is_killed_in_a_flood)
{
    platform_fleet fleet(3, scarce_stages(), {"--stage_admission", "--team_turns"});
    cr_assert(fleet.wait_ready());
    std::this_thread::sleep_for(milliseconds(700));
    constexpr int requests = 50;
    std::vector<std::future<platform_answer>> answers;
    answers.reserve(max_answers);
    for (int n = 0; n < requests; ++n)
        answers.push_back(fleet.send(0, stream_call(n)));
    std::this_thread::sleep_for(milliseconds(250));
    fleet.signal(1, SIGKILL);
    fleet.signal(2, SIGKILL);
    int served = 0;
    for (int n = 0; n < requests; ++n) {
        const auto answer = answers[static_cast<std::size_t>(n)].get();
        served += answer.status == 200 ? 1 : 0;
        cr_expect(answer.status == 200 || answer.status == 503, "%d", answer.status);
        if (answer.status == 503)
            cr_expect_neq(answer.header("Retry-After"), "");
        fleet.with_site([&](site& it) {
            cr_expect_eq(runs_of(it, fmt::format("{:016x}", n + 0x1000)), answer.status == 200 ? 1 : 0);
        });
    }
    cr_expect_geq(served, 4, "served %d", served);
    for (int n = 0; n < 4; ++n)
        cr_expect_eq(fleet.send_and_wait(0, stream_call(requests + n)).status, 200);
}

// Guards against a caller that leaves during the stages and is logged as an unexpected error.
Test(stage_admission, a_caller_that_leaves_during_the_stages_is_no_error)
{
    platform_fleet fleet(1, scarce_stages(), {"--stage_admission", "--team_turns"});
    cr_assert(fleet.wait_ready());
    auto call = stream_call(0);
    call.disconnect_after = milliseconds(150);
    fleet.send_and_wait(0, call);
    std::vector<std::string> lines;
    for (int n = 0; n < 100 && lines.empty(); ++n) {
        std::this_thread::sleep_for(milliseconds(20));
        lines = fleet.log_lines(0, "event=request id=" + call.request_id);
    }
    cr_assert_eq(lines.size(), 1);
    cr_expect_neq(lines.front().find("caller_gone=yes"), std::string::npos);
    cr_expect_neq(lines.front().find("reason=\"caller gone\""), std::string::npos, "%s",
                  lines.front().c_str());
}
