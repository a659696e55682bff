#include "connection.hpp"

#include "deadline_timer.hpp"
#include "growing_body.hpp"
#include "message_text.hpp"
#include "socket_state.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

namespace limpetlock::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

/// Size of the first read of a request, which bounds the memory of an idle connection. The buffer grows for
/// larger messages.
constexpr std::size_t first_read_bytes = 1024;

/// Read size for a body.
constexpr std::size_t body_read_bytes = std::size_t{16} * 1024;

/// A body up to this size is accepted whatever the other requests have in memory.
constexpr std::size_t small_body_bytes = std::size_t{64} * 1024;

/// Buffer space for chunk headers in addition to a header of the largest size.
constexpr std::size_t buffer_slack_bytes = std::size_t{4} * 1024;

/// Bounds of the lingering close, which reads and drops the bytes that the caller still sends after its last
/// answer. To close a socket with unread bytes resets the connection, and the reset may destroy the answer
/// before the caller reads it.
constexpr std::chrono::milliseconds max_linger_time{1'000};
constexpr std::size_t max_linger_bytes = std::size_t{4} * 1024 * 1024;

/// Time limit in milliseconds for the first byte of a request once the server stops, in place of
/// server_limits::idle_timeout; applies to connections from the backlog.
constexpr duration stopping_idle_timeout{500};

/// A write first tries the socket directly, which saves a pass through the scheduler. After this many direct
/// writes the next one passes through the scheduler, so that a handler that never waits doesn't starve other
/// coroutines on its thread.
constexpr int max_direct_writes = 16;

/// Interval at which wait_closed() polls the socket while bytes of a pipelined request are unread. The socket
/// stays readable then, so waiting for readability can't report that the caller closed it.
constexpr std::chrono::milliseconds pipelined_poll_interval{50};

constexpr std::string_view continue_text = "HTTP/1.1 100 Continue\r\n\r\n";

// The coroutines here avoid two bugs of g++ 12. It drops the body of a coroutine that awaits in the condition
// of an if, switch or loop and declares no local variable, so each declares one in its outermost block. It
// evaluates the co_await of a loop condition such as `ok && co_await f()` even if ok is false, so loops await
// in their bodies.

/// Error answer to a request that is refused before the handler runs.
struct refusal {
    int status{0};
    std::string_view code;
    std::string reason;
};

class caller_connection final : public connection,
                                public exchange,
                                public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(std::unique_ptr<transport> stream, std::shared_ptr<server_state> state)
        : transport_(std::move(stream)), socket_(transport_->socket()), timer_(socket_),
          server_(std::move(state)), limits_(server_->limits()),
          buffer_(limits_.header_bytes + buffer_slack_bytes)
    {
        ++server_->open_connections;
    }

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection() override
    {
        count_body(0);
        server_->remove(this);
        --server_->open_connections;
    }

    void start() override;
    void stop() override;
    void close() override;

    const request& message() const override { return request_; }
    bool answered() const override { return answered_; }
    asio::awaitable<bool> respond(response answer) override;
    asio::awaitable<bool> begin_stream(int status, header_list headers) override;
    asio::awaitable<bool> write(std::string_view chunk) override;
    asio::awaitable<bool> finish() override;
    asio::awaitable<void> wait_closed() override;

private:
    using parser = beast::http::request_parser<growing_body>;

    static asio::awaitable<void> run(std::shared_ptr<caller_connection> self);
    asio::awaitable<bool> handshake();
    asio::awaitable<void> shut_down_transport();
    asio::awaitable<bool> read_request();
    asio::awaitable<bool> wait_for_request();
    asio::awaitable<bool> read_header();
    asio::awaitable<bool> read_body();
    asio::awaitable<bool> parse_more();
    asio::awaitable<bool> fill(std::size_t size);
    asio::awaitable<void> serve();
    asio::awaitable<void> refuse_request();
    asio::awaitable<void> linger();
    asio::awaitable<bool> send(output_buffers rest);

    bool fail(error_code ec);
    bool set_refusal(int status, std::string_view code, std::string reason);
    bool check_header();
    bool count_body(std::size_t size);
    void store_header();
    void expire_after(duration wait) { timer_.set(deadline_timer::after(wait), shared_from_this()); }
    bool caller_gone();
    bool has_unread_bytes();
    bool closes_with_listener();
    void reset_on_close();
    void close_socket();

    std::unique_ptr<transport> transport_;
    tcp::socket& socket_;
    deadline_timer timer_;
    std::shared_ptr<server_state> server_;
    server_limits limits_;
    beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    std::optional<refusal> refusal_;
    request request_;
    std::size_t counted_body_bytes_{0}; ///< in server_state::body_bytes
    int direct_writes_{0};
    unsigned version_{11};
    bool keep_alive_{false};
    bool idle_{false};
    bool answered_{false};        ///< an answer was begun
    bool answer_complete_{false}; ///< the whole answer was sent
    bool streaming_{false};       ///< between begin_stream() and finish()
    bool chunked_{false};         ///< the stream uses chunks (HTTP/1.1)
    bool broken_{false};          ///< a write failed or the connection was closed
};

