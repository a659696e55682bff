/// \file
/// HTTP/1.1 client that pools idle connections for each endpoint address. Boost.Beast is used only in the
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
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace limpetlock::http {

struct address {
    std::string host; ///< IPv4 or IPv6 address in text form; names aren't resolved
    std::uint16_t port{0};

    friend auto operator<=>(const address&, const address&) = default; // NOLINT(modernize-use-nullptr)
};

/// connection_refused: the connection could not be established, for any reason but a timeout or a
/// cancellation. closed: the connection ended before the call was complete. malformed: the address or request
/// can't be used, or the answer breaks a rule of HTTP. cancelled: this process ended the call.
enum class errc { none, connection_refused, closed, timeout, malformed, too_large, cancelled };

/// Why a call failed; code is errc::none after a success.
struct call_error {
    errc code{errc::none};
    std::string reason;
    /// False only when it is certain that no byte of the request was written to the socket.
    bool sent{false};
    /// A pooled connection was closed before the first byte of the answer arrived. Usually the endpoint
    /// closed the idle connection while the request was on its way.
    bool stale{false};
    /// Bytes of the answer had arrived.
    bool answer_begun{false};
};

/// pooled uses an idle connection to the address if there is one; fresh always opens a new one. The client
/// never sends a request twice: if the endpoint closes a pooled connection before the first byte of the
/// answer, the call fails with call_error::stale.
enum class connection_policy { pooled, fresh };

struct client_limits {
    /// Largest body of a whole answer, event of an event stream, and body of a stream's error answer.
    std::size_t body_bytes{std::size_t{4} * 1024 * 1024};
    /// Bound of the bodies of whole answers that are in memory at the same time, over all calls of the
    /// client. Bodies up to 64 KiB are read in any case.
    std::size_t total_body_bytes{std::numeric_limits<std::size_t>::max()};
    std::size_t max_idle_per_address{16};
    duration idle_timeout{10'000}; ///< in milliseconds; an idle connection is closed after it
    duration connect_timeout{500}; ///< in milliseconds
    /// Accepts an answer without Content-Length and chunks, which ends when the endpoint closes the
    /// connection. A reset still counts as a cut answer.
    bool accept_close_delimited{false};
};

/// Answer that is a stream of server-sent events. If it is destroyed before its end, the connection is
/// closed, which cancels the call at the endpoint.
class event_stream {
public:
    virtual ~event_stream() = default;

    virtual int status() const = 0;
    virtual const header_list& headers() const = 0;

    /// Returns the data of the next event, its lines joined by LF, or nullopt at the end or on failure. After
    /// nullopt, error().code is errc::none only if the answer was complete (last chunk or full length).
    virtual boost::asio::awaitable<std::optional<std::string>> next(time_point deadline) = 0;
    virtual const call_error& error() const = 0;

    /// Value of the "event" field of the event that next() returned last; empty if it had none.
    virtual const std::string& event_name() const = 0;

    /// Returns the rest of the body of an answer whose status isn't 200, up to client_limits::body_bytes. On
    /// failure error() is set and the result may be cut.
    virtual boost::asio::awaitable<std::string> body(time_point deadline) = 0;
};

/// Answer whose body is read as it arrives. If it is destroyed before its end, the connection is closed,
/// which cancels the call at the endpoint.
class answer_reader {
public:
    virtual ~answer_reader() = default;

    virtual int status() const = 0;
    virtual const header_list& headers() const = 0;

    /// Returns the next bytes of the body, or nullopt at the end or on failure. After nullopt, error().code
    /// is errc::none only if the answer was complete.
    virtual boost::asio::awaitable<std::optional<std::string>> read(time_point deadline) = 0;
    virtual const call_error& error() const = 0;
};

/// Returns whether an answer with these headers belongs to the request that was sent.
using answer_filter = std::function<bool(const header_list&)>;

/// Safe for use from any thread. A connection returns to the pool only after its answer was read to the end;
/// an abandoned or failed call closes its connection. If a call on a pooled connection gets no byte in time,
/// the connections to the address that were idle meanwhile are closed, too: they may have gone silent
/// together.
class client {
public:
    client(boost::asio::any_io_executor executor, client_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends the request and reads the whole answer. An answer that is cut before its length or last chunk is
    /// an error. Returns nullopt on failure.
    boost::asio::awaitable<std::optional<response>> call(address to, request message, time_point deadline,
                                                         connection_policy policy, call_error& error);

    /// Sends the request and reads the header of the answer. Returns nullptr on failure.
    boost::asio::awaitable<std::unique_ptr<event_stream>> open_event_stream(address to, request message,
                                                                            time_point deadline,
                                                                            connection_policy policy,
                                                                            call_error& error);

    /// Sends the request and reads the header of the answer. An answer that the filter rejects is read to its
    /// end and dropped, and the next answer on the connection is considered. An empty filter accepts every
    /// answer. Returns nullptr on failure.
    boost::asio::awaitable<std::unique_ptr<answer_reader>>
    open_answer(address to, request message, time_point deadline, connection_policy policy, call_error& error,
                answer_filter accept);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::http
