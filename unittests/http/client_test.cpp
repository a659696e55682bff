#include "fixture.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::http;
using namespace limpetlock::http::testing;

namespace {

struct outcome {
    std::optional<response> answer;
    call_error error;
};

struct fixture {
    explicit fixture(client_limits limits = {}) : caller(threads.executor(), limits) {}

    outcome call(const address& to, request message = {},
                 connection_policy policy = connection_policy::pooled, time_point deadline = test_deadline())
    {
        outcome it;
        it.answer = threads.run(caller.call(to, std::move(message), deadline, policy, it.error));
        return it;
    }

    std::unique_ptr<event_stream> open(const address& to, call_error& error)
    {
        return threads.run(
            caller.open_event_stream(to, {}, test_deadline(), connection_policy::pooled, error));
    }

    runtime threads;
    client caller;
};

bool failed_with(const outcome& it, errc code, bool sent)
{
    return !it.answer && it.error.code == code && it.error.sent == sent && !it.error.reason.empty();
}

/// Answers one request with fixed bytes and closes the connection.
std::function<void(tcp::acceptor&)> answer_once(std::string bytes)
{
    return [text = std::move(bytes)](tcp::acceptor& acceptor) {
        raw_connection connection(acceptor);
        connection.read_until("\r\n\r\n");
        connection.send(text);
    };
}

/// A listening port with a full backlog from which nobody accepts, so that connecting never completes.
struct full_backlog {
    full_backlog() : acceptor(context)
    {
        acceptor.open(tcp::v4());
        acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor.listen(0);
        const auto where = acceptor.local_endpoint();
        for (auto& it : fillers) {
            it.open(tcp::v4());
            it.native_non_blocking(true);
            ::connect(it.native_handle(), where.data(), where.size());
        }
    }
    asio::io_context context;
    tcp::acceptor acceptor;
    std::array<tcp::socket, 4> fillers{tcp::socket(context), tcp::socket(context), tcp::socket(context),
                                       tcp::socket(context)};
};

std::uint16_t unused_port()
{
    asio::io_context context;
    const tcp::acceptor it(context, {asio::ip::make_address("127.0.0.1"), 0});
    return it.local_endpoint().port();
}

/// How an answer is read: as a whole, in parts, or as a stream of events.
enum class reading { whole, parts, events };

/// Sends the request and reads its answer to the end. Returns the status of an answer that looks complete, or
/// 0.
int status_if_complete(fixture& it, reading how, const address& to, request message, call_error& error)
{
    constexpr auto fresh = connection_policy::fresh;
    if (how == reading::whole) {
        const auto answer =
            it.threads.run(it.caller.call(to, std::move(message), test_deadline(), fresh, error));
        return answer ? answer->status : 0;
    }
    if (how == reading::parts) {
        const auto reader = it.threads.run(
            it.caller.open_answer(to, std::move(message), test_deadline(), fresh, error, answer_filter()));
        if (!reader)
            return 0;
        while (it.threads.run(reader->read(test_deadline()))) {
        }
        error = reader->error();
        return error.code == errc::none ? reader->status() : 0;
    }
    const auto stream =
        it.threads.run(it.caller.open_event_stream(to, std::move(message), test_deadline(), fresh, error));
    if (!stream)
        return 0;
    while (it.threads.run(stream->next(test_deadline()))) {
    }
    error = stream->error();
    return error.code == errc::none ? stream->status() : 0;
}

constexpr std::array readings{reading::whole, reading::parts, reading::events};

/// Answers before the upload has arrived, and resets the connection.
std::function<void(tcp::acceptor&)> answer_and_reset(std::string bytes)
{
    return [bytes = std::move(bytes)](tcp::acceptor& acceptor) {
        raw_connection connection(acceptor);
        connection.send(bytes);
        std::this_thread::sleep_for(50ms);
        connection.reset();
    };
}

constexpr std::string_view keep_alive_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against a refused connect that is reported as a timeout or the reverse, and against sent for a
// request that was never written.
Test(client, refused_and_timed_out_connects_differ)
{
    client_limits limits;
    limits.connect_timeout = duration(50);
    fixture it(limits);
    cr_assert(failed_with(it.call({"127.0.0.1", unused_port()}), errc::connection_refused, false));
    const full_backlog unresponsive;
    const address to{"127.0.0.1", unresponsive.acceptor.local_endpoint().port()};
    cr_assert(failed_with(it.call(to), errc::timeout, false));
    cr_assert(failed_with(it.call({"not an address", 1}), errc::malformed, false));
}

// Guards against a request that is sent after its deadline, and against a target or header that breaks the
// framing of the message.
Test(client, expired_or_malformed_calls_send_nothing)
{
    std::atomic<int> requests{0};
    fixture it;
    server host(it.threads.executor(), "127.0.0.1", 0, {}, [&requests](exchange& call) {
        ++requests;
        return echo(call);
    });
    const address to{"127.0.0.1", host.port()};
    cr_assert(failed_with(it.call(to, {}, connection_policy::pooled, boot_clock::now() - duration(1)),
                          errc::timeout, false));
    cr_assert(failed_with(it.call(to, {"GET", "/a b", {}, {}}), errc::malformed, false));
    cr_assert(failed_with(it.call(to, {"GET", "/", {{"A", "x\r\nB: y"}}, {}}), errc::malformed, false));
    cr_assert_eq(requests.load(), 0);
}

// Guards against an answer that is taken for complete although it is cut, has no end of its own, exceeds a
// bound or isn't HTTP.
Test(client, incomplete_answers_are_errors)
{
    const std::pair<std::string, errc> cases[] = {
        {"", errc::closed},
        {"HTTP/1.1 200 OK\r\nContent-Le", errc::closed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", errc::closed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", errc::closed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", errc::closed},
        {"HTTP/1.1 200 OK\r\n\r\nabc", errc::malformed},
        {"nonsense\r\n\r\n", errc::malformed},
        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", errc::malformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", errc::too_large},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200\r\n" + std::string(512, 'x') + "\r\n",
         errc::too_large},
        {"HTTP/1.1 200 OK\r\nX: " + std::string(99999, 'x') + "\r\n\r\n", errc::too_large},
    };
    client_limits limits;
    limits.body_bytes = 256;
    fixture it(limits);
    for (const auto& [bytes, code] : cases) {
        const scripted_endpoint endpoint(answer_once(bytes));
        cr_assert(failed_with(it.call(endpoint.listen_address()), code, true), "%.60s", bytes.c_str());
    }
}

