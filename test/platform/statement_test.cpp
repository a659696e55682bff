/// \file
/// Tests of endpoints that state in their answers that they leave or want no requests, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <thread>

using namespace limpetlock::test;
using limpetlock::platformkit::behaviour;
using limpetlock::platformkit::request_limit;
using limpetlock::platformkit::site;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// The platform's rules: a leaving endpoint gets nothing later than drain_time after its answer, and one that
// asked for a pause at most two requests of an instance from pause_grace on.
constexpr milliseconds drain_time{2'000};
constexpr milliseconds pause_grace{500};
constexpr std::size_t max_in_pause = 2;

/// A refusal of what can't be served comes at once: within this time, which is far below each deadline.
constexpr milliseconds max_refusal_time{600};

struct timed_answer {
    platform_answer answer;
    milliseconds took{0};
};

timed_answer send_timed(platform_fleet& fleet, std::size_t instance, const std::string& path, int n)
{
    platform_call call;
    call.path = path;
    call.request_id = fmt::format("{:016x}", n + 0x1000);
    if (path.starts_with("/stream/"))
        call.pieces = "1,1";
    if (path.starts_with("/stream/") || path.starts_with("/resumable/"))
        call.prefix_hashes = fmt::format("1:50,{:x}:80,{:x}:30", n % 40 + 2, n + 5'000);
    const auto started = steady_clock::now();
    timed_answer out;
    out.answer = fleet.send_and_wait(instance, call);
    out.took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started);
    return out;
}

/// Sends a request each 30 ms to the paths and instances in turn.
std::vector<timed_answer> send_traffic(platform_fleet& fleet, std::size_t instances,
                                       const std::vector<std::string>& paths, milliseconds length)
{
    static int next = 0;
    constexpr milliseconds interval{30};
    std::vector<std::future<timed_answer>> sent;
    const auto started = steady_clock::now();
    for (int n = 0; n * interval < length; ++n) {
        const auto instance = static_cast<std::size_t>(n) % instances;
        const std::string& path = paths[static_cast<std::size_t>(n) / instances % paths.size()];
        sent.push_back(std::async(std::launch::async, [&fleet, instance, path, id = ++next] {
            return send_timed(fleet, instance, path, id);
        }));
        std::this_thread::sleep_until(started + (n + 1) * interval);
    }
    std::vector<timed_answer> out;
    out.reserve(sent.size());
    for (auto& it : sent)
        out.push_back(it.get());
    return out;
}

std::size_t count_served(const std::vector<timed_answer>& all)
{
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const timed_answer& it) {
        return it.answer.status == 200 && it.answer.complete;
    }));
}

std::size_t count_between(const request_limit& it, steady_clock::time_point from, steady_clock::time_point to)
{
    return static_cast<std::size_t>(std::count_if(it.arrivals().begin(), it.arrivals().end(),
                                                  [&](auto t) { return t >= from && t < to; }));
}

} // namespace

// Guards against work for endpoints that say in their answers that they leave, while their entries still say
// that they are ready and the store is away: at all three paths to an endpoint, and on refusals.
Test(statements, leaving_endpoints_get_no_work_although_they_are_listed_as_ready)
{
    constexpr std::size_t instances = 6;
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    const std::vector<std::string> paths{"/stream/x", "/resumable/x", "/lookup/x", "/booking/x"};
    fleet.with_site([](site& it) {
        it.engines[0]->limit.state_leaving();
        it.first_stage[0]->limit.state_leaving();
        it.plain[0]->limit.state_leaving();
        it.plain[0]->behave(behaviour::refuse, 1'000);
    });
    send_traffic(fleet, instances, paths, milliseconds(1'500));
    std::this_thread::sleep_for(drain_time);
    const auto bound = steady_clock::now();
    std::size_t stage_calls = 0;
    fleet.with_site([&](site& it) { stage_calls = it.first_stage[0]->calls().size(); });
    const auto answers = send_traffic(fleet, instances, paths, milliseconds(4'000));
    cr_expect_eq(count_served(answers), answers.size());
    fleet.with_site([&](site& it) {
        const auto end = steady_clock::now();
        cr_expect_eq(count_between(it.engines[0]->limit, bound, end), 0);
        cr_expect_eq(count_between(it.plain[0]->limit, bound, end), 0);
        cr_expect_eq(it.first_stage[0]->calls().size(), stage_calls);
        cr_expect_gt(it.first_stage[1]->calls().size(), 0);
    });
}

// Guards against requests to endpoints that refuse with a Retry-After, at all paths, while others can serve.
Test(statements, paused_endpoints_get_no_requests_until_the_end_of_their_pause)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    const std::vector<std::string> paths{"/stream/x", "/resumable/x", "/lookup/x", "/booking/x"};
    constexpr milliseconds pause{3'500};
    steady_clock::time_point refused_at;
    fleet.with_site([&](site& it) {
        refused_at = steady_clock::now();
        const auto set_up = [](auto& endpoint) {
            endpoint.limit.state_retry_after("3.5");
            endpoint.behave(behaviour::refuse, 1'000);
        };
        set_up(*it.engines[0]);
        set_up(*it.first_stage[0]);
        set_up(*it.plain[0]);
    });
    const auto answers = send_traffic(fleet, 1, paths, milliseconds(5'500));
    cr_expect_eq(count_served(answers), answers.size());
    fleet.with_site([&](site& it) {
        const auto check = [&](const request_limit& limit, const char* name) {
            const auto& all = limit.arrivals();
            const auto first = std::lower_bound(all.begin(), all.end(), refused_at);
            cr_assert(first != all.end(), "%s got no request", name);
            const std::size_t n = count_between(limit, *first + pause_grace, *first + pause);
            cr_expect_leq(n, max_in_pause, "%s: %zu requests", name, n);
        };
        check(it.engines[0]->limit, "engine");
        check(it.first_stage[0]->limit, "stage endpoint");
        check(it.plain[0]->limit, "plain endpoint");
    });
}

// Guards against requests that wait, or go to an endpoint that wants none, when all endpoints of their pool
// want none: they are refused at once, with the true time to come back.
Test(statements, pool_whose_endpoints_all_pause_refuses_at_once)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        for (auto& endpoint : it.plain) {
            endpoint->limit.state_retry_after("3");
            endpoint->behave(behaviour::refuse, 1'000);
        }
    });
    send_traffic(fleet, 1, {"/booking/x"}, milliseconds(300));
    const auto answers = send_traffic(fleet, 1, {"/booking/x", "/lookup/x"}, milliseconds(1'500));
    for (const auto& it : answers) {
        cr_expect_eq(it.answer.status, 503);
        const std::string wait = it.answer.header("Retry-After");
        cr_assert_not(wait.empty());
        cr_expect_geq(std::stod(wait), 0.8);
        cr_expect_leq(std::stod(wait), 3.4);
        cr_expect_leq(it.took.count(), max_refusal_time.count());
    }
}
