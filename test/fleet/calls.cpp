#include "calls.hpp"

#include <utility>

namespace limpetlock::test {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

void record_event(streamed_answer& out, const std::string& data)
{
    const auto it = json::parse(data, nullptr, false);
    if (it.contains("index")) {
        out.positions.push_back(it["index"].get<std::int64_t>());
        out.tokens.push_back(it["text"].get<std::string>());
    } else if (it.contains("error")) {
        out.error = it["error"]["code"].get<std::string>();
    } else if (it.contains("tokens")) {
        out.done = true;
    }
}

} // namespace

asio::awaitable<answer> send_request(http::client& client, http::address to, http::request message,
                                     duration timeout)
{
    http::call_error error;
    const auto reply =
        co_await client.call(to, message, boot_clock::now() + timeout, http::connection_policy::fresh, error);
    answer out;
    if (reply) {
        out.status = reply->status;
        out.body = reply->body;
    } else {
        out.failure = error.reason;
    }
    co_return out;
}

asio::awaitable<streamed_answer> read_stream(http::client& client, http::address to, http::request message)
{
    constexpr duration timeout{60'000};
    streamed_answer out;
    http::call_error error;
    const time_point deadline = boot_clock::now() + timeout;
    auto stream =
        co_await client.open_event_stream(to, message, deadline, http::connection_policy::fresh, error);
    if (!stream) {
        out.failure = error.reason;
        co_return out;
    }
    out.status = stream->status();
    if (out.status != 200) {
        const std::string body = co_await stream->body(deadline);
        record_event(out, body);
        co_return out;
    }
    while (auto data = co_await stream->next(deadline))
        record_event(out, *data);
    if (stream->error().code != http::errc::none)
        out.failure = stream->error().reason;
    co_return out;
}

std::string answer::code() const
{
    const auto it = json();
    return it.is_object() && it.contains("error") ? it["error"].value("code", "") : "";
}

std::string answer::ran() const
{
    const auto it = json();
    return it.is_object() && it.contains("error") ? it["error"].value("ran", "") : "";
}

} // namespace limpetlock::test
