#include "growing_body.hpp"
#include "message_text.hpp"
#include "pool.hpp"

#include <limpetlock/http/client.hpp>
#include <limpetlock/http/event_parser.hpp>
#include <limpetlock/support/run_on.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <stdexcept>
#include <utility>

namespace limpetlock::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

constexpr std::uint32_t max_header_bytes = 32 * 1024;
constexpr std::size_t buffer_bytes = max_header_bytes + 4 * 1024;

/// Read sizes: for a header or a streamed body, and for a body that is read as a whole.
constexpr std::size_t read_bytes = std::size_t{4} * 1024;
constexpr std::size_t body_read_bytes = std::size_t{32} * 1024;

/// A body up to this size is read whatever the other calls have in memory.
constexpr std::size_t small_body_bytes = std::size_t{64} * 1024;

/// Interim answers (1xx) that are accepted before the final answer.
constexpr int max_interim_answers = 8;

/// Answers rejected by the filter, such as those to earlier requests, that are dropped before the call fails.
constexpr int max_skipped_answers = 4;

std::string host_header(const address& to)
{
    const bool v6 = to.host.find(':') != std::string::npos;
    return (v6 ? '[' + to.host + ']' : to.host) + ':' + std::to_string(to.port);
}

/// True if this process closed the socket, during the operation or before it began.
bool closed_locally(const error_code& ec)
{
    return ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor;
}

errc to_errc(const error_code& ec)
{
    if (closed_locally(ec))
        return errc::cancelled;
    if (ec == asio::error::timed_out)
        return errc::timeout;
    return errc::closed;
}

// The coroutines here avoid two bugs of g++ 12. It drops the body of a coroutine that awaits in the condition
// of an if, switch or loop and declares no local variable, so each declares one in its outermost block. It
// evaluates the co_await of a loop condition such as `ok && co_await f()` even if ok is false, so loops await
// in their bodies.

/// One request on one connection and its answer. Runs on the strand of the connection. The destructor closes
/// the connection unless release() was called, which requires that the answer was read to its end.
class client_exchange {
public:
    client_exchange(std::shared_ptr<connection_pool> pool, connection_ptr connection, client_limits limits)
        : pool_(std::move(pool)), connection_(std::move(connection)), limits_(limits), buffer_(buffer_bytes)
    {
    }
    client_exchange(const client_exchange&) = delete;
    client_exchange& operator=(const client_exchange&) = delete;
    ~client_exchange()
    {
        if (connection_)
            connection_->post_close();
    }

    /// Connects if the connection is new, sends the request and reads the header of the answer.
    asio::awaitable<bool> start(std::string head, std::string body, time_point deadline);

    /// Reads the available bytes of the body and parses them.
    asio::awaitable<bool> read_more(time_point deadline);

    bool done() const { return parser_ && parser_->is_done(); }
    int status() const { return static_cast<int>(parser_->get().result_int()); }
    header_list headers() const;
    std::string& body() { return parser_->get().body(); }
    bool fail(errc code, std::string reason);

    /// Turns off the bound of the body, because the reader consumes the body as it arrives and bounds it
    /// itself.
    void set_streamed() { streamed_ = true; }

    void set_filter(answer_filter accept) { accept_ = std::move(accept); }

    /// Records that an operation of this exchange ended with an exception, and closes the connection.
    void abandon(errc code, std::string reason);

    /// Returns the connection to the pool, or closes it if it can't be used again. Requires done().
    void release();

    call_error error;
    bool pooled{false};
    asio::any_io_executor executor() const { return connection_->socket.get_executor(); }

    /// Returns a function for run_on() that closes the connection, which ends its pending operation.
    std::function<void()> canceller() const
    {
        return [connection = connection_] {
            if (connection)
                connection->close_on_strand();
        };
    }

private:
    using parser = beast::http::response_parser<growing_body>;

