#include <limpetlock/peer/generated/peer_types.h>
#include <limpetlock/peer/messenger.hpp>
#include <limpetlock/support/background.hpp>
#include <limpetlock/support/run_on.hpp>
#include <limpetlock/support/scope_exit.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

namespace limpetlock::peer {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;
constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

namespace {

constexpr std::size_t max_inbound_connections = 1024;
constexpr std::size_t max_queued_frames = 1024; // of one connection
constexpr duration connect_timeout{500};        // ms

/// When a call times out and nothing arrived on its connection for this long, the connection is closed:
/// the peer may have become unreachable without a reset, and a new connection may work.
constexpr duration silent_connection_timeout{400}; // ms

/// Bytes on connections from which nothing arrived for this long don't count as waiting for the network: the
/// peer may be gone.
constexpr duration progress_timeout{2'000}; // ms

/// A connected socket with a queue of encoded frames, which write_loop() sends in order.
struct peer_connection {
    explicit peer_connection(tcp::socket it) : socket(std::move(it)), output_ready(socket.get_executor()) {}

    void close()
    {
        error_code ec;
        socket.close(ec);
        output_ready.cancel();
        closed = true;
    }

    /// Bytes that the peer has not acknowledged and those that were not given to the kernel yet.
    std::size_t waiting_bytes()
    {
        int unsent = 0;
        if (closed || ::ioctl(socket.native_handle(), SIOCOUTQ, &unsent) != 0)
            return 0;
        std::size_t out = static_cast<std::size_t>(std::max(0, unsent));
        for (const auto& it : outgoing)
            out += it.size();
        return out;
    }

    /// Whether bytes arrived that were not read yet.
    bool has_unread_bytes()
    {
        int n = 0;
        return !closed && ::ioctl(socket.native_handle(), FIONREAD, &n) == 0 && n > 0;
    }

    tcp::socket socket;
    asio::steady_timer output_ready; ///< cancelled when outgoing grows or closed is set
    std::deque<std::string> outgoing;
    time_point last_received{};
    bool closed{false};
};

using connection_ptr = std::shared_ptr<peer_connection>;

/// A call that waits for its reply. Used on the strand of the messenger.
struct pending_call {
    explicit pending_call(const asio::any_io_executor& executor) : completion(executor) {}

    asio::steady_timer completion; ///< expires at the deadline; cancelled when the call ends earlier
    std::optional<wire::frame> reply;
    bool connection_lost{false};
};

/// Cancels a call on behalf of its caller. Used on the strand of the messenger.
struct call_cancellation {
    void cancel()
    {
        cancelled = true;
        if (call)
            call->completion.cancel();
    }

    std::shared_ptr<pending_call> call; ///< null before the request is queued
    bool cancelled{false};
};

/// A peer that this instance can call.
struct peer_entry {
    address remote_address;
    connection_ptr connection;
    std::map<std::int64_t, std::shared_ptr<pending_call>> pending_calls; ///< by correlation
};

duration remaining(time_point deadline)
{
    return deadline - boot_clock::now();
}

/// Reads a frame without its prefix. Returns nullopt if the connection fails, and an empty string if the
/// prefix is invalid.
awaitable<std::optional<std::string>> read_frame(tcp::socket& socket)
{
    std::array<unsigned char, length_prefix_bytes> prefix{};
    auto [head_ec, head_n] = co_await asio::async_read(socket, asio::buffer(prefix), as_tuple_awaitable);
    if (head_ec)
        co_return std::nullopt;
    const auto n = frame_length(prefix);
    if (!n)
        co_return std::string();
    std::string body(*n, '\0');
    auto [ec, got] = co_await asio::async_read(socket, asio::buffer(body), as_tuple_awaitable);
    if (ec)
        co_return std::nullopt;
    co_return body;
}

/// Sends queued frames until the connection is closed.
awaitable<void> write_loop(connection_ptr connection)
{
    const scope_exit close([&connection] { connection->close(); });
    while (!connection->closed) {
        if (connection->outgoing.empty()) {
            connection->output_ready.expires_at(asio::steady_timer::time_point::max());
            co_await connection->output_ready.async_wait(as_tuple_awaitable);
            continue;
        }
        const std::string bytes = std::move(connection->outgoing.front());
        connection->outgoing.pop_front();
        auto [ec, n] =
            co_await asio::async_write(connection->socket, asio::buffer(bytes), as_tuple_awaitable);
        if (ec)
            connection->close();
    }
}

} // namespace

struct messenger::impl : std::enable_shared_from_this<impl> {
    impl(const asio::any_io_executor& executor, std::string own_name, std::int64_t own_incarnation,
         message_handler on_frame)
        : strand(asio::make_strand(executor)), acceptor(strand), name(std::move(own_name)),
          incarnation(own_incarnation), handle(std::move(on_frame))
    {
    }

