/// \file
/// Tests of requests that a planned stop overtakes, with real processes.
#include "raw_endpoint.hpp"

#include <boost/asio/read.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;
using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

platform_call booking(int n)
{
    platform_call out;
    out.path = "/booking/x";
    out.request_id = fmt::format("{:016x}", n + 1);
    out.deadline = seconds(30);
    return out;
}

/// Routes without a time limit of their own that ends before the stop.
void set_long_timeouts(platform_fleet& fleet)
{
    fleet.with_site([](site& it) {
        for (auto& route : it.config["routes"])
            route["timeoutMs"] = 30'000;
        it.publish_config();
    });
    std::this_thread::sleep_for(seconds(1));
}

} // namespace

// Guards against requests that are cut without an answer at the end of a planned stop, among them some that
// must not be repeated. They get a status that promises nothing.
Test(stopping, requests_that_are_sent_and_not_answered_get_a_final_answer)
{
    site_options options;
    options.plain = 0;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    set_long_timeouts(fleet);
    raw_endpoint silent([](tcp::socket& socket, const raw_request&) {
        boost::system::error_code ec;
        std::string ignored;
        boost::asio::read(socket, boost::asio::dynamic_buffer(ignored), ec);
    });
    silent.publish(fleet, "plain");
    constexpr int bookings = 5;
    std::vector<std::future<platform_answer>> answers;
    answers.reserve(bookings);
    for (int n = 0; n < bookings; ++n)
        answers.push_back(fleet.send(0, booking(n)));
    std::this_thread::sleep_for(milliseconds(200));
    fleet.signal(0, SIGTERM);
    for (auto& it : answers) {
        const auto answer = it.get();
        cr_expect_eq(answer.status, 502);
        cr_expect(answer.complete);
    }
    cr_expect_geq(fleet.wait_exit(0, seconds(9)), 0);
}

// Guards against requests that come late in a planned stop and are passed on although their answer can't end
// before the process does. They are refused at once and can be served elsewhere.
Test(stopping, requests_whose_answer_can_not_end_in_time_are_not_passed_on)
{
    site_options options;
    options.plain = 0;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    set_long_timeouts(fleet);
    raw_endpoint slow([](tcp::socket& socket, const raw_request& request) {
        std::this_thread::sleep_for(seconds(6));
        write_bytes(socket, raw_endpoint::head(request) + "Content-Length: 2\r\n\r\nok");
    });
    slow.publish(fleet, "plain");
    cr_assert_eq(fleet.send_and_wait(0, booking(0)).status, 200);
    auto early = fleet.send(0, booking(1));
    std::this_thread::sleep_for(milliseconds(200));
    fleet.signal(0, SIGTERM);
    std::this_thread::sleep_for(milliseconds(2'000));
    const auto start = std::chrono::steady_clock::now();
    const auto late = fleet.send_and_wait(0, booking(2));
    cr_expect_eq(late.status, 503);
    cr_expect_neq(late.header("Retry-After"), "");
    cr_expect_lt(std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start).count(),
                 500);
    cr_expect_eq(early.get().status, 200);
    cr_expect_eq(slow.requests(), 2, "the late one didn't reach the endpoint");
    cr_expect_eq(fleet.wait_exit(0, seconds(9)), 0);
}
