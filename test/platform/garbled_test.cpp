/// \file
/// Tests of endpoints whose answers break the rules of HTTP, with real processes.
#include "raw_endpoint.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

using boost::asio::ip::tcp;
using namespace limpetlock::test;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;

namespace {

/// timeoutMs of the routes, and the time after it by which the platform expects an answer.
constexpr milliseconds route_timeout{800};
constexpr milliseconds max_answer_delay{500};

struct timed_answer {
    platform_answer answer;
    milliseconds took{0};
};

/// Answers of an endpoint that closes the connection after the given bytes; `{}` stands for the headers that
/// name the request.
std::vector<timed_answer> ask_garbled(platform_fleet& fleet, const std::string& path, const std::string& text)
{
    raw_endpoint endpoint([&text](tcp::socket& socket, const raw_request& request) {
        const std::string names =
            "Limpetlock-Request-Id: " + request.id + "\r\nLimpetlock-Response-Stamp: s\r\n";
        write_bytes(socket, fmt::format(fmt::runtime(text), names));
    });
    endpoint.publish(fleet, "plain");
    std::vector<timed_answer> out;
    for (int n = 0; n < 3; ++n) {
        platform_call call;
        call.path = path;
        call.request_id = fmt::format("{:016x}", n + 1);
        call.deadline = milliseconds(3'000);
        const auto start = std::chrono::steady_clock::now();
        timed_answer it;
        it.answer = fleet.send_and_wait(0, call);
        it.took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
        out.push_back(std::move(it));
    }
    return out;
}

/// A call with stages whose request id and piece key, from which calls to the stages are made, have a byte
/// that isn't UTF-8.
platform_call malformed_call()
{
    platform_call out;
    out.path = "/stream/x";
    out.request_id = "a\xff";
    out.prefix_hashes = "1:50,2:30";
    out.pieces = "1,1";
    return out;
}

const std::vector<std::string> garbled_answers{
    "HTTP/1.1 800 OK\r\n{}Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 OK\r\n{}Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 099 OK\r\n{}Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n{}Content-Length: 9223372036854775000\r\n\r\nok",
    "HTTP/1.1 500 No\r\n{}Content-Length: 9223372036854775000\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n{}Content-Length: 70000000000\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\nfffffffffffffff0\r\nok",
    "HTTP/1.1 200 OK\r\n{}Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "\r\n\r\n\r\n",
};

} // namespace

// Guards against a request that never gets an answer, since an error that nobody expects ends the coroutine
// that serves it: a status line or length that isn't one of HTTP made the handler throw.
Test(garbled, requests_whose_answer_is_garbled_are_answered_once_and_in_time)
{
    site_options options;
    options.plain = 0;
    for (const std::string path : {"/booking/x", "/lookup/x"}) {
        platform_fleet fleet(1, options);
        cr_assert(fleet.wait_ready());
        for (const auto& text : garbled_answers)
            for (const auto& it : ask_garbled(fleet, path, text)) {
                cr_expect_geq(it.answer.status, 502, "%s: status %d after %s", path.c_str(), it.answer.status,
                              text.c_str());
                cr_expect_neq(it.answer.status, 503, "%s: may have run after %s", path.c_str(), text.c_str());
                cr_expect_leq(it.took.count(), (route_timeout + max_answer_delay).count(), "%s after %s",
                              path.c_str(), text.c_str());
            }
        // A request that is still counted as running would hold up the stop.
        fleet.signal(0, SIGTERM);
        cr_expect_eq(fleet.wait_exit(0, milliseconds(5'000)), 0, "%s", path.c_str());
    }
}

// Guards against stage endpoints that stay busy for good, since the call to them failed before it was sent:
// the encoding of a malformed piece key threw in a coroutine in the background.
Test(garbled, malformed_request_is_refused_and_blocks_no_stage_endpoint)
{
    platform_fleet fleet(2);
    cr_assert(fleet.wait_ready());
    for (std::size_t n = 0; n < 6; ++n)
        cr_expect_eq(fleet.send_and_wait(n % 2, malformed_call()).status, 400);
    auto sound = malformed_call();
    for (std::size_t n = 0; n < 4; ++n) {
        sound.request_id = fmt::format("{:016x}", n + 1);
        const auto answer = fleet.send_and_wait(n % 2, sound);
        cr_expect_eq(answer.status, 200);
        cr_expect(answer.complete);
    }
}
