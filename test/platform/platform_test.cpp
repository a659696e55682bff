#include "platform_fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

using namespace limpetlock::test;
using limpetlock::platformkit::behaviour;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using limpetlock::platformkit::store_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The largest number of requests that one test sends.
constexpr std::size_t max_answers = 128;

std::string request_id_of(int n)
{
    return fmt::format("{:016x}", n + 0x1000);
}

platform_call stream_call(int n)
{
    platform_call out;
    out.path = "/stream/x";
    out.request_id = request_id_of(n);
    out.pieces = "2,1";
    out.prefix_hashes = fmt::format("1:50,{:x}:80,{:x}:30", n % 7 + 2, n + 1000);
    return out;
}

platform_call plain_call(const std::string& route, int n)
{
    platform_call out;
    out.path = "/" + route + "/x";
    out.request_id = request_id_of(n);
    out.deadline = milliseconds(1'500);
    return out;
}

std::string complete_stream(std::size_t events, std::size_t bytes = 55)
{
    std::string out;
    for (std::size_t n = 1; n <= events; ++n)
        out += fmt::format("id: {}\ndata: {}\n\n", n, std::string(bytes, 'x'));
    return out;
}

/// Returns how often the endpoints of a list ran a request.
template <typename Endpoints>
std::size_t count_runs(const Endpoints& endpoints, const std::string& id)
{
    std::size_t out = 0;
    for (const auto& it : endpoints)
        out += static_cast<std::size_t>(std::count_if(
            it->runs().begin(), it->runs().end(), [&id](const auto& run) { return run.request_id == id; }));
    return out;
}

} // namespace

// Guards against incomplete or crossed answers, stage calls that batch no pieces of different requests, and
// stage results that are not released at their producers. Many concurrent requests go through three
// instances.
Test(platform, streams_over_stages_are_complete)
{
    platform_fleet fleet(3);
    cr_assert(fleet.wait_ready());
    constexpr std::size_t requests = 120;
    std::vector<std::future<platform_answer>> answers;
    answers.reserve(max_answers);
    for (std::size_t n = 0; n < requests; ++n)
        answers.push_back(fleet.send(n % 3, stream_call(static_cast<int>(n))));
    for (std::size_t n = 0; n < requests; ++n) {
        const auto it = answers[n].get();
        cr_expect_eq(it.status, 200, "request %zu: %s", n, it.body.c_str());
        cr_expect(it.complete);
        cr_expect_eq(it.body, complete_stream(8));
        cr_expect_eq(it.header("Limpetlock-Request-Id"), request_id_of(static_cast<int>(n)));
    }
    fleet.with_site([](site& it) {
        std::size_t calls = 0;
        std::size_t pieces = 0;
        for (const auto& endpoint : it.first_stage)
            for (const auto& call : endpoint->calls()) {
                ++calls;
                pieces += call.pieces;
            }
        cr_expect_eq(pieces, 2 * requests);
        cr_expect_lt(calls, requests, "stage calls do not batch pieces of several requests");
        std::set<std::string> inputs;
        for (const auto& engine : it.engines)
            for (const auto& run : engine->runs())
                cr_expect(inputs.insert(run.inputs).second, "stage results were used for two requests");
        for (const auto& engine : it.engines)
            for (const auto& run : engine->runs()) {
                cr_expect_eq(run.tenant, site::team);
                cr_expect_eq(run.authorization, "");
            }
    });
    const bool released = fleet.wait_until([](site& it) {
        std::size_t held = 0;
        for (const auto& list : {&it.first_stage, &it.second_stage})
            for (const auto& endpoint : *list)
                held += endpoint->held_results();
        return held == 0;
    });
    cr_expect(released, "results were not released at their producers");
}

// Guards against a second run of a booking whose answer was lost, and against a booking that was refused as
// not run and ran.
Test(platform, booking_runs_at_most_once_and_not_when_refused)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    const std::vector<std::pair<behaviour, int>> cases{
        {behaviour::cut_answer, 502}, {behaviour::without_signature, 502},
        {behaviour::hang, 504},       {behaviour::fail, 500},
        {behaviour::refuse, 503},     {behaviour::wrong_endpoint, 503},
        {behaviour::old_refusal, 504}};
    int n = 0;
    for (const auto& [how, status] : cases) {
        fleet.with_site([how = how](site& it) {
            for (const auto& endpoint : it.plain)
                endpoint->behave(how, 100);
        });
        const auto answer = fleet.send_and_wait(0, plain_call("booking", ++n));
        cr_expect_eq(answer.status, status, "case %d: %d", n, answer.status);
        fleet.with_site([&, how = how](site& it) {
            const bool must_not_run = how == behaviour::refuse || how == behaviour::wrong_endpoint;
            cr_expect_eq(count_runs(it.plain, request_id_of(n)), must_not_run ? 0U : 1U, "case %d", n);
            for (const auto& endpoint : it.plain)
                endpoint->behave(how, 0);
        });
        if (status == 503)
            cr_expect_neq(answer.header("Retry-After"), "");
        std::this_thread::sleep_for(milliseconds(400));
    }
}

