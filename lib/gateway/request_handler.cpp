#include "request_handler.hpp"

#include "request_context.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/capture.hpp>
#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/scope_exit.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

/// A key is accepted only while the proof of the table is younger than key_revocation_time by this margin.
constexpr duration proof_margin{300};

/// Age of the table's proof up to which an unknown route or key gets a final refusal (404 or 401). With an
/// older proof, a newer table may already have it, so the answer asks the caller to retry.
constexpr duration denial_proof_age{1'500};

constexpr duration max_retry_after{2'000};
constexpr duration retry_after_jitter{300};

/// Longest Retry-After of a request whose stages have no room: queues of stages are shorter, and the figure
/// comes from another instance.
constexpr duration max_stage_retry_after{10'000};

/// Refusal of a request that was cancelled: its caller left, or the process ends.
constexpr std::string_view cancelled_reason = "cancelled";

/// Time from the end of the stages to the first event of an idle engine.
constexpr duration engine_first_event{120};

/// Time after a request was sent by which an engine without a queue has fetched its inputs, which it does
/// before it reads the prompt. Their storage at the producers can be freed then.
constexpr duration input_fetch_time{45};

/// Parts of a prompt that a log line names.
constexpr std::size_t max_logged_parts = 8;

/// Ids of the parts that other requests may share, for a log line.
std::string shared_parts_text(const caller_request& it)
{
    const auto parts = shared_parts(it);
    if (parts.empty())
        return "-";
    const auto n = static_cast<std::ptrdiff_t>(std::min(parts.size(), max_logged_parts));
    return fmt::format("{:x}", fmt::join(parts.begin(), parts.begin() + n, ","));
}

bool is_cancellation(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const boost::system::system_error& it) {
        return it.code() == asio::error::operation_aborted;
    } catch (...) {
        return false;
    }
}

} // namespace

/// Keeps a timer in a set during its own lifetime.
class request_handler::timer_registration {
public:
    timer_registration(std::set<asio::steady_timer*>& all, asio::steady_timer& it) : all_(all), it_(&it)
    {
        all_.insert(it_);
    }
    timer_registration(const timer_registration&) = delete;
    timer_registration& operator=(const timer_registration&) = delete;
    ~timer_registration() { all_.erase(it_); }

private:
    std::set<asio::steady_timer*>& all_;
    asio::steady_timer* it_;
};

/// Keeps the timer that ends a request in a map during its own lifetime.
class request_handler::end_registration {
public:
    end_registration(std::map<asio::steady_timer*, http::exchange*>& all, asio::steady_timer& it,
                     http::exchange& io)
        : all_(all), it_(&it)
    {
        all_.emplace(it_, &io);
    }
    end_registration(const end_registration&) = delete;
    end_registration& operator=(const end_registration&) = delete;
    ~end_registration() { all_.erase(it_); }

private:
    std::map<asio::steady_timer*, http::exchange*>& all_;
    asio::steady_timer* it_;
};

request_handler::request_handler(const handler_dependencies& dependencies)
    : dependencies_(dependencies),
      random_(static_cast<std::minstd_rand::result_type>(hash64(dependencies.settings.name, 2))),
      second_attempts_(dependencies.settings.second_attempts),
      repeats_(
          dependencies.metrics.get_counter("limpetlock_repeats_total", "requests sent to a second endpoint")),
      callers_gone_(dependencies.metrics.get_counter("limpetlock_callers_gone_total",
                                                     "requests whose caller left before the answer")),
      quarantined_(dependencies.metrics.get_counter(
          "limpetlock_requests_quarantined_total",
          "requests held back because engines crashed on a part of their prompt")),
      engines_lost_(dependencies.metrics.get_counter(
          "limpetlock_engines_lost_at_begin_total",
          "attempts whose engine was lost when it had begun to answer, before a whole event")),
      limited_(dependencies.metrics.get_counter(
          "limpetlock_requests_limited_total",
          "requests refused because the endpoints of their pool take no more for their limits")),
      paused_(dependencies.metrics.get_counter(
          "limpetlock_requests_paused_total",
          "requests refused because all endpoints of their pool asked for no requests for a while")),
      evacuated_(dependencies.metrics.get_counter(
          "limpetlock_requests_evacuated_total",
          "requests refused because the endpoints of their pool are evacuated")),
      usual_choices_(dependencies.metrics.get_counter("limpetlock_endpoint_choices_total",
                                                      "endpoints that were selected by their expected time",
                                                      {{"endpoint", "usual"}})),
      other_choices_(dependencies.metrics.get_counter("limpetlock_endpoint_choices_total",
                                                      "endpoints that were selected by their expected time",
                                                      {{"endpoint", "other"}})),
      report_ages_(dependencies.metrics.get_summary(
          "limpetlock_load_report_age_ms", "age of the load reports by which endpoints were selected")),
      estimate_ratios_(dependencies.metrics.get_summary(
          "limpetlock_first_event_estimate_ratio",
          "time to the first event as a multiple of the time that was expected when the request was sent")),
      confirmations_(dependencies.metrics.get_counter(
          "limpetlock_table_confirmations_total",
          "requests that waited for a read of the table because its proof was too old")),
      unproven_tables_(dependencies.metrics.get_counter(
          "limpetlock_requests_unproven_table_total",
          "requests decided by a table whose proof was older than the bound for its adoption")),
      proof_ages_(dependencies.metrics.get_summary("limpetlock_table_proof_age_ms",
                                                   "age of the table's proof at the arrival of requests"))
{
}

request_handler::~request_handler() = default;

retry_share& request_handler::retry_share_of(const std::string& pool)
{
    const auto& bounds = dependencies_.settings.bounds;
    retry_share_options options;
    options.ratio = bounds.retry_ratio;
    options.extra = bounds.retry_extra;
    options.window = bounds.retry_window;
    return retry_shares_.try_emplace(pool, options).first->second;
}

std::size_t request_handler::fleet_size(time_point now) const
{
    return dependencies_.peers.view().size_estimate(now, min_fleet_size);
}

std::string request_handler::pick_pool(const route& it)
{
    std::uint64_t total = 0;
    for (const auto& share : it.targets)
        total += share.weight;
    if (total == 0)
        return it.targets.empty() ? std::string() : it.targets.front().pool;
    std::uint64_t point = random_() % total;
    for (const auto& share : it.targets) {
        if (point < share.weight)
            return share.pool;
        point -= share.weight;
    }
    return it.targets.back().pool;
}

duration request_handler::retry_after(const request_context& it, time_point now)
{
    const duration backlog = dependencies_.runner.backlog(it.plan, now);
    const auto jitter = static_cast<std::int64_t>(random_() % retry_after_jitter.count());
    return std::min(max_retry_after, std::max(min_retry_after, backlog / 2) + duration(jitter));
}

bool request_handler::refuse(request_context& it, int status, std::string_view reason, duration retry_after)
{
    // 503 promises that the request has not run.
    if (status == 503 && it.possible_executions > 0)
        it.refusal = {502, std::string(reason), duration{0}};
    else
        it.refusal = {status, std::string(reason), retry_after};
    return false;
}

bool request_handler::resolve(request_context& it)
{
    std::string reason;
    auto parsed = dependencies_.codec.decode_request(it.io.message(), reason);
    if (!parsed)
        return refuse(it, 400, reason, duration{0});
    it.request = std::move(*parsed);
    if (refusing_new_work_)
        return refuse(it, 503, "stopping", min_retry_after);
    it.table = dependencies_.state.table();
    if (!it.table)
        return refuse(it, 503, "no configuration yet", max_retry_after / 2);
    record_proof_age(it);
    const bool proven = it.proof_age && *it.proof_age <= denial_proof_age;
    it.matched_route = it.table->find_route(it.request.host, it.request.path);
    if (it.matched_route == nullptr)
        return proven ? refuse(it, 404, "no route", duration{0})
                      : refuse(it, 503, "configuration may be old", min_retry_after);
    const duration time_left =
        std::min(it.request.time_left.value_or(it.matched_route->timeout), it.matched_route->timeout);
    it.deadline = it.arrival + time_left;
    return authorize(it);
}

void request_handler::record_proof_age(request_context& it)
{
    it.proof_age = dependencies_.state.proof_age(boot_clock::now());
    if (it.proof_age)
        proof_ages_.observe(static_cast<double>(it.proof_age->count()));
    if (!it.proof_age || *it.proof_age > dependencies_.settings.bounds.table_adoption_time)
        unproven_tables_.add();
}

/// Checks the API key. With strict key revocation, the proof of the table must be so recent that a revoked
/// key can't be in the table any more.
bool request_handler::authorize(request_context& it)
{
    it.priority = it.matched_route->priority;
    if (!it.table->has_teams || it.matched_route->public_access)
        return true;
    const bool proven = it.proof_age && *it.proof_age <= denial_proof_age;
    if (!it.request.api_key)
        return refuse(it, 401, "no key", duration{0});
    const auto found = it.table->teams_by_key.find(*it.request.api_key);
    if (found == it.table->teams_by_key.end())
        return proven ? refuse(it, 401, "unknown key", duration{0})
                      : refuse(it, 503, "configuration may be old", min_retry_after);
    const auto& bounds = dependencies_.settings.bounds;
    const bool fresh = it.proof_age && *it.proof_age + proof_margin <= bounds.key_revocation_time;
    if (bounds.strict_key_revocation && !fresh)
        return refuse(it, 503, "no proof that the key is valid", min_retry_after);
    it.team = found->second.name;
    it.priority = found->second.priority.value_or(it.matched_route->priority);
    return true;
}

awaitable<void> request_handler::serve(http::exchange& io)
{
    using namespace asio::experimental::awaitable_operators;
    request_context it(io, boot_clock::now());
    ++in_flight_;
    const scope_exit count_down([this] { --in_flight_; });
    const bool accepted = co_await accept(it);
    if (accepted) {
        it.executor = co_await asio::this_coro::executor;
        asio::steady_timer end(it.executor, asio::steady_timer::time_point::max());
        const end_registration entry(end_timers_, end, io);
        const auto first = co_await (run(it) || io.wait_closed() || end.async_wait(as_tuple_awaitable));
        it.caller_gone = first.index() == 1;
        if (first.index() == 2)
            refuse_at_end(it);
    }
    if (it.caller_gone) {
        callers_gone_.add();
        if (it.refusal.reason.empty() || it.refusal.reason == cancelled_reason)
            it.refusal.reason = "caller gone";
    } else if (it.refusal.status != 0 && !io.answered()) {
        co_await answer_refusal(it);
    }
    log_end(it);
}

awaitable<bool> request_handler::accept(request_context& it)
{
    bool accepted = false;
    try {
        const bool present = co_await confirm_table(it);
        it.caller_gone = !present;
        accepted = present && resolve(it);
    } catch (...) {
        refuse_after_exception(it, std::current_exception());
    }
    co_return accepted;
}

awaitable<bool> request_handler::confirm_table(request_context& it)
{
    using namespace asio::experimental::awaitable_operators;
    auto& reader = dependencies_.reader;
    if (!dependencies_.state.table() || !reader.needs_confirmation(it.arrival))
        co_return true;
    confirmations_.add();
    auto first = co_await (capture(reader.confirm_table()) || it.io.wait_closed());
    if (first.index() == 0)
        std::get<0>(first).take();
    co_return first.index() == 0;
}

/// Sets the final answer of a request that the end of this process overtakes.
void request_handler::refuse_at_end(request_context& it)
{
    const bool sent = it.attempts > 0;
    it.refusal = {};
    refuse(it, sent ? 502 : 503, "the instance ends", sent ? duration{0} : min_retry_after);
}

void request_handler::end_requests()
{
    for (const auto& [timer, io] : end_timers_)
        if (!io->answered())
            timer->cancel();
}

bool request_handler::can_end(const request_context& it, time_point now) const
{
    if (!ends_at_)
        return true;
    return now + answer_times_.expected(it.matched_route->name).value_or(duration{0}) < *ends_at_;
}

/// Never throws, since serve() would wait until the caller leaves.
awaitable<void> request_handler::run(request_context& it)
{
    try {
        const bool ready = co_await prepare(it);
        if (ready)
            co_await forward(it);
    } catch (...) {
        refuse_after_exception(it, std::current_exception());
    }
}

/// Ends a request after an exception, which is also how a cancellation ends it. Only a request that was not
/// sent to any endpoint gets a status that promises that it did not run.
void request_handler::refuse_after_exception(request_context& it, const std::exception_ptr& failure)
{
    if (!is_cancellation(failure))
        log::error("request_failed", {{"id", it.request.id},
                                      {"reason", describe(failure)},
                                      {"attempts", fmt::to_string(it.attempts)},
                                      {"answered", it.io.answered() ? "yes" : "no"}});
    const std::string_view reason = is_cancellation(failure) ? cancelled_reason : "unexpected error";
    if (it.refusal.status == 0)
        refuse(it, it.attempts == 0 ? 503 : 502, reason, it.attempts == 0 ? min_retry_after : duration{0});
}

/// Chooses the pool and sets the criteria for the endpoint, then runs the stages.
awaitable<bool> request_handler::prepare(request_context& it)
{
    if (!passes_quarantine(it))
        co_return false;
    if (!can_end(it, it.arrival))
        co_return refuse(it, 503, "the instance ends before the answer would", min_retry_after);
    it.pool = pick_pool(*it.matched_route);
    retry_share_of(it.pool).record_first_attempt(it.arrival);
    if (second_attempts_.enabled())
        second_attempts_.record_first_request(it.pool, it.arrival);
    it.endpoint_criteria.pool = it.pool;
    it.endpoint_criteria.domain = dependencies_.settings.domain;
    it.endpoint_criteria.affinity_hash = prompt_affinity(it.request);
    it.endpoint_criteria.session_hash = prompt_session(it.request);
    if (dependencies_.selector.available_endpoints(it.pool).empty())
        co_return refuse_without_endpoint(it, min_retry_after);
    if (refuse_while_paused(it))
        co_return false;
    if (it.matched_route->stages.empty())
        co_return true;
    bool ready = co_await reserve_slot(it);
    if (ready)
        ready = co_await run_stages(it);
    co_return ready;
}

awaitable<bool> request_handler::run_stages(request_context& it)
{
    const auto& stages = it.matched_route->stages;
    if (it.request.stage_pieces.size() != stages.size())
        co_return refuse(it, 400, "number of pieces doesn't fit the stages of the route", duration{0});
    it.plan.request_id = it.request.id;
    it.plan.stages = stages;
    it.plan.pieces = it.request.stage_pieces;
    it.plan.key = it.request.piece_key;
    it.plan.deadline = it.deadline - engine_first_event;
    if (it.matched_route->first_event_timeout > duration{0})
        it.plan.deadline = std::min(it.plan.deadline,
                                    it.arrival + it.matched_route->first_event_timeout - engine_first_event);
    it.plan.objective_time = it.arrival + it.matched_route->objective - engine_first_event;
    it.plan.priority = it.priority;
    it.plan.tokens_per_piece = tokens_per_piece(it.request);
    // The stages run in the failure domain of the engine that the request would go to now.
    if (it.reserved_slot)
        it.plan.domain = it.reserved_slot->to.domain;
    else if (const auto engine = dependencies_.selector.select(it.endpoint_criteria, it.arrival))
        it.plan.domain = engine->domain;
    it.plan.team = it.team.value_or("");
    // Once the stages were admitted, the request isn't refused for work that arrived later.
    it.plan.admitted = it.stages_rerun;
    const duration min_time = stage_runner::minimum_time(it.plan, *it.table);
    if (refuse_stages_in_advance(it, min_time))
        co_return false;
    auto outcome = co_await run_plan(it);
    if (outcome.status == stage_status::failed && boot_clock::now() + min_time < it.plan.deadline) {
        it.plan.admitted = true;
        outcome = co_await run_plan(it);
    }
    it.stages_done = boot_clock::now();
    if (outcome.status == stage_status::done) {
        it.inputs = std::make_shared<held_results>(dependencies_.returns, std::move(outcome.inputs));
        co_return true;
    }
    const duration retry_time = outcome.status == stage_status::refused
                                    ? stage_retry_after(outcome.retry_after)
                                    : retry_after(it, boot_clock::now());
    co_return refuse(it, 503, fmt::format("stages {}: {}", to_string(outcome.status), outcome.reason),
                     retry_time);
}

/// Refuses a request whose stages can't be done in time, by figures that are certain or fresh. Returns
/// whether it did.
bool request_handler::refuse_stages_in_advance(request_context& it, duration min_time)
{
    const time_point now = boot_clock::now();
    const duration left = it.plan.deadline - now;
    chain_estimate estimate;
    if (!it.plan.admitted)
        estimate.end = dependencies_.runner.expected_time(it.plan, *it.table, now);
    auto decision = decide_admission(estimate, left);
    if (!dependencies_.settings.stages.admission)
        decision = {min_time + dependencies_.runner.backlog(it.plan, now) <= left, duration{0}};
    if (min_time <= left && decision.admitted)
        return false;
    const duration retry_time =
        decision.retry_after == duration{0} ? retry_after(it, now) : stage_retry_after(decision.retry_after);
    refuse(it, 503, "stages can't be done in time", retry_time);
    if (!it.plan.admitted) {
        dependencies_.teams.count_asked(it.plan.team, it.priority);
        dependencies_.teams.count_refused(it.plan.team, it.priority, stage_refusal::forecast);
    }
    return true;
}

/// The Retry-After of a request that has to wait this long until its stages have room. The random part keeps
/// the refused requests of one moment from coming back together.
duration request_handler::stage_retry_after(duration until_room)
{
    const duration jitter(static_cast<std::int64_t>(random_() % retry_after_jitter.count()));
    return std::clamp(until_room, min_retry_after, max_stage_retry_after) + jitter;
}

/// Runs the stages. The outcome is `late` when the deadline of the request passes first, or when the process
/// is about to end.
awaitable<stage_outcome> request_handler::run_plan(request_context& it)
{
    ++it.plan.run;
    using namespace asio::experimental::awaitable_operators;
    const duration left =
        stages_refused_ ? duration{0} : std::max(duration{0}, it.deadline - boot_clock::now());
    asio::steady_timer deadline_timer(it.executor, left);
    const timer_registration entry(stage_timers_, deadline_timer);
    auto first = co_await (capture(dependencies_.runner.run(it.plan, it.table)) ||
                           deadline_timer.async_wait(as_tuple_awaitable));
    if (first.index() == 0)
        co_return std::get<0>(first).take();
    stage_outcome out;
    out.status = stage_status::late;
    out.reason = stages_refused_ ? "the instance stops" : "time limit reached";
    co_return out;
}

void request_handler::refuse_waiting_requests()
{
    stages_refused_ = true;
    for (auto* const it : stage_timers_)
        it->cancel();
}

bool request_handler::passes_quarantine(request_context& it)
{
    const time_point now = boot_clock::now();
    const auto found = dependencies_.quarantine.find_quarantined(shared_parts(it.request), now);
    if (!found)
        return true;
    quarantined_.add();
    log::info("request_quarantined", {{"request", it.request.id},
                                      {"part", fmt::format("{:x}", found->evidence.part)},
                                      {"crashes", fmt::to_string(found->evidence.crashes.size())},
                                      {"attempts", fmt::to_string(it.attempts)},
                                      {"time_left_ms", fmt::to_string(found->time_left.count())}});
    const std::string_view reason = "engines crash on a part of the prompt";
    if (it.possible_executions == 0)
        return refuse(it, 503, reason, found->time_left);
    return refuse(it, 502, reason, duration{0});
}

/// Engines crash when they begin to write an answer, so an attempt that lost its connection then is evidence
/// against the parts of its prompt. Of the other requests of the same engine, those that wait have no byte of
/// an answer yet, and those that run began earlier. A loss before any byte is weaker evidence.
void request_handler::record_prompt_evidence(const request_context& it, const endpoint& to,
                                             const attempt_result& last)
{
    const time_point now = boot_clock::now();
    const auto parts = shared_parts(it.request);
    if (last.end == attempt_end::delivered && last.outcome == attempt_outcome::answered)
        dependencies_.quarantine.record_answer(parts, now);
    if (parts.empty() || !(last.lost_at_begin || last.lost_silently))
        return;
    const crash_sighting crash{to.id, to.started_ms, dependencies_.settings.name, now};
    if (last.lost_silently) {
        dependencies_.quarantine.record_silent_loss(parts, crash);
        return;
    }
    engines_lost_.add();
    dependencies_.quarantine.record_crash(parts, crash);
}

/// Whether the request may be sent to another endpoint after this attempt. That depends on the route, on the
/// number of attempts and on the pool's share of retries.
bool request_handler::may_retry(request_context& it, const attempt_result& last)
{
    const time_point now = boot_clock::now();
    if (it.attempts >= max_attempts || now >= it.deadline)
        return false;
    if (last.end == attempt_end::not_sent)
        return true;
    if (may_have_run(last.end)) {
        const bool resumes = it.matched_route->resumable;
        if (it.possible_executions >= it.matched_route->max_attempts ||
            !(it.matched_route->repeatable || resumes) || last.end == attempt_end::timeout)
            return false;
        if (it.streaming && !resumes)
            return false;
    }
    const bool allowed = retry_share_of(it.pool).try_acquire_retry(fleet_size(now), now);
    if (allowed)
        repeats_.add();
    return allowed;
}

/// Records the end of an attempt that the request had no answer from, or whose answer was relayed.
void request_handler::record_attempt(request_context& it, const endpoint& to, const attempt_result& last)
{
    record_prompt_evidence(it, to, last);
    if (last.end == attempt_end::delivered)
        return;
    if (may_have_run(last.end))
        ++it.possible_executions;
    log::info("sending_failed", {{"request", it.request.id},
                                 {"endpoint", to.id},
                                 {"end", std::string(to_string(last.end))},
                                 {"reason", last.reason},
                                 {"status", fmt::to_string(last.status)},
                                 {"any_event", last.any_event ? "yes" : "no"},
                                 {"parts", shared_parts_text(it.request)}});
}

awaitable<void> request_handler::forward(request_context& it)
{
    attempt_result last;
    for (;;) {
        if (!passes_quarantine(it))
            break;
        it.endpoint_criteria.suspected =
            dependencies_.quarantine.suspected_endpoints(shared_parts(it.request), boot_clock::now());
        const auto to = co_await select_endpoint(it);
        // The part may have been convicted while the request waited for a permit.
        if (!to || !passes_quarantine(it))
            break;
        if (!can_end(it, boot_clock::now())) {
            if (it.possible_executions == 0)
                refuse(it, 503, "the instance ends before the answer would", min_retry_after);
            break;
        }
        attempt_guard attempt(dependencies_.selector, *to, boot_clock::now());
        ++it.attempts;
        // What continues a stream takes another time than the request.
        if (!it.streaming && dependencies_.load_aware.is_enabled(it.pool, boot_clock::now()))
            it.estimated.emplace(dependencies_.load_aware, *to, profile_of(it), boot_clock::now());
        it.endpoint_criteria.tried.push_back(to->id);
        it.endpoint_id = to->id;
        last = co_await run_attempts(it, attempt);
        it.estimated.reset();
        if (last.end == attempt_end::delivered && last.outcome == attempt_outcome::answered)
            answer_times_.record(it.matched_route->name, boot_clock::now() - it.last_sent);
        if (last.end == attempt_end::delivered)
            co_return;
        bool again = may_retry(it, last);
        const bool needs_inputs = !it.matched_route->stages.empty() && it.inputs->handles().empty();
        if (again && (last.end == attempt_end::inputs_gone || needs_inputs))
            again = co_await rerun_stages(it);
        if (!again)
            break;
    }
    if (last.end == attempt_end::failed_answer && !it.streaming && it.refusal.status == 0) {
        http::response answer = std::move(last.answer);
        const int status = answer.status;
        co_await it.io.respond(std::move(answer));
        it.status = status;
        co_return;
    }
    refuse_after_attempts(it, last);
}

/// Runs the stages a second time, for a request whose stage results no longer exist. Returns false if they
/// already ran twice.
awaitable<bool> request_handler::rerun_stages(request_context& it)
{
    const bool first = !std::exchange(it.stages_rerun, true);
    if (!first)
        co_return false;
    it.inputs->release();
    it.endpoint_criteria.tried.clear();
    co_return co_await run_stages(it);
}

/// Sets the refusal of a request that no endpoint served. Only a request that never ran gets a status 503.
void request_handler::refuse_after_attempts(request_context& it, const attempt_result& last)
{
    if (it.streaming)
        return;
    if (it.refusal.status != 0)
        return;
    const duration wait = retry_after(it, boot_clock::now());
    if (it.possible_executions == 0 && last.reason.empty())
        refuse_without_endpoint(it, wait);
    else if (it.possible_executions == 0)
        refuse(it, 503, last.reason, wait);
    else if (last.end == attempt_end::timeout)
        refuse(it, 504, last.reason, duration{0});
    else
        refuse(it, 502, last.reason, duration{0});
}

/// Refuses a request that was sent to no endpoint, since the pool has none that takes work.
bool request_handler::refuse_without_endpoint(request_context& it, duration retry_after)
{
    const auto& selector = dependencies_.selector;
    const time_point now = boot_clock::now();
    if (!selector.available_endpoints(it.pool).empty() || selector.count_evacuated(it.pool) == 0)
        return refuse(it, 503, "no endpoint", retry_after);
    evacuated_.add();
    const auto age = dependencies_.state.proof_age(now).value_or(duration(-1));
    log::info("request_evacuated",
              {{"request", it.request.id},
               {"pool", it.pool},
               {"orders", fmt::to_string(dependencies_.state.evacuation_orders().count())},
               {"state_age_ms", fmt::to_string(age.count())}});
    return refuse(it, 503, "the endpoints are evacuated", retry_after);
}

/// A failure across a suspension of this process says nothing: time limits passed while nothing was read.
attempt_outcome request_handler::evidence_of(attempt_outcome outcome, time_point sent) const
{
    const bool failure = outcome == attempt_outcome::broken || outcome == attempt_outcome::unreachable;
    return failure && dependencies_.peers.suspended_since(sent) ? attempt_outcome::cancelled : outcome;
}

awaitable<attempt_result> request_handler::run_attempt(request_context& it, attempt_guard& to)
{
    auto opened = co_await open_attempt(it, to, input_release::after_fetch);
    if (!opened.answer)
        co_return std::move(opened.ended);
    co_return co_await relay_answer(it, to, std::move(opened));
}

awaitable<opened_attempt> request_handler::open_attempt(request_context& it, attempt_guard& to,
                                                        input_release release)
{
    const time_point now = boot_clock::now();
    opened_attempt opened;
    opened.sent = now;
    it.last_sent = now;
    forwarding_metadata extra;
    extra.time_left = std::max(duration{1}, it.deadline - now);
    extra.endpoint_id = to.target.id;
    extra.team = it.team;
    extra.inputs = it.inputs->handles();
    if (it.matched_route->generation)
        extra.priority = std::clamp(it.priority, 0, 9);
    extra.resume_after = it.framing.last_event_id();
    auto message = dependencies_.codec.encode_forwarded_request(it.io.message(), extra);
    http::answer_filter belongs_to_request = [this, &it](const http::header_list& headers) {
        return dependencies_.codec.matches_request_id(headers, it.request.id);
    };
    const auto reuse =
        it.matched_route->repeatable ? http::connection_policy::pooled : http::connection_policy::fresh;
    http::call_error error;
    asio::steady_timer fetched(it.executor, input_fetch_time);
    if (release == input_release::after_fetch &&
        !dependencies_.selector.has_waiting_requests(to.target.id, now))
        fetched.async_wait([inputs = it.inputs](const boost::system::error_code& ec) {
            if (!ec)
                inputs->release();
        });
    http::client& client =
        it.matched_route->stream ? dependencies_.engine_client : dependencies_.service_client;
    opened.answer = co_await client.open_answer(to.target.address, std::move(message), it.deadline, reuse,
                                                error, std::move(belongs_to_request));
    auto& answer = opened.answer;
    auto& out = opened.ended;
    if (!answer) {
        out = failed_attempt(error);
        out.lost_at_begin = error.code == http::errc::closed && error.answer_begun;
        out.lost_silently = error.code == http::errc::closed && error.sent && !error.answer_begun;
        if (error.code == http::errc::connection_refused)
            dependencies_.quarantine.end_of_process(to.target.id, boot_clock::now());
        to.conclude(evidence_of(out.outcome, now), boot_clock::now());
        co_return opened;
    }
    const auto metadata = dependencies_.codec.decode_answer_metadata(answer->status(), answer->headers());
    // On a connection that was in use before, an answer without an id may be a copy of an earlier one.
    if (!metadata.request_id && reuse == http::connection_policy::pooled) {
        out.end = attempt_end::broken;
        out.reason = "answer without a request id";
        to.conclude(attempt_outcome::broken, boot_clock::now());
        answer.reset();
        co_return opened;
    }
    dependencies_.prober.record_load(to.target, metadata, boot_clock::now());
    if (metadata.load)
        dependencies_.selector.record_load(to.target.id, *metadata.load, boot_clock::now());
    dependencies_.statements.record_answer(to.target, metadata, metadata.has_signature || metadata.not_run,
                                           now, boot_clock::now());
    if (metadata.not_run || metadata.wrong_endpoint) {
        out.end = metadata.inputs_gone ? attempt_end::inputs_gone : attempt_end::not_run;
        out.outcome = metadata.inputs_gone      ? attempt_outcome::answered
                      : metadata.wrong_endpoint ? attempt_outcome::replaced
                                                : attempt_outcome::overloaded;
        out.reason = fmt::format("refused with status {}", answer->status());
        to.conclude(out.outcome, boot_clock::now());
        answer.reset();
        co_return opened;
    }
    if (!metadata.has_signature || metadata.content_encoded) {
        out.end = attempt_end::broken;
        out.reason = "spoiled answer";
        to.conclude(attempt_outcome::broken, boot_clock::now());
        answer.reset();
        co_return opened;
    }
    const bool success = answer->status() >= 200 && answer->status() < 300;
    if (success)
        co_return opened;
    out = co_await relay_whole(it, *answer, true);
    out.status = answer->status();
    to.conclude(evidence_of(out.outcome, now), boot_clock::now());
    answer.reset();
    co_return opened;
}

awaitable<attempt_result> request_handler::relay_answer(request_context& it, attempt_guard& to,
                                                        opened_attempt opened)
{
    it.inputs->release();
    attempt_result out;
    if (it.matched_route->stream)
        out = co_await relay_stream(it, *opened.answer, std::move(opened.begun));
    else
        out = co_await relay_whole(it, *opened.answer, false);
    out.status = opened.answer->status();
    to.conclude(evidence_of(out.outcome, opened.sent), boot_clock::now());
    co_return out;
}

} // namespace limpetlock::gateway
