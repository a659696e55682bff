/// \file
/// Runs a stand-in of the platform and drives one instance with streamed requests, to measure what an
/// instance spends on them. Start the instance with LIMPETLOCK_CONFIG set to the file named here.
#include <limpetlock/http/client.hpp>

#include "platformkit/site.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <fstream>
#include <string>

DEFINE_string(settings, "boot.json", "settings file to write for the instance");
DEFINE_int32(requests, 200, "streamed requests to send");
DEFINE_int32(concurrency, 4, "requests at the same time");
DEFINE_int32(events, 60, "events of each answer");
DEFINE_int32(caller_port, 19001, "caller listener of the instance");

namespace {

using namespace limpetlock; // NOLINT(google-build-using-namespace)
using boost::asio::awaitable;

struct progress {
    int started{0};
    int running{0};
    int whole{0};
    std::size_t bytes{0};
};

http::request make_request(int n)
{
    http::request out{"POST", "/stream/x", {}, std::string(4000, 'p')};
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

awaitable<bool> send_one(http::client& client, int n, progress& count)
{
    constexpr duration patience{5'000};
    const time_point deadline = boot_clock::now() + patience;
    http::call_error error;
    const http::address to{"127.0.0.1", static_cast<std::uint16_t>(FLAGS_caller_port)};
    const auto answer = co_await client.open_answer(to, make_request(n), deadline, http::reuse::pooled, error);
    if (!answer || answer->status() != 200)
        co_return false;
    for (;;) {
        const auto bytes = co_await answer->read(deadline);
        if (!bytes)
            break;
        count.bytes += bytes->size();
    }
    co_return answer->error().code == http::errc::none;
}

awaitable<void> worker(boost::asio::io_context& io, http::client& client, progress& count)
{
    ++count.running;
    while (count.started < FLAGS_requests) {
        const int n = count.started++;
        const bool ok = co_await send_one(client, n, count);
        if (ok)
            ++count.whole;
    }
    if (--count.running == 0)
        io.stop();
}

awaitable<void> drive(boost::asio::io_context& io, http::client& client, progress& count)
{
    constexpr std::chrono::milliseconds pause{200};
    boost::asio::steady_timer timer(io);
    for (int n = -1;; --n) {
        progress ignored;
        const bool ready = co_await send_one(client, n, ignored);
        if (ready)
            break;
        timer.expires_after(pause);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    for (int n = 0; n < FLAGS_concurrency; ++n)
        boost::asio::co_spawn(io, worker(io, client, count), boost::asio::detached);
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
    const auto port = static_cast<std::uint16_t>(FLAGS_caller_port);
    std::ofstream(FLAGS_settings) << site.settings("one", port, port + 1, port + 2,
                                                   {static_cast<std::uint16_t>(port + 2)});
    http::client client(io.get_executor(), {});
    progress count;
    const auto started = std::chrono::steady_clock::now();
    boost::asio::co_spawn(io, drive(io, client, count), boost::asio::detached);
    io.run();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
    fmt::print("requests {} whole {} bytes {} seconds {:.2f}\n", count.started, count.whole, count.bytes,
               took.count());
    return count.whole == count.started ? 0 : 1;
}
