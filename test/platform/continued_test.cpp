/// \file
/// Tests of streams that break off and what the next endpoint sends, with real processes.
#include "raw_endpoint.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using boost::asio::ip::tcp;
using namespace limpetlock::test;
using limpetlock::platformkit::behaviour;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;

namespace {

const std::string first_events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
const std::string last_events = "id: 3\ndata: z\n\n";

/// Head of a stream whose length isn't stated, up to the end of the head.
std::string stream_head(const raw_request& request)
{
    return raw_endpoint::head(request) + "Content-Type: text/event-stream\r\n";
}

std::string with_length(const std::string& body)
{
    return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

/// Two engines. The first one that is asked breaks off after two events; what the next one sends follows the
/// headers that name the request.
platform_answer ask(const std::string& status, const std::string& rest)
{
    site_options options;
    options.engines = 0;
    options.retry_extra = 1'000;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    std::atomic<int> asked{0};
    const auto answer = [&](tcp::socket& socket, const raw_request& request) {
        if (asked++ == 0)
            write_bytes(socket, stream_head(request) + "Content-Length: 500\r\n\r\n" + first_events);
        else
            write_bytes(socket, raw_endpoint::head(request, status) + rest);
    };
    raw_endpoint one(answer);
    raw_endpoint two(answer);
    one.publish(fleet, "engine", "i-raw-one");
    two.publish(fleet, "engine", "i-raw-two");
    platform_call call;
    call.path = "/resumable/x";
    call.request_id = "00000000000000a1";
    call.prefix_hashes = "1:50,2:80";
    auto out = fleet.send_and_wait(0, call);
    cr_expect_eq(asked.load(), 2, "%s", rest.c_str());
    return out;
}

const std::string stream_type = "Content-Type: text/event-stream\r\n";

} // namespace

// Guards against a sound continuation that is rejected, also one of which only the end was left.
Test(continued, stream_goes_on_at_the_next_endpoint)
{
    const auto rest = ask("200 OK", stream_type + with_length(last_events));
    cr_expect(rest.complete);
    cr_expect_eq(rest.body, first_events + last_events);
    const auto end = ask("200 OK", stream_type + with_length(""));
    cr_expect(end.complete);
    cr_expect_eq(end.body, first_events);
}

// Guards against the text or head of an error in the middle of a stream, against a stream that ends as if it
// were complete, and against events that come twice, when the endpoint that is to continue it doesn't.
Test(continued, answers_that_do_not_continue_a_stream_never_reach_the_caller)
{
    const std::string error = "error\n\nid: 9\ndata: error\n\n";
    const std::pair<std::string, std::string> answers[] = {
        {"500 Failed", "Content-Type: text/plain\r\n" + with_length(error)},
        {"500 Failed", stream_type + with_length(error)},
        {"200 OK", "Content-Type: application/json\r\n" + with_length("{\"error\":\"x\"}\n\n")},
        {"200 OK", "Content-Type: text/plain\r\n" + with_length(error)},
        {"200 OK", "Content-Type: text/plain\r\n" + with_length("")},
        {"200 OK", with_length("")},
        {"200 OK", with_length("data: error\n\n")},
        {"200 OK", stream_type + "\r\n"},
        {"204 No Content", "\r\n"},
        {"206 Partial", stream_type + with_length(last_events)},
        {"200 OK", stream_type + with_length(first_events + last_events)},
        {"200 OK", stream_type + with_length("HTTP/1.1 500 Failed\r\n\r\n")},
    };
    for (const auto& [status, rest] : answers) {
        const auto it = ask(status, rest);
        cr_expect_eq(it.status, 200);
        cr_expect_not(it.complete, "complete after %s %s", status.c_str(), rest.c_str());
        cr_expect_eq(it.body, first_events, "'%s' after %s %s", it.body.c_str(), status.c_str(),
                     rest.c_str());
    }
}

// Guards against a refusal that promises that a request has not run, although an endpoint had it before the
// stages of its repeat failed.
Test(continued, repeat_whose_stages_fail_is_not_refused_as_if_it_had_not_run)
{
    site_options options;
    options.engines = 0;
    options.retry_extra = 1'000;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        it.config["routes"][1]["stages"] = it.config["routes"][0]["stages"];
        it.publish_config();
    });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto break_off = [&fleet](tcp::socket& socket, const raw_request& request) {
        fleet.with_site([](site& it) {
            for (const auto& stage : it.first_stage)
                stage->behave(behaviour::fail, 1'000);
        });
        write_bytes(socket, stream_head(request) + "Content-Length: 500\r\n\r\n");
    };
    raw_endpoint one(break_off);
    raw_endpoint two(break_off);
    one.publish(fleet, "engine", "i-raw-one");
    two.publish(fleet, "engine", "i-raw-two");
    platform_call call;
    call.path = "/resumable/x";
    call.request_id = "00000000000000a1";
    call.prefix_hashes = "1:50,2:80";
    call.pieces = "1,1";
    const auto answer = fleet.send_and_wait(0, call);
    cr_expect_eq(answer.status, 502);
    cr_expect_eq(one.requests() + two.requests(), 1);
}
