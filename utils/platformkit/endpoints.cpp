#include "endpoints.hpp"

#include "platform/platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace limpetlock::platformkit {

namespace asio = boost::asio;
namespace header = platform::header;
using asio::awaitable;
using nlohmann::json;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds hang_time{30};

/// Unix time at which endpoints start, in milliseconds.
constexpr std::int64_t first_start_ms = 1'700'000'000'000;

std::string header_value(const http::request& message, std::string_view name)
{
    return std::string(http::find_header(message.headers, name).value_or(""));
}

run_record make_run_record(const http::request& message)
{
    run_record out;
    out.request_id = header_value(message, header::request_id);
    out.tenant = header_value(message, header::tenant);
    out.target = message.target;
    out.body = message.body;
    out.inputs = header_value(message, header::inputs);
    out.resume_after = header_value(message, header::last_event_id);
    out.authorization = header_value(message, header::authorization);
    out.priority = header_value(message, header::request_priority);
    out.prompt = header_value(message, header::prefix_hash);
    const std::string deadline = header_value(message, header::deadline_ms);
    std::from_chars(deadline.data(), deadline.data() + deadline.size(), out.deadline_ms);
    return out;
}

std::string make_entry(const endpoint_options& it, const std::string& address, std::uint16_t port,
                       const std::string& state, std::uint64_t sequence, std::int64_t started_ms,
                       std::int64_t cold_left_ms)
{
    return json{{"service", it.pool},         {"addr", fmt::format("{}:{}", address, port)},
                {"zone", it.domain},          {"version", "v1"},
                {"slots", it.slots},          {"state", state},
                {"coldLeftMs", cold_left_ms}, {"seq", sequence},
                {"born", started_ms}}
        .dump();
}

http::response not_run(int status)
{
    http::response out = http::json_response(status, "{}");
    out.headers.push_back({std::string(header::not_run), "1"});
    return out;
}

} // namespace

void request_limit::add_to(http::header_list& headers, int status) const
{
    if (leaving_)
        headers.push_back({std::string(header::server_leaving), "1"});
    if (status == 503 && !retry_after_.empty())
        headers.push_back({std::string(header::retry_after), retry_after_});
    if (!rate_.empty())
        headers.push_back({std::string(header::server_limit), rate_});
}

service_endpoint::service_endpoint(asio::any_io_executor executor, const std::string& address,
                                   endpoint_options options)
    : executor_(std::move(executor)), address_(address), options_(std::move(options))
{
    listen(0);
}

void service_endpoint::listen(std::uint16_t port)
{
    server_ = std::make_unique<http::server>(executor_, address_, port, http::server_limits{},
                                             [this](http::exchange& io) { return serve(io); });
    port_ = server_->port();
}

std::string service_endpoint::entry(const std::string& state)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(cold_until_ - std::chrono::steady_clock::now());
    return make_entry(options_, address_, port(), state, ++entries_written_, started_ms_,
                      std::max<std::int64_t>(0, left.count()));
}

awaitable<void> service_endpoint::crash()
{
    if (!server_)
        co_return;
    server_.reset();
    co_await wait(downtime_);
    ++started_ms_;
    listen(port_);
    if (on_restart_)
        on_restart_();
}

awaitable<void> service_endpoint::wait(std::chrono::milliseconds length)
{
    asio::steady_timer timer(executor_, length);
    co_await timer.async_wait(as_tuple_awaitable);
}

behaviour service_endpoint::next_behaviour()
{
    static constexpr std::array failures{behaviour::refuse,     behaviour::fail,
                                         behaviour::cut_answer, behaviour::hang,
                                         behaviour::wrong_id,   behaviour::without_signature,
                                         behaviour::cut_answer, behaviour::wrong_endpoint};
    if (behaviours_left_ > 0) {
        --behaviours_left_;
        return behaviour_;
    }
    ++served_;
    if (fail_every_ == 0 || served_ % fail_every_ != 0)
        return behaviour::normal;
    return failures[served_ / fail_every_ % failures.size()];
}

std::string service_endpoint::load_report() const
{
    std::string out = fmt::format("{},0,{}", running_requests_, options_.slots);
    if (time_percent_)
        out += fmt::format(",{}", *time_percent_);
    return out;
}