// Guards against a repeatable call that fails because one endpoint answers it with an error.
Test(platform, lookup_is_retried_at_another_endpoint)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    int complete = 0;
    for (int n = 0; n < 10; ++n) {
        fleet.with_site([](site& it) { it.plain[0]->behave(behaviour::fail, 1); });
        const auto answer = fleet.send_and_wait(0, plain_call("lookup", n));
        complete += answer.status == 200 && answer.body == "answer to " + request_id_of(n) ? 1 : 0;
    }
    cr_expect_eq(complete, 10);
}

// Guards against a caller that gets the answer of another request.
Test(platform, answer_of_another_request_is_never_passed_on)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        for (const auto& endpoint : it.plain)
            endpoint->behave(behaviour::wrong_id, 100);
    });
    const auto answer = fleet.send_and_wait(0, plain_call("lookup", 1));
    cr_expect_neq(answer.status, 200);
    cr_expect_eq(answer.body.find("answer to"), std::string::npos);
}

// Guards against lost, duplicate or merged events when a stream resumes at another engine.
Test(platform, broken_stream_resumes_at_another_engine)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        for (const auto& engine : it.engines)
            engine->behave(behaviour::cut_answer, 1);
    });
    platform_call call;
    call.path = "/resumable/x";
    call.request_id = request_id_of(1);
    call.prefix_hashes = "1:50,2:20";
    const auto answer = fleet.send_and_wait(0, call);
    cr_expect_eq(answer.status, 200);
    fleet.with_site([](site& it) {
        std::size_t resumed = 0;
        for (const auto& engine : it.engines)
            for (const auto& run : engine->runs())
                resumed += run.resume_after.empty() ? 0 : 1;
        cr_expect_geq(resumed, 1);
    });
    const std::string all = complete_stream(8);
    cr_expect(answer.complete ? answer.body == all : all.starts_with(answer.body));
}

// Guards against a second run of a stream that can't be resumed, and against a cut stream that looks
// complete.
Test(platform, broken_stream_that_cannot_be_resumed_is_cut_visibly)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        for (const auto& engine : it.engines)
            engine->behave(behaviour::cut_answer, 10);
    });
    const auto answer = fleet.send_and_wait(0, stream_call(1));
    cr_expect_eq(answer.status, 200);
    cr_expect_not(answer.complete);
    cr_expect(complete_stream(8).starts_with(answer.body));
    fleet.with_site([](site& it) { cr_expect_eq(count_runs(it.engines, request_id_of(1)), 1); });
}

// Guards against engines that keep working for more than half a second after their caller has disconnected,
// and against requests that are sent on afterwards, also when the caller disconnects while its stages run.
Test(platform, caller_disconnect_cancels_work)
{
    site_options options;
    options.events = 2'000;
    options.event_gap = milliseconds(5);
    platform_fleet fleet(2, options);
    cr_assert(fleet.wait_ready());
    for (int n = 0; n < 12; ++n) {
        auto call = stream_call(n);
        call.disconnect_after = milliseconds(10 + 25 * n);
        fleet.send_and_wait(static_cast<std::size_t>(n % 2), call);
    }
    std::this_thread::sleep_for(milliseconds(500));
    std::size_t before = 0;
    fleet.with_site([&](site& it) {
        for (const auto& engine : it.engines)
            before += engine->runs().size();
    });
    std::this_thread::sleep_for(milliseconds(400));
    fleet.with_site([&](site& it) {
        std::size_t after = 0;
        for (const auto& engine : it.engines) {
            after += engine->runs().size();
            cr_expect_eq(engine->running_requests(), 0,
                         "an engine still works for a caller that has disconnected");
        }
        cr_expect_eq(after, before, "a request was sent on after its caller had disconnected");
    });
}

