/// \file
/// The HTTP/1.1 listener of the stand-ins. It is separate from the system's HTTP library because faults need
/// access to the socket: they close it on accept, on the first byte of a request, and between the work and
/// its answer. Everything runs on one thread.
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

/// One connection and its current request.
class connection : public std::enable_shared_from_this<connection> {
public:
    explicit connection(boost::asio::ip::tcp::socket socket);

    std::string_view method() const;
    std::string path() const;
    std::string_view body() const;

    /// Value of a numeric query parameter; `fallback` if it is absent or not a number.
    std::int64_t query(std::string_view name, std::int64_t fallback) const;

    // The functions that write return false after an error, which closes the connection.
    boost::asio::awaitable<bool> respond(int status, const nlohmann::json& body);
    boost::asio::awaitable<bool> begin_stream();
    boost::asio::awaitable<bool> write(std::string text);
    boost::asio::awaitable<bool> finish();

    /// Closes the connection without an answer, or in the middle of one.
    void drop();

    /// Waits, but no longer than until wake() or, after watch_for_close(), until the caller closes the
    /// connection.
    boost::asio::awaitable<void> sleep(double ms);
    void wake();

    /// Detects from now on, until the end of the request, that the caller closes the connection.
    void watch_for_close();

    bool closed() const { return closed_; }

    /// True if the caller closed the connection, and not drop().
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

/// Listens on one loopback port. It must outlive the run of the context.
class listener {
public:
    listener(boost::asio::io_context& context, std::uint16_t port, connection_handler handle);

    std::uint16_t port() const { return port_; }

    /// Opens or closes the listening socket; while it is closed, the system refuses connections.
    void set_listening(bool on);

    bool close_on_accept{false};
    bool close_reused{false}; ///< closes a reused connection when the next request's first byte arrives

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<connection> it);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::acceptor port_holder_; ///< reserves the port while the listener is closed
    connection_handler handle_;
    std::uint16_t port_;
};

/// Parses a JSON body; returns a discarded value if it is malformed.
nlohmann::json parse_body(const connection& it);

} // namespace limpetlock::testkit
