#include "fixture.hpp"

using namespace limpetlock;
using namespace limpetlock::http;
using namespace limpetlock::http::testing;

// g++ 12 generates clashing symbols for coroutine lambdas inside a Criterion test, so coroutines are defined
// outside.
static asio::awaitable<void> hundred_events(exchange& it)
{
    header_list headers{{"Content-Type", "text/event-stream"}};
    co_await it.begin_stream(200, std::move(headers));
    for (int n = 0; n < 100; ++n) {
        const auto text = "event: token\r\ndata: " + std::to_string(n) + "\n\n";
        co_await it.write(text);
    }
    co_await it.finish();
}

// Guards against a client and a server that disagree about a message or about the end of an exchange, so that
// a later exchange fails.
Test(exchange, whole_answers_over_one_connection)
{
    runtime threads;
    server host(threads.executor(), "127.0.0.1", 0, small_limits(), echo);
    client caller(threads.executor(), {});
    for (int n = 0; n < 5; ++n) {
        call_error error;
        request message{"POST", "/x", {}, "body " + std::to_string(n)};
        const auto answer = threads.run(caller.call({"127.0.0.1", host.port()}, message, test_deadline(),
                                                    connection_policy::pooled, error));
        cr_assert(answer.has_value(), "%s", error.reason.c_str());
        cr_assert_eq(answer->body, "POST /x body " + std::to_string(n));
    }
}

// Guards against lost, merged or reordered events of a stream, and against an end that goes unnoticed.
Test(exchange, events_arrive_in_order_until_the_end)
{
    runtime threads;
    server host(threads.executor(), "127.0.0.1", 0, small_limits(), hundred_events);
    client caller(threads.executor(), {});
    for (int round = 0; round < 3; ++round) {
        call_error error;
        const auto stream = threads.run(caller.open_event_stream(
            {"127.0.0.1", host.port()}, {}, test_deadline(), connection_policy::pooled, error));
        cr_assert_not_null(stream.get(), "%s", error.reason.c_str());
        for (int n = 0; n < 100; ++n) {
            const auto data = threads.run(stream->next(test_deadline()));
            cr_assert(data.has_value(), "%s", stream->error().reason.c_str());
            cr_assert_eq(*data, std::to_string(n));
            cr_assert_eq(stream->event_name(), "token");
        }
        cr_assert_not(threads.run(stream->next(test_deadline())).has_value());
        cr_assert(stream->error().code == errc::none);
    }
}