awaitable<void> service_endpoint::answer_health_check(http::exchange& io)
{
    using namespace asio::experimental::awaitable_operators;
    ++health_checks_;
    if (health_behaviour_ == health_behaviour::hang) {
        co_await (wait(hang_time) || io.wait_closed());
        co_return;
    }
    const bool other = health_behaviour_ == health_behaviour::other_id;
    http::response answer = http::json_response(200, "{}");
    answer.headers.push_back({std::string(header::instance_id), other ? "i-other" : options_.id});
    answer.headers.push_back({std::string(header::server_load), other ? "8,99,8,2000" : load_report()});
    co_await io.respond(std::move(answer));
}

awaitable<void> service_endpoint::serve(http::exchange& io)
{
    using namespace asio::experimental::awaitable_operators;
    if (io.message().target == "/healthz") {
        co_await answer_health_check(io);
        co_return;
    }
    limit.record_arrival();
    const behaviour how = next_behaviour();
    const std::string expected = header_value(io.message(), header::expect_instance);
    const bool other = how == behaviour::wrong_endpoint || (!expected.empty() && expected != options_.id);
    if (other || how == behaviour::refuse) {
        http::response answer = not_run(other ? 421 : 503);
        answer.headers.push_back(
            {std::string(header::request_id), header_value(io.message(), header::request_id)});
        limit.add_to(answer.headers, answer.status);
        co_await io.respond(std::move(answer));
        co_return;
    }
    const std::size_t run = runs_.size();
    runs_.push_back(make_run_record(io.message()));
    ++running_requests_;
    co_await (answer_request(io, run, how) || io.wait_closed());
    --running_requests_;
}

awaitable<void> service_endpoint::answer_request(http::exchange& io, std::size_t run, behaviour how)
{
    co_await wait(how == behaviour::hang ? std::chrono::milliseconds(hang_time) : options_.service_time);
    http::header_list headers;
    headers.push_back({std::string(header::request_id),
                       how == behaviour::wrong_id ? "0000000000000000" : runs_[run].request_id});
    if (how != behaviour::without_signature)
        headers.push_back({std::string(header::stamp), "stamp-" + options_.id});
    headers.push_back({std::string(header::server_load), load_report()});
    limit.add_to(headers, how == behaviour::fail ? 500 : 200);
    if (how == behaviour::old_refusal) {
        http::response answer = not_run(503);
        answer.headers.push_back({std::string(header::request_id), "0000000000000000"});
        co_await io.respond(std::move(answer));
        runs_[run].finished = true;
        co_return;
    }
    if (how == behaviour::fail) {
        http::response answer{500, headers, "failed"};
        co_await io.respond(std::move(answer));
        runs_[run].finished = true;
        co_return;
    }
    if (how == behaviour::endless_body || how == behaviour::endless_events) {
        co_await io.begin_stream(200, headers);
        const std::string text = how == behaviour::endless_events ? "\n: nothing\n\n" : "nothing ";
        co_await write_endlessly(io, text);
        co_return;
    }
    if (options_.events > 0) {
        co_await stream_events(io, run, how, std::move(headers));
        co_return;
    }
    if (how == behaviour::cut_answer) {
        co_await io.begin_stream(200, headers);
        co_await io.write("the first half of");
        co_return;
    }
    http::response answer{200, headers, "answer to " + runs_[run].request_id};
    co_await io.respond(std::move(answer));
    runs_[run].finished = true;
}

awaitable<void> service_endpoint::write_endlessly(http::exchange& io, std::string text)
{
    std::string chunk;
    while (chunk.size() < std::size_t{64} * 1024)
        chunk += text;
    bool ok = true;
    while (ok) {
        ok = co_await io.write(chunk);
        endless_bytes_ += ok ? chunk.size() : 0;
    }
}