    void listen(const address& where)
    {
        error_code ec;
        const auto ip = asio::ip::make_address(where.host, ec);
        if (ec)
            throw std::runtime_error(fmt::format("peer listener: '{}' is not an IP address", where.host));
        try {
            const tcp::endpoint local(ip, where.port);
            acceptor.open(local.protocol());
            acceptor.set_option(asio::socket_base::reuse_address(true));
            acceptor.bind(local);
            acceptor.listen();
        } catch (const std::exception& it) {
            throw std::runtime_error(
                fmt::format("peer listener {}:{}: {}", where.host, where.port, it.what()));
        }
        bound_port = acceptor.local_endpoint().port();
    }

    awaitable<void> accept_loop()
    {
        while (!stopped) {
            auto [ec, socket] = co_await acceptor.async_accept(as_tuple_awaitable);
            if (ec == asio::error::operation_aborted || stopped)
                co_return;
            if (ec || inbound_connections.size() >= max_inbound_connections)
                continue;
            socket.set_option(tcp::no_delay(true), ec);
            auto connection = std::make_shared<peer_connection>(std::move(socket));
            inbound_connections.push_back(connection);
            spawn_background(strand, "peer_connection", serve_connection(shared_from_this(), connection));
            spawn_background(strand, "peer_writes", write_loop(connection));
        }
    }

    static awaitable<void> serve_connection(std::shared_ptr<impl> self, connection_ptr connection)
    {
        const scope_exit close([&self, &connection] {
            connection->close();
            std::erase(self->inbound_connections, connection);
        });
        while (!connection->closed) {
            auto bytes = co_await read_frame(connection->socket);
            if (!bytes)
                break;
            connection->last_received = boot_clock::now();
            auto message = self->decode_and_count(*bytes);
            if (!message)
                break;
            if (!self->accept_incarnation(*message))
                continue;
            spawn_background(self->strand, "peer_message",
                             self->handle_message(self, connection, std::move(*message)));
        }
    }

    awaitable<void> handle_message(std::shared_ptr<impl> self, connection_ptr connection, wire::frame message)
    {
        const std::int64_t correlation = message.correlation;
        auto reply = co_await self->handle(std::move(message));
        if (reply)
            self->enqueue(connection, std::move(*reply), correlation);
    }

    /// Decodes and counts a frame. After nullopt the connection must be closed, because the start of the next
    /// frame is unknown.
    std::optional<wire::frame> decode_and_count(const std::string& bytes)
    {
        codec_error error;
        auto message = bytes.empty() ? std::nullopt : decode(bytes, error);
        const std::lock_guard lock(mutex);
        if (!message) {
            ++counters.malformed;
            return std::nullopt;
        }
        ++counters.frames_received;
        counters.bytes_received += bytes.size() + length_prefix_bytes;
        return message;
    }

    /// Records the incarnation of a frame. Returns false if it is lower than the sender's highest.
    bool accept_incarnation(const wire::frame& message)
    {
        const std::lock_guard lock(mutex);
        std::int64_t& highest = highest_incarnations[message.sender];
        if (message.incarnation < highest) {
            ++counters.old_incarnation;
            return false;
        }
        highest = message.incarnation;
        return true;
    }

    /// Queues a frame for sending. Returns false if the connection is closed or its queue is full.
    bool enqueue(const connection_ptr& connection, wire::frame message, std::int64_t correlation)
    {
        if (connection->closed || connection->outgoing.size() >= max_queued_frames)
            return false;
        message.sender = name;
        message.incarnation = incarnation;
        message.correlation = correlation;
        connection->outgoing.push_back(encode(message));
        {
            const std::lock_guard lock(mutex);
            ++counters.frames_sent;
            counters.bytes_sent += connection->outgoing.back().size();
        }
        connection->output_ready.cancel();
        return true;
    }

    /// Returns the open connection to a peer, or establishes one. Returns null without an error if the peer's
    /// address changed in the meantime.
    awaitable<connection_ptr> connect(std::string to, time_point deadline, call_error& error)
    {
        const auto found = peers.find(to);
        if (found == peers.end()) {
            error = {errc::unknown_peer, fmt::format("no instance '{}' in the list", to), false};
            co_return nullptr;
        }
        if (found->second.connection && !found->second.connection->closed)
            co_return found->second.connection;
        const address where = found->second.remote_address;
        error_code parse_ec;
        const auto ip = asio::ip::make_address(where.host, parse_ec);
        tcp::socket socket(strand);
        asio::steady_timer timer(strand);
        timer.expires_after(std::min(connect_timeout, std::max(duration{1}, remaining(deadline))));
        using namespace asio::experimental::awaitable_operators;
        auto result = co_await (socket.async_connect(tcp::endpoint(ip, where.port), as_tuple_awaitable) ||
                                timer.async_wait(as_tuple_awaitable));
        if (result.index() == 1) {
            error = {errc::timeout, fmt::format("no connection to {} in time", to), false};
            co_return nullptr;
        }
        if (const auto ec = std::get<0>(std::get<0>(result)); ec) {
            error = {errc::connection_refused, fmt::format("connection to {}: {}", to, ec.message()), false};
            co_return nullptr;
        }
        co_return register_connection(to, where, std::move(socket));
    }

