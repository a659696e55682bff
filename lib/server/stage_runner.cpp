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

/// Attempts of one stage beyond the first. The budget bounds the sum over all requests, this bounds one
/// request.
constexpr int max_retries = 2;

/// Answers "leaving" and "overloaded" and calls on a stale connection cost no endpoint time and are followed
/// by another attempt outside the budget, this many times.
constexpr int max_redirects = 8;

/// Pause after an endpoint said that it is overloaded, doubled by each further one of the same stage.
constexpr duration overload_pause{10};

http::request make_stage_request(const stage_work& work, const std::string& call_id, time_point now)
{
    return to_request(stage_call{call_id, work.stage, work.input, work.deadline - now});
}

http::request make_service_request(const stage_work& work, const std::string& call_id, time_point)
{
    return to_request(service_call{call_id, work.stage, {}, work.input});
}

http::address address_of(const membership::endpoint& it)
{
    return {it.address, it.port};
}

endpoint_answer answer_of(answer_kind kind, std::string reason = {})
{
    return {kind, {}, std::move(reason)};
}

endpoint_answer end_of_stream(bool last_seen)
{
    return last_seen ? answer_of(answer_kind::ok)
                     : answer_of(answer_kind::malformed, "no last token before the end");
}

request_error error_of(const endpoint_answer& answer, const http::call_error& transport, time_point deadline,
                       time_point now)
{
    if (now >= deadline)
        return {errc::deadline, "the deadline passed while a stage ran", execution::unknown};
    if (transport.code != http::errc::none)
        return {errc::endpoint_failed, transport.reason, transport.sent ? execution::unknown : execution::no};
    const bool not_run = answer.kind == answer_kind::leaving || answer.kind == answer_kind::overloaded;
    return {errc::endpoint_failed, answer.reason, not_run ? execution::no : execution::unknown};
}

} // namespace

/// How much of a generation the sink has taken, over all attempts.
struct stage_runner::progress {
    std::int64_t position{0};
    bool last_seen{false};
};

/// State of the attempts of one stage.
struct stage_runner::attempts {
    choice wanted;
    int number{0};
    int retries{0};
    int redirects{0};
    http::connection_policy policy{http::connection_policy::pooled};

    std::string next_call_id(const stage_work& work)
    {
        return fmt::format("{}-{}", work.call_base, number++);
    }

    /// Prepares the next attempt. After a stale connection the same endpoint may be tried again, on a fresh
    /// one.
    void follow(const membership::endpoint& it, const http::call_error& transport)
    {
        policy = transport.stale ? http::connection_policy::fresh : http::connection_policy::pooled;
        if (transport.stale)
            return;
        wanted.tried.push_back(it.id);
        wanted.avoid_domain = domain_number(it.failure_domain);
    }
};

void stage_runner::conclude(call_slot& slot, const stage_work& work, answer_kind kind,
                            const http::call_error& transport, spent cost)
{
    const time_point now = boot_clock::now();
    const duration took = now - slot.started();
    const std::uint64_t id = slot.endpoint().id;
    const time_point started = slot.started();
    costs_.add(work.label, cost, static_cast<double>(took.count()));
    if (kind == answer_kind::ok || kind == answer_kind::refused_input) {
        observer_.succeeded(id, started);
        admission_.record_call(work.pool, true);
        slot.finish(routing::outcome::success, work.expected_ms, now);
        return;
    }
    if (kind == answer_kind::cancelled || transport.stale) {
        slot.finish(routing::outcome::cancelled, work.expected_ms, now);
        return;
    }
    if (kind == answer_kind::leaving) {
        observer_.answered_leaving(id);
        slot.finish(routing::outcome::cancelled, work.expected_ms, now);
        return;
    }
    if (kind == answer_kind::overloaded) {
        slot.finish(routing::outcome::overloaded, work.expected_ms, now);
        return;
    }
    // A call that ended only because the request's own deadline came first says nothing about the endpoint.
    if (transport.code == http::errc::timeout && took < work.timeout) {
        slot.finish(routing::outcome::cancelled, work.expected_ms, now);
        return;
    }
    admission_.record_call(work.pool, false);
    const bool refused = transport.code == http::errc::connection_refused;
    observer_.failed(id,
                     refused ? membership::call_failure::connection_refused : membership::call_failure::other,
                     started);
    slot.finish(routing::outcome::failed, work.expected_ms, now);
}

bool stage_runner::may_retry(const stage_work& work, answer_kind kind, const http::call_error& transport,
                             attempts& tries)
{
    if (kind == answer_kind::refused_input || kind == answer_kind::cancelled ||
        boot_clock::now() >= work.deadline)
        return false;
    if (kind == answer_kind::leaving || kind == answer_kind::overloaded || transport.stale)
        return ++tries.redirects <= max_redirects;
    return ++tries.retries <= max_retries && table_.try_retry(work.label);
}

