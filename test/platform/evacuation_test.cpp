/// \file
/// Tests of evacuated failure domains and of cold endpoints, with real processes.
#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

using namespace limpetlock::test;
using limpetlock::platformkit::request_limit;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t instances = 6;

// The platform's rule: from this long after the order, nothing reaches the domain. An instance that isn't
// disturbed knows the order much sooner.
constexpr milliseconds evacuation_bound{5'000};

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
    // All these share a part of the prompt, so one engine and its domain are chosen for them.
    if (path == "/stream/shared")
        call.prefix_hashes = fmt::format("1:50,7:80,{:x}:30", n + 5'000);
    out.answer = fleet.send_and_wait(instance, call);
    out.took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started);
    return out;
}

/// Sends requests to the paths and instances in turn.
std::vector<timed_answer> send_traffic(platform_fleet& fleet, const std::vector<std::string>& paths,
                                       milliseconds length, milliseconds interval)
{
    static std::atomic<int> next{0};
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

const std::vector<std::string> all_paths{"/stream/x", "/resumable/x", "/lookup/x", "/booking/x"};

/// Two domains whose stage endpoints are scheduled separately.
site_options two_domains()
{
    site_options out;
    out.domains = {"a", "b"};
    out.engines = 4;
    out.plain = 4;
    out.stage_endpoints = 12;
    out.follows_evacuations = true;
    return out;
}

std::size_t arrivals(platform_fleet& fleet, const std::string& domain, steady_clock::time_point since)
{
    std::size_t out = 0;
    fleet.with_site([&](site& it) { out = it.count_arrivals(domain, since); });
    return out;
}

/// The most requests in some second that begins at `from` or later.
std::size_t worst_second(const request_limit& it, steady_clock::time_point from)
{
    std::size_t out = 0;
    const auto& all = it.arrivals();
    for (auto first = std::lower_bound(all.begin(), all.end(), from); first != all.end(); ++first)
        out = std::max(out, static_cast<std::size_t>(std::distance(
                                first, std::lower_bound(first, all.end(), *first + milliseconds(1'000)))));
    return out;
}

} // namespace

// Guards against any call to an evacuated domain, at all paths to an endpoint, by an instance that the store
// turns away at that time, and against requests that fail because their stages were to run there. When the
// order ends, the domain is used again.
Test(evacuation, nothing_reaches_the_domain_although_the_store_turns_one_instance_away)
{
    auto options = two_domains();
    options.second_store_user = "instance-5";
    platform_fleet fleet(instances, options);
    cr_assert(fleet.wait_ready());
    constexpr milliseconds interval{25};
    fleet.with_site([](site& it) { it.state.turn_second_away(true); });
    auto before = send_traffic(fleet, all_paths, milliseconds(1'500), interval);
    cr_expect_eq(count_served(before), before.size());
    cr_expect_gt(arrivals(fleet, "a", {}), 0);
    const auto ordered = steady_clock::now();
    fleet.with_site([](site& it) { it.evacuate("a"); });
    auto during = send_traffic(fleet, all_paths, evacuation_bound + milliseconds(2'000), interval);
    cr_expect_eq(count_served(during), during.size(), "%zu of %zu", count_served(during), during.size());
    cr_expect_eq(arrivals(fleet, "a", ordered + evacuation_bound), 0);
    constexpr milliseconds usual_delay{2'000};
    const std::size_t late = arrivals(fleet, "a", ordered + usual_delay);
    cr_expect_eq(late, 0, "%zu calls later than 2 s after the order", late);
    const auto ended = steady_clock::now();
    fleet.with_site([](site& it) { it.end_evacuation("a"); });
    auto after = send_traffic(fleet, all_paths, milliseconds(5'000), interval);
    cr_expect_eq(count_served(after), after.size());
    cr_expect_gt(arrivals(fleet, "a", ended + milliseconds(3'000)), 10);
}

// Guards against stage tasks that wait for an evacuated domain, until their deadline or until they are asked
// for again after 500 ms, while the endpoints of the other domain have room; against calls that run when the
// order is given and whose pieces run elsewhere, too; and against releases of their results.
Test(evacuation, waiting_stage_tasks_move_to_the_other_domain)
{
    auto options = two_domains();
    options.stage_call_time = milliseconds(600);
    options.max_batch_pieces = 1;
    platform_fleet fleet(instances, options);
    cr_assert(fleet.wait_ready());
    // Until the instances know one another, several of them call the same stage endpoints.
    std::this_thread::sleep_for(milliseconds(2'000));
    constexpr int requests = 18;
    std::vector<std::future<timed_answer>> sent;
    sent.reserve(requests);
    for (int n = 0; n < requests; ++n)
        sent.push_back(std::async(std::launch::async, [&fleet, n] {
            return send_timed(fleet, static_cast<std::size_t>(n) % instances, "/stream/shared", n);
        }));
    std::this_thread::sleep_for(milliseconds(150));
    const std::string used = arrivals(fleet, "a", {}) > 0 ? "a" : "b";
    const std::string other = used == "a" ? "b" : "a";
    cr_assert_eq(arrivals(fleet, other, {}), 0);
    const auto ordered = steady_clock::now();
    fleet.with_site([&used](site& it) { it.evacuate(used); });
    int served = 0;
    std::string failures;
    for (auto& it : sent) {
        const auto answered = it.get();
        served += answered.answer.status == 200 ? 1 : 0;
        if (answered.answer.status != 200)
            failures += fmt::format(" {} {} after {} ms", answered.answer.status, answered.answer.body,
                                    answered.took.count());
    }
    cr_expect_eq(served, requests, "%d of %d:%s", served, requests, failures.c_str());
    constexpr milliseconds usual_delay{250};
    const std::size_t late = arrivals(fleet, used, ordered + usual_delay);
    cr_expect_eq(late, 0, "%zu calls", late);
    const std::size_t moved = arrivals(fleet, other, ordered) - arrivals(fleet, other, ordered + usual_delay);
    cr_expect_geq(moved, 4, "%zu calls at once at the six endpoints of the other domain", moved);
    std::size_t pieces = 0;
    fleet.with_site([&pieces](site& it) {
        for (const auto& endpoint : it.first_stage)
            for (const auto& call : endpoint->calls())
                pieces += call.pieces;
    });
    cr_expect_eq(pieces, requests, "%zu pieces ran for %d requests", pieces, requests);
}

// Guards against instances that use evacuated endpoints as a last resort, that let requests wait when there
// is no other, or that forget the orders when all of them start again.
Test(evacuation, all_domains_are_evacuated_and_all_instances_restarted)
{
    platform_fleet fleet(instances, two_domains());
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        it.evacuate("a");
        it.evacuate("b");
    });
    for (std::size_t n = 0; n < instances; ++n) {
        fleet.signal(n, SIGKILL);
        fleet.start(n);
    }
    cr_assert(fleet.wait_ready());
    const auto ready = steady_clock::now();
    const auto refused = send_traffic(fleet, all_paths, milliseconds(1'500), milliseconds(25));
    for (const auto& it : refused) {
        cr_expect_eq(it.answer.status, 503);
        cr_expect_not(it.answer.header("Retry-After").empty());
        cr_expect_leq(it.took.count(), max_refusal_time.count());
    }
    cr_expect_eq(arrivals(fleet, "a", ready) + arrivals(fleet, "b", ready), 0);
    fleet.with_site([](site& it) { it.end_evacuation("b"); });
    std::this_thread::sleep_for(milliseconds(1'500));
    const auto answers = send_traffic(fleet, all_paths, milliseconds(1'500), milliseconds(25));
    cr_expect_eq(count_served(answers), answers.size());
    cr_expect_eq(arrivals(fleet, "a", ready), 0);
}

// Guards against engines that crash when their domain returns cold from an evacuation: each gets no more than
// the bound in any second, while the instances that give the permits are killed one after the other.
Test(evacuation, domain_returns_cold_while_responsible_instances_are_killed)
{
    site_options options;
    options.domains = {"b"};
    options.engines = 4;
    options.follows_evacuations = true;
    options.cold_rate = 6;
    constexpr double allowed = 6 * 1.5 + 5;
    platform_fleet fleet(instances, options);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) { it.evacuate("b"); });
    std::this_thread::sleep_for(milliseconds(1'500));
    fleet.with_site([](site& it) {
        for (auto& engine : it.engines) {
            engine->restart_cold(milliseconds(9'000));
            it.state.put("servers/" + engine->options().id, engine->entry());
        }
    });
    std::this_thread::sleep_for(milliseconds(1'000));
    const auto ended = steady_clock::now();
    fleet.with_site([](site& it) { it.end_evacuation("b"); });
    auto killer = std::async(std::launch::async, [&fleet] {
        for (std::size_t n = 0; n < 3; ++n) {
            std::this_thread::sleep_for(milliseconds(1'500));
            fleet.signal(n, SIGKILL);
            fleet.start(n);
        }
    });
    // 80 requests a second, of which the engines tolerate 24 while they are cold.
    send_traffic(fleet, {"/resumable/x"}, milliseconds(6'000), milliseconds(12));
    killer.get();
    fleet.with_site([&](site& it) {
        std::size_t all = 0;
        for (auto& engine : it.engines) {
            const std::size_t worst = worst_second(engine->limit, ended);
            cr_expect_leq(static_cast<double>(worst), allowed, "%zu of %g", worst, allowed);
            all += static_cast<std::size_t>(std::count_if(engine->limit.arrivals().begin(),
                                                          engine->limit.arrivals().end(),
                                                          [&](auto t) { return t >= ended; }));
        }
        // A quarter of what the engines tolerate in 6 s: the permits are used.
        cr_expect_geq(all, 36, "%zu requests", all);
    });
}