    /// Makes a new socket the connection to a peer. If another call connected in the meantime, its connection
    /// is returned. Returns null if the peer was removed or has another address now.
    connection_ptr register_connection(const std::string& to, const address& where, tcp::socket socket)
    {
        const auto found = peers.find(to);
        if (found == peers.end() || found->second.remote_address != where)
            return nullptr;
        if (found->second.connection && !found->second.connection->closed)
            return found->second.connection;
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        auto connection = std::make_shared<peer_connection>(std::move(socket));
        found->second.connection = connection;
        spawn_background(strand, "peer_replies", read_replies(shared_from_this(), to, connection));
        spawn_background(strand, "peer_writes", write_loop(connection));
        return connection;
    }

    /// Reads replies until the connection fails, and completes their calls.
    static awaitable<void> read_replies(std::shared_ptr<impl> self, std::string to, connection_ptr connection)
    {
        const scope_exit close([&self, &to, &connection] {
            connection->close();
            self->fail_pending_calls(to, connection);
        });
        while (!connection->closed) {
            auto bytes = co_await read_frame(connection->socket);
            if (!bytes)
                break;
            connection->last_received = boot_clock::now();
            auto message = self->decode_and_count(*bytes);
            if (!message)
                break;
            if (self->accept_incarnation(*message))
                self->complete_call(to, std::move(*message));
        }
    }

    void complete_call(const std::string& to, wire::frame message)
    {
        const auto found = peers.find(to);
        if (found == peers.end())
            return;
        const auto it = found->second.pending_calls.find(message.correlation);
        if (it == found->second.pending_calls.end()) {
            const std::lock_guard lock(mutex);
            ++counters.late_replies;
            return;
        }
        it->second->reply = std::move(message);
        it->second->completion.cancel();
        found->second.pending_calls.erase(it);
    }

    void fail_pending_calls(const std::string& to, const connection_ptr& connection)
    {
        const auto found = peers.find(to);
        if (found == peers.end() || found->second.connection != connection)
            return;
        found->second.connection = nullptr;
        fail_calls(found->second);
    }

    static void fail_calls(peer_entry& peer)
    {
        for (auto& [correlation, it] : peer.pending_calls) {
            it->connection_lost = true;
            it->completion.cancel();
        }
        peer.pending_calls.clear();
    }

    awaitable<std::optional<wire::frame>> call(std::string to, wire::frame message, call_limits limits,
                                               call_error& error,
                                               std::shared_ptr<call_cancellation> cancellation)
    {
        const time_point deadline = limits.deadline;
        const auto connection = co_await connect(to, deadline, error);
        if (!connection) {
            if (error.code == errc::none)
                error = {errc::closed, fmt::format("address of {} changed", to), false};
            co_return std::nullopt;
        }
        const auto found = peers.find(to);
        if (found == peers.end() || remaining(deadline) <= duration{0}) {
            error = {errc::not_sent, "deadline passed before sending", false};
            co_return std::nullopt;
        }
        const std::int64_t correlation = ++last_correlation;
        const auto it = std::make_shared<pending_call>(strand);
        found->second.pending_calls.emplace(correlation, it);
        if (!enqueue(connection, std::move(message), correlation)) {
            found->second.pending_calls.erase(correlation);
            error = {errc::closed, fmt::format("connection to {} closed", to), false};
            co_return std::nullopt;
        }
        const time_point sent_at = boot_clock::now();
        cancellation->call = it;
        const auto ended = [&it, &cancellation] {
            return it->reply || it->connection_lost || cancellation->cancelled;
        };
        time_point heard_at = sent_at;
        while (!ended()) {
            const time_point now = boot_clock::now();
            heard_at = connection->has_unread_bytes() ? now : std::max(heard_at, connection->last_received);
            const duration wait = std::min(remaining(deadline), limits.max_silence - (now - heard_at));
            if (wait <= duration{0})
                break;
            it->completion.expires_after(wait);
            co_await it->completion.async_wait(as_tuple_awaitable);
        }
        if (it->reply)
            co_return std::move(it->reply);
        if (const auto listed = peers.find(to); listed != peers.end())
            listed->second.pending_calls.erase(correlation);
        if (it->connection_lost) {
            error = {errc::closed, fmt::format("connection to {} lost", to), true};
            co_return std::nullopt;
        }
        // In a process that is late, the timer may be handled before a reply that arrived in time.
        const bool unread = connection->has_unread_bytes();
        const duration silence = boot_clock::now() - std::max(connection->last_received, sent_at);
        error = {errc::timeout, fmt::format("no reply from {} in time", to), true,
                 unread || (connection->last_received >= sent_at && silence < limits.max_silence)};
        if (!unread && !cancellation->cancelled && silence >= silent_connection_timeout)
            connection->close();
        co_return std::nullopt;
    }