awaitable<std::optional<std::string>> stage_runner::run(const stage_work& work, request_maker make,
                                                        answer_reader read, request_error& error)
{
    attempts tries{{work.pool, 0, true, {}, {}}, 0, 0, 0, http::connection_policy::pooled};
    error = {errc::not_run, fmt::format("no endpoint of pool '{}' is available", work.pool), execution::no};
    table_.first_attempt(work.label);
    while (auto slot = table_.acquire(tries.wanted, boot_clock::now())) {
        const std::string call_id = tries.next_call_id(work);
        const time_point now = boot_clock::now();
        http::call_error transport;
        const http::address to = address_of(slot->endpoint());
        const http::request message = make(work, call_id, now);
        const time_point give_up = std::min(work.deadline, now + work.timeout);
        const auto reply = co_await client_.call(to, message, give_up, tries.policy, transport);
        endpoint_answer answer;
        if (reply)
            answer = read(*reply, call_id);
        counters_.wrong_call += answer.kind == answer_kind::wrong_call ? 1 : 0;
        counters_.malformed += answer.kind == answer_kind::malformed ? 1 : 0;
        if (answer.kind == answer_kind::ok) {
            conclude(*slot, work, answer.kind, transport, spent::useful);
            if (tries.number == 1)
                table_.first_attempt_succeeded(work.label);
            co_return std::move(answer.value);
        }
        tries.follow(slot->endpoint(), transport);
        error = error_of(answer, transport, work.deadline, boot_clock::now());
        const bool again = may_retry(work, answer.kind, transport, tries);
        conclude(*slot, work, answer.kind, transport, again ? spent::retried : spent::abandoned);
        if (!again)
            break;
        slot.reset();
        if (answer.kind == answer_kind::overloaded)
            co_await sleep_for(overload_pause * (1 << std::min(tries.redirects, max_redirects)));
    }
    co_return std::nullopt;
}

awaitable<std::optional<std::string>> stage_runner::run_stage(const stage_work& work, request_error& error)
{
    co_return co_await run(work, make_stage_request, read_stage_answer, error);
}

awaitable<std::optional<std::string>> stage_runner::run_service(const stage_work& work, request_error& error)
{
    co_return co_await run(work, make_service_request, read_service_answer, error);
}

endpoint_answer stage_runner::check_token(const generation_event& event, std::int64_t position)
{
    using kind = generation_event::kind;
    if (event.what == kind::wrong_call) {
        ++counters_.wrong_call;
        return {answer_kind::wrong_call, {}, "the stream belongs to another call"};
    }
    if (event.what == kind::malformed || event.position > position) {
        ++counters_.malformed;
        return {answer_kind::malformed, {}, "the stream is malformed or lacks a token"};
    }
    return {answer_kind::ok, {}, {}};
}

/// One stream from one endpoint.
awaitable<endpoint_answer> stage_runner::stream_once(call_slot& slot, const stage_work& work,
                                                     const std::string& call_id, const token_sink& sink,
                                                     http::connection_policy policy, progress& done,
                                                     http::call_error& transport)
{
    using kind = generation_event::kind;
    const generation_call call{call_id,         work.model,    work.input,
                               work.max_tokens, work.priority, done.position};
    const auto token_deadline = [&] { return std::min(work.deadline, boot_clock::now() + work.timeout); };
    const http::address to = address_of(slot.endpoint());
    const http::request message = to_request(call);
    auto stream = co_await client_.open_event_stream(to, message, token_deadline(), policy, transport);
    if (!stream)
        co_return answer_of(answer_kind::failed, transport.reason);
    if (stream->status() != 200) {
        const std::string body = co_await stream->body(token_deadline());
        co_return read_refusal(stream->status(), body);
    }
    while (auto data = co_await stream->next(token_deadline())) {
        const generation_event event = read_generation_event(*data, call_id);
        if (event.what == kind::end)
            co_return end_of_stream(done.last_seen);
        auto checked = check_token(event, done.position);
        if (checked.kind != answer_kind::ok)
            co_return checked;
        done.last_seen = done.last_seen || event.what == kind::last_token;
        if (event.position < done.position) {
            ++counters_.duplicate_tokens;
            continue;
        }
        if (!co_await sink(done.position, event.text))
            co_return answer_of(answer_kind::cancelled, "the caller is gone");
        ++done.position;
    }
    transport = stream->error();
    co_return answer_of(answer_kind::failed, "the stream ended before its last token");
}

awaitable<std::optional<std::int64_t>> stage_runner::generate(const stage_work& work, const token_sink& sink,
                                                              request_error& error)
{
    // Prompts with the same start go to the same engines, which cache prompt prefixes.
    constexpr std::size_t prefix_bytes = 256;
    attempts tries{{work.pool, hash64(std::string_view(work.input).substr(0, prefix_bytes)), true, {}, {}}};
    error = {errc::not_run, fmt::format("no endpoint of pool '{}' is available", work.pool), execution::no};
    table_.first_attempt(work.label);
    progress done;
    while (auto slot = table_.acquire(tries.wanted, boot_clock::now())) {
        const std::string call_id = tries.next_call_id(work);
        http::call_error transport;
        const std::int64_t before = done.position;
        const auto answer = co_await stream_once(*slot, work, call_id, sink, tries.policy, done, transport);
        if (answer.kind == answer_kind::ok) {
            conclude(*slot, work, answer.kind, transport, spent::useful);
            if (tries.number == 1)
                table_.first_attempt_succeeded(work.label);
            co_return done.position;
        }
        tries.follow(slot->endpoint(), transport);
        error = error_of(answer, transport, work.deadline, boot_clock::now());
        const bool again = may_retry(work, answer.kind, transport, tries);
        counters_.resumed_streams += again && done.position > before ? 1 : 0;
        // The tokens of a broken stream were delivered, so its time counts as useful once it brought one.
        const spent lost = again ? spent::retried : spent::abandoned;
        conclude(*slot, work, answer.kind, transport, done.position > before && again ? spent::useful : lost);
        if (!again)
            break;
        slot.reset();
        if (answer.kind == answer_kind::overloaded)
            co_await sleep_for(overload_pause * (1 << std::min(tries.redirects, max_redirects)));
    }
    co_return std::nullopt;
}

} // namespace limpetlock::server
