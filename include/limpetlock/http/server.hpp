/// \file
/// HTTP/1.1 server with bounded memory for each connection. Boost.Beast is used only in the implementation.
#pragma once

#include <limpetlock/http/message.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::http {

/// One request of a caller and the means to answer it. No two coroutines may use it at once, except for
/// wait_closed().
class exchange {
public:
    virtual ~exchange() = default;

    virtual const request& message() const = 0;

    /// Sends a whole answer with Content-Length. Returns false if the connection was lost or an answer was
    /// already begun. Throws std::invalid_argument for a malformed header.
    virtual boost::asio::awaitable<bool> respond(response answer) = 0;

    /// Begins a chunked answer. write() sends one chunk and waits until the socket has accepted it, so that a
    /// slow caller slows the handler. finish() sends the last chunk. If the handler returns without
    /// finish(), the connection is closed, so that the caller detects that the answer is cut. All three
    /// return false if the connection was lost.
    virtual boost::asio::awaitable<bool> begin_stream(int status, header_list headers) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view chunk) = 0;
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// Completes once the caller has closed its connection, also if it closed only its sending direction. For
    /// use as one branch of || from asio::experimental::awaitable_operators; cancelling it has no effect on
    /// the connection.
    virtual boost::asio::awaitable<void> wait_closed() = 0;

    /// True once respond() or begin_stream() has begun an answer.
    virtual bool answered() const = 0;
};

using handler = std::function<boost::asio::awaitable<void>(exchange&)>;

/// Bounds of one server; durations are in milliseconds. A request beyond a bound is answered with 408, 413 or
/// 431 and a JSON error body, and a malformed one with 400; then the connection is closed. A connection
/// beyond the bound is answered with 503, or just closed if TLS is on or many already wait for their 503.
struct server_limits {
    std::size_t header_bytes{std::size_t{16} * 1024};
    std::size_t body_bytes{std::size_t{1024} * 1024};
    /// Bound of the bodies of all requests that are in memory. Beyond it a request is refused with 503,
    /// unless its body has at most 64 KiB.
    std::size_t total_body_bytes{std::numeric_limits<std::size_t>::max()};
    std::size_t connections{4096};
    duration header_timeout{5'000}; ///< also for the TLS handshake
    duration body_timeout{10'000};
    duration idle_timeout{60'000};
    duration write_timeout{10'000}; ///< for each answer or chunk
};

/// Paths of two PEM files: the certificate chain and its private key.
struct tls_files {
    std::string certificate;
    std::string key;
};

enum class server_errc { bind_failed };

/// Accepts connections on one address and runs the handler for each request. Connections are persistent, and
/// each runs on its own strand. Safe for use from any thread.
class server {
public:
    /// Starts to listen; port 0 selects a free port. Throws std::runtime_error that names the address and the
    /// reason if the address can't be bound, or the file if a TLS file can't be used.
    server(boost::asio::any_io_executor executor, const std::string& address, std::uint16_t port,
           server_limits limits, handler handle, const std::optional<tls_files>& tls = std::nullopt);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const;

    /// Number of requests whose handler is running.
    std::size_t active_requests() const;

    /// Sets the bounds for connections accepted and requests awaited from now on.
    void set_limits(const server_limits& limits);

    /// Closes the listening socket and the idle connections. Requests in progress continue, and their
    /// connections close after the answer (Connection: close).
    void stop_accepting();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::http