void caller_connection::start()
{

    server_->add(shared_from_this());
    spawn_background(socket_.get_executor(), "caller_connection", run(shared_from_this()));
}

void caller_connection::stop()
{
    asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
        if (self->idle_ && peek_peer_state(self->socket_) != peer_state::data_pending)
            self->close_socket();
    });
}

void caller_connection::close()
{
    asio::dispatch(socket_.get_executor(), [self = shared_from_this()] { self->close_socket(); });
}

void caller_connection::close_socket()
{
    broken_ = true;
    timer_.stop();
    error_code ec;
    socket_.close(ec);
}

asio::awaitable<void> caller_connection::run(std::shared_ptr<caller_connection> self)
{
    bool next = co_await self->handshake();
    if (next)
        next = co_await self->read_request();
    while (next) {
        co_await self->serve();
        next = self->answer_complete_ && self->keep_alive_ && !self->closes_with_listener();
        if (next)
            next = co_await self->read_request();
    }
    if (self->refusal_)
        co_await self->refuse_request();
    if (!self->broken_ && !self->streaming_)
        co_await self->shut_down_transport();
    if (self->refusal_ || (self->answer_complete_ && self->has_unread_bytes()))
        co_await self->linger();
    if (self->streaming_ && !self->chunked_)
        self->reset_on_close();
    self->close_socket();
}

asio::awaitable<bool> caller_connection::handshake()
{
    expire_after(limits_.header_timeout);
    const auto ec = co_await transport_->handshake();
    timer_.clear();
    broken_ = ec || timer_.expired();
    co_return !broken_;
}

/// Bounded by max_linger_time, since the caller may never answer.
asio::awaitable<void> caller_connection::shut_down_transport()
{
    expire_after(max_linger_time);
    co_await transport_->shut_down();
    timer_.clear();
}

/// A stream to an HTTP/1.0 caller ends when its connection closes, so only a reset shows that it was cut.
void caller_connection::reset_on_close()
{
    error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
}

bool caller_connection::caller_gone()
{
    return broken_ || peek_peer_state(socket_) == peer_state::closed;
}

bool caller_connection::has_unread_bytes()
{
    return buffer_.size() > 0 || peek_peer_state(socket_) == peer_state::data_pending;
}

/// Once the server stops, a connection is closed after its answer, even if the header of the answer was sent
/// before the stop and promised to keep the connection. A request that has already arrived is still served.
bool caller_connection::closes_with_listener()
{
    return server_->stopping && !has_unread_bytes();
}

asio::awaitable<bool> caller_connection::read_request()
{
    bool ok = co_await wait_for_request();
    if (ok) {
        expire_after(limits_.header_timeout);
        ok = co_await read_header();
    }
    if (ok) {
        expire_after(limits_.body_timeout);
        ok = co_await read_body();
    }
    timer_.clear();
    co_return ok;
}

/// Waits for the first byte of the next request. If the connection fails or times out before, it is closed
/// without an answer.
asio::awaitable<bool> caller_connection::wait_for_request()
{
    parser_.reset();
    request_ = {};
    count_body(0);
    answered_ = answer_complete_ = streaming_ = false;
    if (buffer_.size() > 0)
        co_return true;
    if (buffer_.capacity() > first_read_bytes)
        buffer_ = beast::flat_buffer(buffer_.max_size());
    idle_ = true;
    limits_ = server_->limits();
    expire_after(server_->stopping ? stopping_idle_timeout : limits_.idle_timeout);
    const bool received = co_await fill(first_read_bytes);
    idle_ = false;
    refusal_.reset();
    co_return received;
}

asio::awaitable<bool> caller_connection::read_header()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
    bool ok = true;
    while (ok && !parser_->is_header_done())
        ok = co_await parse_more();
    if (!ok || !check_header())
        co_return false;
    store_header();
    co_return true;
}

