#include "driver.hpp"

#include "testkit/outputs.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cmath>
#include <set>
#include <utility>

namespace limpetlock::loadgen {

namespace net = boost::asio;
using nlohmann::json;
using testkit::attempt;
using testkit::request_result;
using testkit::verdict;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::int64_t control_deadline_ms = 10'000;
constexpr std::size_t idle_connections = 256;
constexpr std::chrono::milliseconds retry_pause{100};

double ms_since(steady::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

std::int64_t now_ms()
{
    return to_ms(boot_clock::now());
}

const char* to_text(http::errc it)
{
    switch (it) {
    case http::errc::none:
        return "none";
    case http::errc::connection_refused:
        return "connection_refused";
    case http::errc::closed:
        return "connection_closed";
    case http::errc::timeout:
        return "client_timeout";
    case http::errc::malformed:
        return "malformed";
    case http::errc::too_large:
        return "answer_too_large";
    case http::errc::cancelled:
        return "cancelled";
    }
    return "unknown_error";
}

/// Copies the code and "ran" from the body of a refusal, in the format of the system or of an endpoint.
void record_refusal(attempt& record, const json& body)
{
    record.code = fmt::format("http_{}", record.status);
    const auto error = body.is_object() ? body.value("error", json()) : json();
    if (error.is_string())
        record.code = error;
    if (!error.is_object())
        return;
    record.code = error.value("code", record.code);
    record.ran = error.value("ran", "");
}

verdict refusal_verdict(const attempt& record)
{
    return record.ran == "no" ? verdict::refused : verdict::failed;
}

/// True if the request may be sent again with the same key.
bool may_retry(const attempt& record)
{
    static const std::set<std::string> final_codes{"bad_request", "unauthorized", "not_found", "key_reused",
                                                   "too_large"};
    return record.status != 200 && !final_codes.contains(record.code);
}

/// One event of a streamed answer; `index` is the number of tokens in a `done` event.
struct stream_event {
    enum class kind { token, done, error, other } what{kind::other};
    std::int64_t index{0};
    std::string text;
    json error;
};

/// Parses an event of the system (index and text, or tokens, or error) or of an engine (choices and
/// position).
stream_event parse_event(const std::string& text)
{
    using kind = stream_event::kind;
    const auto data = json::parse(text, nullptr, false);
    if (!data.is_object())
        return {};
    if (data.contains("error"))
        return {kind::error, 0, "", data};
    if (data.contains("choices"))
        return {
            kind::token, data.value("position", std::int64_t{-1}), data["choices"][0].value("text", ""), {}};
    if (data.contains("index"))
        return {kind::token, data.value("index", std::int64_t{-1}), data.value("text", ""), {}};
    if (data.contains("tokens"))
        return {kind::done, data.value("tokens", std::int64_t{-1}), "", {}};
    return {};
}

} // namespace

driver::driver(net::io_context& context, target where, json deployment)
    : context_(context), target_(std::move(where)), deployment_(std::move(deployment)),
      client_(context.get_executor(), {.max_idle_per_address = idle_connections}), random_(target_.seed)
{
    std::vector<double> weights;
    for (std::size_t n = 0; n < target_.instances.size(); ++n)
        weights.push_back(1 / std::pow(static_cast<double>(n + 1), target_.skew));
    if (!weights.empty())
        instance_distribution_ = boost::random::discrete_distribution<std::size_t>(weights);
}

std::size_t driver::pick_instance()
{
    return target_.skew > 0 ? instance_distribution_(random_) : next_instance_++ % target_.instances.size();
}

http::address driver::pick_endpoint(const std::string& pool)
{
    const auto& list = target_.pools.at(pool);
    return list[boost::random::uniform_int_distribution<std::size_t>(0, list.size() - 1)(random_)];
}

net::awaitable<void> driver::run(std::vector<request_result>& results)
{
    const auto start = steady::now();
    net::steady_timer timer(context_);
    for (auto& it : results) {
        timer.expires_at(start +
                         std::chrono::microseconds(static_cast<std::int64_t>(it.request.at_ms * 1000)));
        co_await timer.async_wait(net::use_awaitable);
        ++open_requests_;
        it.send_delay_ms = ms_since(start) - it.request.at_ms;
        net::co_spawn(context_, run_request(it), [this](const std::exception_ptr& failed) {
            --open_requests_;
            if (failed)
                std::rethrow_exception(failed);
        });
    }
    while (open_requests_ > 0) {
        timer.expires_after(std::chrono::milliseconds(10));
        co_await timer.async_wait(net::use_awaitable);
    }
}

net::awaitable<void> driver::run_request(request_result& out)
{
    out.started = steady::now();
    if (out.request.what.pipeline.empty())
        co_await send_service(out);
    else if (target_.direct)
        co_await send_pipeline_directly(out);
    else
        co_await send_pipeline(out);
    out.latency_ms = ms_since(out.started);
    out.attained =
        out.verdict == verdict::whole && out.latency_ms <= static_cast<double>(out.request.what.deadline_ms);
}

http::request driver::make_instance_request(const testkit::arrival& from, const std::string& path,
                                            const json& body) const
{
    http::request out;
    out.method = "POST";
    out.target = path;
    const std::string token = deployment_.at("teams").at(from.team).at("token");
    out.headers.push_back({"Authorization", "Bearer " + token});
    out.headers.push_back({"Content-Type", "application/json"});
    out.body = body.dump();
    return out;
}

net::awaitable<driver::answer> driver::send(http::address to, http::request message, time_point deadline,
                                            attempt& record)
{
    http::call_error error;
    answer out;
    record.instance = fmt::format("{}:{}", to.host, to.port);
    record.sent_ms = now_ms();
    auto got = co_await client_.call(std::move(to), std::move(message), deadline,
                                     http::connection_policy::pooled, error);
    record.answered_ms = now_ms();
    if (!got) {
        record.code = to_text(error.code);
        co_return out;
    }
    record.status = out.status = got->status;
    out.body = json::parse(got->body, nullptr, false);
    if (record.status != 200)
        record_refusal(record, out.body);
    co_return out;
}

net::awaitable<verdict> driver::send_streamed(http::address to, http::request message, time_point deadline,
                                              request_result& out, const testkit::expected_answer& expected)
{
    auto& record = out.attempts.emplace_back();
    record.instance = fmt::format("{}:{}", to.host, to.port);
    record.sent_ms = now_ms();
    http::call_error error;
    auto events = co_await client_.open_event_stream(std::move(to), std::move(message), deadline,
                                                     http::connection_policy::pooled, error);
    record.answered_ms = now_ms();
    if (!events) {
        record.code = to_text(error.code);
        co_return verdict::failed;
    }
    record.status = events->status();
    if (record.status != 200) {
        const auto text = co_await events->body(deadline);
        record_refusal(record, json::parse(text, nullptr, false));
        co_return refusal_verdict(record);
    }
    testkit::stream_checker check(expected);
    bool ended = false;
    auto final_verdict = verdict::cut;
    std::int64_t tokens = 0;
    double last_ms = 0;
    for (;;) {
        const auto text = co_await events->next(deadline);
        if (!text)
            break;
        if (ended) {
            final_verdict = verdict::doubled; // no event may follow the end
            break;
        }
        const auto event =
            *text == "[DONE]" ? stream_event{stream_event::kind::done, tokens, "", {}} : parse_event(*text);
        if (event.what == stream_event::kind::token) {
            check.check_token(event.index, event.text);
            ++tokens;
            const double at_ms = ms_since(out.started);
            if (out.first_token_ms < 0)
                out.first_token_ms = at_ms;
            else
                out.gaps_ms.push_back(at_ms - last_ms);
            last_ms = at_ms;
        } else if (event.what == stream_event::kind::done) {
            ended = true;
            final_verdict = check.finish(event.index);
        } else if (event.what == stream_event::kind::error) {
            ended = true;
            record_refusal(record, event.error);
            final_verdict = check.interrupted(refusal_verdict(record));
        }
    }
    record.answered_ms = now_ms();
    if (events->error().code != http::errc::none && record.code.empty()) {
        record.code = to_text(events->error().code);
        const bool late = events->error().code == http::errc::timeout;
        // A timeout of the load tool makes the stream late; one that ended before its end event is cut.
        final_verdict = check.interrupted(late ? verdict::failed : verdict::cut);
    } else if (!ended) {
        record.code = "no_end_event";
        final_verdict = check.interrupted(verdict::cut);
    }
    co_return final_verdict;
}

net::awaitable<void> driver::send_pipeline(request_result& out)
{
    const auto& what = out.request.what;
    const auto input = testkit::input_text(out.request);
    const auto expected = testkit::expected_pipeline_answer(deployment_.at("pipelines").at(what.pipeline),
                                                            input, what.max_tokens);
    const auto deadline = boot_clock::now() + duration(what.deadline_ms + target_.grace_ms);
    const auto to = target_.instances[pick_instance()];
    json body = {{"input", input},
                 {"rank", what.rank},
                 {"deadline_ms", what.deadline_ms},
                 {"stream", out.request.streamed},
                 {"max_tokens", what.max_tokens}};
    auto message = make_instance_request(out.request, "/v1/pipelines/" + what.pipeline, body);
    if (out.request.streamed) {
        out.verdict = co_await send_streamed(to, std::move(message), deadline, out, expected);
        co_return;
    }
    auto& record = out.attempts.emplace_back();
    const auto got = co_await send(to, std::move(message), deadline, record);
    if (got.status != 200) {
        out.verdict = refusal_verdict(record);
        co_return;
    }
    const bool text = got.body.is_object() && got.body.contains("answer") && got.body["answer"].is_string();
    out.verdict = text ? testkit::check_text(expected.text, got.body["answer"]) : verdict::wrong;
}

net::awaitable<void> driver::send_pipeline_directly(request_result& out)
{
    const auto& what = out.request.what;
    const auto& stages = deployment_.at("pipelines").at(what.pipeline).at("stages");
    const auto deadline = boot_clock::now() + duration(what.deadline_ms + target_.grace_ms);
    auto input = testkit::input_text(out.request);
    const auto expected = testkit::expected_pipeline_answer(deployment_.at("pipelines").at(what.pipeline),
                                                            input, what.max_tokens);
    for (std::size_t n = 0; n < stages.size(); ++n) {
        const auto& stage = stages[n];
        const bool engine = stage.contains("model");
        const bool streamed = engine && n + 1 == stages.size() && out.request.streamed;
        const auto id = fmt::format("{}-{}", out.request.input_id, n);
        json body = {
            {"call_id", id}, {"stage", stage["name"]}, {"input", input}, {"deadline_ms", what.deadline_ms}};
        if (engine)
            body = {{"model", stage["model"]}, {"prompt", input}, {"max_tokens", what.max_tokens},
                    {"stream", streamed},      {"user", id},      {"priority", 1}};
        http::request message;
        message.method = "POST";
        message.target = engine ? "/v1/completions" : "/v1/stage";
        message.body = body.dump();
        const auto to = pick_endpoint(stage["pool"]);
        if (streamed) {
            out.verdict = co_await send_streamed(to, std::move(message), deadline, out, expected);
            co_return;
        }
        auto& record = out.attempts.emplace_back();
        const auto got = co_await send(to, std::move(message), deadline, record);
        if (got.status != 200)
            co_return;
        input = engine ? got.body["choices"][0].value("text", "") : got.body.value("output", "");
    }
    out.verdict = testkit::check_text(expected.text, input);
}

net::awaitable<bool> driver::send_service_attempt(request_result& out, std::size_t instance, int number,
                                                  const std::string& key)
{
    const auto& what = out.request.what;
    const auto call_body = testkit::service_body(out.request);
    const auto deadline = boot_clock::now() + duration(what.deadline_ms + target_.grace_ms);
    const auto& call = deployment_.at("services").at(what.service);
    http::address to;
    http::request message;
    if (target_.direct) {
        to = pick_endpoint(call["pool"]);
        message.method = "POST";
        message.target = "/v1/call/" + what.call;
        const json body = {{"call_id", out.request.input_id}, {"key", key}, {"body", call_body}};
        message.body = body.dump();
    } else {
        to = target_.instances[instance];
        message = make_instance_request(
            out.request, fmt::format("/v1/services/{}/{}", what.service, what.call), call_body);
        if (!call["calls"][what.call]["repeatable"].get<bool>()) {
            message.headers.push_back({"Idempotency-Key", key});
            if (number > 1 || out.request.asserted)
                message.headers.push_back({"Idempotency-Attempt", std::to_string(number)});
        }
    }
    auto& record = out.attempts.emplace_back();
    const auto got = co_await send(to, std::move(message), deadline, record);
    if (got.status != 200) {
        out.verdict = refusal_verdict(record);
        co_return may_retry(record);
    }
    const bool own = got.body.is_object() &&
                     got.body.value("result", json()) == testkit::service_result(what.call, call_body);
    out.verdict = own ? verdict::whole : verdict::wrong;
    co_return false;
}

net::awaitable<void> driver::send_service(request_result& out)
{
    auto instance = target_.direct ? 0 : pick_instance();
    const int attempts = target_.direct ? 1 : out.request.what.attempts;
    auto key = "booking-" + out.request.input_id;
    int number = 1; // counts the attempts with this key
    net::steady_timer timer(context_);
    for (int n = 1; n <= attempts; ++n) {
        const bool again = co_await send_service_attempt(out, instance, number, key);
        if (!again || n == attempts)
            co_return;
        ++number;
        if (out.request.new_key && out.attempts.back().ran == "no") {
            key += "-again";
            number = 1;
        }
        timer.expires_after(retry_pause);
        co_await timer.async_wait(net::use_awaitable);
        instance = (instance + 1) % target_.instances.size();
    }
}

net::awaitable<json> driver::get(http::address from, std::string path)
{
    http::request message;
    message.target = std::move(path);
    attempt record;
    const auto deadline = boot_clock::now() + duration(control_deadline_ms);
    auto got = co_await send(std::move(from), std::move(message), deadline, record);
    co_return got.status == 200 ? std::move(got.body) : json(json::value_t::discarded);
}

} // namespace limpetlock::loadgen