    void measure_waiting_bytes()
    {
        const time_point now = boot_clock::now();
        std::size_t n = 0;
        const auto add = [&n, now](const connection_ptr& it) {
            if (it && now - it->last_received < progress_timeout)
                n += it->waiting_bytes();
        };
        for (const auto& it : inbound_connections)
            add(it);
        for (const auto& [to, it] : peers)
            add(it.connection);
        const std::lock_guard lock(mutex);
        counters.waiting_bytes = n;
    }

    void set_peers(std::map<std::string, address> table)
    {
        for (auto it = peers.begin(); it != peers.end();) {
            const auto found = table.find(it->first);
            if (found != table.end() && found->second == it->second.remote_address) {
                ++it;
                continue;
            }
            if (it->second.connection)
                it->second.connection->close();
            fail_calls(it->second);
            it = peers.erase(it);
        }
        for (auto& [to, where] : table)
            peers.try_emplace(to, peer_entry{std::move(where), nullptr, {}});
    }

    void stop()
    {
        stopped = true;
        error_code ec;
        acceptor.close(ec);
        for (auto& it : inbound_connections)
            it->close();
        set_peers({});
    }

    asio::strand<asio::any_io_executor> strand;
    tcp::acceptor acceptor;
    std::string name;
    std::int64_t incarnation;
    message_handler handle;
    std::uint16_t bound_port{0};
    bool stopped{false};
    std::vector<connection_ptr> inbound_connections;
    std::map<std::string, peer_entry> peers;
    std::int64_t last_correlation{0};
    mutable std::mutex mutex;
    messenger_counters counters;
    std::map<std::string, std::int64_t> highest_incarnations;
};

messenger::messenger(const asio::any_io_executor& executor, std::string name, std::int64_t incarnation,
                     const address& listen, message_handler handle)
    : impl_(std::make_shared<impl>(executor, std::move(name), incarnation, std::move(handle)))
{
    impl_->listen(listen);
    spawn_loop(impl_->strand, "peer_accept_loop", [it = impl_] { return it->accept_loop(); });
}

messenger::~messenger()
{
    stop();
}

std::uint16_t messenger::port() const
{
    return impl_->bound_port;
}

void messenger::set_peers(std::map<std::string, address> peers)
{
    asio::post(impl_->strand,
               [it = impl_, table = std::move(peers)]() mutable { it->set_peers(std::move(table)); });
}

void messenger::add_peer(std::string name, address where)
{
    asio::post(impl_->strand, [it = impl_, name = std::move(name), where = std::move(where)]() mutable {
        it->peers.try_emplace(std::move(name), peer_entry{std::move(where), nullptr, {}});
    });
}

awaitable<std::optional<wire::frame>> messenger::call(std::string to, wire::frame message, call_limits limits,
                                                      call_error& error)
{
    const auto cancellation = std::make_shared<call_cancellation>();
    auto work = impl_->call(std::move(to), std::move(message), limits, error, cancellation);
    // g++ 12 destroys a closure twice that is converted within a co_await expression.
    std::function<void()> cancel_call = [cancellation] { cancellation->cancel(); };
    co_return co_await run_on(impl_->strand, std::move(work), std::move(cancel_call));
}

awaitable<std::optional<wire::frame>> messenger::call(std::string to, wire::frame message,
                                                      time_point deadline, call_error& error)
{
    return call(std::move(to), std::move(message), call_limits{deadline}, error);
}

messenger_counters messenger::counters() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->counters;
}

void messenger::measure_waiting_bytes()
{
    asio::post(impl_->strand, [it = impl_] { it->measure_waiting_bytes(); });
}

std::map<std::string, std::int64_t> messenger::incarnations() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->highest_incarnations;
}

void messenger::stop()
{
    asio::post(impl_->strand, [it = impl_] { it->stop(); });
}

} // namespace limpetlock::peer