// Guards against an exception, or the memory of the whole process, for a status or length that isn't one of
// HTTP.
Test(client, answers_with_absurd_numbers_are_errors)
{
    const std::vector<std::string> heads{"HTTP/1.1 800 OK\r\nContent-Length: 2\r\n\r\n",
                                         "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n",
                                         "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775000\r\n\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 60000000000\r\n\r\n"};
    for (const auto& it : heads) {
        fixture test;
        scripted_endpoint whole(answer_once(it + "ok"));
        const auto called = test.call(whole.listen_address());
        cr_expect(!called.answer && called.error.code != errc::none && called.error.sent, "%s: %s",
                  it.c_str(), called.error.reason.c_str());
        scripted_endpoint streamed(answer_once(it + "ok"));
        call_error error;
        const auto reader =
            test.threads.run(test.caller.open_answer(streamed.listen_address(), {}, test_deadline(),
                                                     connection_policy::pooled, error, answer_filter()));
        while (reader && test.threads.run(reader->read(test_deadline()))) {
        }
        const call_error& last = reader ? reader->error() : error;
        cr_expect(last.code != errc::none && last.sent, "%s: %s", it.c_str(), last.reason.c_str());
    }
}

// Guards against many bodies that are kept at the same time, each within the bound of one, until the memory
// of the process is gone; and against small ones that are rejected with them.
Test(client, bodies_of_all_calls_are_bounded_together)
{
    client_limits limits;
    limits.body_bytes = 1'000'000;
    limits.total_body_bytes = 500'000;
    fixture it(limits);
    constexpr int calls = 6;
    std::atomic<int> failed{0};
    std::atomic<int> served{0};
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    std::vector<std::thread> callers;
    for (int n = 0; n < calls; ++n) {
        const std::size_t size = n == 0 ? 1'000 : 300'000;
        endpoints.push_back(std::make_unique<scripted_endpoint>([size](tcp::acceptor& acceptor) {
            raw_connection connection(acceptor);
            connection.read_until("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
                            std::string(size - 1, 'x'));
            std::this_thread::sleep_for(300ms);
            connection.send("x");
        }));
        callers.emplace_back([&, to = endpoints.back()->listen_address(), small = n == 0] {
            const auto out = it.call(to);
            served += out.answer ? 1 : 0;
            failed += !out.answer && out.error.code == errc::too_large ? 1 : 0;
            cr_expect(!small || out.answer, "a small body is read in any case");
        });
    }
    for (auto& caller : callers)
        caller.join();
    cr_expect_geq(failed.load(), calls - 2, "one large body fits");
    cr_expect_eq(failed + served, calls);
    scripted_endpoint later(
        answer_once("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + std::string(400'000, 'x')));
    cr_expect(it.call(later.listen_address()).answer, "nothing is counted any more");
}

// Guards against interim answers that are taken for the final one, and against waiting for a body where there
// is none.
Test(client, interim_and_bodiless_answers)
{
    fixture it;
    const scripted_endpoint interim(answer_once(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + std::string(keep_alive_answer)));
    const auto first = it.call(interim.listen_address());
    cr_assert(first.answer && first.answer->status == 200 && first.answer->body == "ok");
    const scripted_endpoint head(answer_once("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"));
    const auto second = it.call(head.listen_address(), {"HEAD", "/", {}, {}});
    cr_assert(second.answer && second.answer->body.empty());
    const scripted_endpoint empty(answer_once("HTTP/1.1 204 No Content\r\n\r\n"));
    cr_assert(it.call(empty.listen_address()).answer.has_value());
}

// Guards against a request without an answer that is reported as not sent, or awaited beyond the deadline.
Test(client, timeout_while_waiting_reports_sent)
{
    fixture it;
    const scripted_endpoint endpoint([](tcp::acceptor& acceptor) {
        raw_connection connection(acceptor);
        connection.read_until("\r\n\r\n");
        connection.read_all();
    });
    cr_assert(failed_with(
        it.call(endpoint.listen_address(), {}, connection_policy::pooled, test_deadline(duration(50))),
        errc::timeout, true));
}

// Guards against reuse of a connection that the endpoint closed or wrote stray bytes to: the next request
// would fail or get an answer that isn't its own.
Test(client, unusable_idle_connections_are_not_reused)
{
    fixture it;
    std::promise<void> first_closed;
    const scripted_endpoint endpoint([&first_closed](tcp::acceptor& acceptor) {
        raw_connection closing(acceptor);
        closing.read_until("\r\n\r\n");
        closing.send(keep_alive_answer);
        closing.close();
        first_closed.set_value();
        raw_connection stray(acceptor);
        stray.read_until("\r\n\r\n");
        stray.send(std::string(keep_alive_answer) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nalien");
        raw_connection last(acceptor);
        last.read_until("\r\n\r\n");
        last.send(keep_alive_answer);
        cr_assert_eq(stray.read_all().find("GET"), std::string::npos);
    });
    cr_assert(it.call(endpoint.listen_address()).answer.has_value());
    first_closed.get_future().wait();
    for (int n = 0; n < 2; ++n) {
        const auto next = it.call(endpoint.listen_address());
        cr_assert(next.answer && next.answer->body == "ok", "%s", next.error.reason.c_str());
    }
}

// Guards against one call after another that waits in vain on connections that went silent together.
Test(client, connections_that_were_idle_beside_a_silent_one_are_not_reused)
{
    fixture it;
    const scripted_endpoint endpoint([](tcp::acceptor& acceptor) {
        raw_connection idle(acceptor);
        idle.read_until("\r\n\r\n");
        idle.send(keep_alive_answer);
        raw_connection silent(acceptor);
        silent.read_until("\r\n\r\n");
        silent.send(keep_alive_answer);
        silent.read_until("\r\n\r\n");
        raw_connection last(acceptor);
        last.read_until("\r\n\r\n");
        last.send(keep_alive_answer);
        cr_assert_eq(idle.read_all().find("GET"), std::string::npos);
    });
    for (int n = 0; n < 2; ++n)
        cr_assert(it.call(endpoint.listen_address(), {}, connection_policy::fresh).answer.has_value());
    cr_assert(failed_with(
        it.call(endpoint.listen_address(), {}, connection_policy::pooled, test_deadline(duration(50))),
        errc::timeout, true));
    const auto next =
        it.call(endpoint.listen_address(), {}, connection_policy::pooled, test_deadline(duration(500)));
    cr_assert(next.answer && next.answer->body == "ok", "%s", next.error.reason.c_str());
}

// Guards against a fresh call that uses a pooled connection, and against a pooled call that opens a new
// connection needlessly.
Test(client, connection_policy_decides_reuse)
{
    std::atomic<int> connections{0};
    fixture it;
    const scripted_endpoint endpoint([&connections](tcp::acceptor& acceptor) {
        raw_connection first(acceptor);
        ++connections;
        for (int n = 0; n < 2; ++n) {
            first.read_until("\r\n\r\n");
            first.send(keep_alive_answer);
        }
        raw_connection second(acceptor);
        ++connections;
        second.read_until("\r\n\r\n");
        second.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    });
    cr_assert(it.call(endpoint.listen_address()).answer.has_value());
    cr_assert(it.call(endpoint.listen_address()).answer.has_value());
    cr_assert_eq(connections.load(), 1);
    cr_assert(it.call(endpoint.listen_address(), {}, connection_policy::fresh).answer.has_value());
    cr_assert_eq(connections.load(), 2);
}

// Guards against a request that is sent twice or reported as not sent after its pooled connection is lost
// before the answer.
Test(client, lost_answer_on_pooled_connection_is_not_retried)
{
    std::atomic<int> requests{0};
    fixture it;
    const scripted_endpoint endpoint([&requests](tcp::acceptor& acceptor) {
        raw_connection connection(acceptor);
        connection.read_until("\r\n\r\n");
        connection.send(keep_alive_answer);
        connection.read_until("\r\n\r\n");
        ++requests;
        connection.reset();
    });
    cr_assert(it.call(endpoint.listen_address()).answer.has_value());
    cr_assert(failed_with(it.call(endpoint.listen_address()), errc::closed, true));
    cr_assert_eq(requests.load(), 1);
}

// Guards against more idle connections than the bound after a burst of calls.
Test(client, idle_connections_are_bounded)
{
    constexpr int calls = 8;
    client_limits limits;
    limits.max_idle_per_address = 2;
    fixture it(limits);
    const scripted_endpoint endpoint([](tcp::acceptor& acceptor) {
        std::vector<std::unique_ptr<raw_connection>> connections;
        for (int n = 0; n < calls; ++n)
            connections.push_back(std::make_unique<raw_connection>(acceptor));
        for (auto& connection : connections) {
            connection->read_until("\r\n\r\n");
            connection->send(keep_alive_answer);
        }
        const auto open_connections = [&connections] {
            std::size_t n = 0;
            for (auto& connection : connections) {
                char byte = 0;
                n +=
                    recv(connection->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 ? 1 : 0;
            }
            return n;
        };
        cr_assert(eventually([&] { return open_connections() == 2; }));
    });
    std::vector<std::future<std::optional<response>>> results;
    std::array<call_error, calls> errors;
    for (auto& error : errors)
        results.push_back(asio::co_spawn(
            asio::make_strand(it.threads.executor()),
            it.caller.call(endpoint.listen_address(), {}, test_deadline(), connection_policy::pooled, error),
            asio::use_future));
    for (auto& result : results)
        cr_assert(result.get().has_value());
}

// Guards against sockets that stay open after the traffic to an endpoint ended, or after the client was
// destroyed.
Test(client, idle_connections_are_closed)
{
    client_limits limits;
    limits.idle_timeout = duration(50);
    std::atomic<int> closed{0};
    const auto serve_one_call = [&closed](tcp::acceptor& acceptor) {
        raw_connection connection(acceptor);
        connection.read_until("\r\n\r\n");
        connection.send(keep_alive_answer);
        closed += connection.read_all().empty() ? 1 : 0;
    };
    fixture it(limits);
    const scripted_endpoint idle(serve_one_call);
    cr_assert(it.call(idle.listen_address()).answer.has_value());
    cr_assert(eventually([&] { return closed == 1; }));
    const scripted_endpoint last(serve_one_call);
    call_error error;
    auto short_lived = std::make_unique<client>(it.threads.executor(), client_limits{});
    const auto answer = it.threads.run(
        short_lived->call(last.listen_address(), {}, test_deadline(), connection_policy::pooled, error));
    cr_assert(answer.has_value());
    cr_assert_eq(closed.load(), 1);
    short_lived.reset();
    cr_assert(eventually([&] { return closed == 2; }));
}

// Guards against a Host header that is malformed for an IPv6 address.
Test(client, ipv6_endpoint)
{
    fixture it;
    server host(it.threads.executor(), "::1", 0, {}, [](exchange& call) { return echo(call); });
    cr_assert(it.call({"::1", host.port()}).answer.has_value());
}

// Guards against an endpoint that continues to work for a cancelled call, because the connection stays open.
Test(client, cancellation_closes_the_connection)
{
    fixture it;
    std::promise<void> arrived;
    std::atomic<bool> closed{false};
    const scripted_endpoint endpoint([&](tcp::acceptor& acceptor) {
        raw_connection connection(acceptor);
        connection.read_until("\r\n\r\n");
        arrived.set_value();
        closed = connection.read_all().empty();
    });
    asio::cancellation_signal signal;
    const auto strand = asio::make_strand(it.threads.executor());
    call_error error;
    auto result = asio::co_spawn(
        strand,
        it.caller.call(endpoint.listen_address(), {}, test_deadline(), connection_policy::pooled, error),
        asio::bind_cancellation_slot(signal.slot(), asio::use_future));
    arrived.get_future().wait();
    asio::post(strand, [&signal] { signal.emit(asio::cancellation_type::terminal); });
    cr_assert(result.wait_for(wait_limit) == std::future_status::ready);
    cr_assert_not(result.get().has_value());
    cr_assert(error.code == errc::cancelled && error.sent);
    cr_assert(eventually([&] { return closed.load(); }));
}

// Guards against a cut stream that looks complete, for chunks and for Content-Length.
Test(client, cut_streams_are_errors)
{
    fixture it;
    const std::string event = "data: 1\n\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + event + "\r\n";
    const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: ";
    const std::pair<std::string, bool> cases[] = {{chunked, false},
                                                  {chunked + "0\r\n\r\n", true},
                                                  {chunked + "9\r\ndata", false},
                                                  {sized + "9\r\n\r\n" + event, true},
                                                  {sized + "10\r\n\r\n" + event, false}};
    for (const auto& [bytes, whole] : cases) {
        const scripted_endpoint endpoint(answer_once(bytes));
        call_error error;
        const auto stream = it.open(endpoint.listen_address(), error);
        cr_assert_not_null(stream.get());
        cr_assert_eq(it.threads.run(stream->next(test_deadline())).value_or("none"), "1");
        cr_assert_not(it.threads.run(stream->next(test_deadline())).has_value());
        cr_assert_eq(stream->error().code == errc::none, whole, "%s", bytes.c_str());
    }
}

// Guards against a call that reads a head, or the answer to another request, that never ends, until its
// deadline.
Test(client, answers_without_end_are_given_up_and_closed)
{
    const std::string other = "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string block = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
    const std::pair<std::string, std::string> cases[] = {
        {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
        {"", std::string(1'000, 'x')},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "extension;"},
        {other, block},
    };
    fixture it;
    for (const auto& [begin, repeated] : cases) {
        std::promise<void> closed;
        const scripted_endpoint endpoint([&, begin = begin, repeated = repeated](tcp::acceptor& acceptor) {
            raw_connection connection(acceptor);
            connection.read_until("\r\n\r\n");
            connection.send(begin);
            while (connection.send(repeated))
                ;
            closed.set_value();
        });
        call_error error;
        answer_filter only_own = [](const header_list& headers) { return !find_header(headers, "X-Id"); };
        const auto began = boot_clock::now();
        const auto answer = it.threads.run(it.caller.open_answer(
            endpoint.listen_address(), {}, test_deadline(), connection_policy::fresh, error, only_own));
        if (answer)
            it.threads.run(answer->read(test_deadline()));
        const auto code = answer ? answer->error().code : error.code;
        cr_expect(code == errc::too_large || code == errc::malformed, "%.40s: %d", repeated.c_str(),
                  static_cast<int>(code));
        cr_expect_lt((boot_clock::now() - began).count(), 2'000, "%.40s", repeated.c_str());
        cr_expect(closed.get_future().wait_for(std::chrono::seconds(2)) == std::future_status::ready,
                  "%.40s: still open", repeated.c_str());
    }
}

// Guards against losing the body of an error answer to a stream request, and against an event without a
// bound.
Test(client, stream_error_body_is_read_and_events_are_bounded)
{
    client_limits limits;
    limits.body_bytes = 100;
    fixture it(limits);
    call_error error;
    const scripted_endpoint busy(answer_once("HTTP/1.1 503 Busy\r\nContent-Length: 7\r\n\r\nleaving"));
    auto stream = it.open(busy.listen_address(), error);
    cr_assert_eq(stream->status(), 503);
    cr_assert_eq(it.threads.run(stream->body(test_deadline())), "leaving");
    const scripted_endpoint huge(
        answer_once("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\ndata: " + std::string(194, 'x')));
    stream = it.open(huge.listen_address(), error);
    cr_assert_not(it.threads.run(stream->next(test_deadline())).has_value());
    cr_assert(stream->error().code == errc::too_large);
}

// Guards against a stream that the endpoint continues, or whose connection returns to the pool, after the
// reader dropped it before its end.
Test(client, dropped_stream_closes_the_connection)
{
    fixture it;
    std::atomic<bool> closed{false};
    const scripted_endpoint endpoint([&closed](tcp::acceptor& acceptor) {
        raw_connection connection(acceptor);
        connection.read_until("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n");
        closed = connection.read_all().empty();
    });
    call_error error;
    auto stream = it.open(endpoint.listen_address(), error);
    cr_assert_eq(it.threads.run(stream->next(test_deadline())).value_or("none"), "1");
    cr_assert_not(it.threads.run(stream->next(test_deadline(duration(20)))).has_value());
    cr_assert(stream->error().code == errc::timeout);
    stream.reset();
    cr_assert(eventually([&] { return closed.load(); }));
}

// Guards against an earlier refusal that an endpoint writes once more on a kept connection and that is taken
// as the answer to the next request, which the endpoint runs.
Test(client, copies_of_earlier_answers_on_a_kept_connection_are_dropped)
{
    fixture it;
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nId: a\r\nContent-Length: 2\r\n\r\nno";
    const scripted_endpoint endpoint([&refusal](tcp::acceptor& acceptor) {
        raw_connection kept(acceptor);
        kept.read_until("\r\n\r\n");
        kept.send(refusal);
        kept.read_until("\r\n\r\n");
        kept.send(refusal + "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok");
        kept.read_until("\r\n\r\n");
        kept.send(refusal);
        kept.read_all();
    });
    const auto status_of = [&](const std::string& id, time_point deadline) {
        call_error error;
        answer_filter own = [id](const header_list& headers) { return find_header(headers, "Id") == id; };
        const auto answer = it.threads.run(it.caller.open_answer(
            endpoint.listen_address(), {}, deadline, connection_policy::pooled, error, std::move(own)));
        if (!answer)
            return error.code == errc::timeout ? 0 : -1;
        const int out = answer->status();
        while (it.threads.run(answer->read(deadline)))
            continue;
        return out;
    };
    cr_expect_eq(status_of("a", test_deadline()), 503);
    cr_expect_eq(status_of("b", test_deadline()), 200);
    cr_expect_eq(status_of("c", boot_clock::now() + duration(300)), 0, "no answer but the copy");
}

// Guards against a part of an answer that looks complete: an endpoint answers without a length while the
// upload is on its way, and resets the connection. The failed write takes the error of the socket, so that
// the next read returns the end of the stream.
Test(client, answer_without_length_is_cut_if_the_upload_failed)
{
    client_limits limits;
    limits.accept_close_delimited = true;
    request upload{"POST", "/", {}, std::string(std::size_t{16} * 1024 * 1024, 'x')};
    for (const auto how : readings) {
        fixture it(limits);
        const scripted_endpoint endpoint(answer_and_reset("HTTP/1.1 200 OK\r\n\r\ndata: 1\n\n"));
        call_error error;
        cr_expect_eq(status_if_complete(it, how, endpoint.listen_address(), upload, error), 0);
        cr_expect(error.code == errc::closed && error.sent, "%s", error.reason.c_str());
    }
}

// Guards against a refusal that is lost: an endpoint refuses an upload with an answer whose length is known.
Test(client, answer_with_length_counts_although_the_upload_failed)
{
    request upload{"POST", "/", {}, std::string(std::size_t{16} * 1024 * 1024, 'x')};
    fixture it;
    const scripted_endpoint endpoint(
        answer_and_reset("HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nno"));
    call_error error;
    cr_expect_eq(status_if_complete(it, reading::whole, endpoint.listen_address(), upload, error), 413, "%s",
                 error.reason.c_str());
}

// Guards against an answer with the status 000, and against a head that was cut, as answers with or without a
// body.
Test(client, status_000_and_cut_heads_are_no_answers)
{
    client_limits limits;
    limits.accept_close_delimited = true;
    const std::vector<std::string> cases{"HTTP/1.1 000 \r\n\r\n",
                                         "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
                                         "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 200",
                                         "HTTP/1.1 200 OK\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
                                         "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
                                         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n",
                                         "HTTP/1.0 200 OK\n"};
    for (const auto how : readings)
        for (const auto& bytes : cases) {
            fixture it(limits);
            const scripted_endpoint endpoint(answer_once(bytes));
            call_error error;
            cr_expect_eq(status_if_complete(it, how, endpoint.listen_address(), {}, error), 0, "%s",
                         bytes.c_str());
            cr_expect(error.code != errc::none, "%s", bytes.c_str());
        }
}
