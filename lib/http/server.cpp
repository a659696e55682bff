#include "connection.hpp"

#include <limpetlock/http/server.hpp>
#include <limpetlock/support/background.hpp>
#include <limpetlock/support/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace limpetlock::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

/// Pause after an accept that failed for lack of descriptors or memory, so that the loop isn't busy.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Connections beyond the bound that may be answered with 503 at the same time; further ones are closed
/// without an answer.
constexpr std::size_t max_refusals = 64;

bool is_resource_shortage(const boost::system::error_code& ec)
{
    return ec == asio::error::no_descriptors || ec == asio::error::no_buffer_space ||
           ec == asio::error::no_memory || ec == boost::system::errc::too_many_files_open_in_system;
}

} // namespace

void server_state::add(const std::shared_ptr<connection>& it)
{
    const std::lock_guard lock(mutex_);
    connections_.emplace(it.get(), it);
}

void server_state::remove(connection* it)
{
    const std::lock_guard lock(mutex_);
    connections_.erase(it);
}

server_limits server_state::limits() const
{
    const std::lock_guard lock(mutex_);
    return limits_;
}

void server_state::set_limits(const server_limits& bounds)
{
    const std::lock_guard lock(mutex_);
    limits_ = bounds;
}

std::vector<std::shared_ptr<connection>> server_state::connections() const
{
    std::vector<std::shared_ptr<connection>> result;
    const std::lock_guard lock(mutex_);
    for (const auto& [key, it] : connections_)
        if (auto alive = it.lock())
            result.push_back(std::move(alive));
    return result;
}

struct server::impl : std::enable_shared_from_this<server::impl> {
    impl(asio::any_io_executor context, server_limits limits, handler handle)
        : executor(std::move(context)), acceptor(asio::make_strand(executor)),
          state(std::make_shared<server_state>(limits, std::move(handle)))
    {
    }

    void listen(const std::string& address, std::uint16_t port_number);
    static asio::awaitable<void> accept_loop(std::shared_ptr<impl> self);
    void accept_backlog();
    void start_connection(tcp::socket socket);
    void stop();

    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    std::shared_ptr<server_state> state;
    std::unique_ptr<tls_context> tls;
    std::shared_ptr<std::atomic<std::size_t>> refusals{std::make_shared<std::atomic<std::size_t>>(0)};
    std::uint16_t port{0};
};

void server::impl::listen(const std::string& address, std::uint16_t port_number)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address), port_number);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
        acceptor.non_blocking(true);
        port = acceptor.local_endpoint().port();
    } catch (const boost::system::system_error& it) {
        throw std::runtime_error("can't listen on " + address + " port " + std::to_string(port_number) +
                                 ": " + it.code().message());
    }
}

void server::impl::start_connection(tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    if (state->open_connections.load() < state->limits().connections) {
        auto stream = tls ? tls->make_transport(std::move(socket)) : make_plain_transport(std::move(socket));
        make_connection(std::move(stream), state)->start();
        return;
    }
    if (tls || refusals->load() >= max_refusals)
        return;
    ++*refusals;
    const auto strand = socket.get_executor();
    asio::co_spawn(strand, refuse_connection(std::move(socket)),
                   [count = refusals](const std::exception_ptr&) { --*count; });
}

asio::awaitable<void> server::impl::accept_loop(std::shared_ptr<impl> self)
{
    asio::steady_timer timer(self->acceptor.get_executor());
    while (!self->state->stopping) {
        const asio::any_io_executor strand = asio::make_strand(self->executor);
        auto [ec, socket] = co_await self->acceptor.async_accept(strand, as_tuple_awaitable);
        if (!ec) {
            self->start_connection(std::move(socket));
            continue;
        }
        if (!is_resource_shortage(ec))
            continue;
        timer.expires_after(accept_retry_delay);
        co_await timer.async_wait(as_tuple_awaitable);
    }
    self->accept_backlog();
    boost::system::error_code ec;
    self->acceptor.close(ec);
}

/// Accepts the connections that the kernel has already established, because closing the listening socket
/// would reset them.
void server::impl::accept_backlog()
{
    for (;;) {
        boost::system::error_code ec;
        const asio::any_io_executor strand = asio::make_strand(executor);
        auto socket = acceptor.accept(strand, ec);
        if (ec)
            return;
        start_connection(std::move(socket));
    }
}

void server::impl::stop()
{
    if (state->stopping.exchange(true))
        return;
    asio::dispatch(acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->acceptor.cancel(ec);
    });
    for (const auto& it : state->connections())
        it->stop();
}

server::server(asio::any_io_executor executor, const std::string& address, std::uint16_t port,
               server_limits limits, handler handle, const std::optional<tls_files>& tls)
    : impl_(std::make_shared<impl>(std::move(executor), limits, std::move(handle)))
{
    if (tls)
        impl_->tls = std::make_unique<tls_context>(*tls);
    impl_->listen(address, port);
    spawn_loop(impl_->acceptor.get_executor(), "accept_loop", [it = impl_] { return impl::accept_loop(it); });
}

/// Cuts the requests still in progress: their sockets close, so wait_closed() completes and writes fail.
server::~server()
{
    impl_->stop();
    for (const auto& it : impl_->state->connections())
        it->close();
}

std::uint16_t server::port() const
{
    return impl_->port;
}

std::size_t server::active_requests() const
{
    return impl_->state->active_requests.load();
}

void server::set_limits(const server_limits& limits)
{
    impl_->state->set_limits(limits);
}

void server::stop_accepting()
{
    impl_->stop();
}

} // namespace limpetlock::http
