/// \file
/// Measures the http library on loopback: requests per core-second, CPU and elapsed time of a streamed chunk
/// and of a client call, and memory of an idle connection. Prints one line per measurement.

#include <limpetlock/http/client.hpp>
#include <limpetlock/http/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <exception>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

DEFINE_int32(requests, 50'000, "requests of each measurement");
DEFINE_int32(chunks, 50'000, "chunks of the streamed answer");
DEFINE_int32(chunk_bytes, 80, "bytes of a chunk");

namespace {

namespace asio = boost::asio;
namespace http = limpetlock::http;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;
using clock_type = std::chrono::steady_clock;

constexpr std::string_view get_request =
    "GET /x HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer token\r\n\r\n";
constexpr std::string_view watched_request = "GET /watched HTTP/1.1\r\nHost: bench\r\n\r\n";
constexpr std::string_view stream_request =
    "GET /stream HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n\r\n";

/// A thread that runs an I/O context and reports the CPU time that it has used.
class worker {
public:
    worker() : thread_([this] { context_.run(); })
    {
        pthread_getcpuclockid(thread_.native_handle(), &clock_);
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    ~worker()
    {
        context_.stop();
        thread_.join();
    }

    asio::io_context& context() { return context_; }

    double cpu_seconds() const
    {
        timespec ts{};
        clock_gettime(clock_, &ts);
        return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
    }

private:
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_{context_.get_executor()};
    clockid_t clock_{};
    std::thread thread_;
};

/// Handles all requests: "/stream" streams chunks, "/watched" also waits for the end of the connection while
/// it computes the answer, and other targets answer at once.
asio::awaitable<void> answer(http::exchange& it)
{
    const auto& target = it.message().target;
    if (target == "/watched") {
        asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(0));
        co_await (it.wait_closed() || timer.async_wait(asio::use_awaitable));
    }
    if (target != "/stream") {
        auto whole = http::json_response(200, R"({"request_id":"1","answer":"text","tokens":1})");
        co_await it.respond(std::move(whole));
        co_return;
    }
    const std::string chunk(static_cast<std::size_t>(FLAGS_chunk_bytes), 'x');
    http::header_list headers{{"Content-Type", "text/event-stream"}};
    co_await it.begin_stream(200, std::move(headers));
    for (int n = 0; n < FLAGS_chunks; ++n)
        co_await it.write(chunk);
    co_await it.finish();
}

/// A blocking client with one keep-alive connection.
class caller {
public:
    explicit caller(std::uint16_t port) : socket_(context_)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
        socket_.set_option(tcp::no_delay(true));
    }

    void send(std::string_view text) { asio::write(socket_, asio::buffer(text)); }

    /// Reads one JSON answer, which ends at the first read that ends in '}'.
    void read_answer()
    {
        std::size_t size = 0;
        while (size == 0 || buffer_[size - 1] != '}')
            size += socket_.read_some(asio::buffer(buffer_.data() + size, buffer_.size() - size));
    }

    /// Reads until the server closes the connection, and returns the number of bytes.
    std::size_t read_all()
    {
        std::size_t size = 0;
        boost::system::error_code ec;
        while (!ec)
            size += socket_.read_some(asio::buffer(buffer_), ec);
        return size;
    }

private:
    asio::io_context context_;
    tcp::socket socket_;
    std::vector<char> buffer_ = std::vector<char>(64 * std::size_t{1024});
};

double seconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

void measure_requests(worker& server_thread, std::uint16_t port, std::string_view message, int callers)
{
    const int requests_per_caller = FLAGS_requests / callers;
    const auto start = clock_type::now();
    const double cpu = server_thread.cpu_seconds();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers));
    for (int n = 0; n < callers; ++n)
        threads.emplace_back([port, requests_per_caller, message] {
            caller it(port);
            for (int k = 0; k < requests_per_caller; ++k) {
                it.send(message);
                it.read_answer();
            }
        });
    for (auto& it : threads)
        it.join();
    const int total = requests_per_caller * callers;
    const double wall_s = seconds_since(start);
    const double cpu_used_s = server_thread.cpu_seconds() - cpu;
    fmt::print("server requests handler={} callers={} per_core_second={:.0f} cpu_us={:.2f} wall_us={:.2f}\n",
               message == watched_request ? "watching" : "trivial", callers, total / cpu_used_s,
               cpu_used_s * 1e6 / total, wall_s * 1e6 / total);
}

