/// \file
/// Runs a stand-in for the platform and sends requests to one or more instances, to measure the cost of
/// requests in an instance. Writes a settings file for each instance; start the instances with
/// LIMPETLOCK_CONFIG set to it.
#include "platformkit/site.hpp"

#include <limpetlock/http/client.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <string>

DEFINE_string(settings, "boot", "settings files to write for the instances, without their number and ending");
DEFINE_int32(instances, 1, "instances that callers use in turn");
DEFINE_int32(trouble_every, 0, "every n-th request fails at its endpoint in one of several ways; 0 for none");
DEFINE_int32(requests, 200, "streamed requests to send");
DEFINE_int32(concurrency, 4, "requests at the same time");
DEFINE_int32(events, 60, "events of each answer");
DEFINE_int32(give_up_every, 0, "every n-th caller leaves within give_up_ms; 0 for none");
DEFINE_int32(give_up_ms, 120, "longest time after which such a caller leaves");
DEFINE_int32(caller_port, 19001, "caller listener of the first instance; each uses three ports");

namespace {

using namespace limpetlock; // NOLINT(google-build-using-namespace)
using boost::asio::awaitable;

constexpr duration request_timeout{5'000}; // milliseconds
constexpr std::chrono::milliseconds retry_interval{200};

/// Difference between the times at which consecutive callers leave, modulo --give_up_ms.
constexpr int leave_step_ms = 37;

/// Requests by their state.
struct load_counts {
    int started{0};
    int running{0};
    int whole{0};         ///< completely answered
    int gave_up{0};       ///< left by their callers on purpose
    std::size_t bytes{0}; ///< of all answers
};

std::uint16_t caller_port(int n)
{
    return static_cast<std::uint16_t>(FLAGS_caller_port + 3 * (std::abs(n) % FLAGS_instances));
}

/// The request with number `n`, to one of three routes in turn; a negative number makes a request to the
/// streamed route.
http::request make_request(int n)
{
    constexpr int kinds = 3;
    const char* const paths[kinds] = {"/stream/x", "/resumable/x", "/lookup/x"};
    http::request out{"POST", n < 0 ? paths[0] : paths[n % kinds], {}, std::string(4000, 'p')};
    out.headers = {{"Host", platformkit::site::host},
                   {"Limpetlock-Request-Id", fmt::format("{:016x}", n + 1)},
                   {"Limpetlock-Deadline-Ms", "5000"},
                   {"Limpetlock-Pieces", "2,1"},
                   {"Limpetlock-Piece-Key", "k"},
                   {"Limpetlock-Model", "m"},
                   {"Limpetlock-Token-Count", "100,60"},
                   {"Limpetlock-Prefix-Hash", fmt::format("1:50,{:x}:50", n % 10 + 2)},
                   {"Authorization", std::string("Bearer ") + platformkit::site::key}};
    return out;
}

/// Sends a request and reads its answer; true if the answer is complete.
awaitable<bool> send_request(http::client& client, int n, load_counts& counts)
{
    const time_point deadline = boot_clock::now() + request_timeout;
    http::call_error error;
    const http::address to{"127.0.0.1", caller_port(n)};
    http::request message = make_request(n);
    http::answer_filter any;
    const auto answer = co_await client.open_answer(to, std::move(message), deadline,
                                                    http::connection_policy::pooled, error, std::move(any));
    if (!answer || answer->status() != 200)
        co_return false;
    for (;;) {
        const auto bytes = co_await answer->read(deadline);
        if (!bytes)
            break;
        counts.bytes += bytes->size();
    }
    co_return answer->error().code == http::errc::none;
}

/// Sends a request and closes its connection after a time that differs between requests.
awaitable<void> send_and_leave(http::client& client, int n, load_counts& counts)
{
    using namespace boost::asio::experimental::awaitable_operators;
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(executor,
                                    std::chrono::milliseconds(n * leave_step_ms % FLAGS_give_up_ms + 1));
    load_counts ignored;
    co_await (send_request(client, n, ignored) || timer.async_wait(boost::asio::use_awaitable));
    ++counts.gave_up;
}

/// Sends requests one after another until all have been sent; the last worker stops the context.
awaitable<void> worker(boost::asio::io_context& io, http::client& client, load_counts& counts)
{
    ++counts.running;
    while (counts.started < FLAGS_requests) {
        const int n = counts.started++;
        if (FLAGS_give_up_every > 0 && n % FLAGS_give_up_every == 0) {
            co_await send_and_leave(client, n, counts);
            continue;
        }
        const bool ok = co_await send_request(client, n, counts);
        if (ok)
            ++counts.whole;
    }
    if (--counts.running == 0)
        io.stop();
}

/// Waits until an instance answers a request, then starts the workers.
awaitable<void> drive(boost::asio::io_context& io, http::client& client, load_counts& counts)
{
    boost::asio::steady_timer timer(io);
    load_counts ignored;
    int n = -1;
    bool ready = co_await send_request(client, n, ignored);
    while (!ready) {
        timer.expires_after(retry_interval);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        ready = co_await send_request(client, --n, ignored);
    }
    for (int it = 0; it < FLAGS_concurrency; ++it)
        boost::asio::co_spawn(io, worker(io, client, counts), boost::asio::detached);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context io(1);
    platformkit::site_options options;
    options.events = static_cast<std::size_t>(FLAGS_events);
    platformkit::site site(io.get_executor(), options);
    site.publish();
    for (int n = 0; n < FLAGS_instances; ++n) {
        const std::uint16_t port = caller_port(n);
        std::ofstream(fmt::format("{}-{}.json", FLAGS_settings, n))
            << site.settings(fmt::format("instance-{}", n), port, port + 1, port + 2,
                             {static_cast<std::uint16_t>(FLAGS_caller_port + 2)});
    }
    for (auto& it : site.engines)
        it->fail_every(static_cast<std::size_t>(FLAGS_trouble_every));
    for (auto& it : site.plain)
        it->fail_every(static_cast<std::size_t>(FLAGS_trouble_every));
    http::client client(io.get_executor(), {});
    load_counts counts;
    const auto started = std::chrono::steady_clock::now();
    boost::asio::co_spawn(io, drive(io, client, counts), boost::asio::detached);
    io.run();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
    fmt::print("requests {} whole {} left {} bytes {} seconds {:.2f}\n", counts.started, counts.whole,
               counts.gave_up, counts.bytes, took.count());
    return counts.whole + counts.gave_up == counts.started ? 0 : 1;
}
