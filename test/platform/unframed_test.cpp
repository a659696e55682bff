/// \file
/// Tests of endpoints whose answers have neither a length nor chunks and end with their connection.
#include "raw_endpoint.hpp"

#include <criterion/criterion.h>

#include <string>
#include <thread>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace limpetlock::test;
using limpetlock::platformkit::site_options;

namespace {

/// Asks for the answer of an endpoint that sends the given body after a header without a length, and closes
/// or resets the connection then.
platform_answer ask(const std::string& pool, const std::string& path, const std::string& body, bool reset)
{
    site_options options;
    options.engines = 0;
    options.plain = 0;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    raw_endpoint endpoint([&body, reset](tcp::socket& socket, const raw_request& request) {
        write_bytes(socket, raw_endpoint::head(request) + "\r\n" + body);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        boost::system::error_code ec;
        if (reset)
            socket.set_option(asio::socket_base::linger(true, 0), ec);
    });
    endpoint.publish(fleet, pool);
    platform_call call;
    call.path = path;
    call.request_id = "00000000000000a1";
    if (pool == "engine")
        call.prefix_hashes = "1:50,2:80";
    return fleet.send_and_wait(0, call);
}

const std::string two_events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

} // namespace

// Guards against answers that are refused because they end with their connection.
Test(unframed, answers_that_end_with_their_connection_are_complete)
{
    const auto stream = ask("engine", "/resumable/x", two_events, false);
    cr_expect_eq(stream.status, 200);
    cr_expect(stream.complete);
    cr_expect_eq(stream.body, two_events);
    const auto whole = ask("plain", "/lookup/x", "the answer", false);
    cr_expect_eq(whole.status, 200);
    cr_expect(whole.complete);
    cr_expect_eq(whole.body, "the answer");
}

// Guards against an answer that broke off and reaches the caller as a complete success: a stream that ends
// inside an event, and answers whose connection is reset.
Test(unframed, broken_answers_are_never_complete)
{
    const auto inside = ask("engine", "/resumable/x", two_events + "id: 3\nda", false);
    cr_expect_not(inside.status == 200 && inside.complete, "%s", inside.body.c_str());
    cr_expect_eq(inside.body.find("id: 3"), std::string::npos, "no part of an event is passed on");
    const auto cut = ask("engine", "/resumable/x", two_events, true);
    cr_expect_not(cut.status == 200 && cut.complete, "%s", cut.body.c_str());
    const auto whole = ask("plain", "/lookup/x", "the first half of", true);
    cr_expect_neq(whole.status, 200);
}

namespace {

/// Uploads 3 MB to an endpoint that answers with these bytes at once, leaves the upload unread and resets the
/// connection.
platform_answer upload_to(const std::string& pool, const std::string& path, const std::string& bytes)
{
    site_options options;
    options.engines = 0;
    options.plain = 0;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    raw_endpoint endpoint(
        [&bytes](tcp::socket& socket, const raw_request& request) {
            write_bytes(socket, raw_endpoint::head(request) + bytes);
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        },
        raw_endpoint::upload::left_unread);
    endpoint.publish(fleet, pool);
    platform_call call;
    call.path = path;
    call.request_id = "00000000000000a2";
    call.body.assign(std::size_t{3} * 1024 * 1024, 'x');
    if (pool == "engine")
        call.prefix_hashes = "1:50,2:80";
    return fleet.send_and_wait(0, call);
}

} // namespace

// Guards against a part of an answer that reaches the caller as a complete success: the endpoint answers
// without a length while the upload is on its way, and resets the connection.
Test(unframed, answer_before_the_end_of_a_reset_upload_is_not_complete)
{
    const auto stream = upload_to("engine", "/resumable/x", "\r\n" + two_events);
    cr_expect_not(stream.status == 200 && stream.complete, "%s", stream.body.c_str());
    const auto whole = upload_to("plain", "/lookup/x", "\r\nthe first half of");
    cr_expect_neq(whole.status, 200);
    const auto refusal = upload_to("plain", "/lookup/x", "Content-Length: 2\r\n\r\nok");
    cr_expect_eq(refusal.status, 200, "an answer with a length is whole: %d", refusal.status);
}

// Guards against a head that ends early, or the status 000, as an answer of the endpoint.
Test(unframed, cut_heads_and_status_000_are_no_answers)
{
    for (const std::string pool : {"engine", "plain"}) {
        site_options options;
        options.engines = 0;
        options.plain = 0;
        platform_fleet fleet(1, options);
        cr_assert(fleet.wait_ready());
        raw_endpoint endpoint([](tcp::socket& socket, const raw_request& request) {
            write_bytes(socket, request.number % 2 == 0
                                    ? raw_endpoint::head(request) + "Content-Type: text/event-stream\r\n"
                                    : raw_endpoint::head(request, "000 OK") + "Content-Length: 2\r\n\r\nok");
        });
        endpoint.publish(fleet, pool);
        for (int n = 0; n < 2; ++n) {
            platform_call call;
            call.path = pool == "engine" ? "/resumable/x" : "/lookup/x";
            call.request_id = "00000000000000b" + std::to_string(n);
            call.deadline = std::chrono::milliseconds(2'000);
            if (pool == "engine")
                call.prefix_hashes = "1:50,2:80";
            const auto answer = fleet.send_and_wait(0, call);
            cr_expect(!answer.complete || answer.status >= 500, "%s: %d '%s'", pool.c_str(), answer.status,
                      answer.body.c_str());
        }
        cr_expect_gt(endpoint.requests(), 0);
    }
}