// Guards against requests that run under a revoked key. An instance that can't reach the store must refuse
// them once the last confirmation of its configuration is too old, while routes without keys are still
// served.
Test(platform, revoked_key_is_refused_while_the_store_is_silent)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    cr_expect_eq(fleet.send_and_wait(0, plain_call("lookup", 1)).status, 200);
    fleet.with_site([](site& it) {
        it.state.set_mode(store_mode::silent);
        it.config["tenants"][0]["apiKeys"] = {"another-key"};
        it.publish_config();
    });
    std::this_thread::sleep_for(milliseconds(5'200));
    const auto answer = fleet.send_and_wait(0, plain_call("lookup", 2));
    cr_expect_eq(answer.status, 503);
    cr_expect_neq(answer.header("Retry-After"), "");
    cr_expect_eq(fleet.send_and_wait(0, plain_call("open", 3)).status, 200,
                 "a route without keys is refused");
    cr_expect_not(fleet.is_ready(0));
    fleet.with_site([](site& it) { it.state.set_mode(store_mode::serving); });
    const bool denied = fleet.wait_until([&fleet](site&) { return true; }) && [&] {
        for (int n = 0; n < 100; ++n) {
            if (fleet.send_and_wait(0, plain_call("lookup", 10 + n)).status == 401)
                return true;
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }();
    cr_expect(denied);
}

// Guards against a change that comes into force late because a watch is silent or the store has dropped its
// history.
Test(platform, changes_are_in_force_in_time_despite_watch_faults)
{
    platform_fleet fleet(2);
    cr_assert(fleet.wait_ready());
    const std::vector<std::function<void(site&)>> watch_faults{
        [](site&) {}, [](site& it) { it.state.set_mode(store_mode::silent_watches); },
        [](site& it) { it.state.forget_history(); }};
    int n = 0;
    for (const auto& watch_fault : watch_faults) {
        ++n;
        const std::string prefix = fmt::format("/new{}/", n);
        fleet.with_site([&](site& it) {
            auto route = it.config["routes"][2];
            route["name"] = prefix;
            route["prefix"] = prefix;
            it.config["routes"].push_back(route);
            it.publish_config();
            watch_fault(it);
        });
        std::this_thread::sleep_for(milliseconds(1'900));
        for (std::size_t instance = 0; instance < 2; ++instance) {
            auto call = plain_call("lookup", 100 * n + static_cast<int>(instance));
            call.path = prefix + "x";
            cr_expect_eq(fleet.send_and_wait(instance, call).status, 200, "watch fault %d at instance %zu", n,
                         instance);
        }
        fleet.with_site([](site& it) { it.state.set_mode(store_mode::serving); });
    }
}

// Guards against new requests to an endpoint that is listed as draining.
Test(platform, draining_endpoint_gets_no_new_work)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) { it.state.put("servers/i-plain-0", it.plain[0]->entry("draining")); });
    std::this_thread::sleep_for(milliseconds(1'900));
    std::size_t before = 0;
    fleet.with_site([&](site& it) { before = it.plain[0]->runs().size(); });
    for (int n = 0; n < 20; ++n)
        cr_expect_eq(fleet.send_and_wait(0, plain_call("lookup", n)).status, 200);
    fleet.with_site([&](site& it) { cr_expect_eq(it.plain[0]->runs().size(), before); });
}

// Guards against a 404 or 401 from an instance whose configuration may be out of date. Without a recent
// confirmation by the store it must answer 503.
Test(platform, unknown_route_and_key_are_denied_only_with_confirmed_state)
{
    platform_fleet fleet(1);
    cr_assert(fleet.wait_ready());
    auto call = plain_call("nowhere", 1);
    cr_expect_eq(fleet.send_and_wait(0, call).status, 404);
    call = plain_call("lookup", 2);
    call.api_key = "stranger";
    cr_expect_eq(fleet.send_and_wait(0, call).status, 401);
    call.api_key = "";
    cr_expect_eq(fleet.send_and_wait(0, call).status, 401);
    fleet.with_site([](site& it) { it.state.set_mode(store_mode::silent); });
    std::this_thread::sleep_for(milliseconds(2'500));
    call = plain_call("nowhere", 3);
    cr_expect_eq(fleet.send_and_wait(0, call).status, 503, "the route may exist in a newer configuration");
}

// Guards against a planned stop that cuts streams or refuses requests.
Test(platform, planned_stop_cuts_nothing)
{
    site_options options;
    options.events = 60;
    options.event_gap = milliseconds(25);
    platform_fleet fleet(2, options);
    cr_assert(fleet.wait_ready());
    std::vector<std::future<platform_answer>> answers;
    answers.reserve(max_answers);
    for (int n = 0; n < 30; ++n)
        answers.push_back(fleet.send(0, stream_call(n)));
    std::this_thread::sleep_for(milliseconds(300));
    fleet.signal(0, SIGTERM);
    std::this_thread::sleep_for(milliseconds(200));
    cr_expect_not(fleet.is_ready(0));
    for (int n = 30; n < 40; ++n)
        answers.push_back(fleet.send(0, stream_call(n)));
    for (auto& it : answers) {
        const auto answer = it.get();
        cr_expect_eq(answer.status, 200);
        cr_expect(answer.complete);
    }
    cr_expect_eq(fleet.wait_exit(0, seconds(9)), 0);
}

// Guards against requests without an answer because they wait for their stages until the process ends.
Test(platform, planned_stop_answers_requests_waiting_for_stages)
{
    site_options options;
    options.stage_call_time = seconds(3);
    options.max_batch_pieces = 1;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        it.config["routes"][0]["timeoutMs"] = 20'000;
        it.config["routes"][0]["goalMs"] = 8'000;
        it.publish_config();
    });
    std::this_thread::sleep_for(milliseconds(1'000));
    std::vector<std::future<platform_answer>> answers;
    answers.reserve(max_answers);
    for (int n = 0; n < 6; ++n) {
        auto call = stream_call(n);
        call.deadline = seconds(20);
        answers.push_back(fleet.send(0, call));
    }
    std::this_thread::sleep_for(milliseconds(200));
    fleet.signal(0, SIGTERM);
    for (int n = 0; n < 6; ++n) {
        const auto answer = answers[static_cast<std::size_t>(n)].get();
        cr_expect(answer.status == 200 || answer.status == 503, "request %d: %d", n, answer.status);
        if (answer.status == 503)
            cr_expect_neq(answer.header("Retry-After"), "");
        fleet.with_site([&](site& it) {
            if (answer.status == 503)
                cr_expect_eq(count_runs(it.engines, request_id_of(n)), 0, "request %d was refused and ran",
                             n);
        });
    }
    cr_expect_eq(fleet.wait_exit(0, seconds(9)), 0);
}

// Guards against stage tasks that are lost when the instance responsible for their pool is killed. Another
// instance runs them within a second.
Test(platform, stage_tasks_move_when_the_responsible_instance_dies)
{
    site_options options;
    options.stage_call_time = milliseconds(120);
    platform_fleet fleet(3, options);
    cr_assert(fleet.wait_ready());
    std::this_thread::sleep_for(milliseconds(700));
    std::vector<std::future<platform_answer>> answers;
    answers.reserve(max_answers);
    for (int n = 0; n < 24; ++n)
        answers.push_back(fleet.send(0, stream_call(n)));
    std::this_thread::sleep_for(milliseconds(60));
    fleet.signal(1, SIGKILL);
    fleet.signal(2, SIGKILL);
    for (auto& it : answers) {
        const auto answer = it.get();
        cr_expect_eq(answer.status, 200, "%s", answer.body.c_str());
        cr_expect(answer.complete);
    }
}

// Guards against requests that are refused because the first few instances that could be responsible for
// their stages were lost at the same moment.
Test(platform, stage_tasks_find_the_only_instance_left)
{
    constexpr std::size_t instances = 6;
    platform_fleet fleet(instances);
    int n = 0;
    for (std::size_t survivor = 0; survivor < instances; ++survivor) {
        cr_assert(fleet.wait_ready());
        std::this_thread::sleep_for(milliseconds(700));
        for (std::size_t it = 0; it < instances; ++it)
            if (it != survivor)
                fleet.signal(it, SIGKILL);
        constexpr int calls = 5;
        std::vector<std::future<platform_answer>> answers;
        answers.reserve(calls);
        for (int k = 0; k < calls; ++k)
            answers.push_back(fleet.send(survivor, stream_call(++n)));
        for (auto& it : answers) {
            const auto answer = it.get();
            cr_expect_eq(answer.status, 200, "instance %zu: %d %s", survivor, answer.status,
                         answer.body.c_str());
        }
        for (std::size_t it = 0; it < instances; ++it)
            if (it != survivor)
                fleet.start(it);
    }
}

// Guards against an instance that can't start while the store refuses connections. It must learn the state
// from its peers.
Test(platform, instance_starts_without_the_store)
{
    platform_fleet fleet(3);
    cr_assert(fleet.wait_ready());
    fleet.signal(2, SIGKILL);
    fleet.with_site([](site& it) { it.state.set_mode(store_mode::refusing); });
    fleet.start(2);
    cr_expect(fleet.wait_ready(seconds(3)));
    cr_expect_eq(fleet.send_and_wait(2, plain_call("lookup", 1)).status, 200);
}

// Guards against failed requests when a stage endpoint refuses or fails a call or cuts its answer. The pieces
// must be computed again.
Test(platform, pieces_are_recomputed_after_failures)
{
    platform_fleet fleet(2);
    cr_assert(fleet.wait_ready());
    int n = 0;
    for (const auto how : {behaviour::refuse, behaviour::fail, behaviour::cut_answer}) {
        fleet.with_site([how](site& it) { it.first_stage[0]->behave(how, 2); });
        for (int k = 0; k < 6; ++k) {
            const auto answer = fleet.send_and_wait(static_cast<std::size_t>(k % 2), stream_call(++n));
            cr_expect_eq(answer.status, 200, "%s", answer.body.c_str());
            cr_expect(answer.complete);
        }
    }
}
