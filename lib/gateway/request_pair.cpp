#include "request_context.hpp"
#include "request_handler.hpp"

#include <limpetlock/support/capture.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

/// Order of failed attempts: of two, the greater one decides how the request goes on. One that may have run
/// forbids more than one that did not, and an answer of the endpoint itself is passed on to the caller.
int decisiveness(attempt_end it)
{
    switch (it) {
    case attempt_end::not_sent:
        return 0;
    case attempt_end::not_run:
        return 1;
    case attempt_end::inputs_gone:
        return 2;
    case attempt_end::broken:
        return 3;
    case attempt_end::timeout:
        return 4;
    case attempt_end::failed_answer:
    case attempt_end::delivered:
        return 5;
    }
    return 0;
}

/// The time class of a request: the tokens of its prompt, or the bytes of its body, matter most for its time.
time_class time_class_of(const route& from, const caller_request& request, const http::request& message)
{
    return {from.name, size_class(from.stream ? request.prompt_tokens : message.body.size())};
}

} // namespace

/// The attempts at two endpoints that are open at the same time. All access is on the strand of the request.
struct request_handler::attempt_pair {
    attempt_pair(const asio::any_io_executor& executor, attempt_guard& guard, time_class times)
        : first_to(guard), of(std::move(times)), second_ended(executor, asio::steady_timer::time_point::max())
    {
    }

    enum class side : std::uint8_t { none, first, second };

    /// Sets the attempt whose answer is relayed, unless there is one already. The other one ends as
    /// cancelled, whatever closing its connection looks like.
    void win(side it, time_point now)
    {
        if (winner != side::none)
            return;
        winner = it;
        if (it == side::second)
            first_to.conclude(attempt_outcome::cancelled, now);
        else if (second_to)
            second_to->conclude(attempt_outcome::cancelled, now);
        const auto& other = it == side::first ? second : first;
        loser_failed_before = other.has_value();
    }

    bool second_is_open() const { return second_to && !second; }

    attempt_guard& first_to;
    const time_class of;
    time_point first_sent{};
    std::optional<duration> delay; ///< nullopt: no second attempt
    std::optional<attempt_guard> second_to;
    std::optional<opened_attempt> first; ///< once it has ended, or its answer has begun
    std::optional<opened_attempt> second;
    side winner{side::none};
    bool loser_failed_before{false}; ///< the other attempt had failed when the winner's answer came
    asio::steady_timer second_ended; ///< cancelled when the second attempt has failed
};

hedged_request request_handler::hedged_request_of(const request_context& it) const
{
    const route& from = *it.matched_route;
    hedged_request out;
    out.repeatable = from.repeatable;
    out.stream = from.stream;
    out.resumable = from.resumable;
    out.answer_begun = it.streaming || it.io.answered();
    out.inputs_released = !from.stages.empty() && it.inputs->empty();
    out.possible_executions = it.possible_executions;
    out.max_attempts = it.attempts < max_attempts ? from.max_attempts : 0;
    return out;
}

awaitable<attempt_result> request_handler::run_attempts(request_context& it, attempt_guard& to)
{
    using namespace asio::experimental::awaitable_operators;
    const auto allowed = may_have_second_attempt(hedged_request_of(it), second_attempts_.settings());
    if (allowed == second_attempt_verdict::not_repeatable || allowed == second_attempt_verdict::kind_off) {
        auto last = co_await run_attempt(it, to);
        record_attempt(it, to.target, last);
        co_return last;
    }
    attempt_pair pair(it.executor, to, time_class_of(*it.matched_route, it.request, it.io.message()));
    pair.first_sent = boot_clock::now();
    if (allowed == second_attempt_verdict::send)
        pair.delay = second_attempts_.delay(pair.of, pair.first_sent);
    if (allowed == second_attempt_verdict::send && !pair.delay)
        count_second_suppressed(second_attempt_verdict::too_few_samples);
    auto first = capture(run_first(it, pair));
    auto second = capture(run_second(it, pair));
    const auto ended = co_await (std::move(first) || std::move(second));
    const auto& end = ended.index() == 0 ? std::get<0>(ended) : std::get<1>(ended);
    if (pair.winner == attempt_pair::side::none) {
        end.take();
        if (!pair.first)
            throw boost::system::system_error(asio::error::operation_aborted);
        co_return record_failures(it, pair);
    }
    record_loser(it, pair);
    const bool second_won = pair.winner == attempt_pair::side::second;
    // It was made for the first endpoint.
    if (second_won)
        it.estimated.reset();
    attempt_guard& winner = second_won ? *pair.second_to : to;
    opened_attempt answer = std::move(second_won ? *pair.second : *pair.first);
    // Closes the connection of the loser if its answer has begun as well.
    pair.first.reset();
    pair.second.reset();
    it.endpoint_id = winner.target.id;
    it.last_sent = answer.sent;
    auto last = co_await relay_answer(it, winner, std::move(answer));
    record_attempt(it, winner.target, last);
    co_return last;
}