awaitable<void> service_endpoint::stream_events(http::exchange& io, std::size_t run, behaviour how,
                                                http::header_list headers)
{
    headers.push_back({"Content-Type", "text/event-stream"});
    std::size_t next = 1;
    const std::string& after = runs_[run].resume_after;
    std::from_chars(after.data(), after.data() + after.size(), next);
    if (!after.empty())
        ++next;
    const std::size_t cut_at = (options_.events + next) / 2;
    const bool deadly = !deadly_part_.empty() &&
                        ("," + runs_[run].prompt).find("," + deadly_part_ + ":") != std::string::npos;
    if (deadly && crash_moment_ == crash_moment::before_answer) {
        asio::co_spawn(executor_, crash(), asio::detached);
        co_return;
    }
    bool ok = co_await io.begin_stream(200, headers);
    if (deadly) {
        const std::string begun = crash_moment_ == crash_moment::after_first_event
                                      ? fmt::format("id: {}\ndata: x\n\n", next)
                                      : std::string("id: ");
        co_await io.write(begun);
        co_await wait(std::chrono::milliseconds(10));
        asio::co_spawn(executor_, crash(), asio::detached);
        co_return;
    }
    const std::string filler(options_.event_bytes, 'x');
    for (; ok && next <= options_.events; ++next) {
        const std::string event = fmt::format("id: {}\ndata: {}\n\n", next, filler);
        if (how == behaviour::cut_answer && next == cut_at) {
            co_await io.write(std::string_view(event).substr(0, event.size() / 2));
            co_return;
        }
        ok = co_await io.write(event);
        if (options_.event_gap.count() > 0)
            co_await wait(options_.event_gap);
    }
    if (ok)
        ok = co_await io.finish();
    runs_[run].finished = ok;
}

stage_endpoint::stage_endpoint(asio::any_io_executor executor, const std::string& address,
                               endpoint_options options, std::size_t max_batch_pieces,
                               std::size_t result_capacity)
    : executor_(std::move(executor)), address_(address), options_(std::move(options)),
      max_batch_pieces_(max_batch_pieces), result_capacity_(result_capacity)
{
    server_ = std::make_unique<http::server>(executor_, address, 0, http::server_limits{},
                                             [this](http::exchange& io) { return serve(io); });
}

std::string stage_endpoint::entry(const std::string& state)
{
    return make_entry(options_, address_, port(), state, ++entries_written_, first_start_ms, 0);
}

http::response stage_endpoint::release(const std::string& body)
{
    const json it = json::parse(body, nullptr, false);
    if (!it.is_object())
        return http::json_response(400, "{}");
    for (const auto& handle : it["handles"])
        held_results_.erase(handle.get<std::string>());
    return http::json_response(200, "{}");
}

awaitable<void> stage_endpoint::serve(http::exchange& io)
{
    limit.record_arrival();
    if (io.message().target == "/v1/stage-free") {
        http::response answer = release(io.message().body);
        limit.add_to(answer.headers, answer.status);
        co_await io.respond(std::move(answer));
        co_return;
    }
    co_await run_call(io);
}

awaitable<void> stage_endpoint::run_call(http::exchange& io)
{
    const behaviour how = behaviours_left_ > 0 ? behaviour_ : behaviour::normal;
    if (behaviours_left_ > 0)
        --behaviours_left_;
    if (busy_ || how == behaviour::refuse) {
        http::response full = not_run(503);
        limit.add_to(full.headers, full.status);
        co_await io.respond(std::move(full));
        co_return;
    }
    busy_ = true;
    asio::steady_timer timer(executor_, how == behaviour::hang ? std::chrono::milliseconds(hang_time)
                                                               : options_.service_time);
    co_await timer.async_wait(as_tuple_awaitable);
    busy_ = false;
    const json body = json::parse(io.message().body, nullptr, false);
    json results = json::array();
    stage_record record;
    for (const auto& it : body["items"]) {
        ++record.pieces;
        record.request_ids.insert(it["id"].get<std::string>());
        if (it.contains("inputs"))
            for (const auto& input : it["inputs"])
                record.inputs.insert(input.get<std::string>());
        if (how == behaviour::fail) {
            results.push_back({{"reason", "error"}});
        } else if (held_results_.size() >= result_capacity_) {
            results.push_back({{"reason", "room"}});
        } else {
            const std::string handle = fmt::format("{}:{}/{:x}", address_, port(), ++handles_issued_);
            held_results_.insert(handle);
            results.push_back({{"handle", handle}});
        }
    }
    calls_.push_back(std::move(record));
    if (how == behaviour::cut_answer)
        co_return;
    const bool too_many = calls_.back().pieces > max_batch_pieces_;
    http::response answer =
        too_many ? http::json_response(400, "{}") : http::json_response(200, json{{"items", results}}.dump());
    limit.add_to(answer.headers, answer.status);
    co_await io.respond(std::move(answer));
}

} // namespace limpetlock::platformkit