    asio::awaitable<bool> connect(time_point deadline);
    asio::awaitable<bool> send(std::string head, std::string body, time_point deadline);
    asio::awaitable<bool> read_header(time_point deadline);
    asio::awaitable<bool> read_final_header(time_point deadline);
    asio::awaitable<bool> discard_body(time_point deadline);
    asio::awaitable<bool> fill(time_point deadline);
    asio::awaitable<bool> parse_more(time_point deadline);
    bool parse();
    bool check_header();
    bool fail_read(const error_code& ec);
    bool complete_at_eof();

    std::shared_ptr<connection_pool> pool_;
    connection_ptr connection_;
    client_limits limits_;
    beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    answer_filter accept_;
    bool head_request_{false};
    bool streamed_{false};
    bool reusable_{true};
    bool upload_failed_{false}; ///< a part of the request could not be written
    bool need_more_{false};
};

bool client_exchange::fail(errc code, std::string reason)
{
    error.code = code;
    error.reason = std::move(reason);
    reusable_ = false;
    if (connection_)
        connection_->close_on_strand();
    return false;
}

void client_exchange::abandon(errc code, std::string reason)
{
    reusable_ = false;
    if (error.code != errc::none)
        return;
    error.code = code;
    error.reason = std::move(reason);
    if (connection_)
        connection_->post_close();
}

asio::awaitable<bool> client_exchange::start(std::string head, std::string body, time_point deadline)
{
    head_request_ = head.starts_with("HEAD ");
    bool ok = connection_->socket.is_open() || co_await connect(deadline);
    if (ok)
        ok = co_await send(std::move(head), std::move(body), deadline);
    if (ok)
        ok = co_await read_header(deadline);
    co_return ok;
}

asio::awaitable<bool> client_exchange::connect(time_point deadline)
{
    error_code ec;
    const auto ip = asio::ip::make_address(connection_->peer.host, ec);
    if (ec)
        co_return fail(errc::malformed, "not an IP address: " + connection_->peer.host);
    const auto expiry =
        std::min(deadline_timer::at(deadline), deadline_timer::after(limits_.connect_timeout));
    connection_->expire_at(expiry);
    const auto [failed] = co_await connection_->socket.async_connect(
        tcp::endpoint(ip, connection_->peer.port), as_tuple_awaitable);
    if (connection_->timer.expired() || failed == asio::error::timed_out)
        co_return fail(errc::timeout, "connection not established in time");
    if (failed == asio::error::operation_aborted)
        co_return fail(errc::cancelled, "cancelled while connecting");
    if (failed)
        co_return fail(errc::connection_refused, "can't connect: " + failed.message());
    connection_->timer.clear();
    connection_->socket.set_option(tcp::no_delay(true), ec);
    co_return true;
}

asio::awaitable<bool> client_exchange::send(std::string head, std::string body, time_point deadline)
{
    connection_->expire_at(deadline_timer::at(deadline));
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), asio::buffer(body)};
    // Set before the operation starts, so that it holds even if an exception ends the operation.
    error.sent = true;
    const auto [ec, n] = co_await asio::async_write(connection_->socket, buffers, as_tuple_awaitable);
    error.sent = n > 0;
    if (connection_->timer.expired())
        co_return fail(errc::timeout, "request not sent in time");
    if (closed_locally(ec))
        co_return fail(errc::cancelled, "cancelled while sending");
    if (!ec)
        co_return true;
    // The endpoint may have answered before it closed the connection, for example to refuse a large body.
    reusable_ = false;
    upload_failed_ = true;
    if (n > 0)
        co_return true;
    error.stale = pooled;
    co_return fail(errc::closed, "request not sent: " + ec.message());
}

asio::awaitable<bool> client_exchange::read_header(time_point deadline)
{
    bool ok = true;
    for (int n = 0; n <= max_skipped_answers; ++n) {
        ok = co_await read_final_header(deadline);
        if (!ok)
            co_return false;
        if (!accept_ || accept_(headers()))
            co_return check_header();
        ok = co_await discard_body(deadline);
        if (!ok)
            co_return false;
    }
    co_return fail(errc::malformed, "only answers to other requests");
}

