/// \file
/// HTTP/1.1 listener with bounded memory. Beast stays behind the private implementation.
#pragma once

#include <limpetlock/http/message.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::http {

/// One request of a caller and the way to answer it. Not safe for use from two coroutines at once, except
/// wait_closed().
class exchange {
public:
    virtual ~exchange() = default;

    virtual const request& message() const = 0;

    /// Sends a whole answer with Content-Length. False when the caller is gone.
    virtual boost::asio::awaitable<bool> respond(response answer) = 0;

    /// Starts a chunked answer; write() sends one chunk and waits until the socket took it, so that a slow
    /// caller slows the producer; finish() sends the last chunk. A stream that is not finished closes the
    /// connection, so that the caller sees a cut answer as cut.
    virtual boost::asio::awaitable<bool> begin_stream(int status, header_list headers) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view chunk) = 0;
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// Completes when the caller closes its connection (a half-close counts) and otherwise never; for use as
    /// one branch of awaitable_operators' ||. Cancelling it is harmless.
    virtual boost::asio::awaitable<void> wait_closed() = 0;

    /// True once respond() or begin_stream() was called.
    virtual bool answered() const = 0;
};

using handler = std::function<boost::asio::awaitable<void>(exchange&)>;

/// Bounds of one listener. A request beyond a bound gets 413, 431 or 408 with a JSON error body and its
/// connection is closed; a malformed one gets 400.
struct server_limits {
    std::size_t header_bytes{std::size_t{16} * 1024};
    std::size_t body_bytes{std::size_t{1024} * 1024};
    std::size_t connections{4096};
    duration header_timeout{5'000};
    duration body_timeout{10'000};
    duration idle_timeout{60'000};
    duration write_timeout{10'000};
};

/// Names of PEM files: the certificate chain and its private key.
struct tls_files {
    std::string certificate;
    std::string key;
};

enum class server_errc { bind_failed };

/// Accepts connections on one address and runs the handler for each request, with keep-alive. Each connection
/// has its own strand. Safe for use from any thread.
class server {
public:
    /// Starts to listen; port 0 picks a free one. Throws std::runtime_error with the address and reason when
    /// the address can't be bound, or with the file when a file of TLS can't be used.
    server(boost::asio::any_io_executor executor, const std::string& address, std::uint16_t port,
           server_limits limits, handler handle, const std::optional<tls_files>& tls = std::nullopt);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const;

    /// Requests that a handler is working on now.
    std::size_t active_requests() const;

    /// Bounds of the requests that begin later.
    void set_limits(const server_limits& limits);

    /// Closes the listening socket and idle connections; requests in progress go on and their connections
    /// close after the answer (Connection: close).
    void stop_accepting();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::http
