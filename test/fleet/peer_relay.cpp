#include "peer_relay.hpp"

#include <limpetlock/peer/codec.hpp>
#include <limpetlock/peer/generated/peer_types.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace limpetlock::test {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

struct link {
    link(tcp::socket one, tcp::socket two) : caller(std::move(one)), target(std::move(two)) {}

    void close()
    {
        boost::system::error_code ec;
        caller.close(ec);
        target.close(ec);
    }

    tcp::socket caller;
    tcp::socket target;
    std::string caller_name; ///< Empty until the first frame from the caller.
};

} // namespace

struct peer_relay::impl : std::enable_shared_from_this<impl> {
    impl(asio::io_context& it, const std::string& its_address)
        : context(it), address(asio::ip::make_address(its_address))
    {
    }

    bool is_partitioned(const std::string& one, const std::string& two)
    {
        const std::lock_guard lock(mutex);
        return partitioned_pairs.contains({one, two}) || partitioned_pairs.contains({two, one});
    }

    awaitable<void> accept_loop(std::shared_ptr<impl> self, std::shared_ptr<tcp::acceptor> acceptor,
                                std::string target, std::uint16_t port)
    {
        while (true) {
            const auto strand = asio::make_strand(context);
            auto [ec, socket] = co_await acceptor->async_accept(strand, as_tuple_awaitable);
            if (ec)
                co_return;
            asio::co_spawn(strand, relay_connection(self, std::move(socket), target, port), asio::detached);
        }
    }

    awaitable<void> relay_connection(std::shared_ptr<impl> self, tcp::socket socket, std::string target,
                                     std::uint16_t port)
    {
        tcp::socket target_socket(socket.get_executor());
        const tcp::endpoint to(address, port);
        auto [ec] = co_await target_socket.async_connect(to, as_tuple_awaitable);
        if (ec)
            co_return;
        auto it = std::make_shared<link>(std::move(socket), std::move(target_socket));
        asio::co_spawn(it->caller.get_executor(), forward_frames(self, it, target, false), asio::detached);
        co_await forward_frames(self, it, target, true);
    }

    /// Forwards frames in one direction until an end closes the link or a partition separates the instances.
    awaitable<void> forward_frames([[maybe_unused]] std::shared_ptr<impl> self, std::shared_ptr<link> it,
                                   std::string target, bool to_target)
    {
        tcp::socket& from = to_target ? it->caller : it->target;
        tcp::socket& to = to_target ? it->target : it->caller;
        while (true) {
            std::array<unsigned char, peer::length_prefix_bytes> prefix{};
            auto [head_ec, head_n] =
                co_await asio::async_read(from, asio::buffer(prefix), as_tuple_awaitable);
            const auto n = head_ec ? std::nullopt : peer::frame_length(prefix);
            if (!n)
                break;
            std::string bytes(prefix.begin(), prefix.end());
            bytes.resize(prefix.size() + *n);
            auto [ec, got] = co_await asio::async_read(from, asio::buffer(bytes.data() + prefix.size(), *n),
                                                       as_tuple_awaitable);
            if (ec)
                break;
            if (to_target && it->caller_name.empty())
                it->caller_name = sender_of(bytes);
            if (is_partitioned(it->caller_name, target))
                break;
            auto [write_ec, written] =
                co_await asio::async_write(to, asio::buffer(bytes), as_tuple_awaitable);
            if (write_ec)
                break;
        }
        it->close();
    }

    static std::string sender_of(const std::string& bytes)
    {
        peer::codec_error error;
        const auto frame = peer::decode(std::string_view(bytes).substr(peer::length_prefix_bytes), error);
        return frame ? frame->sender : std::string("?");
    }

    asio::io_context& context;
    asio::ip::address address;
    std::mutex mutex;
    std::set<std::pair<std::string, std::string>> partitioned_pairs;
    std::vector<std::shared_ptr<tcp::acceptor>> acceptors;
};

peer_relay::peer_relay(asio::io_context& context, const std::string& address)
    : impl_(std::make_shared<impl>(context, address))
{
}

peer_relay::~peer_relay() = default;

std::uint16_t peer_relay::add(const std::string& target, std::uint16_t target_port)
{
    auto acceptor =
        std::make_shared<tcp::acceptor>(asio::make_strand(impl_->context), tcp::endpoint(impl_->address, 0));
    impl_->acceptors.push_back(acceptor);
    const std::uint16_t port = acceptor->local_endpoint().port();
    asio::co_spawn(acceptor->get_executor(), impl_->accept_loop(impl_, acceptor, target, target_port),
                   asio::detached);
    return port;
}

void peer_relay::partition(const std::vector<std::string>& one_side,
                           const std::vector<std::string>& other_side)
{
    const std::lock_guard lock(impl_->mutex);
    for (const auto& one : one_side)
        for (const auto& two : other_side)
            impl_->partitioned_pairs.emplace(one, two);
}

void peer_relay::heal_partitions()
{
    const std::lock_guard lock(impl_->mutex);
    impl_->partitioned_pairs.clear();
}

} // namespace limpetlock::test