/// Reads headers until that of a final answer (status 200 or above).
asio::awaitable<bool> client_exchange::read_final_header(time_point deadline)
{
    bool ok = true;
    for (int n = 0; n <= max_interim_answers; ++n) {
        parser_.emplace();
        parser_->header_limit(max_header_bytes);
        if (streamed_)
            parser_->body_limit(boost::none);
        else
            parser_->body_limit(limits_.body_bytes);
        parser_->skip(head_request_);
        while (ok && !parser_->is_header_done())
            ok = co_await parse_more(deadline);
        if (!ok)
            co_return false;
        if (status() < 100 || status() > 599)
            co_return fail(errc::malformed, "status out of range: " + std::to_string(status()));
        if (status() >= 200)
            co_return true;
        if (status() == 101)
            break;
    }
    co_return fail(errc::malformed, "no final answer");
}

asio::awaitable<bool> client_exchange::discard_body(time_point deadline)
{
    bool ok = !parser_->need_eof();
    if (!ok)
        co_return fail(errc::malformed, "answer to another request without an end");
    std::size_t n = 0;
    while (ok && !parser_->is_done()) {
        ok = co_await parse_more(deadline);
        n += parser_->get().body().size();
        parser_->get().body().clear();
        if (n > limits_.body_bytes)
            co_return fail(errc::too_large,
                           "answer to another request over " + std::to_string(limits_.body_bytes) + " bytes");
    }
    co_return ok;
}

/// An answer that ends when its connection closes is an error by default, because it can't be distinguished
/// from a cut one.
bool client_exchange::check_header()
{
    if (parser_->need_eof() && !parser_->is_done() && !limits_.accept_close_delimited)
        return fail(errc::malformed, "answer has neither length nor chunks");
    if (!parser_->keep_alive())
        reusable_ = false;
    return true;
}

asio::awaitable<bool> client_exchange::read_more(time_point deadline)
{
    co_return co_await parse_more(deadline);
}

asio::awaitable<bool> client_exchange::parse_more(time_point deadline)
{
    bool ok = true;
    if (need_more_ || buffer_.size() == 0)
        ok = co_await fill(deadline);
    co_return ok && (parser_->is_done() || parse());
}

bool client_exchange::parse()
{
    error_code ec;
    buffer_.consume(parser_->put(buffer_.data(), ec));
    need_more_ = ec == beast::http::error::need_more;
    if (!ec)
        return true;
    if (need_more_ && buffer_.size() < buffer_.max_size())
        return true;
    if (ec == beast::http::error::body_limit)
        return fail(errc::too_large, "body over " + std::to_string(limits_.body_bytes) + " bytes");
    if (need_more_ || ec == beast::http::error::header_limit)
        return fail(errc::too_large, "header over " + std::to_string(max_header_bytes) + " bytes");
    return fail(errc::malformed, "malformed answer: " + ec.message());
}

asio::awaitable<bool> client_exchange::fill(time_point deadline)
{
    connection_->expire_at(deadline_timer::at(deadline));
    const auto available = buffer_.max_size() - buffer_.size();
    const auto wanted_bytes = streamed_ || !parser_->is_header_done() ? read_bytes : body_read_bytes;
    const auto size = std::min(available, std::max(wanted_bytes, buffer_.capacity() - buffer_.size()));
    const auto [ec, n] =
        co_await connection_->socket.async_read_some(buffer_.prepare(size), as_tuple_awaitable);
    buffer_.commit(n);
    if (connection_->timer.expired())
        co_return fail(errc::timeout, "answer not received in time");
    if (ec == asio::error::eof && complete_at_eof())
        co_return true;
    if (ec)
        co_return fail_read(ec);
    co_return true;
}

/// Completes an answer that ends when its connection closes; false if the end of the connection cuts the
/// answer. After a failed write it may: the write took the error of a reset, and a read then returns the end
/// of the stream.
bool client_exchange::complete_at_eof()
{
    if (!parser_->is_header_done() || !parser_->need_eof() || upload_failed_)
        return false;
    error_code ec;
    parser_->put_eof(ec);
    reusable_ = false;
    return !ec;
}

