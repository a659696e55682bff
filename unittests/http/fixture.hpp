/// \file
/// Worker threads, a raw TCP connection and a scripted endpoint for the tests of the http library.
#pragma once

#include <limpetlock/http/client.hpp>
#include <limpetlock/http/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <sys/socket.h>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace limpetlock::http::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// Time limit of every wait. Far longer than any step takes, so that only a hang reaches it.
constexpr auto wait_limit = 10s;

/// Returns a deadline for one operation of a test.
inline time_point test_deadline(duration wait = wait_limit)
{
    return boot_clock::now() + wait;
}

/// Polls a condition until it holds. Returns false if it doesn't hold within wait_limit.
inline bool eventually(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + wait_limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

/// An Asio context that runs on several threads.
class runtime {
public:
    runtime()
    {
        for (int n = 0; n < 3; ++n)
            threads_.emplace_back([this] { context_.run(); });
    }
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;
    ~runtime()
    {
        context_.stop();
        for (auto& it : threads_)
            it.join();
    }

    asio::io_context::executor_type executor() { return context_.get_executor(); }

    /// Runs a coroutine on a strand of its own and returns its result.
    template <typename T>
    T run(asio::awaitable<T> work)
    {
        auto result = asio::co_spawn(asio::make_strand(context_), std::move(work), asio::use_future);
        cr_assert(result.wait_for(wait_limit) == std::future_status::ready, "coroutine hangs");
        return result.get();
    }

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{context_.get_executor()};
    std::vector<std::thread> threads_;
};

/// A blocking TCP connection that sends arbitrary bytes.
class raw_connection {
public:
    explicit raw_connection(std::uint16_t port) : socket_(context_)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
        set_receive_timeout();
    }
    explicit raw_connection(tcp::acceptor& acceptor) : socket_(context_)
    {
        acceptor.accept(socket_);
        set_receive_timeout();
    }

    bool send(std::string_view bytes)
    {
        boost::system::error_code ec;
        asio::write(socket_, asio::buffer(bytes), ec);
        return !ec;
    }
    void half_close()
    {
        boost::system::error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
    }
    void close()
    {
        boost::system::error_code ec;
        socket_.close(ec);
    }
    void reset()
    {
        socket_.set_option(asio::socket_base::linger(true, 0));
        close();
    }

    /// Reads until the text ends with the suffix or the connection ends. Returns the text that was read.
    std::string read_until(std::string_view suffix)
    {
        boost::system::error_code ec;
        while (!text_.ends_with(suffix) && read_some(ec))
            ;
        return std::exchange(text_, {});
    }

    /// Reads to the end of the connection. Appends "(open)" if it doesn't end within wait_limit, and
    /// "(reset)" if it is reset.
    std::string read_all()
    {
        boost::system::error_code ec;
        while (read_some(ec))
            ;
        if (ec == asio::error::try_again || ec == asio::error::would_block)
            text_ += "(open)";
        if (ec == asio::error::connection_reset)
            text_ += "(reset)";
        return std::exchange(text_, {});
    }

    tcp::socket& socket() { return socket_; }

private:
    bool read_some(boost::system::error_code& ec)
    {
        char buf[4096];
        const auto n = recv(socket_.native_handle(), buf, sizeof buf, 0);
        if (n < 0)
            ec.assign(errno, boost::system::system_category());
        if (n > 0)
            text_.append(buf, static_cast<std::size_t>(n));
        return n > 0;
    }
    void set_receive_timeout()
    {
        timeval wait{std::chrono::seconds(wait_limit).count(), 0};
        setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    }

    asio::io_context context_;
    tcp::socket socket_;
    std::string text_;
};

/// An endpoint that runs a script on its listening socket, on a thread of its own.
class scripted_endpoint {
public:
    explicit scripted_endpoint(std::function<void(tcp::acceptor&)> script)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
          thread_([this, play = std::move(script)] { play(acceptor_); })
    {
    }
    ~scripted_endpoint() { thread_.join(); }

    address listen_address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

/// Bounds that small requests exceed.
inline server_limits small_limits()
{
    server_limits limits;
    limits.header_bytes = 1024;
    limits.body_bytes = 2048;
    return limits;
}

/// Handler that answers with the method, the target and the body of the request.
inline asio::awaitable<void> echo(exchange& it)
{
    const auto& message = it.message();
    response answer{200, {}, message.method + " " + message.target + " " + message.body};
    co_await it.respond(std::move(answer));
}

} // namespace limpetlock::http::testing