asio::awaitable<bool> caller_connection::read_body()
{
    bool ok = true;
    if (!parser_->is_done()) {
        if (version_ == 11 && expects_continue(request_.headers) && buffer_.size() == 0)
            ok = co_await send(single_buffer(asio::buffer(continue_text)));
        buffer_.reserve(std::min(buffer_.max_size(), body_read_bytes));
        expire_after(limits_.body_timeout);
    }
    while (ok && !parser_->is_done()) {
        ok = co_await parse_more();
        if (ok && !count_body(parser_->get().body().size()))
            ok = set_refusal(503, "not_run", "too many requests in memory");
    }
    if (!ok) {
        // The connection may linger before it is closed.
        parser_.reset();
        count_body(0);
        co_return false;
    }
    request_.body = std::move(parser_->get().body());
    parser_.reset();
    co_return true;
}

/// Counts the body of this request among those of all requests. Returns false if it exceeds their bound.
bool caller_connection::count_body(std::size_t size)
{
    const std::size_t total = server_->body_bytes += size - counted_body_bytes_;
    counted_body_bytes_ = size;
    return size <= small_body_bytes || total <= limits_.total_body_bytes;
}

/// Parses the buffered bytes, and reads more if the parser needs them.
asio::awaitable<bool> caller_connection::parse_more()
{
    error_code ec = beast::http::error::need_more;
    if (buffer_.size() > 0) {
        ec = {};
        buffer_.consume(parser_->put(buffer_.data(), ec));
    }
    if (!ec)
        co_return true;
    if (ec != beast::http::error::need_more)
        co_return fail(ec);
    if (buffer_.size() == buffer_.max_size())
        co_return fail(beast::http::error::header_limit);
    co_return co_await fill(first_read_bytes);
}

asio::awaitable<bool> caller_connection::fill(std::size_t size)
{
    if (timer_.expired() || broken_)
        co_return fail(asio::error::timed_out);
    const auto free_size = buffer_.max_size() - buffer_.size();
    const auto n = std::min(free_size, std::max(size, buffer_.capacity() - buffer_.size()));
    const auto [ec, count] = co_await transport_->read_some(buffer_.prepare(n));
    buffer_.commit(count);
    if (timer_.expired())
        co_return fail(asio::error::timed_out);
    if (ec)
        co_return fail(ec);
    co_return true;
}

bool caller_connection::set_refusal(int status, std::string_view code, std::string reason)
{
    if (!refusal_)
        refusal_ = {status, code, std::move(reason)};
    return false;
}

bool caller_connection::fail(error_code ec)
{
    if (ec == beast::http::error::header_limit)
        return set_refusal(431, "too_large",
                           "header over " + std::to_string(limits_.header_bytes) + " bytes");
    if (ec == beast::http::error::body_limit)
        return set_refusal(413, "too_large", "body over " + std::to_string(limits_.body_bytes) + " bytes");
    if (ec == asio::error::timed_out && !broken_ && socket_.is_open())
        return set_refusal(408, "bad_request", "request not received in time");
    if (ec.category() == beast::http::make_error_code(beast::http::error::bad_method).category())
        return set_refusal(400, "bad_request", "malformed request: " + ec.message());
    broken_ = true;
    return false;
}

/// Checks rules of HTTP/1.1 that the parser doesn't enforce.
bool caller_connection::check_header()
{
    const auto& it = parser_->get();
    if (it.version() != 10 && it.version() != 11)
        return set_refusal(400, "bad_request", "unsupported HTTP version");
    if (it.version() == 11 && it.count(beast::http::field::host) != 1)
        return set_refusal(400, "bad_request", "exactly one Host header is required");
    if (it.count(beast::http::field::transfer_encoding) > 0 && !parser_->chunked())
        return set_refusal(400, "bad_request", "unsupported transfer coding");
    return true;
}

void caller_connection::store_header()
{
    const auto& it = parser_->get();
    request_.method = it.method_string();
    request_.target = it.target();
    for (const auto& field : it)
        request_.headers.push_back({field.name_string(), field.value()});
    version_ = it.version();
    keep_alive_ = it.keep_alive();
}

asio::awaitable<void> caller_connection::serve()
{
    ++server_->active_requests;
    std::string fault;
    try {
        co_await server_->handle(*this);
        if (!answered_ && !caller_gone())
            fault = "handler gave no answer";
    } catch (const std::exception& it) {
        fault = it.what();
    } catch (...) {
        fault = "unknown exception";
    }
    --server_->active_requests;
    if (fault.empty())
        co_return;
    log::error("handler_failed", {{"target", request_.target}, {"reason", fault}});
    if (answered_)
        co_return;
    auto answer = json_response(500, error_body("internal", "internal error", "unknown"));
    co_await respond(std::move(answer));
}

