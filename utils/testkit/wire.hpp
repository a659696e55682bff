/// \file
/// The HTTP/1.1 listener of the stand-ins. It is separate from the product's http library because faults need
/// the socket: closing on accept, under the first byte of a request, and between work and answer. Everything
/// runs on one thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace limpetlock::testkit {

/// One connection and the request that it is working on.
class connection : public std::enable_shared_from_this<connection> {
public:
    explicit connection(boost::asio::ip::tcp::socket socket);

    std::string_view method() const;
    std::string path() const;
    std::string_view body() const;
    std::int64_t query(std::string_view name, std::int64_t fallback) const;

    boost::asio::awaitable<bool> respond(int status, const nlohmann::json& body);
    boost::asio::awaitable<bool> begin_stream();
    boost::asio::awaitable<bool> write(std::string text);
    boost::asio::awaitable<bool> finish();

    /// Closes the connection without an answer, or in the middle of one.
    void drop();

    /// Waits; returns early after wake() or, once watch() was called, when the caller closes.
    boost::asio::awaitable<void> sleep(double ms);
    void wake();
    void watch_for_close();
    bool closed() const { return closed_; }

    /// True when the caller closed, and not drop().
    bool closed_by_caller() const { return closed_ && !dropped_; }

private:
    friend class listener;

    boost::asio::awaitable<bool> read_request();
    boost::asio::awaitable<void> watch_loop();
    bool close_on_error(boost::system::error_code ec);

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    boost::asio::steady_timer timer_;
    bool watching_{false};
    bool closed_{false};
    bool dropped_{false};
};

using connection_handler = std::function<boost::asio::awaitable<void>(connection&)>;

/// Listens on one loopback port. It must live as long as the context runs.
class listener {
public:
    listener(boost::asio::io_context& context, std::uint16_t port, connection_handler handle);

    std::uint16_t port() const { return port_; }

    /// Closes or reopens the listening socket; while closed, connections are refused.
    void set_listening(bool on);

    bool close_on_accept{false};
    bool close_reused{false}; ///< closes a kept connection when the next request's first byte arrives

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<connection> it);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::acceptor port_holder_; ///< keeps the port while the listener is off
    connection_handler handle_;
    std::uint16_t port_;
};

/// Parses a JSON body; a discarded value when it is malformed.
nlohmann::json parse_body(const connection& it);

} // namespace limpetlock::testkit