/// Opens an attempt until its answer is usable: the header of a whole answer, or the first event of a stream.
awaitable<opened_attempt> request_handler::open_usable(request_context& it, attempt_guard& to,
                                                       input_release release)
{
    opened_attempt out = co_await open_attempt(it, to, release);
    if (!out.answer || !it.matched_route->stream)
        co_return out;
    event_framing events = it.framing;
    bool usable = false;
    bool more = true;
    while (more && !usable) {
        const auto bytes = co_await out.answer->read(it.deadline);
        if (bytes) {
            out.begun += *bytes;
            usable = !events.feed(*bytes).empty();
        }
        more = bytes && events.buffered() <= max_event_bytes;
    }
    if (usable)
        co_return out;
    // Without an event, this writes nothing to the caller.
    out.ended = co_await relay_stream(it, *out.answer, std::move(out.begun));
    out.ended.status = out.answer->status();
    to.conclude(evidence_of(out.ended.outcome, out.sent), boot_clock::now());
    out.answer.reset();
    co_return out;
}

awaitable<void> request_handler::run_first(request_context& it, attempt_pair& pair)
{
    opened_attempt opened = co_await open_usable(it, pair.first_to, input_release::after_fetch);
    if (pair.winner == attempt_pair::side::none)
        record_first_time(pair, opened);
    if (opened.answer)
        pair.win(attempt_pair::side::first, boot_clock::now());
    pair.first = std::move(opened);
    if (!pair.first->answer && pair.second_is_open())
        co_await pair.second_ended.async_wait(as_tuple_awaitable);
}

/// Returns only once the second attempt decides how the request goes on; until then the first one does.
awaitable<void> request_handler::run_second(request_context& it, attempt_pair& pair)
{
    asio::steady_timer first_ends(it.executor, asio::steady_timer::time_point::max());
    std::optional<endpoint> to;
    if (pair.delay) {
        co_await sleep_for(*pair.delay);
        const auto cancelled = co_await asio::this_coro::cancellation_state;
        if (cancelled.cancelled() != asio::cancellation_type::none)
            co_return;
        to = choose_second(it, pair, boot_clock::now());
    }
    if (to) {
        // The first attempt must not release what the second one needs.
        if (!it.inputs->empty())
            it.inputs = it.inputs->transfer();
        pair.second_to.emplace(dependencies_.selector, *to, boot_clock::now());
        ++it.attempts;
        it.endpoint_criteria.tried.push_back(to->id);
        opened_attempt opened = co_await open_usable(it, *pair.second_to, input_release::by_answer);
        const bool usable = opened.answer != nullptr;
        if (usable)
            pair.win(attempt_pair::side::second, boot_clock::now());
        pair.second = std::move(opened);
        pair.second_ended.cancel();
        if (usable)
            co_return;
    }
    co_await first_ends.async_wait(as_tuple_awaitable);
}

/// Endpoints that need a permit get no second attempts: they take less than is sent to them anyway, and to
/// wait for the permit would delay the answer of the first attempt.
std::optional<endpoint> request_handler::choose_second(request_context& it, const attempt_pair& pair,
                                                       time_point now)
{
    auto to = dependencies_.selector.select(without_limited(it), now);
    const auto known = situation_of(it, pair, to, now);
    auto verdict = second_attempts_.decide(hedged_request_of(it), pair.of, known, now);
    if (verdict == second_attempt_verdict::send)
        verdict = second_attempts_.acquire(it.pool, retry_share_of(it.pool), fleet_size(now), now);
    log_second(it, pair, known, verdict);
    if (verdict != second_attempt_verdict::send)
        to.reset();
    return to;
}

