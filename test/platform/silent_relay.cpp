#include "silent_relay.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>
#include <utility>

namespace limpetlock::test {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

/// Two connected sockets. A silent link keeps both open and forwards nothing.
struct link {
    link(tcp::socket one, tcp::socket two) : caller(std::move(one)), target(std::move(two)) {}

    void close()
    {
        if (silent)
            return;
        boost::system::error_code ec;
        caller.close(ec);
        target.close(ec);
    }

    tcp::socket caller;
    tcp::socket target;
    bool silent{false};
};

using link_ptr = std::shared_ptr<link>;

awaitable<void> forward(link_ptr it, bool to_target)
{
    tcp::socket& from = to_target ? it->caller : it->target;
    tcp::socket& to = to_target ? it->target : it->caller;
    std::array<char, 16'384> buf{};
    for (;;) {
        auto [ec, n] = co_await from.async_read_some(asio::buffer(buf), as_tuple_awaitable);
        if (it->silent)
            co_return;
        if (!ec)
            std::tie(ec, n) = co_await asio::async_write(to, asio::buffer(buf, n), as_tuple_awaitable);
        if (!ec)
            continue;
        it->close();
        co_return;
    }
}

} // namespace

struct silent_relay::impl : std::enable_shared_from_this<impl> {
    impl(const asio::any_io_executor& executor, const std::string& its_address, std::uint16_t its_target)
        : acceptor(executor, tcp::endpoint(asio::ip::make_address(its_address), 0)),
          target(asio::ip::make_address(its_address), its_target)
    {
    }

    static awaitable<void> accept_loop(std::shared_ptr<impl> self)
    {
        for (;;) {
            auto [ec, socket] = co_await self->acceptor.async_accept(as_tuple_awaitable);
            if (ec)
                co_return;
            asio::co_spawn(self->acceptor.get_executor(), serve(self, std::move(socket)), asio::detached);
        }
    }

    static awaitable<void> serve(std::shared_ptr<impl> self, tcp::socket socket)
    {
        tcp::socket target_socket(socket.get_executor());
        auto [ec] = co_await target_socket.async_connect(self->target, as_tuple_awaitable);
        if (ec)
            co_return;
        const auto it = std::make_shared<link>(std::move(socket), std::move(target_socket));
        self->links.insert(it);
        asio::co_spawn(self->acceptor.get_executor(), forward(it, false), asio::detached);
        co_await forward(it, true);
        if (!it->silent)
            self->links.erase(it);
    }

    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::set<link_ptr> links;
};

silent_relay::silent_relay(const asio::any_io_executor& executor, const std::string& address,
                           std::uint16_t target)
    : impl_(std::make_shared<impl>(executor, address, target))
{
    asio::co_spawn(impl_->acceptor.get_executor(), impl::accept_loop(impl_), asio::detached);
}

silent_relay::~silent_relay()
{
    boost::system::error_code ec;
    impl_->acceptor.close(ec);
}

std::uint16_t silent_relay::port() const
{
    return impl_->acceptor.local_endpoint().port();
}

std::size_t silent_relay::silence()
{
    std::size_t n = 0;
    for (const auto& it : impl_->links)
        n += std::exchange(it->silent, true) ? 0 : 1;
    return n;
}

} // namespace limpetlock::test