bool client_exchange::fail_read(const error_code& ec)
{
    const bool answer_begun = parser_->got_some() || buffer_.size() > 0;
    if (ec != asio::error::eof)
        fail(to_errc(ec), "answer not received: " + ec.message());
    else
        fail(errc::closed,
             answer_begun ? "answer cut before its end" : "connection closed before the answer");
    error.answer_begun = answer_begun;
    error.stale = pooled && !answer_begun && error.code == errc::closed;
    return false;
}

header_list client_exchange::headers() const
{
    header_list result;
    for (const auto& it : parser_->get())
        result.push_back({it.name_string(), it.value()});
    return result;
}

void client_exchange::release()
{
    auto connection = std::exchange(connection_, nullptr);
    if (reusable_ && buffer_.size() == 0 && !connection->timer.expired())
        pool_->add_idle(std::move(connection));
    else
        connection->post_close();
}

using exchange_ptr = std::shared_ptr<client_exchange>;

/// Runs a coroutine of an exchange on the strand of its connection. If it throws, the exchange is abandoned
/// and the result is a value-initialized T.
template <typename T>
asio::awaitable<T> run_exchange(exchange_ptr it, asio::awaitable<T> work)
{
    try {
        auto cancel = it->canceller();
        co_return co_await run_on(it->executor(), std::move(work), std::move(cancel));
    } catch (const boost::system::system_error& failure) {
        const auto& ec = failure.code();
        it->abandon(to_errc(ec), ec == asio::error::operation_aborted ? "cancelled" : ec.message());
    } catch (const std::exception& failure) {
        // For example a length beyond the memory of the process.
        it->abandon(errc::malformed, std::string("answer can't be read: ") + failure.what());
    }
    co_return T();
}

/// Counts the body of one answer among those of all calls of the client.
class body_share {
public:
    explicit body_share(std::shared_ptr<std::atomic<std::size_t>> total) : total_(std::move(total)) {}
    body_share(const body_share&) = delete;
    body_share& operator=(const body_share&) = delete;
    ~body_share() { *total_ -= own_; }

    /// Sets the size of the body. Returns whether the body exceeds the bound of all of them.
    bool set(std::size_t n, std::size_t max_total)
    {
        const std::size_t total = *total_ += n - own_;
        own_ = n;
        return n > small_body_bytes && total > max_total;
    }

private:
    std::shared_ptr<std::atomic<std::size_t>> total_;
    std::size_t own_{0};
};

asio::awaitable<std::optional<response>> call_endpoint(exchange_ptr it, std::string head, std::string body,
                                                       time_point deadline, std::size_t max_total,
                                                       std::shared_ptr<std::atomic<std::size_t>> total)
{
    body_share share(std::move(total));
    bool ok = co_await it->start(std::move(head), std::move(body), deadline);
    while (ok && !it->done()) {
        ok = co_await it->read_more(deadline);
        if (ok && share.set(it->body().size(), max_total))
            ok =
                it->fail(errc::too_large, "bodies of all calls over " + std::to_string(max_total) + " bytes");
    }
    if (!ok)
        co_return std::nullopt;
    response result{it->status(), it->headers(), std::move(it->body())};
    it->release();
    co_return result;
}

class event_stream_impl final : public event_stream {
public:
    event_stream_impl(exchange_ptr source, std::size_t max_bytes)
        : exchange_(std::move(source)), status_(exchange_->status()), headers_(exchange_->headers()),
          events_(max_bytes), max_bytes_(max_bytes)
    {
    }

    int status() const override { return status_; }
    const header_list& headers() const override { return headers_; }
    const call_error& error() const override { return exchange_->error; }
    const std::string& event_name() const override { return event_name_; }
    asio::awaitable<std::optional<std::string>> next(time_point deadline) override;
    asio::awaitable<std::string> body(time_point deadline) override;

private:
    static asio::awaitable<void> read_event(event_stream_impl& self, time_point deadline);
    static asio::awaitable<void> read_rest(event_stream_impl& self, time_point deadline);
    bool failed() const { return exchange_->error.code != errc::none; }
    bool process_body();
    std::optional<std::string> pop();

