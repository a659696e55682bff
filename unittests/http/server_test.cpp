#include "fixture.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <cstring>
#include <memory>
#include <stdexcept>

using namespace limpetlock;
using namespace limpetlock::http;
using namespace limpetlock::http::testing;
using namespace boost::asio::experimental::awaitable_operators;

// g++ 12 generates clashing symbols for coroutine lambdas inside a Criterion test, so handlers are defined
// outside. It also destroys the members of an aggregate twice that is written as an argument inside co_await,
// so answers are variables.
namespace {

struct fixture {
    explicit fixture(handler handle = echo, server_limits limits = small_limits())
        : host(threads.executor(), "127.0.0.1", 0, limits, std::move(handle))
    {
    }

    /// Sends bytes on a new connection and reads until the connection ends.
    std::string send_and_read_all(std::string_view bytes)
    {
        raw_connection connection(host.port());
        connection.send(bytes);
        return connection.read_all();
    }

    runtime threads;
    server host;
};

bool refused(const std::string& answer, int status, std::string_view code)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status)) &&
           answer.find("\"code\":\"" + std::string(code) + "\"") != std::string::npos &&
           answer.find("\"ran\":\"no\"") != std::string::npos &&
           answer.find("Connection: close") != std::string::npos && answer.ends_with("}");
}

std::size_t count(const std::string& text, std::string_view part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++n;
    return n;
}

std::atomic<int> closed_count{0};
std::atomic<int> released{0};
std::atomic<bool> write_failed{false};
std::atomic<std::size_t> written{0};

asio::awaitable<void> answer_after_close(exchange& it)
{
    response answer{200, {}, "late"};
    co_await it.wait_closed();
    ++closed_count;
    co_await it.respond(answer);
}

/// Waits until the caller closes its connection or the test sets released, and answers only in the latter
/// case.
asio::awaitable<void> closed_or_released(exchange& it)
{
    response answer{200, {}, "released"};
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (released == 0) {
        timer.expires_after(1ms);
        const auto first = co_await (it.wait_closed() || timer.async_wait(asio::use_awaitable));
        if (first.index() == 0) {
            ++closed_count;
            co_return;
        }
    }
    co_await it.respond(answer);
}

asio::awaitable<void> throw_or_fail(exchange& it)
{
    const auto target = it.message().target;
    if (target == "/stream") {
        header_list headers;
        co_await it.begin_stream(200, headers);
        co_await it.write("partial");
    }
    if (target == "/throw" || target == "/stream")
        throw std::runtime_error("broken handler");
    if (target == "/header") {
        response answer{200, {{"X-Bad", "a\r\nInjected: yes"}}, "body"};
        co_await it.respond(answer);
    }
    if (target == "/fine")
        co_await it.respond(json_response(200, "{}"));
}

asio::awaitable<void> three_chunks(exchange& it)
{
    header_list headers{{"Content-Type", "text/plain"}};
    co_await it.begin_stream(200, headers);
    co_await it.write("one");
    co_await it.write("");
    co_await it.write("two");
    if (it.message().target != "/cut")
        co_await it.finish();
}

asio::awaitable<void> endless_stream(exchange& it)
{
    const std::string block(64 * 1024, 'x');
    header_list headers;
    bool ok = co_await it.begin_stream(200, headers);
    while (ok) {
        ok = co_await it.write(block);
        if (ok)
            written += block.size();
    }
    write_failed = true;
}

} // namespace

