#include "transport.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace limpetlock::http {

namespace asio = boost::asio;
namespace ssl = asio::ssl;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

class plain_transport final : public transport {
public:
    explicit plain_transport(tcp::socket socket) : socket_(std::move(socket))
    {
        error_code ec;
        socket_.non_blocking(true, ec);
    }

    tcp::socket& socket() override { return socket_; }
    asio::awaitable<error_code> handshake() override { co_return error_code(); }
    asio::awaitable<io_result> read_some(asio::mutable_buffer to) override
    {
        return socket_.async_read_some(to, as_tuple_awaitable);
    }
    asio::awaitable<io_result> write_all(output_buffers from) override
    {
        return asio::async_write(socket_, from, as_tuple_awaitable);
    }
    std::size_t try_write(const output_buffers& from, error_code& ec) override
    {
        return socket_.write_some(from, ec);
    }
    asio::awaitable<void> shut_down() override { co_return; }

private:
    tcp::socket socket_;
};

class tls_transport final : public transport {
public:
    tls_transport(tcp::socket socket, ssl::context& context) : stream_(std::move(socket), context) {}

    tcp::socket& socket() override { return stream_.next_layer(); }

    asio::awaitable<error_code> handshake() override
    {
        const auto [ec] = co_await stream_.async_handshake(ssl::stream_base::server, as_tuple_awaitable);
        co_return ec;
    }

    asio::awaitable<io_result> read_some(asio::mutable_buffer to) override
    {
        return stream_.async_read_some(to, as_tuple_awaitable);
    }

    /// Joins the buffers, because the TLS stream would send each one as a record of its own.
    asio::awaitable<io_result> write_all(output_buffers from) override
    {
        std::string text;
        for (const auto& it : from)
            text.append(static_cast<const char*>(it.data()), it.size());
        const auto result = co_await asio::async_write(stream_, asio::buffer(text), as_tuple_awaitable);
        co_return result;
    }

    /// TLS always waits, because a record that the socket accepts only in part would be lost.
    std::size_t try_write(const output_buffers&, error_code&) override { return 0; }

    asio::awaitable<void> shut_down() override { co_await stream_.async_shutdown(as_tuple_awaitable); }

private:
    ssl::stream<tcp::socket> stream_;
};

void throw_if_unusable(const error_code& ec, const std::string& file)
{
    if (ec)
        throw std::runtime_error("can't use " + file + " for TLS: " + ec.message());
}

} // namespace

struct tls_context::impl {
    ssl::context context{ssl::context::tls_server};
};

output_buffers single_buffer(asio::const_buffer buffer)
{
    return {buffer};
}

void consume(output_buffers& buffers, std::size_t n)
{
    for (auto& it : buffers) {
        const auto taken = std::min(n, it.size());
        it += taken;
        n -= taken;
    }
}

std::unique_ptr<transport> make_plain_transport(tcp::socket socket)
{
    return std::make_unique<plain_transport>(std::move(socket));
}

tls_context::tls_context(const tls_files& files) : impl_(std::make_unique<impl>())
{
    auto& it = impl_->context;
    it.set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
    error_code ec;
    it.use_certificate_chain_file(files.certificate, ec);
    throw_if_unusable(ec, files.certificate);
    it.use_private_key_file(files.key, ssl::context::pem, ec);
    throw_if_unusable(ec, files.key);
}

tls_context::~tls_context() = default;

std::unique_ptr<transport> tls_context::make_transport(tcp::socket socket)
{
    return std::make_unique<tls_transport>(std::move(socket), impl_->context);
}

} // namespace limpetlock::http