    exchange_ptr exchange_;
    int status_;
    header_list headers_;
    event_parser events_;
    std::size_t max_bytes_;
    std::string event_name_;
    bool ended_{false};
};

std::optional<std::string> event_stream_impl::pop()
{
    auto it = events_.next();
    if (!it)
        return std::nullopt;
    event_name_ = std::move(it->name);
    return std::move(it->data);
}

/// Passes the new bytes of the body to the event parser. Releases the connection as soon as the last byte of
/// the answer was read, even if parsed events still wait.
bool event_stream_impl::process_body()
{
    if (status_ == 200) {
        const bool fits = events_.feed(exchange_->body());
        exchange_->body().clear();
        if (!fits)
            return exchange_->fail(errc::too_large, "event over " + std::to_string(max_bytes_) + " bytes");
    }
    if (exchange_->body().size() > max_bytes_)
        return exchange_->fail(errc::too_large, "body over " + std::to_string(max_bytes_) + " bytes");
    if (exchange_->done()) {
        ended_ = true;
        exchange_->release();
    }
    return true;
}

asio::awaitable<void> event_stream_impl::read_event(event_stream_impl& self, time_point deadline)
{
    if (self.status_ != 200) {
        self.exchange_->fail(errc::malformed, "answer is not a stream");
        co_return;
    }
    bool ok = true;
    while (ok && self.process_body() && !self.ended_ && self.events_.empty())
        ok = co_await self.exchange_->read_more(deadline);
}

asio::awaitable<void> event_stream_impl::read_rest(event_stream_impl& self, time_point deadline)
{
    bool ok = true;
    while (ok && self.process_body() && !self.ended_)
        ok = co_await self.exchange_->read_more(deadline);
}

asio::awaitable<std::optional<std::string>> event_stream_impl::next(time_point deadline)
{
    const bool readable = events_.empty() && !ended_ && !failed();
    if (readable) {
        auto work = read_event(*this, deadline);
        co_await run_exchange(exchange_, std::move(work));
    }
    co_return pop();
}

asio::awaitable<std::string> event_stream_impl::body(time_point deadline)
{
    const bool readable = !ended_ && !failed();
    if (readable) {
        auto work = read_rest(*this, deadline);
        co_await run_exchange(exchange_, std::move(work));
    }
    co_return std::move(exchange_->body());
}

class answer_reader_impl final : public answer_reader {
public:
    explicit answer_reader_impl(exchange_ptr source)
        : exchange_(std::move(source)), status_(exchange_->status()), headers_(exchange_->headers())
    {
    }

    int status() const override { return status_; }
    const header_list& headers() const override { return headers_; }
    const call_error& error() const override { return exchange_->error; }
    asio::awaitable<std::optional<std::string>> read(time_point deadline) override;

private:
    static asio::awaitable<void> read_body_part(answer_reader_impl& self, time_point deadline);

    exchange_ptr exchange_;
    int status_;
    header_list headers_;
    std::string bytes_;
    bool ended_{false};
};

asio::awaitable<void> answer_reader_impl::read_body_part(answer_reader_impl& self, time_point deadline)
{
    bool ok = true;
    while (ok && self.exchange_->body().empty() && !self.exchange_->done())
        ok = co_await self.exchange_->read_more(deadline);
    self.bytes_ = std::move(self.exchange_->body());
    self.exchange_->body().clear();
    if (ok && self.exchange_->done()) {
        self.ended_ = true;
        self.exchange_->release();
    }
}

asio::awaitable<std::optional<std::string>> answer_reader_impl::read(time_point deadline)
{
    const bool readable = !ended_ && exchange_->error.code == errc::none;
    bytes_.clear();
    if (readable) {
        auto work = read_body_part(*this, deadline);
        co_await run_exchange(exchange_, std::move(work));
    }
    if (bytes_.empty())
        co_return std::nullopt;
    co_return std::move(bytes_);
}

} // namespace