hedging_situation request_handler::situation_of(const request_context& it, const attempt_pair& pair,
                                                const std::optional<endpoint>& other, time_point now)
{
    const auto& selector = dependencies_.selector;
    const auto parts = shared_parts(it.request);
    hedging_situation out;
    out.stopping = refusing_new_work_ || ends_at_.has_value();
    out.suspected_part = !dependencies_.quarantine.suspected_endpoints(parts, now).empty() ||
                         dependencies_.quarantine.find_quarantined(parts, now).has_value();
    const auto count = selector.count_waiting(it.endpoint_criteria, now);
    out.reporting_endpoints = count.reporting;
    out.waiting_endpoints = count.waiting;
    out.elapsed = now - pair.first_sent;
    out.time_left = it.deadline - now;
    if (!other)
        return out;
    out.other_waiting = selector.has_waiting_requests(other->id, now);
    out.other_backed_off = selector.is_backed_off(other->id, now);
    out.other = other->id;
    return out;
}

/// Records the time to the first usable answer, or to a time limit, of the first attempt.
void request_handler::record_first_time(const attempt_pair& pair, const opened_attempt& ended)
{
    const time_point now = boot_clock::now();
    const bool answered = ended.answer != nullptr;
    if ((!answered && ended.ended.end != attempt_end::timeout) ||
        dependencies_.peers.suspended_since(pair.first_sent))
        return;
    second_attempts_.record_time(pair.of, pair.first_to.target.id, now - pair.first_sent, answered, now);
}

void request_handler::record_loser(request_context& it, attempt_pair& pair)
{
    const time_point now = boot_clock::now();
    const bool first_won = pair.winner == attempt_pair::side::first;
    if (!pair.second_to)
        return;
    count_second(first_won ? "lost" : "won");
    const auto& to = first_won ? *pair.second_to : pair.first_to;
    const auto& loser = first_won ? pair.second : pair.first;
    log::info("second_attempt_ended", {{"request", it.request.id},
                                       {"outcome", first_won ? "lost" : "won"},
                                       {"loser", to.target.id},
                                       {"loser_end", pair.loser_failed_before ? "failed" : "cancelled"},
                                       {"since_first_ms", fmt::to_string((now - pair.first_sent).count())}});
    if (pair.loser_failed_before) {
        record_attempt(it, to.target, loser->ended);
        return;
    }
    // Closing the connection may come too late to keep the endpoint from running the request.
    if (!loser || loser->answer || may_have_run(loser->ended.end))
        ++it.possible_executions;
    if (!first_won && !dependencies_.peers.suspended_since(pair.first_sent))
        second_attempts_.record_time(pair.of, to.target.id, now - pair.first_sent, false, now);
}

attempt_result request_handler::record_failures(request_context& it, attempt_pair& pair)
{
    attempt_result last = std::move(pair.first->ended);
    const endpoint* from = &pair.first_to.target;
    if (pair.second) {
        count_second("lost");
        const endpoint* other_from = &pair.second_to->target;
        attempt_result other = std::move(pair.second->ended);
        if (decisiveness(other.end) > decisiveness(last.end)) {
            std::swap(last, other);
            std::swap(from, other_from);
        }
        record_attempt(it, *other_from, other);
    }
    it.endpoint_id = from->id;
    record_attempt(it, *from, last);
    return last;
}

void request_handler::log_second(const request_context& it, const attempt_pair& pair,
                                 const hedging_situation& known, second_attempt_verdict verdict)
{
    const bool sent = verdict == second_attempt_verdict::send;
    const time_point now = boot_clock::now();
    if (sent)
        count_second("sent");
    else
        count_second_suppressed(verdict);
    const auto expected =
        known.other ? fmt::to_string(second_attempts_.expected_time(pair.of, *known.other, now).count())
                    : "-";
    log::info(
        "second_attempt",
        {{"request", it.request.id},
         {"verdict", std::string(to_string(verdict))},
         {"pool", it.pool},
         {"first", pair.first_to.target.id},
         {"second", known.other.value_or("-")},
         {"elapsed_ms", fmt::to_string(known.elapsed.count())},
         {"delay_ms", fmt::to_string(pair.delay->count())},
         {"rest_ms", fmt::to_string(second_attempts_.expected_rest(pair.of, known.elapsed, now).count())},
         {"expected_ms", expected},
         {"waiting", fmt::format("{}/{}", known.waiting_endpoints, known.reporting_endpoints)}});
}

void request_handler::count_second(std::string_view outcome)
{
    dependencies_.metrics
        .get_counter("limpetlock_second_attempts_total", "second attempts against slow answers",
                     {{"outcome", std::string(outcome)}})
        .add();
}

void request_handler::count_second_suppressed(second_attempt_verdict why)
{
    dependencies_.metrics
        .get_counter("limpetlock_second_attempts_suppressed_total",
                     "slow requests without a second attempt, by reason",
                     {{"reason", std::string(to_string(why))}})
        .add();
}

} // namespace limpetlock::gateway