// Guards against headers that use memory without a bound.
Test(server, header_over_limit_is_431)
{
    fixture it;
    cr_assert(refused(
        it.send_and_read_all("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(5000, 'x') + "\r\n\r\n"), 431,
        "too_large"));
    cr_assert(refused(it.send_and_read_all("GET /" + std::string(60000, 'x')), 431, "too_large"));
}

// Guards against bodies beyond the bound, with Content-Length or chunked, and against the loss of the answer
// through the reset of a connection with unread bytes.
Test(server, body_over_limit_is_413)
{
    fixture it;
    cr_assert(refused(it.send_and_read_all("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n" +
                                           std::string(500000, 'x')),
                      413, "too_large"));
    std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int n = 0; n < 30; ++n)
        chunked += "64\r\n" + std::string(100, 'x') + "\r\n";
    cr_assert(refused(it.send_and_read_all(chunked), 413, "too_large"));
    cr_assert(refused(it.send_and_read_all("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                                           "Content-Length: 5000\r\n\r\n"),
                      413, "too_large"));
}

// Guards against ambiguous requests, which a proxy and the server could parse differently.
Test(server, malformed_is_400)
{
    fixture it;
    const std::string cases[] = {
        "nonsense\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/3.7\r\nHost: a\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc",
        "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
    };
    for (const auto& bytes : cases)
        cr_assert(refused(it.send_and_read_all(bytes), 400, "bad_request"), "%s", bytes.c_str());
}

// Guards against callers that occupy a connection with a request that never ends.
Test(server, slow_sender_is_408)
{
    auto limits = small_limits();
    limits.header_timeout = limits.body_timeout = duration(50);
    fixture it(echo, limits);
    cr_assert(refused(it.send_and_read_all("GET / HTT"), 408, "bad_request"));
    cr_assert(refused(it.send_and_read_all("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"), 408,
                      "bad_request"));
}

// Guards against idle connections that are never closed, and against a 408 without a request.
Test(server, idle_connection_closes_in_silence)
{
    auto limits = small_limits();
    limits.idle_timeout = duration(50);
    fixture it(echo, limits);
    cr_assert_eq(it.send_and_read_all(""), "");
    const auto answer = it.send_and_read_all("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(answer.ends_with("GET / "), "%s", answer.c_str());
}

// Guards against pipelined requests that are lost, merged or answered out of order.
Test(server, pipelined_requests_are_answered_in_order)
{
    fixture it;
    const auto answer =
        it.send_and_read_all("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                             "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                             "POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n"
                             "GET /4 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                             "GET /5 HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto second = answer.find("POST /2 abc");
    const auto third = answer.find("POST /3 abcde");
    const auto last = answer.find("GET /4 ");
    cr_assert(answer.find("GET /1 ") < second && second < third && third < last && last != std::string::npos);
    cr_assert_eq(count(answer, "HTTP/1.1 200 OK"), 4U);
    cr_assert(answer.ends_with("GET /4 "));
}

// Guards against callers that wait for 100 Continue in vain, and against sending it to a caller that has
// already sent the body.
Test(server, expect_continue)
{
    fixture it;
    raw_connection connection(it.host.port());
    connection.send("POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    cr_assert_eq(connection.read_until("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    connection.send("abc");
    cr_assert(connection.read_until("POST /x abc").starts_with("HTTP/1.1 200"));
    connection.send("POST /y HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc");
    cr_assert(connection.read_until("POST /y abc").starts_with("HTTP/1.1 200"));
}

// Guards against keeping a connection open that the HTTP version or the Connection header closes, and against
// closing one that keep-alive keeps open.
Test(server, connection_persistence)
{
    fixture it;
    cr_assert(
        it.send_and_read_all("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ends_with("GET / "));
    const auto old = it.send_and_read_all("GET / HTTP/1.0\r\n\r\n");
    cr_assert(old.starts_with("HTTP/1.0 200") && old.ends_with("GET / "));
    raw_connection connection(it.host.port());
    for (int n = 0; n < 3; ++n) {
        connection.send("GET /k HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
        cr_assert(connection.read_until("GET /k ").find("Connection: keep-alive") != std::string::npos);
    }
}

// Guards against a body in the answer to HEAD, which the caller would take for the next answer.
Test(server, head_has_no_body)
{
    fixture it(three_chunks);
    const auto answer = it.send_and_read_all("HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    cr_assert(answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\n"));
    cr_assert_eq(answer.find("one"), std::string::npos);
}

// Guards against chunks that the caller can't decode, and against a cut stream that looks complete.
Test(server, cut_streams_do_not_look_complete)
{
    fixture it(three_chunks);
    const std::string tail = " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    cr_assert(it.send_and_read_all("GET /" + tail).ends_with("\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
    cr_assert(it.send_and_read_all("GET /cut" + tail).ends_with("3\r\ntwo\r\n"));
    cr_assert(it.send_and_read_all("GET / HTTP/1.0\r\n\r\n").ends_with("\r\n\r\nonetwo"));
    cr_assert(it.send_and_read_all("GET /cut HTTP/1.0\r\n\r\n").ends_with("(reset)"));
}

// Guards against a handler's error that ends the process, is reported as a request that didn't run, or adds
// headers to the answer.
Test(server, throwing_handler_is_500)
{
    fixture it(throw_or_fail);
    raw_connection connection(it.host.port());
    for (const std::string target : {"/throw", "/header", "/silent"}) {
        connection.send("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto answer = connection.read_until("\"request_id\":\"\"}");
        cr_assert(answer.starts_with("HTTP/1.1 500"), "%s", answer.c_str());
        cr_assert(answer.find("\"code\":\"internal\"") != std::string::npos);
        cr_assert(answer.find("\"ran\":\"unknown\"") != std::string::npos);
        cr_assert_eq(answer.find("Injected"), std::string::npos);
    }
    cr_assert(it.send_and_read_all("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n").ends_with("7\r\npartial\r\n"));
    const auto fine = it.send_and_read_all("GET /fine HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    cr_assert(fine.ends_with("{}"), "%s", fine.c_str());
    cr_assert(eventually([&] { return it.host.active_requests() == 0; }));
}

// Guards against work that continues for a caller that closed its connection: by close, reset or half-close,
// or after a pipelined request.
Test(server, wait_closed_notices_each_way_to_close)
{
    fixture it(answer_after_close);
    raw_connection gone(it.host.port());
    raw_connection half(it.host.port());
    raw_connection reset(it.host.port());
    raw_connection pipelined(it.host.port());
    const std::string message = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    for (auto* connection : {&gone, &half, &reset})
        connection->send(message);
    pipelined.send(message + message);
    cr_assert(eventually([&] { return it.host.active_requests() == 4; }));
    cr_assert_eq(closed_count.load(), 0);
    gone.close();
    reset.reset();
    half.half_close();
    pipelined.half_close();
    cr_assert(eventually([] { return closed_count >= 4; }));
    cr_assert(half.read_all().ends_with("late"));
}

// Guards against wait_closed() consuming bytes of a pipelined request, and against a wait that continues
// after it was cancelled.
Test(server, wait_closed_keeps_pipelined_bytes)
{
    fixture it(closed_or_released);
    raw_connection connection(it.host.port());
    connection.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(eventually([&] { return it.host.active_requests() == 1; }));
    connection.send(
        "GET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    released = 1;
    cr_assert_eq(count(connection.read_all(), "released"), 3U);
    cr_assert_eq(closed_count.load(), 0);
}

// Guards against a handler that produces without a bound for a caller that doesn't read, and against one that
// never ends.
Test(server, slow_reader_blocks_the_handler)
{
    auto limits = small_limits();
    limits.write_timeout = duration(300);
    fixture it(endless_stream, limits);
    raw_connection connection(it.host.port());
    connection.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(eventually([] { return write_failed.load(); }));
    cr_assert_lt(written.load(), std::size_t{32} * 1024 * 1024);
    cr_assert(eventually([&] { return it.host.active_requests() == 0; }));
}

// Guards against an unbounded number of connections, and against refusing one without an answer.
Test(server, too_many_connections_are_503)
{
    auto limits = small_limits();
    limits.connections = 1;
    fixture it(echo, limits);
    auto first = std::make_unique<raw_connection>(it.host.port());
    first->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(first->read_until("GET /1 ").starts_with("HTTP/1.1 200"));
    const auto answer = it.send_and_read_all("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(refused(answer, 503, "not_run") && answer.find("Retry-After: ") != std::string::npos);
    first.reset();
    const std::string last = "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    cr_assert(eventually([&] { return it.send_and_read_all(last).ends_with("GET /3 "); }));
}

// Guards against a planned stop that cuts an answer, keeps idle connections or still accepts new ones.
Test(server, stop_accepting_finishes_requests_in_progress)
{
    fixture it(closed_or_released);
    raw_connection idle(it.host.port());
    raw_connection busy(it.host.port());
    busy.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(eventually([&] { return it.host.active_requests() == 1; }));
    it.host.stop_accepting();
    cr_assert_eq(idle.read_all(), "");
    cr_assert_eq(it.host.active_requests(), 1U);
    released = 1;
    const auto answer = busy.read_all();
    cr_assert(answer.ends_with("released") && answer.find("Connection: close") != std::string::npos);
    cr_assert(eventually([&] {
        try {
            raw_connection late(it.host.port());
            return false;
        } catch (const boost::system::system_error&) {
            return true;
        }
    }));
}

/// Streams one chunk, waits until the test sets released and ends the stream.
asio::awaitable<void> stream_until_released(exchange& io)
{
    bool ok = co_await io.begin_stream(200, {});
    if (ok)
        ok = co_await io.write("begun");
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (released == 0) {
        timer.expires_after(1ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_await io.finish();
}

// Guards against a stopping process that accepts further requests on a connection whose answer began before
// the stop: the header of that answer promised to keep the connection, and the next request could not end in
// time.
Test(server, connection_closes_after_a_stream_that_began_before_the_stop)
{
    fixture it(stream_until_released);
    raw_connection busy(it.host.port());
    busy.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(busy.read_until("begun").find("Connection: close") == std::string::npos);
    it.host.stop_accepting();
    released = 1;
    busy.read_until("0\r\n\r\n");
    const auto ended = std::chrono::steady_clock::now();
    cr_assert_eq(busy.read_all(), "");
    cr_assert(std::chrono::steady_clock::now() - ended < 200ms);
}

// Guards against a bind error that is reported only at the first request, or that doesn't name the port.
Test(server, address_in_use_throws)
{
    fixture it;
    try {
        server second(it.threads.executor(), "127.0.0.1", it.host.port(), small_limits(), echo);
        cr_assert_fail("no exception");
    } catch (const std::runtime_error& fault) {
        cr_assert_not_null(std::strstr(fault.what(), std::to_string(it.host.port()).c_str()));
    }
}

// Guards against handlers that wait forever after their server was destroyed.
Test(server, destruction_ends_requests)
{
    runtime threads;
    auto host =
        std::make_unique<server>(threads.executor(), "127.0.0.1", 0, small_limits(), answer_after_close);
    raw_connection connection(host->port());
    connection.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(eventually([&] { return host->active_requests() == 1; }));
    host.reset();
    cr_assert(eventually([] { return closed_count == 1; }));
    cr_assert_eq(connection.read_all(), "");
}

namespace {

asio::awaitable<void> answer_shortly(exchange& it)
{
    response answer{200, {}, "end"};
    co_await it.respond(std::move(answer));
}

} // namespace

// Guards against a burst of large requests that fills the memory of the process, which ends all requests that
// it had accepted, and against small requests that are refused with them.
Test(server, bodies_of_all_requests_are_bounded_together)
{
    runtime threads;
    server_limits limits;
    limits.body_bytes = 400'000;
    limits.total_body_bytes = 500'000;
    server host(threads.executor(), "127.0.0.1", 0, limits, answer_shortly);
    const auto head = [](std::size_t size) {
        return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(size) +
               "\r\n\r\n";
    };
    constexpr std::size_t large = 300'000;
    raw_connection first(host.port());
    first.send(head(large) + std::string(large - 1, 'x'));
    std::this_thread::sleep_for(200ms);
    raw_connection second(host.port());
    second.send(head(large) + std::string(large, 'x'));
    const std::string refused = second.read_until("\r\n\r\n");
    cr_expect(refused.starts_with("HTTP/1.1 503"), "%s", refused.c_str());
    cr_expect(refused.find("Retry-After: ") != std::string::npos);
    raw_connection small(host.port());
    small.send(head(1'000) + std::string(1'000, 'x'));
    cr_expect(small.read_until("end").starts_with("HTTP/1.1 200"));
    first.send("x");
    cr_expect(first.read_until("end").starts_with("HTTP/1.1 200"));
    first.close();
    small.close();
    second.close();
    cr_expect(eventually([&] {
        raw_connection later(host.port());
        later.send(head(large) + std::string(large, 'x'));
        return later.read_all().starts_with("HTTP/1.1 200");
    }));
}
