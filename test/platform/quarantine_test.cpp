/// \file
/// Tests of prompts that crash engines, with real processes.
#include "raw_endpoint.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <thread>

using namespace limpetlock::test;
using boost::asio::ip::tcp;
using limpetlock::platformkit::crash_moment;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;

namespace {

constexpr const char* deadly_part = "dead";

/// Crashes that the platform's rules allow before instances have to hold requests back, and requests with
/// the part that may reach engines after that.
constexpr std::size_t allowed_crashes = 5;
constexpr std::size_t allowed_requests = 3;

/// Requests of a test with the deadly part, and without it.
struct traffic_counts {
    std::size_t deadly_runs{0};
    std::size_t deadly{0};
    std::size_t deadly_refused{0}; ///< with a status that promises that they didn't run, and Retry-After
    std::size_t sound{0};
    std::size_t sound_complete{0};
};

platform_call call_with(const std::string& path, const std::string& prompt, int n)
{
    platform_call out;
    out.path = path;
    out.request_id = fmt::format("{:016x}", n + 0x1000);
    out.prefix_hashes = prompt;
    if (path.starts_with("/stream/"))
        out.pieces = "1,1";
    return out;
}

/// Requests with the deadly part and how engines crash on it.
struct deadly_traffic {
    std::string path;
    int rounds{20};
    milliseconds interval{250};
    crash_moment moment{crash_moment::inside_first_event};
    /// Prompts up to their last part, in turn.
    std::vector<std::string> prompts{"1:50,dead:70,2:80", "1:50,2:80,dead:70", "dead:70,1:50"};
};

/// Sends requests with the deadly part, each with a last part of its own, and sound ones that share their
/// other parts, in turn to all instances.
traffic_counts send_traffic(platform_fleet& fleet, std::size_t instances, const deadly_traffic& traffic)
{
    const std::string& path = traffic.path;
    fleet.with_site([&traffic](site& it) {
        for (const auto& engine : it.engines) {
            engine->crash_on(deadly_part, milliseconds(700), traffic.moment);
            engine->on_restart(
                [&it, &engine] { it.state.put("servers/" + engine->options().id, engine->entry()); });
        }
    });
    std::vector<std::future<platform_answer>> deadly;
    std::vector<std::future<platform_answer>> sound;
    for (int n = 0; n < traffic.rounds; ++n) {
        const auto instance = static_cast<std::size_t>(n) % instances;
        const std::string& prompt = traffic.prompts[static_cast<std::size_t>(n) % traffic.prompts.size()];
        deadly.push_back(
            fleet.send(instance, call_with(path, fmt::format("{},{:x}:30", prompt, n + 1'000), 100 + n)));
        for (int k = 0; k < 3; ++k)
            sound.push_back(fleet.send(
                (instance + static_cast<std::size_t>(k)) % instances,
                call_with(path, fmt::format("1:50,2:80,{:x}:30", 3 * n + k + 5'000), 1'000 + 3 * n + k)));
        std::this_thread::sleep_for(traffic.interval);
    }
    traffic_counts out;
    for (auto& it : deadly) {
        const auto answer = it.get();
        ++out.deadly;
        out.deadly_refused += answer.status == 503 && !answer.header("Retry-After").empty() ? 1 : 0;
    }
    for (auto& it : sound) {
        const auto answer = it.get();
        ++out.sound;
        out.sound_complete += answer.status == 200 && answer.complete ? 1 : 0;
    }
    fleet.with_site([&out](site& it) {
        for (const auto& engine : it.engines)
            for (const auto& run : engine->runs())
                out.deadly_runs += run.prompt.find("dead:") != std::string::npos ? 1 : 0;
    });
    return out;
}

site_options many_engines()
{
    site_options out;
    out.engines = 8;
    return out;
}

void check(const traffic_counts& it)
{
    cr_expect_leq(it.deadly_runs, allowed_crashes + allowed_requests);
    cr_expect_geq(it.deadly_refused + allowed_crashes + allowed_requests, it.deadly,
                  "%zu of %zu requests with the part were refused", it.deadly_refused, it.deadly);
    cr_expect_geq(2 * it.sound_complete, it.sound, "%zu of %zu sound requests were served", it.sound_complete,
                  it.sound);
}

} // namespace

// Guards against requests with a part that crashes engines being sent to one engine after the other, by
// repeats and by new requests at any instance, and against sound requests being held back with them.
Test(quarantine, crashing_part_of_a_resumable_stream_is_held_back_at_all_instances)
{
    platform_fleet fleet(3, many_engines());
    cr_assert(fleet.wait_ready());
    check(send_traffic(fleet, 3, {"/resumable/x"}));
}

// The same for streams with stages, which aren't repeated once they have begun.
Test(quarantine, crashing_part_of_a_stream_with_stages_is_held_back_at_all_instances)
{
    platform_fleet fleet(3, many_engines());
    cr_assert(fleet.wait_ready());
    check(send_traffic(fleet, 3, {"/stream/x"}));
}

// Guards against a deadly part that comes more seldom than an engine restarts: affinity sent all requests
// with it to the same engine, whose crashes alone are no evidence.
Test(quarantine, part_that_comes_seldom_is_held_back)
{
    platform_fleet fleet(3, many_engines());
    cr_assert(fleet.wait_ready());
    check(send_traffic(fleet, 3, {"/stream/x", 14, milliseconds(1'500), {}, {"1:50,dead:700"}}));
}

// Guards against engines that crash on a part only when a whole event of the answer is out.
Test(quarantine, part_whose_engines_crash_after_an_event_is_held_back)
{
    platform_fleet fleet(3, many_engines());
    cr_assert(fleet.wait_ready());
    check(send_traffic(fleet, 3, {"/stream/x", 20, milliseconds(250), crash_moment::after_first_event}));
}

// Guards against a deadly part that escapes because its engines crash before any byte of the answer is out:
// the head of an answer is lost with the process that has not sent it yet.
Test(quarantine, part_whose_engines_crash_before_the_answer_is_held_back)
{
    platform_fleet fleet(3, many_engines());
    cr_assert(fleet.wait_ready());
    check(send_traffic(fleet, 3, {"/stream/x", 24, milliseconds(400), crash_moment::before_answer}));
}

namespace {

/// Two engines that end each connection after the first bytes of the head, if the prompt has the deadly part,
/// and answer others. With `begun` false they end those connections without any byte.
traffic_counts ask_engines_that_end_in_the_head(bool begun)
{
    site_options options;
    options.engines = 0;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    const auto answer = [begun](tcp::socket& socket, const raw_request& request) {
        const std::string text =
            raw_endpoint::head(request) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n";
        if (request.text.find("dead:") == std::string::npos)
            write_bytes(socket, text);
        else if (begun)
            write_bytes(socket, text.substr(0, 20));
    };
    raw_endpoint one(answer);
    raw_endpoint two(answer);
    one.publish(fleet, "engine", "i-raw-one");
    two.publish(fleet, "engine", "i-raw-two");
    traffic_counts out;
    for (int n = 0; n < 10; ++n) {
        const auto held =
            fleet.send_and_wait(0, call_with("/stream/x", fmt::format("1:50,dead:70,{:x}:30", n + 100), n));
        ++out.deadly;
        out.deadly_refused += held.status == 503 ? 1 : 0;
        const auto sound =
            fleet.send_and_wait(0, call_with("/stream/x", fmt::format("1:50,{:x}:30", n + 500), 500 + n));
        ++out.sound;
        out.sound_complete += sound.status == 200 && sound.complete ? 1 : 0;
    }
    out.deadly_runs = out.deadly - out.deadly_refused;
    return out;
}

} // namespace

// Guards against a deadly part that escapes because its engines crash before the whole head is out.
Test(quarantine, part_whose_engines_crash_inside_the_head_is_held_back)
{
    const auto it = ask_engines_that_end_in_the_head(true);
    check(it);
    cr_expect_eq(it.sound_complete, it.sound);
}

// Guards against sound prompts that are held back because they waited at engines that ended: no byte of an
// answer had come, so they were not begun.
Test(quarantine, prompts_that_wait_at_lost_engines_are_not_held_back)
{
    const auto it = ask_engines_that_end_in_the_head(false);
    cr_expect_eq(it.deadly_refused, 0);
    cr_expect_eq(it.sound_complete, it.sound);
}

// Guards against requests that wait for a permit of a limited engine and are passed on after the part of
// their prompt was found to crash engines.
Test(quarantine, requests_that_wait_for_a_permit_are_held_back)
{
    constexpr std::size_t engines = 6;
    site_options options;
    options.engines = engines;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        for (const auto& engine : it.engines) {
            engine->limit.state("4");
            engine->crash_on(deadly_part, milliseconds(200), crash_moment::inside_first_event);
        }
    });
    std::vector<std::future<platform_answer>> calls;
    calls.reserve(40);
    for (int n = 0; n < 40; ++n)
        calls.push_back(fleet.send(0, call_with("/resumable/x", fmt::format("1:50,{:x}:30", n + 5'000), n)));
    for (auto& it : calls)
        it.get();
    calls.clear();
    std::this_thread::sleep_for(milliseconds(1'000));
    for (int n = 0; n < 24; ++n)
        calls.push_back(fleet.send(
            0, call_with("/resumable/x", fmt::format("1:50,dead:70,{:x}:30", n + 1'000), 100 + n)));
    for (auto& it : calls)
        it.get();
    std::size_t runs = 0;
    fleet.with_site([&runs](site& it) {
        for (const auto& engine : it.engines)
            for (const auto& run : engine->runs())
                runs += run.prompt.find("dead:") != std::string::npos ? 1 : 0;
    });
    // Each engine gets one before the first crash is known.
    cr_expect_leq(runs, engines, "%zu", runs);
}
