#include "stage_runner.hpp"

#include "notification.hpp"

#include <limpetlock/support/hash.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

/// Maximum number of retries of one stage task. The retry budget limits the retries of all requests together.
constexpr int max_retries = 2;

/// Maximum number of further attempts outside the retry budget. They follow the answers "leaving" and
/// "overloaded" and calls on a stale connection, which cost no endpoint time.
constexpr int max_redirects = 8;

/// Base in ms of the pause after the answer "overloaded". Each redirect of the task doubles the pause,
/// including the first one.
constexpr duration overload_pause{10};

http::request make_stage_request(const stage_task& task, const std::string& call_id, time_point now)
{
    return to_request(stage_call{call_id, task.stage, task.input, task.deadline - now});
}

http::request make_service_request(const stage_task& task, const std::string& call_id, time_point)
{
    return to_request(service_call{call_id, task.stage, {}, task.input});
}

http::address address_of(const membership::endpoint& it)
{
    return {it.address, it.port};
}

endpoint_answer make_answer(answer_kind kind, std::string reason = {})
{
    return {kind, {}, std::move(reason)};
}

endpoint_answer end_of_stream(bool last_seen)
{
    return last_seen ? make_answer(answer_kind::ok)
                     : make_answer(answer_kind::malformed, "no last token before the end");
}

request_error to_request_error(const endpoint_answer& answer, const http::call_error& transport,
                               time_point deadline, time_point now)
{
    if (now >= deadline)
        return {errc::deadline, "the deadline passed while a stage ran", execution::unknown};
    if (transport.code != http::errc::none)
        return {errc::endpoint_failed, transport.reason, transport.sent ? execution::unknown : execution::no};
    const bool not_run = answer.kind == answer_kind::leaving || answer.kind == answer_kind::overloaded;
    return {errc::endpoint_failed, answer.reason, not_run ? execution::no : execution::unknown};
}

} // namespace

/// Progress of a generation over all attempts.
struct stage_runner::stream_progress {
    std::int64_t position{0}; // number of tokens that the sink has accepted
    bool last_seen{false};    // an endpoint has sent the last token
};

/// State of the attempts of one stage task.
struct stage_runner::attempt_state {
    endpoint_criteria criteria;
    int number{0};    // attempts so far
    int retries{0};   // further attempts that were charged to the retry budget
    int redirects{0}; // further attempts outside the budget
    http::connection_policy reuse_policy{http::connection_policy::pooled};

    std::string next_call_id(const stage_task& task)
    {
        return fmt::format("{}-{}", task.call_base, number++);
    }

    /// Excludes the endpoint and avoids its failure domain in the next attempt. After a call on a stale
    /// connection, the endpoint stays eligible, and the next attempt uses a new connection.
    void prepare_next(const membership::endpoint& it, const http::call_error& transport)
    {
        reuse_policy = transport.stale ? http::connection_policy::fresh : http::connection_policy::pooled;
        if (transport.stale)
            return;
        criteria.tried_ids.push_back(it.id);
        criteria.avoid_domain = domain_hash(it.failure_domain);
    }
};

void stage_runner::finish_attempt(call_slot& slot, const stage_task& task, answer_kind kind,
                                  const http::call_error& transport, cost_kind cost)
{
    const time_point now = boot_clock::now();
    const duration took = now - slot.started();
    const std::uint64_t id = slot.endpoint().id;
    const time_point started = slot.started();
    costs_.add(task.label, cost, static_cast<double>(took.count()));
    if (kind == answer_kind::ok || kind == answer_kind::refused_input) {
        observer_.record_success(id, started);
        admission_.record_call(task.pool, true);
        slot.finish(routing::outcome::success, task.expected_ms, now);
        return;
    }
    if (kind == answer_kind::cancelled || transport.stale) {
        slot.finish(routing::outcome::cancelled, task.expected_ms, now);
        return;
    }
    if (kind == answer_kind::leaving) {
        observer_.record_leaving(id);
        slot.finish(routing::outcome::cancelled, task.expected_ms, now);
        return;
    }
    if (kind == answer_kind::overloaded) {
        slot.finish(routing::outcome::overloaded, task.expected_ms, now);
        return;
    }
    // A call that the deadline of the request ended before its timeout doesn't show a fault of the endpoint.
    if (transport.code == http::errc::timeout && took < task.timeout) {
        slot.finish(routing::outcome::cancelled, task.expected_ms, now);
        return;
    }
    admission_.record_call(task.pool, false);
    const bool refused = transport.code == http::errc::connection_refused;
    observer_.record_failure(
        id, refused ? membership::call_failure::connection_refused : membership::call_failure::other,
        started);
    slot.finish(routing::outcome::failed, task.expected_ms, now);
}

