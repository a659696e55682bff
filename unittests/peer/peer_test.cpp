#include <limpetlock/peer/codec.hpp>
#include <limpetlock/peer/generated/peer_types.h>
#include <limpetlock/peer/messenger.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::peer;
namespace asio = boost::asio;

namespace {

wire::frame heartbeat(std::int64_t sequence)
{
    wire::heartbeat_message it;
    it.sequence = sequence;
    wire::frame out;
    out.sender = "entry-a1";
    out.__set_heartbeat(it);
    return out;
}

/// Runs an Asio context on two threads for the lifetime of a test.
struct io_threads {
    io_threads()
    {
        for (int n = 0; n < 2; ++n)
            threads.emplace_back([this] { io.run(); });
    }
    ~io_threads()
    {
        io.stop();
        for (auto& it : threads)
            it.join();
    }
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    std::optional<wire::frame> call(messenger& from, std::string to, wire::frame message, duration timeout,
                                    call_error& error)
    {
        return asio::co_spawn(
                   io, from.call(std::move(to), std::move(message), boot_clock::now() + timeout, error),
                   asio::use_future)
            .get();
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    std::vector<std::thread> threads;
};

/// Acknowledges a heartbeat with its own sequence number.
asio::awaitable<std::optional<wire::frame>> acknowledge(wire::frame message)
{
    wire::heartbeat_ack_message ack;
    ack.sequence = message.heartbeat.sequence;
    wire::frame out;
    out.__set_heartbeat_ack(ack);
    co_return out;
}

asio::awaitable<std::optional<wire::frame>> no_reply(wire::frame)
{
    co_return std::nullopt;
}

/// Acknowledges a heartbeat after 100 ms.
asio::awaitable<std::optional<wire::frame>> acknowledge_later(wire::frame message)
{
    asio::steady_timer delay(co_await asio::this_coro::executor, duration(100));
    co_await delay.async_wait(asio::use_awaitable);
    auto out = co_await acknowledge(std::move(message));
    co_return out;
}

/// Acknowledges the heartbeat 1 after 700 ms, and others at once.
asio::awaitable<std::optional<wire::frame>> acknowledge_first_late(wire::frame message)
{
    if (message.heartbeat.sequence == 1) {
        asio::steady_timer delay(co_await asio::this_coro::executor, duration(700));
        co_await delay.async_wait(asio::use_awaitable);
    }
    auto out = co_await acknowledge(std::move(message));
    co_return out;
}

/// Calls the peer "b" with a bound of 300 ms for its silence.
asio::awaitable<void> call_with_bound(messenger& from, std::int64_t sequence, call_error& error,
                                      duration& took)
{
    const time_point begin = boot_clock::now();
    const call_limits limits{begin + duration(2'000), duration(300)};
    co_await from.call("b", heartbeat(sequence), limits, error);
    took = boot_clock::now() - begin;
}

/// Calls the peer "b" twice. The process stands still while the reply to the second call arrives.
asio::awaitable<void> call_and_stand_still(messenger& from, call_error& first, call_error& second,
                                           bool& ended)
{
    co_await from.call("b", heartbeat(1), boot_clock::now() + duration(1'000), first);
    asio::steady_timer standstill(co_await asio::this_coro::executor, duration(1));
    standstill.async_wait([](const auto&) { std::this_thread::sleep_for(duration(900)); });
    co_await from.call("b", heartbeat(2), boot_clock::now() + duration(400), second);
    ended = true;
}

} // namespace

// Guards against frames that differ after encoding and decoding.
Test(codec, round_trip)
{
    const std::string bytes = encode(heartbeat(42));
    codec_error error;
    const auto out = decode(std::string_view(bytes).substr(length_prefix_bytes), error);
    cr_assert(out.has_value());
    cr_assert_eq(out->heartbeat.sequence, 42);
    cr_assert(out->__isset.heartbeat);
    cr_assert_not(out->__isset.claim_request);
}

// Guards against a crash, and against an accepted frame, if bytes are missing at the end or follow it.
Test(codec, refuses_every_truncation)
{
    const std::string bytes = encode(heartbeat(42)).substr(length_prefix_bytes);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        codec_error error;
        cr_assert_not(decode(std::string_view(bytes).substr(0, n), error).has_value(), "length %zu", n);
        cr_assert_eq(error.code, codec_errc::malformed);
    }
    codec_error error;
    cr_assert_not(decode(bytes + "x", error).has_value());
}

// Guards against an allocation as large as a length prefix demands.
Test(codec, refuses_oversized_lengths)
{
    cr_assert_not(frame_length({0xff, 0xff, 0xff, 0xff}).has_value());
    cr_assert_not(frame_length({0, 0, 0, 0}).has_value());
    cr_assert_eq(*frame_length({0, 0, 1, 2}), 258U);
}

// Guards against replies that complete another call if many are in flight on one connection.
Test(messenger, replies_match_their_calls)
{
    io_threads it;
    messenger server(it.io.get_executor(), "entry-b1", 1, {"127.0.0.1", 0}, acknowledge);
    messenger client(it.io.get_executor(), "entry-a1", 1, {"127.0.0.1", 0}, no_reply);
    client.set_peers({{"entry-b1", {"127.0.0.1", server.port()}}});
    std::vector<std::future<std::optional<wire::frame>>> replies;
    std::vector<call_error> errors(200);
    for (std::size_t n = 0; n < errors.size(); ++n)
        replies.push_back(asio::co_spawn(it.io,
                                         client.call("entry-b1", heartbeat(static_cast<std::int64_t>(n)),
                                                     boot_clock::now() + duration{10'000}, errors[n]),
                                         asio::use_future));
    for (std::size_t n = 0; n < errors.size(); ++n) {
        const auto reply = replies[n].get();
        cr_assert(reply.has_value(), "%s", errors[n].reason.c_str());
        cr_assert_eq(reply->heartbeat_ack.sequence, static_cast<std::int64_t>(n));
    }
}

// Guards against acting on messages that an earlier incarnation of a peer sent.
Test(messenger, drops_frames_of_an_older_incarnation)
{
    io_threads it;
    messenger server(it.io.get_executor(), "entry-b1", 1, {"127.0.0.1", 0}, acknowledge);
    messenger replacement(it.io.get_executor(), "entry-a1", 20, {"127.0.0.1", 0}, no_reply);
    messenger former(it.io.get_executor(), "entry-a1", 10, {"127.0.0.1", 0}, no_reply);
    replacement.set_peers({{"entry-b1", {"127.0.0.1", server.port()}}});
    former.set_peers({{"entry-b1", {"127.0.0.1", server.port()}}});
    call_error error;
    cr_assert(it.call(replacement, "entry-b1", heartbeat(1), duration{10'000}, error).has_value());
    cr_assert_not(it.call(former, "entry-b1", heartbeat(2), duration{300}, error).has_value());
    cr_assert_eq(error.code, errc::timeout);
    cr_assert(error.sent);
    cr_assert_eq(server.counters().old_incarnation, 1U);
}

// Guards against a message that is reported as possibly sent although no connection to the peer existed.
// drops_frames_of_an_older_incarnation checks the reverse.
Test(messenger, reports_whether_a_message_may_have_been_sent)
{
    io_threads it;
    messenger client(it.io.get_executor(), "entry-a1", 1, {"127.0.0.1", 0}, no_reply);
    call_error error;
    cr_assert_not(it.call(client, "entry-z9", heartbeat(1), duration{1000}, error).has_value());
    cr_assert_eq(error.code, errc::unknown_peer);
    cr_assert_not(error.sent);
    client.set_peers({{"entry-b1", {"127.0.0.1", 1}}});
    cr_assert_not(it.call(client, "entry-b1", heartbeat(1), duration{1000}, error).has_value());
    cr_assert_eq(error.code, errc::connection_refused);
    cr_assert_not(error.sent);
}

// Guards against a listener that stops or hangs after bytes that aren't a frame.
Test(messenger, survives_malformed_bytes)
{
    io_threads it;
    messenger server(it.io.get_executor(), "entry-b1", 1, {"127.0.0.1", 0}, acknowledge);
    for (const auto& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\0\0\0\4abcd", 8)}) {
        asio::ip::tcp::socket raw(it.io);
        raw.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        asio::write(raw, asio::buffer(bytes));
        char byte = 0;
        boost::system::error_code ec;
        raw.read_some(asio::buffer(&byte, 1), ec);
        cr_assert(ec);
    }
    cr_assert_eq(server.counters().malformed, 2U);
    messenger client(it.io.get_executor(), "entry-a1", 1, {"127.0.0.1", 0}, no_reply);
    client.set_peers({{"entry-b1", {"127.0.0.1", server.port()}}});
    call_error error;
    cr_assert(it.call(client, "entry-b1", heartbeat(1), duration{10'000}, error).has_value());
}

// A process that lacks processor time handles the timer of a call before the reply that arrived in time. It
// must not take the peer for silent, nor close the connection and so lose the replies to its other calls.
Test(messenger, late_caller_hears_the_peer_and_keeps_the_connection)
{
    io_threads peer_threads;
    messenger peer(peer_threads.io.get_executor(), "b", 0, {"127.0.0.1", 0}, acknowledge_later);
    asio::io_context io{1};
    messenger caller(io.get_executor(), "a", 0, {"127.0.0.1", 0}, no_reply);
    caller.set_peers({{"b", {"127.0.0.1", peer.port()}}});
    call_error first_error;
    call_error error;
    bool ended = false;
    asio::co_spawn(io, call_and_stand_still(caller, first_error, error, ended), asio::detached);
    io.run_for(duration(2'000));
    cr_assert(ended);
    cr_assert(first_error.code == errc::none);
    // Without an error, the reply was read first.
    cr_expect(error.code == errc::none || error.heard, "%s", error.reason.c_str());
    cr_expect_eq(caller.counters().late_replies, error.code == errc::none ? 0 : 1);
}

// A call that waits long for its reply must neither hide that the peer is gone nor give up one that answers
// other calls.
Test(messenger, bounded_silence_ends_a_call_only_if_nothing_is_heard)
{
    for (const bool heard : {false, true}) {
        io_threads peer_threads;
        messenger peer(peer_threads.io.get_executor(), "b", 0, {"127.0.0.1", 0}, acknowledge_first_late);
        asio::io_context io{1};
        messenger caller(io.get_executor(), "a", 0, {"127.0.0.1", 0}, no_reply);
        caller.set_peers({{"b", {"127.0.0.1", peer.port()}}});
        call_error error;
        call_error other_error;
        duration took{0};
        duration other_took{0};
        asio::co_spawn(io, call_with_bound(caller, 1, error, took), asio::detached);
        asio::steady_timer later(io);
        std::function<void(int)> call_again = [&](int n) {
            later.expires_after(duration(100));
            later.async_wait([&, n](const auto&) {
                asio::co_spawn(io, call_with_bound(caller, n, other_error, other_took), asio::detached);
                if (n < 8)
                    call_again(n + 1);
            });
        };
        if (heard)
            call_again(2);
        io.run_for(duration(1'500));
        cr_expect_eq(error.code, heard ? errc::none : errc::timeout, "heard %d: %s", heard,
                     error.reason.c_str());
        cr_expect(heard || (!error.heard && took < duration(700)), "%d ms", static_cast<int>(took.count()));
    }
}
