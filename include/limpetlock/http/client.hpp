/// \file
/// HTTP/1.1 client with a connection pool per endpoint address. Beast stays behind the private
/// implementation.
#pragma once

#include <limpetlock/http/message.hpp>
#include <limpetlock/support/error.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace limpetlock::http {

struct address {
    std::string host; ///< IP number
    std::uint16_t port{0};

    friend auto operator<=>(const address&, const address&) = default; // NOLINT(modernize-use-nullptr)
};

enum class errc { none, connection_refused, closed, timeout, malformed, too_large, cancelled };

/// What a failed call can say. sent is false only when provably no byte of the request reached the socket.
struct call_error {
    errc code{errc::none};
    std::string reason;
    bool sent{false};
    /// The connection was a pooled one and closed before a byte of the answer came. The usual cause is an
    /// endpoint that closed the idle connection while the request was on its way.
    bool stale{false};
};

/// fresh opens a new connection for this call; pooled may take an idle one. A pooled connection that the
/// endpoint closed before any byte of the answer arrived is reported as an error and never retried here.
enum class connection_policy { pooled, fresh };

struct client_limits {
    std::size_t body_bytes{std::size_t{4} * 1024 * 1024};
    std::size_t max_idle_per_address{16};
    duration idle_timeout{10'000};
    duration connect_timeout{500};
    /// Takes an answer without length or chunks, which ends when the endpoint closes the connection; a reset
    /// still cuts it.
    bool accept_close_delimited{false};
};

/// A streamed answer of server-sent events. Destroying it before its end closes the connection, which cancels
/// the call at the endpoint.
class event_stream {
public:
    virtual ~event_stream() = default;

    virtual int status() const = 0;
    virtual const header_list& headers() const = 0;

    /// The data of the next event (its lines joined), or nullopt at the end or on failure: then error().code
    /// is errc::none only when the answer ended with its terminator (last chunk or full length).
    virtual boost::asio::awaitable<std::optional<std::string>> next(time_point deadline) = 0;
    virtual const call_error& error() const = 0;

    /// The "event" line of the event that next() returned last; empty when it had none.
    virtual const std::string& event_name() const = 0;

    /// For a status other than 200: the rest of the body (bounded).
    virtual boost::asio::awaitable<std::string> body(time_point deadline) = 0;
};

/// An answer whose body is read as it arrives. Destroying it before its end closes the connection, which
/// cancels the call at the endpoint.
class answer_reader {
public:
    virtual ~answer_reader() = default;

    virtual int status() const = 0;
    virtual const header_list& headers() const = 0;

    /// The next bytes of the body, or nullopt at the end or on failure: then error().code is errc::none only
    /// when the answer was complete.
    virtual boost::asio::awaitable<std::optional<std::string>> read(time_point deadline) = 0;
    virtual const call_error& error() const = 0;
};

/// Tells from its headers whether an answer belongs to the request that was sent.
using answer_filter = std::function<bool(const header_list&)>;

/// Safe for use from any thread. An abandoned or failed exchange closes its connection; only a connection
/// whose last answer was read to its end returns to the pool.
class client {
public:
    client(boost::asio::any_io_executor executor, client_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// One whole exchange. An answer cut before its length or last chunk is an error.
    boost::asio::awaitable<std::optional<response>> call(address to, request message, time_point deadline,
                                                         connection_policy policy, call_error& error);

    /// Sends the request and reads the answer's header. nullptr on failure.
    boost::asio::awaitable<std::unique_ptr<event_stream>> open_event_stream(address to, request message,
                                                                            time_point deadline,
                                                                            connection_policy policy,
                                                                            call_error& error);

    /// Sends the request and reads the answer's header. Answers that the filter rejects are read to their end
    /// and dropped. nullptr on failure.
    boost::asio::awaitable<std::unique_ptr<answer_reader>>
    open_answer(address to, request message, time_point deadline, connection_policy policy, call_error& error,
                answer_filter accept);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::http