bool stage_runner::begin_retry(const stage_task& task, answer_kind kind, const http::call_error& transport,
                               attempt_state& attempts)
{
    if (kind == answer_kind::refused_input || kind == answer_kind::cancelled ||
        boot_clock::now() >= task.deadline)
        return false;
    if (kind == answer_kind::leaving || kind == answer_kind::overloaded || transport.stale)
        return ++attempts.redirects <= max_redirects;
    return ++attempts.retries <= max_retries && table_.try_acquire_retry(task.label);
}

awaitable<std::optional<std::string>> stage_runner::run(const stage_task& task, request_encoder encode,
                                                        answer_decoder decode, request_error& error)
{
    attempt_state attempts{{task.pool, 0, true, {}, {}}, 0, 0, 0, http::connection_policy::pooled};
    error = {errc::not_run, fmt::format("no endpoint of pool '{}' is available", task.pool), execution::no};
    table_.record_first_attempt(task.label);
    while (auto slot = table_.acquire(attempts.criteria, boot_clock::now())) {
        const std::string call_id = attempts.next_call_id(task);
        const time_point now = boot_clock::now();
        http::call_error transport;
        const http::address to = address_of(slot->endpoint());
        const http::request message = encode(task, call_id, now);
        const time_point call_deadline = std::min(task.deadline, now + task.timeout);
        const auto reply =
            co_await client_.call(to, message, call_deadline, attempts.reuse_policy, transport);
        endpoint_answer answer;
        if (reply)
            answer = decode(*reply, call_id);
        counters_.wrong_call += answer.kind == answer_kind::wrong_call ? 1 : 0;
        counters_.malformed += answer.kind == answer_kind::malformed ? 1 : 0;
        if (answer.kind == answer_kind::ok) {
            finish_attempt(*slot, task, answer.kind, transport, cost_kind::useful);
            if (attempts.number == 1)
                table_.record_first_success(task.label);
            co_return std::move(answer.value);
        }
        attempts.prepare_next(slot->endpoint(), transport);
        error = to_request_error(answer, transport, task.deadline, boot_clock::now());
        const bool retry = begin_retry(task, answer.kind, transport, attempts);
        finish_attempt(*slot, task, answer.kind, transport,
                       retry ? cost_kind::retried : cost_kind::abandoned);
        if (!retry)
            break;
        slot.reset();
        if (answer.kind == answer_kind::overloaded)
            co_await sleep_for(overload_pause * (1 << std::min(attempts.redirects, max_redirects)));
    }
    co_return std::nullopt;
}

awaitable<std::optional<std::string>> stage_runner::run_stage(const stage_task& task, request_error& error)
{
    co_return co_await run(task, make_stage_request, read_stage_answer, error);
}

awaitable<std::optional<std::string>> stage_runner::run_service(const stage_task& task, request_error& error)
{
    co_return co_await run(task, make_service_request, read_service_answer, error);
}

endpoint_answer stage_runner::check_token(const generation_event& event, std::int64_t position)
{
    using kind = generation_event::kind;
    if (event.type == kind::wrong_call) {
        ++counters_.wrong_call;
        return {answer_kind::wrong_call, {}, "the stream belongs to another call"};
    }
    if (event.type == kind::malformed || event.position > position) {
        ++counters_.malformed;
        return {answer_kind::malformed, {}, "the stream is malformed or lacks a token"};
    }
    return {answer_kind::ok, {}, {}};
}

