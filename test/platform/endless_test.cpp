/// \file
/// Tests of endpoints that send bytes without end, with real processes.
#include "raw_endpoint.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <memory>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;
using namespace limpetlock::test;
using limpetlock::platformkit::behaviour;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;

namespace {

/// The least memory of an instance on the platform is 160 MB. Answers without end may take half of it.
constexpr std::size_t max_memory_kb = std::size_t{80} * 1024;
constexpr int calls_at_once = 24;

/// Sends calls at once and returns the number of complete answers. Each prompt has shared parts of its own,
/// so that the calls go to all engines.
int complete_answers(platform_fleet& fleet, const std::string& path)
{
    std::vector<std::future<platform_answer>> answers;
    for (int n = 0; n < calls_at_once; ++n) {
        platform_call call;
        call.path = path;
        call.request_id = fmt::format("{:016x}", n + 0x1000);
        call.prefix_hashes = fmt::format("{:x}:50,{:x}:30", n + 1, n + 1'000);
        answers.push_back(fleet.send(0, call));
    }
    int complete = 0;
    for (auto& it : answers) {
        const auto answer = it.get();
        complete += answer.status == 200 && answer.complete ? 1 : 0;
    }
    return complete;
}

void check_endless(behaviour how, const std::string& path)
{
    // Every call that meets an endless answer may be repeated.
    site_options options;
    options.retry_extra = 1'000;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    fleet.with_site([&](site& it) {
        it.engines[0]->behave(how, 1'000);
        it.plain[0]->behave(how, 1'000);
    });
    const int complete = complete_answers(fleet, path);
    cr_expect_geq(complete, calls_at_once - 1, "%d of %d calls were served by the sound endpoints", complete,
                  calls_at_once);
    cr_expect_leq(fleet.peak_memory_kb(0), max_memory_kb);
    const bool closed = fleet.wait_until(
        [](site& it) { return it.engines[0]->running_requests() + it.plain[0]->running_requests() == 0; });
    cr_expect(closed, "an endless answer is still read");
    fleet.with_site(
        [](site& it) { cr_expect_gt(it.engines[0]->endless_bytes() + it.plain[0]->endless_bytes(), 0); });
}

} // namespace

// Guards against an instance that buffers an event without end until it runs out of memory, and against a
// caller that waits for it until its deadline.
Test(endless, event_without_end_is_given_up)
{
    check_endless(behaviour::endless_body, "/resumable/x");
}

// Guards against a stream of bytes without an event that goes on until the caller's deadline.
Test(endless, stream_without_content_is_given_up)
{
    check_endless(behaviour::endless_events, "/resumable/x");
}

// Guards against an instance that buffers many answers without end at the same time.
Test(endless, body_without_end_is_given_up)
{
    check_endless(behaviour::endless_body, "/lookup/x");
}

// Guards against stage calls whose answers never end and are kept up to the bound of one body each.
Test(endless, stage_answers_without_end_are_given_up)
{
    site_options options;
    options.stage_endpoints = 0;
    options.max_batch_pieces = 1;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    constexpr int endpoints = 24;
    std::vector<std::unique_ptr<raw_endpoint>> all;
    all.reserve(endpoints);
    for (int n = 0; n < endpoints; ++n)
        all.push_back(std::make_unique<raw_endpoint>([](tcp::socket& socket, const raw_request&) {
            write_bytes(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            write_endlessly(socket, fmt::format("{:x}\r\n{}\r\n", 4'096, std::string(4'096, 'x')));
        }));
    for (int n = 0; n < endpoints; ++n)
        all[static_cast<std::size_t>(n)]->list(fleet, "first", fmt::format("i-raw-{}", n));
    std::this_thread::sleep_for(milliseconds(1'000));
    std::vector<std::future<platform_answer>> answers;
    for (int n = 0; n < 2 * endpoints; ++n) {
        platform_call call;
        call.path = "/stream/x";
        call.request_id = fmt::format("{:016x}", n + 1);
        call.prefix_hashes = "1:50,2:30";
        call.pieces = "1,0";
        answers.push_back(fleet.send(0, call));
    }
    for (auto& it : answers)
        cr_expect_eq(it.get().status, 503, "the stages can't be done");
    cr_expect_leq(fleet.peak_memory_kb(0), max_memory_kb);
}

// Guards against large error answers that are kept while another attempt runs, without a bound of all of
// them.
Test(endless, large_error_answers_are_bounded_together)
{
    site_options options;
    options.plain = 0;
    options.retry_extra = 1'000;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    fleet.with_site([](site& it) {
        for (auto& route : it.config["routes"])
            route["timeoutMs"] = 10'000;
        it.publish_config();
    });
    const auto fail = [](tcp::socket& socket, const raw_request& request) {
        constexpr std::size_t size = std::size_t{6} * 1024 * 1024;
        write_bytes(socket, raw_endpoint::head(request, "500 Failed") +
                                fmt::format("Content-Length: {}\r\n\r\n", size) + std::string(size, 'x'));
    };
    raw_endpoint one(fail);
    raw_endpoint two(fail);
    one.publish(fleet, "plain", "i-raw-one");
    two.publish(fleet, "plain", "i-raw-two");
    std::vector<std::future<platform_answer>> answers;
    for (int n = 0; n < calls_at_once; ++n) {
        platform_call call;
        call.path = "/lookup/x";
        call.request_id = fmt::format("{:016x}", n + 1);
        call.deadline = milliseconds(9'000);
        answers.push_back(fleet.send(0, call));
    }
    for (auto& it : answers)
        cr_expect_geq(it.get().status, 500);
    cr_expect_leq(fleet.peak_memory_kb(0), max_memory_kb);
}