struct client::impl {
    impl(asio::any_io_executor executor, client_limits bounds)
        : limits(bounds), pool(std::make_shared<connection_pool>(std::move(executor), bounds))
    {
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl() { pool->close(); }

    exchange_ptr make_exchange(const address& to, const request& message, time_point deadline,
                               connection_policy policy, std::string& head, call_error& error) const;

    /// Closes the idle connections that may have gone silent with that of the call, which was sent at `sent`.
    void close_suspects(const client_exchange& call, const address& to, time_point sent) const
    {
        if (call.pooled && call.error.code == errc::timeout && !call.error.answer_begun)
            pool->close_idle(to, sent);
    }

    const client_limits limits;
    const std::shared_ptr<connection_pool> pool;
    const std::shared_ptr<std::atomic<std::size_t>> buffered_bytes{
        std::make_shared<std::atomic<std::size_t>>(0)};
};

/// Formats the request and selects a connection. Returns nullptr if the call fails before it needs one.
exchange_ptr client::impl::make_exchange(const address& to, const request& message, time_point deadline,
                                         connection_policy policy, std::string& head, call_error& error) const
{
    error = {};
    if (deadline <= boot_clock::now()) {
        error = {errc::timeout, "deadline passed before the call"};
        return nullptr;
    }
    try {
        head = format_request_head(message, host_header(to));
    } catch (const std::invalid_argument& it) {
        error = {errc::malformed, it.what()};
        return nullptr;
    }
    auto connection = policy == connection_policy::pooled ? pool->pop_idle(to) : nullptr;
    const bool pooled = connection != nullptr;
    if (!connection)
        connection = pool->create(to);
    auto it = std::make_shared<client_exchange>(pool, std::move(connection), limits);
    it->pooled = pooled;
    return it;
}

client::client(asio::any_io_executor executor, client_limits limits)
    : impl_(std::make_shared<impl>(std::move(executor), limits))
{
}

client::~client() = default;

asio::awaitable<std::optional<response>> client::call(address to, request message, time_point deadline,
                                                      connection_policy policy, call_error& error)
{
    const auto self = impl_;
    const time_point sent = boot_clock::now();
    std::string head;
    const auto it = self->make_exchange(to, message, deadline, policy, head, error);
    if (!it)
        co_return std::nullopt;
    auto work = call_endpoint(it, std::move(head), std::move(message.body), deadline,
                              self->limits.total_body_bytes, self->buffered_bytes);
    auto result = co_await run_exchange(it, std::move(work));
    self->close_suspects(*it, to, sent);
    error = it->error;
    co_return result;
}

asio::awaitable<std::unique_ptr<event_stream>> client::open_event_stream(address to, request message,
                                                                         time_point deadline,
                                                                         connection_policy policy,
                                                                         call_error& error)
{
    const auto self = impl_;
    const time_point sent = boot_clock::now();
    std::string head;
    const auto it = self->make_exchange(to, message, deadline, policy, head, error);
    if (!it)
        co_return nullptr;
    it->set_streamed();
    auto work = it->start(std::move(head), std::move(message.body), deadline);
    const bool started = co_await run_exchange(it, std::move(work));
    self->close_suspects(*it, to, sent);
    error = it->error;
    if (!started)
        co_return nullptr;
    co_return std::make_unique<event_stream_impl>(it, self->limits.body_bytes);
}

asio::awaitable<std::unique_ptr<answer_reader>> client::open_answer(address to, request message,
                                                                    time_point deadline,
                                                                    connection_policy policy,
                                                                    call_error& error, answer_filter accept)
{
    const auto self = impl_;
    const time_point sent = boot_clock::now();
    std::string head;
    const auto it = self->make_exchange(to, message, deadline, policy, head, error);
    if (!it)
        co_return nullptr;
    it->set_streamed();
    it->set_filter(std::move(accept));
    auto work = it->start(std::move(head), std::move(message.body), deadline);
    const bool started = co_await run_exchange(it, std::move(work));
    self->close_suspects(*it, to, sent);
    error = it->error;
    if (!started)
        co_return nullptr;
    co_return std::make_unique<answer_reader_impl>(it);
}

} // namespace limpetlock::http
