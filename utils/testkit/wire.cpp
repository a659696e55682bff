#include "testkit/wire.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <chrono>
#include <utility>

namespace limpetlock::testkit {

namespace net = boost::asio;
namespace bhttp = boost::beast::http;
using tcp = net::ip::tcp;

namespace {
constexpr auto as_tuple_awaitable = net::as_tuple(net::use_awaitable);
constexpr std::uint64_t body_limit_bytes = 8ULL * 1024 * 1024;
} // namespace

connection::connection(tcp::socket socket) : socket_(std::move(socket)), timer_(socket_.get_executor())
{
    boost::system::error_code ec;
    ec = socket_.set_option(tcp::no_delay(true), ec);
}

std::string_view connection::method() const
{
    const auto it = request_.method_string();
    return {it.data(), it.size()};
}

std::string connection::path() const
{
    const std::string target(request_.target());
    return target.substr(0, target.find('?'));
}

std::string_view connection::body() const
{
    return request_.body();
}

std::int64_t connection::query(std::string_view name, std::int64_t fallback) const
{
    const std::string target(request_.target());
    const auto question = target.find('?');
    if (question == std::string::npos)
        return fallback;
    const std::string text = "&" + target.substr(question + 1);
    const std::string wanted = fmt::format("&{}=", name);
    const auto at = text.find(wanted);
    if (at == std::string::npos)
        return fallback;
    std::int64_t value = fallback;
    std::from_chars(text.data() + at + wanted.size(), text.data() + text.size(), value);
    return value;
}

net::awaitable<bool> connection::respond(int status, const nlohmann::json& body)
{
    bhttp::response<bhttp::string_body> answer(static_cast<bhttp::status>(status), request_.version());
    answer.set(bhttp::field::content_type, "application/json");
    answer.keep_alive(request_.keep_alive());
    answer.body() = body.dump();
    answer.prepare_payload();
    const auto [ec, n] = co_await bhttp::async_write(socket_, answer, as_tuple_awaitable);
    co_return close_on_error(ec);
}

net::awaitable<bool> connection::begin_stream()
{
    bhttp::response<bhttp::empty_body> head(bhttp::status::ok, request_.version());
    head.set(bhttp::field::content_type, "text/event-stream");
    head.keep_alive(request_.keep_alive());
    head.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer(head);
    const auto [ec, n] = co_await bhttp::async_write_header(socket_, serializer, as_tuple_awaitable);
    co_return close_on_error(ec);
}

net::awaitable<bool> connection::write(std::string text)
{
    const auto [ec, n] =
        co_await net::async_write(socket_, bhttp::make_chunk(net::buffer(text)), as_tuple_awaitable);
    co_return close_on_error(ec);
}

net::awaitable<bool> connection::finish()
{
    const auto [ec, n] = co_await net::async_write(socket_, bhttp::make_chunk_last(), as_tuple_awaitable);
    co_return close_on_error(ec);
}

void connection::drop()
{
    boost::system::error_code ec;
    ec = socket_.close(ec);
    dropped_ = dropped_ || !closed_;
    closed_ = true;
}

bool connection::close_on_error(boost::system::error_code ec)
{
    if (!ec)
        return true;
    closed_ = true;
    drop();
    return false;
}

net::awaitable<void> connection::sleep(double ms)
{
    if (closed_)
        co_return;
    timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
    co_await timer_.async_wait(as_tuple_awaitable);
}

void connection::wake()
{
    timer_.cancel();
}

void connection::watch_for_close()
{
    if (std::exchange(watching_, true))
        return;
    auto self = shared_from_this();
    const auto loop = [self]() -> net::awaitable<void> { co_await self->watch_loop(); };
    net::co_spawn(socket_.get_executor(), loop, net::detached);
}

net::awaitable<void> connection::watch_loop()
{
    const auto [ec] = co_await socket_.async_wait(tcp::socket::wait_read, as_tuple_awaitable);
    if (!watching_ || ec == net::error::operation_aborted)
        co_return;
    std::array<char, 1> buf{};
    boost::system::error_code peeked;
    socket_.receive(net::buffer(buf), tcp::socket::message_peek, peeked);
    if (!ec && !peeked)
        co_return;
    closed_ = true;
    wake();
}

net::awaitable<bool> connection::read_request()
{
    bhttp::request_parser<bhttp::string_body> parser;
    parser.body_limit(body_limit_bytes);
    const auto [ec, n] = co_await bhttp::async_read(socket_, buffer_, parser, as_tuple_awaitable);
    if (ec)
        co_return false;
    request_ = parser.release();
    co_return true;
}

listener::listener(net::io_context& context, std::uint16_t port, connection_handler handle)
    : context_(context), acceptor_(context), port_holder_(context), handle_(std::move(handle)), port_(port)
{
    set_listening(true);
}

void listener::set_listening(bool on)
{
    if (on == acceptor_.is_open())
        return;
    const tcp::endpoint at(net::ip::make_address("127.0.0.1"), port_);
    if (!on) {
        acceptor_.close();
        // A socket that is bound but does not listen makes the system refuse connections, and keeps other
        // sockets from the port.
        port_holder_.open(at.protocol());
        port_holder_.set_option(tcp::acceptor::reuse_address(true));
        port_holder_.bind(at);
        return;
    }
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    port_holder_.close();
    port_ = acceptor_.local_endpoint().port();
    net::co_spawn(context_, accept_loop(), net::detached);
}

net::awaitable<void> listener::accept_loop()
{
    while (acceptor_.is_open()) {
        auto [ec, socket] = co_await acceptor_.async_accept(as_tuple_awaitable);
        if (ec == net::error::operation_aborted || ec == net::error::bad_descriptor)
            co_return;
        if (ec || close_on_accept)
            continue; // the destructor closes the socket
        net::co_spawn(context_, serve(std::make_shared<connection>(std::move(socket))), net::detached);
    }
}

net::awaitable<void> listener::serve(std::shared_ptr<connection> it)
{
    for (bool reused = false;; reused = true) {
        if (reused) {
            const auto [ec] = co_await it->socket_.async_wait(tcp::socket::wait_read, as_tuple_awaitable);
            if (ec || close_reused)
                co_return;
        }
        if (!co_await it->read_request())
            co_return;
        co_await handle_(*it);
        if (it->closed_ || !it->request_.keep_alive())
            co_return;
        if (std::exchange(it->watching_, false))
            it->socket_.cancel();
    }
}

nlohmann::json parse_body(const connection& it)
{
    return nlohmann::json::parse(it.body(), nullptr, false);
}

} // namespace limpetlock::testkit
