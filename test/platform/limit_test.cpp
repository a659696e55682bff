/// \file
/// Tests of endpoints that limit the rate of their requests, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <map>
#include <thread>

using namespace limpetlock::test;
using limpetlock::platformkit::request_limit;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

/// Instances of each user's site.
constexpr std::size_t instances = 6;

// The platform's rule: from contact_time after the first statement of a limit, an endpoint gets at most one
// and a half times as much as that allows, and 5 requests more, in some 4 s.
constexpr milliseconds contact_time{3'000};
constexpr milliseconds rule_window{4'000};
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

/// A refusal of what can't be served comes at once: within this time, which is far below each deadline.
constexpr milliseconds max_refusal_time{600};

/// The answer to one request and the time that it took.
struct timed_answer {
    platform_answer answer;
    milliseconds took{0};
};

platform_call call_to(const std::string& path, int n)
{
    platform_call out;
    out.path = path;
    out.request_id = fmt::format("{:016x}", n + 0x1000);
    if (path.starts_with("/stream/"))
        out.pieces = "1,1";
    if (path.starts_with("/stream/") || path.starts_with("/resumable/"))
        out.prefix_hashes = fmt::format("1:50,{:x}:80,{:x}:30", n % 40 + 2, n + 5'000);
    else
        out.deadline = milliseconds(1'500);
    return out;
}

timed_answer send_timed(platform_fleet& fleet, const std::string& path, int n)
{
    const auto started = steady_clock::now();
    timed_answer out;
    out.answer = fleet.send_and_wait(static_cast<std::size_t>(n) % instances, call_to(path, n));
    out.took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started);
    return out;
}

/// Sends requests to the paths and instances in turn, `per_second` of all together.
std::vector<timed_answer> send_traffic(platform_fleet& fleet, const std::vector<std::string>& paths,
                                       int per_second, milliseconds length)
{
    std::vector<std::future<timed_answer>> sent;
    const int count = static_cast<int>(length.count()) * per_second / 1'000;
    sent.reserve(static_cast<std::size_t>(count));
    const auto started = steady_clock::now();
    for (int n = 0; n < count; ++n) {
        const std::string& path = paths[static_cast<std::size_t>(n) / instances % paths.size()];
        sent.push_back(
            std::async(std::launch::async, [&fleet, path, n] { return send_timed(fleet, path, n); }));
        std::this_thread::sleep_until(started + milliseconds(1'000) * (n + 1) / per_second);
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

/// The most requests within some rule_window that begins at `from` or later.
std::size_t worst_window(const request_limit& it, steady_clock::time_point from)
{
    std::size_t out = 0;
    const auto& all = it.arrivals();
    for (auto first = std::lower_bound(all.begin(), all.end(), from); first != all.end(); ++first)
        out = std::max(out, static_cast<std::size_t>(std::distance(
                                first, std::upper_bound(first, all.end(), *first + rule_window))));
    return out;
}

std::size_t count_since(const request_limit& it, steady_clock::time_point from)
{
    return static_cast<std::size_t>(it.arrivals().end() -
                                    std::lower_bound(it.arrivals().begin(), it.arrivals().end(), from));
}

/// Checks the platform's rule from contact_time after `stated` on.
void check_limit(const request_limit& it, double rate, steady_clock::time_point stated)
{
    const double allowed =
        allowed_factor * rate * std::chrono::duration<double>(rule_window).count() + allowed_extra;
    const std::size_t worst = worst_window(it, stated + contact_time);
    cr_expect_leq(static_cast<double>(worst), allowed, "%zu requests in 4 s, allowed %.1f", worst, allowed);
}

/// Checks that an endpoint gets most of what it takes while there is more traffic.
void check_use(const request_limit& it, double rate, steady_clock::time_point stated, milliseconds length)
{
    constexpr double min_use = 0.7;
    const std::size_t n = count_since(it, stated + contact_time);
    const double taken = rate * std::chrono::duration<double>(length - contact_time).count();
    cr_expect_geq(static_cast<double>(n), min_use * taken, "%zu requests of %.1f", n, taken);
}

} // namespace

// Guards against engines that get more than the limit that they stated, because affinity of prompts leads to
// them or because each instance keeps the whole limit by itself. The other engines serve the rest.
Test(limit, engines_get_no_more_than_they_stated_and_the_others_serve_the_rest)
{
    site_options options;
    options.engines = 4;
    platform_fleet fleet(instances, options);
    cr_assert(fleet.wait_ready());
    const auto stated = steady_clock::now();
    constexpr milliseconds length{12'000};
    fleet.with_site([](site& it) {
        it.engines[0]->limit.state("1.4");
        it.engines[1]->limit.state("1");
    });
    const auto calls = send_traffic(fleet, {"/resumable/x"}, 30, length);
    cr_expect_eq(count_served(calls), calls.size());
    fleet.with_site([&](site& it) {
        check_limit(it.engines[0]->limit, 1.4, stated);
        check_limit(it.engines[1]->limit, 1, stated);
        check_use(it.engines[0]->limit, 1.4, stated, length);
        check_use(it.engines[1]->limit, 1, stated, length);
    });
}

// The same for plain services, whose requests go to the endpoint with the least load.
Test(limit, plain_endpoint_gets_no_more_than_it_stated)
{
    site_options options;
    options.plain = 3;
    platform_fleet fleet(instances, options);
    cr_assert(fleet.wait_ready());
    const auto stated = steady_clock::now();
    constexpr milliseconds length{10'000};
    fleet.with_site([](site& it) { it.plain[0]->limit.state("2"); });
    const auto calls = send_traffic(fleet, {"/booking/x", "/lookup/x"}, 24, length);
    cr_expect_eq(count_served(calls), calls.size());
    fleet.with_site([&](site& it) {
        check_limit(it.plain[0]->limit, 2, stated);
        check_use(it.plain[0]->limit, 2, stated, length);
    });
}

// The same for stage endpoints: stage calls and releases of results count together.
Test(limit, stage_endpoint_gets_no_more_than_it_stated)
{
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    const auto stated = steady_clock::now();
    fleet.with_site([](site& it) { it.first_stage[0]->limit.state("1"); });
    const auto calls = send_traffic(fleet, {"/stream/x"}, 20, milliseconds(10'000));
    cr_expect_eq(count_served(calls), calls.size());
    fleet.with_site([&](site& it) { check_limit(it.first_stage[0]->limit, 1, stated); });
}

// Guards against limits that are exceeded, or requests that wait in vain, when the endpoints of a pool
// together take less than the traffic: the rest is refused at once, with the time to come back.
Test(limit, pool_that_takes_less_than_the_traffic_refuses_the_rest_at_once)
{
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    const auto stated = steady_clock::now();
    constexpr milliseconds length{12'000};
    fleet.with_site([](site& it) {
        for (auto& endpoint : it.plain)
            endpoint->limit.state("4");
    });
    const auto calls = send_traffic(fleet, {"/booking/x", "/lookup/x"}, 24, length);
    fleet.with_site([&](site& it) {
        for (auto& endpoint : it.plain) {
            check_limit(endpoint->limit, 4, stated);
            check_use(endpoint->limit, 4, stated, length);
        }
    });
    for (const auto& it : calls) {
        if (it.answer.status == 200)
            continue;
        cr_expect_eq(it.answer.status, 503);
        cr_expect_not(it.answer.header("Retry-After").empty());
        cr_expect_leq(it.took.count(), max_refusal_time.count());
    }
}

// Guards against an endpoint that gets no more than its former limit after that has ended.
Test(limit, endpoint_gets_its_share_again_after_its_limit_has_ended)
{
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) { it.plain[0]->limit.state("0.5"); });
    send_traffic(fleet, {"/lookup/x"}, 20, milliseconds(4'000));
    const auto ended = steady_clock::now();
    fleet.with_site([](site& it) { it.plain[0]->limit.state(""); });
    // One permit is issued every 2 s, and its answer ends the limit at all instances.
    constexpr milliseconds max_delay{3'500};
    send_traffic(fleet, {"/lookup/x"}, 20, milliseconds(7'000));
    fleet.with_site([&](site& it) {
        const std::size_t n = count_since(it.plain[0]->limit, ended + max_delay);
        cr_expect_gt(n, 20, "%zu of 70 requests", n);
    });
}

// The same for an endpoint that took nothing: it is asked every 10 s, and the end of its limit is noticed by
// all instances soon after that, although each of them was told to wait for a permit.
Test(limit, endpoint_that_took_nothing_gets_its_share_again)
{
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) { it.plain[0]->limit.state("0"); });
    const auto stated = steady_clock::now();
    send_traffic(fleet, {"/lookup/x"}, 20, milliseconds(9'000));
    fleet.with_site([](site& it) { it.plain[0]->limit.state(""); });
    constexpr milliseconds max_delay{12'500};
    send_traffic(fleet, {"/lookup/x"}, 20, milliseconds(6'500));
    fleet.with_site([&](site& it) {
        const std::size_t n = count_since(it.plain[0]->limit, stated + max_delay);
        cr_expect_gt(n, 20, "%zu of 60 requests", n);
    });
}

// Guards against an endpoint that gets its limit twice, or nothing, when the instance that issues its permits
// is lost: the instances are killed one after the other.
Test(limit, limit_holds_while_instances_are_killed)
{
    platform_fleet fleet(instances);
    cr_assert(fleet.wait_ready());
    const auto stated = steady_clock::now();
    constexpr milliseconds length{14'000};
    fleet.with_site([](site& it) { it.plain[0]->limit.state("2"); });
    auto killer = std::async(std::launch::async, [&fleet] {
        for (std::size_t n = 0; n < instances; ++n) {
            std::this_thread::sleep_for(milliseconds(2'000));
            fleet.signal(n, SIGKILL);
            fleet.wait_exit(n, milliseconds(2'000));
            fleet.start(n);
        }
    });
    send_traffic(fleet, {"/lookup/x"}, 24, length);
    killer.get();
    fleet.with_site([&](site& it) {
        check_limit(it.plain[0]->limit, 2, stated);
        check_use(it.plain[0]->limit, 2, stated, length);
    });
}
