#include "store.hpp"

#include "platform/platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace limpetlock::platformkit {

namespace asio = boost::asio;
using asio::awaitable;
using nlohmann::json;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t max_page_entries = 50;

constexpr std::chrono::seconds hang_time{30};

std::string encode_base64(const std::string& text)
{
    std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),        // NOLINT
                                  reinterpret_cast<const unsigned char*>(text.data()), // NOLINT
                                  static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

/// Value of a query parameter with %XX decoded; empty if it is absent.
std::string query_parameter(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    if (query == std::string::npos)
        return {};
    std::string rest = "&" + target.substr(query + 1) + "&";
    const auto begin = rest.find("&" + name + "=");
    if (begin == std::string::npos)
        return {};
    const auto from = begin + name.size() + 2;
    const std::string raw = rest.substr(from, rest.find('&', from) - from);
    std::string out;
    for (std::size_t n = 0; n < raw.size(); ++n) {
        if (raw[n] == '%' && n + 2 < raw.size()) {
            out += static_cast<char>(std::stoi(raw.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else {
            out += raw[n];
        }
    }
    return out;
}

std::int64_t parse_number(const std::string& text)
{
    std::int64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

store::store(asio::any_io_executor executor, const std::string& address) : executor_(std::move(executor))
{
    server_ = std::make_unique<http::server>(executor_, address, 0, http::server_limits{},
                                             [this](http::exchange& io) { return serve(io); });
    second_server_ = std::make_unique<http::server>(executor_, address, 0, http::server_limits{},
                                                    [this](http::exchange& io) { return serve_second(io); });
}

json store::to_json(const change& it)
{
    if (it.removed)
        return {{"key", it.key}, {"rev", it.revision}, {"deleted", true}};
    return {{"key", it.key},
            {"value", encode_base64(it.value)},
            {"rev", it.revision},
            {"created", it.revision},
            {"lease", 0}};
}

void store::append_change(change it)
{
    it.revision = ++now_.revision;
    now_.history.push_back(it);
    if (it.removed)
        now_.entries.erase(it.key);
    else
        now_.entries.insert_or_assign(it.key, it);
    wake_watches();
}

void store::wake_watches()
{
    for (auto* it : watches_)
        it->cancel();
}

void store::put(const std::string& key, const std::string& value)
{
    append_change({key, value, 0, false});
}

void store::remove(const std::string& key)
{
    append_change({key, {}, 0, true});
}

void store::forget_history()
{
    now_.history.clear();
    now_.first_history_revision = now_.revision + 1;
    wake_watches();
}

void store::take_copy()
{
    copy_ = now_;
}

void store::restore_copy()
{
    now_ = copy_;
    ++era_;
    wake_watches();
}

/// States the era in the answer and sends it.
awaitable<void> store::respond(http::exchange& io, http::response answer) const
{
    answer.headers.push_back({std::string(platform::header::store_era), std::to_string(era_)});
    co_await io.respond(std::move(answer));
}

http::response store::read_key(const std::string& target) const
{
    const auto it = now_.entries.find(query_parameter(target, "key"));
    if (it == now_.entries.end())
        return http::json_response(404, "{}");
    json body = to_json(it->second);
    body["asOf"] = now_.revision;
    return http::json_response(200, body.dump());
}

http::response store::read_range(const std::string& target) const
{
    const std::string prefix = query_parameter(target, "prefix");
    const std::string after = query_parameter(target, "after");
    json list = json::array();
    bool more = false;
    for (const auto& [key, it] : now_.entries) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        more = list.size() == max_page_entries;
        if (more)
            break;
        list.push_back(to_json(it));
    }
    return http::json_response(200,
                               json{{"items", list}, {"morePages", more}, {"asOf", now_.revision}}.dump());
}

awaitable<void> store::hang(http::exchange& io)
{
    asio::steady_timer timer(executor_, hang_time);
    co_await timer.async_wait(as_tuple_awaitable);
    http::response answer = http::json_response(503, "{}");
    co_await respond(io, std::move(answer));
}

awaitable<void> store::send_slowly(http::exchange& io, http::response answer,
                                   std::chrono::milliseconds length)
{
    constexpr std::size_t parts = 10;
    const std::size_t step = answer.body.size() / parts + 1;
    answer.headers.push_back({std::string(platform::header::store_era), std::to_string(era_)});
    bool ok = co_await io.begin_stream(answer.status, answer.headers);
    for (std::size_t from = 0; ok && from < answer.body.size(); from += step) {
        asio::steady_timer timer(executor_, length / parts);
        co_await timer.async_wait(as_tuple_awaitable);
        ok = co_await io.write(std::string_view(answer.body).substr(from, step));
    }
    if (ok)
        co_await io.finish();
}

awaitable<void> store::serve_watch(http::exchange& io)
{
    const std::string target = io.message().target;
    const std::string prefix = query_parameter(target, "prefix");
    const std::int64_t after = parse_number(query_parameter(target, "after"));
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(parse_number(query_parameter(target, "waitMs")));
    for (;;) {
        if (after + 1 < now_.first_history_revision || after > now_.revision) {
            http::response gone = http::json_response(410, "{}");
            co_await respond(io, std::move(gone));
            co_return;
        }
        json events = json::array();
        for (const auto& it : now_.history)
            if (it.revision > after && it.key.starts_with(prefix))
                events.push_back(to_json(it));
        if (!events.empty() || std::chrono::steady_clock::now() >= until) {
            http::response answer =
                http::json_response(200, json{{"events", events}, {"asOf", now_.revision}}.dump());
            if (!events.empty() && watch_body_time_.count() > 0)
                co_await send_slowly(io, std::move(answer), watch_body_time_);
            else
                co_await respond(io, std::move(answer));
            co_return;
        }
        asio::steady_timer timer(executor_, until);
        watches_.insert(&timer);
        co_await timer.async_wait(as_tuple_awaitable);
        watches_.erase(&timer);
    }
}

awaitable<void> store::serve_second(http::exchange& io)
{
    if (!second_turned_away_) {
        co_await serve(io);
        co_return;
    }
    http::response answer = http::json_response(503, "{}");
    co_await respond(io, std::move(answer));
}

awaitable<void> store::serve(http::exchange& io)
{
    const std::string& target = io.message().target;
    const bool is_watch = target.starts_with("/v1/kv-watch");
    ++calls_;
    const bool lost = lost_answers_ > 0 && target.starts_with(lost_prefix_);
    if (lost)
        --lost_answers_;
    if (lost || mode_ == store_mode::silent || (mode_ == store_mode::silent_watches && is_watch)) {
        co_await hang(io);
        co_return;
    }
    if (is_watch && mode_ != store_mode::refusing) {
        co_await serve_watch(io);
        co_return;
    }
    http::response answer = http::json_response(404, "{}");
    if (mode_ == store_mode::refusing)
        answer = http::json_response(503, "{}");
    else if (target.starts_with("/v1/kv-key"))
        answer = read_key(target);
    else if (target.starts_with("/v1/kv-range"))
        answer = read_range(target);
    if (body_time_.count() > 0 && mode_ != store_mode::refusing && target.starts_with("/v1/kv-key")) {
        co_await send_slowly(io, std::move(answer), body_time_);
        co_return;
    }
    co_await respond(io, std::move(answer));
}

} // namespace limpetlock::platformkit
