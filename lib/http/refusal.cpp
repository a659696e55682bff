#include "connection.hpp"
#include "message_text.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace limpetlock::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

/// Bounds of the lingering close, which reads and drops the caller's request. To close a socket with unread
/// bytes resets the connection, and the reset may destroy the answer before the caller reads it.
constexpr std::chrono::milliseconds max_refusal_linger_time{1'000};
constexpr std::size_t max_refusal_linger_bytes = std::size_t{64} * 1024;
constexpr std::size_t refusal_read_bytes = 1024;

} // namespace

std::string error_body(std::string_view code, std::string_view reason, std::string_view ran)
{
    const nlohmann::json body = {{"error", {{"code", code}, {"reason", reason}, {"ran", ran}}},
                                 {"request_id", ""}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

asio::awaitable<void> refuse_connection(tcp::socket accepted)
{
    // Shared with the handler of the timer, which may still be queued when this coroutine ends.
    const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
    const auto body = error_body("not_run", "too many connections", "no");
    auto answer = json_response(503, {});
    answer.headers.push_back({"Retry-After", "1"});
    const auto head = format_answer_head(answer.status, answer.headers, {11, false, false, body.size()});
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), asio::buffer(body)};
    asio::steady_timer timer(socket->get_executor(), max_refusal_linger_time);
    timer.async_wait([socket](error_code ec) {
        error_code ignored;
        if (!ec)
            socket->close(ignored);
    });
    co_await asio::async_write(*socket, buffers, as_tuple_awaitable);
    error_code ec;
    socket->shutdown(tcp::socket::shutdown_send, ec);
    std::string discarded(refusal_read_bytes, 0);
    for (std::size_t total = 0; !ec && total < max_refusal_linger_bytes;) {
        const auto [failed, n] =
            co_await socket->async_read_some(asio::buffer(discarded), as_tuple_awaitable);
        ec = failed;
        total += n;
    }
    timer.cancel();
}

} // namespace limpetlock::http