/// Streams tokens from one endpoint until the stream ends or fails, and counts them in `progress`.
awaitable<endpoint_answer> stage_runner::stream_attempt(call_slot& slot, const stage_task& task,
                                                        const std::string& call_id, const token_sink& sink,
                                                        http::connection_policy reuse_policy,
                                                        stream_progress& progress,
                                                        http::call_error& transport)
{
    using kind = generation_event::kind;
    const generation_call call{call_id,         task.model,    task.input,
                               task.max_tokens, task.priority, progress.position};
    const auto token_deadline = [&] { return std::min(task.deadline, boot_clock::now() + task.timeout); };
    const http::address to = address_of(slot.endpoint());
    const http::request message = to_request(call);
    auto stream = co_await client_.open_event_stream(to, message, token_deadline(), reuse_policy, transport);
    if (!stream)
        co_return make_answer(answer_kind::failed, transport.reason);
    if (stream->status() != 200) {
        const std::string body = co_await stream->body(token_deadline());
        co_return read_error_answer(stream->status(), body);
    }
    while (auto data = co_await stream->next(token_deadline())) {
        const generation_event event = read_generation_event(*data, call_id);
        if (event.type == kind::end)
            co_return end_of_stream(progress.last_seen);
        auto checked = check_token(event, progress.position);
        if (checked.kind != answer_kind::ok)
            co_return checked;
        progress.last_seen = progress.last_seen || event.type == kind::last_token;
        if (event.position < progress.position) {
            ++counters_.duplicate_tokens;
            continue;
        }
        if (!co_await sink(progress.position, event.text))
            co_return make_answer(answer_kind::cancelled, "the caller is gone");
        ++progress.position;
    }
    transport = stream->error();
    co_return make_answer(answer_kind::failed, "the stream ended before its last token");
}

awaitable<std::optional<std::int64_t>> stage_runner::generate(const stage_task& task, const token_sink& sink,
                                                              request_error& error)
{
    // Prompts with a common prefix go to the same engines, which cache the state of prompt prefixes.
    constexpr std::size_t prefix_bytes = 256;
    attempt_state attempts{
        {task.pool, hash64(std::string_view(task.input).substr(0, prefix_bytes)), true, {}, {}}};
    error = {errc::not_run, fmt::format("no endpoint of pool '{}' is available", task.pool), execution::no};
    table_.record_first_attempt(task.label);
    stream_progress progress;
    while (auto slot = table_.acquire(attempts.criteria, boot_clock::now())) {
        const std::string call_id = attempts.next_call_id(task);
        http::call_error transport;
        const std::int64_t position_before = progress.position;
        const auto answer =
            co_await stream_attempt(*slot, task, call_id, sink, attempts.reuse_policy, progress, transport);
        if (answer.kind == answer_kind::ok) {
            finish_attempt(*slot, task, answer.kind, transport, cost_kind::useful);
            if (attempts.number == 1)
                table_.record_first_success(task.label);
            co_return progress.position;
        }
        attempts.prepare_next(slot->endpoint(), transport);
        error = to_request_error(answer, transport, task.deadline, boot_clock::now());
        const bool retry = begin_retry(task, answer.kind, transport, attempts);
        counters_.resumed_streams += retry && progress.position > position_before ? 1 : 0;
        // The time of a broken stream that is resumed is useful if it delivered a token.
        const cost_kind failure_kind = retry ? cost_kind::retried : cost_kind::abandoned;
        finish_attempt(*slot, task, answer.kind, transport,
                       progress.position > position_before && retry ? cost_kind::useful : failure_kind);
        if (!retry)
            break;
        slot.reset();
        if (answer.kind == answer_kind::overloaded)
            co_await sleep_for(overload_pause * (1 << std::min(attempts.redirects, max_redirects)));
    }
    co_return std::nullopt;
}

} // namespace limpetlock::server