asio::awaitable<void> caller_connection::refuse_request()
{
    broken_ = false;
    keep_alive_ = false;
    answered_ = true;
    const auto body = error_body(refusal_->code, refusal_->reason, "no");
    auto answer = json_response(refusal_->status, {});
    if (refusal_->status == 503)
        answer.headers.push_back({"Retry-After", "1"});
    const auto head = format_answer_head(answer.status, answer.headers, {11, false, false, body.size()});
    const output_buffers buffers{asio::buffer(head), asio::buffer(body)};
    expire_after(limits_.write_timeout);
    co_await transport_->write_all(buffers);
    timer_.clear();
}

asio::awaitable<void> caller_connection::linger()
{
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    asio::steady_timer linger_timer(socket_.get_executor(), max_linger_time);
    linger_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec)
            self->close_socket();
    });
    std::string discarded(body_read_bytes, 0);
    for (std::size_t total = 0; total < max_linger_bytes;) {
        const auto [ec, n] = co_await socket_.async_read_some(asio::buffer(discarded), as_tuple_awaitable);
        if (ec)
            break;
        total += n;
    }
    linger_timer.cancel();
}

asio::awaitable<bool> caller_connection::send(output_buffers rest)
{
    if (broken_ || timer_.expired())
        co_return false;
    if (direct_writes_++ < max_direct_writes) {
        error_code ec;
        consume(rest, transport_->try_write(rest, ec));
        broken_ = ec && ec != asio::error::would_block;
    } else {
        direct_writes_ = 0;
    }
    if (broken_ || asio::buffer_size(rest) == 0)
        co_return !broken_;
    expire_after(limits_.write_timeout);
    const auto [ec, n] = co_await transport_->write_all(rest);
    timer_.clear();
    if (ec || timer_.expired())
        broken_ = true;
    co_return !broken_;
}

asio::awaitable<bool> caller_connection::respond(response answer)
{
    if (answered_)
        co_return false;
    keep_alive_ = keep_alive_ && !server_->stopping && !wants_close(answer.headers);
    const auto head =
        format_answer_head(answer.status, answer.headers, {version_, keep_alive_, false, answer.body.size()});
    answered_ = true;
    const bool bodiless = request_.method == "HEAD" || !status_has_body(answer.status);
    const output_buffers buffers{asio::buffer(head),
                                 bodiless ? asio::const_buffer() : asio::buffer(answer.body)};
    answer_complete_ = co_await send(buffers);
    co_return answer_complete_;
}

asio::awaitable<bool> caller_connection::begin_stream(int status, header_list headers)
{
    if (answered_)
        co_return false;
    chunked_ = version_ == 11;
    keep_alive_ = keep_alive_ && chunked_ && !server_->stopping && !wants_close(headers);
    const auto head = format_answer_head(status, headers, {version_, keep_alive_, chunked_, std::nullopt});
    answered_ = true;
    streaming_ = true;
    co_return co_await send(single_buffer(asio::buffer(head)));
}

asio::awaitable<bool> caller_connection::write(std::string_view chunk)
{
    const auto size = format_chunk_header(chunk.size());
    if (!streaming_)
        co_return false;
    if (chunk.empty() || request_.method == "HEAD")
        co_return !broken_;
    if (!chunked_)
        co_return co_await send(single_buffer(asio::buffer(chunk)));
    const output_buffers buffers{asio::buffer(size), asio::buffer(chunk), asio::buffer("\r\n", 2)};
    co_return co_await send(buffers);
}

asio::awaitable<bool> caller_connection::finish()
{
    if (!streaming_)
        co_return false;
    streaming_ = false;
    bool ok = !broken_;
    if (chunked_ && request_.method != "HEAD")
        ok = co_await send(single_buffer(asio::buffer("0\r\n\r\n", 5)));
    answer_complete_ = ok;
    co_return ok;
}

asio::awaitable<void> caller_connection::wait_closed()
{
    auto state = peer_state::idle;
    for (;;) {
        state = broken_ || timer_.expired() ? peer_state::closed : peek_peer_state(socket_);
        if (state == peer_state::closed)
            co_return;
        if (state == peer_state::data_pending) {
            asio::steady_timer timer(socket_.get_executor(), pipelined_poll_interval);
            co_await timer.async_wait(as_tuple_awaitable);
        } else {
            co_await socket_.async_wait(tcp::socket::wait_read, as_tuple_awaitable);
        }
        const auto cancelled = co_await asio::this_coro::cancellation_state;
        if (cancelled.cancelled() != asio::cancellation_type::none)
            co_return;
    }
}

} // namespace

std::shared_ptr<connection> make_connection(std::unique_ptr<transport> stream,
                                            std::shared_ptr<server_state> state)
{
    return std::make_shared<caller_connection>(std::move(stream), std::move(state));
}

} // namespace limpetlock::http
