/// \file
/// Tests of prompts that crash engines, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <thread>

using namespace limpetlock::test;
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

/// Sends requests with the deadly part, each with a last part of its own and the part in another place, and
/// sound ones that share their other parts, in turn to all instances.
traffic_counts send_traffic(platform_fleet& fleet, std::size_t instances, const std::string& path)
{
    fleet.with_site([](site& it) {
        for (const auto& engine : it.engines) {
            engine->crash_on(deadly_part, milliseconds(700));
            engine->on_restart(
                [&it, &engine] { it.state.put("servers/" + engine->options().id, engine->entry()); });
        }
    });
    constexpr int rounds = 20;
    const std::vector<std::string> places{"1:50,dead:70,2:80,{:x}:30", "1:50,2:80,dead:70,{:x}:30",
                                          "dead:70,1:50,{:x}:30"};
    std::vector<std::future<platform_answer>> deadly;
    std::vector<std::future<platform_answer>> sound;
    for (int n = 0; n < rounds; ++n) {
        const auto instance = static_cast<std::size_t>(n) % instances;
        const std::string& place = places[static_cast<std::size_t>(n) % places.size()];
        deadly.push_back(
            fleet.send(instance, call_with(path, fmt::format(fmt::runtime(place), n + 1'000), 100 + n)));
        for (int k = 0; k < 3; ++k)
            sound.push_back(fleet.send(
                (instance + static_cast<std::size_t>(k)) % instances,
                call_with(path, fmt::format("1:50,2:80,{:x}:30", 3 * n + k + 5'000), 1'000 + 3 * n + k)));
        std::this_thread::sleep_for(milliseconds(250));
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
    check(send_traffic(fleet, 3, "/resumable/x"));
}

// The same for streams with stages, which aren't repeated once they have begun.
Test(quarantine, crashing_part_of_a_stream_with_stages_is_held_back_at_all_instances)
{
    platform_fleet fleet(3, many_engines());
    cr_assert(fleet.wait_ready());
    check(send_traffic(fleet, 3, "/stream/x"));
}