void measure_chunks(worker& server_thread, std::uint16_t port)
{
    caller it(port);
    const double cpu = server_thread.cpu_seconds();
    const auto start = clock_type::now();
    it.send(stream_request);
    const auto bytes = it.read_all();
    const double wall_s = seconds_since(start);
    const double cpu_used_s = server_thread.cpu_seconds() - cpu;
    fmt::print("server chunks payload_bytes={} cpu_us={:.2f} wall_us={:.2f} wire_bytes={:.2f}\n",
               FLAGS_chunk_bytes, cpu_used_s * 1e6 / FLAGS_chunks, wall_s * 1e6 / FLAGS_chunks,
               static_cast<double>(bytes) / FLAGS_chunks);
}

asio::awaitable<void> call_many(http::client& client, http::address to)
{
    http::call_error error;
    for (int n = 0; n < FLAGS_requests; ++n) {
        http::request message;
        const auto deadline = limpetlock::boot_clock::now() + limpetlock::duration(3'000);
        const auto result =
            co_await client.call(to, message, deadline, http::connection_policy::pooled, error);
        if (!result)
            throw std::runtime_error(error.reason);
    }
}

void measure_client(std::uint16_t port)
{
    worker client_thread;
    http::client client(client_thread.context().get_executor(), {});
    const http::address to{"127.0.0.1", port};
    const auto start = clock_type::now();
    const double cpu = client_thread.cpu_seconds();
    const auto strand = asio::make_strand(client_thread.context());
    asio::co_spawn(strand, call_many(client, to), asio::use_future).get();
    const double cpu_used_s = client_thread.cpu_seconds() - cpu;
    fmt::print("client calls cpu_us={:.2f} wall_us={:.2f}\n", cpu_used_s * 1e6 / FLAGS_requests,
               seconds_since(start) * 1e6 / FLAGS_requests);
}

long resident_bytes()
{
    long total = 0;
    long resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

/// Measures the memory of idle connections, each after one request. The client sockets hold no buffers in
/// this process.
void measure_idle(const std::string& address, int connections)
{
    worker server_thread;
    const http::server listener(server_thread.context().get_executor(), address, 0, {}, answer);
    asio::io_context context;
    std::vector<tcp::socket> sockets;
    sockets.reserve(static_cast<std::size_t>(connections));
    const auto heap = mallinfo2().uordblks;
    const auto resident = resident_bytes();
    char buf[1024];
    for (int n = 0; n < connections; ++n) {
        auto& it = sockets.emplace_back(context);
        it.connect({asio::ip::make_address(address), listener.port()});
        asio::write(it, asio::buffer(get_request));
        while (buf[it.read_some(asio::buffer(buf)) - 1] != '}')
            continue;
    }
    const auto n = static_cast<std::size_t>(connections);
    fmt::print("server idle connections={} heap_bytes={} resident_bytes={}\n", connections,
               (mallinfo2().uordblks - heap) / n, (resident_bytes() - resident) / connections);
}

void raise_descriptor_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void measure_all()
{
    const std::string address = "127.0.0.1";
    for (const int connections : {100, 500, 1000})
        measure_idle(address, connections);
    worker server_thread;
    const http::server listener(server_thread.context().get_executor(), address, 0, {}, answer);
    for (const int callers : {1, 4, 16})
        measure_requests(server_thread, listener.port(), get_request, callers);
    measure_requests(server_thread, listener.port(), watched_request, 4);
    measure_chunks(server_thread, listener.port());
    measure_client(listener.port());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    raise_descriptor_limit();
    try {
        measure_all();
    } catch (const std::exception& it) {
        fmt::print(stderr, "bench-http: {}\n", it.what());
        return 1;
    }
    return 0;
}
