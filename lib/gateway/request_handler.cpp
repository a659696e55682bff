#include "request_handler.hpp"

#include "request_job.hpp"

#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

/// Instances that a new instance assumes before it has met the others.
constexpr std::size_t least_fleet_size = 6;

/// A key is accepted only while the proof of the table is younger than the bound by this much.
constexpr duration proof_margin{300};

/// A route or key that the table lacks is refused for good only while the proof of the table is this young;
/// with an older one it may be there already.
constexpr duration denial_proof_age{1'500};

constexpr duration first_retry_after{300};
constexpr duration longest_retry_after{2'000};

/// Time between the end of the stages and the first event at an idle engine.
constexpr duration engine_first_event{120};

/// An engine without a queue has fetched its inputs this long after the request was sent, before it reads the
/// prompt. Their room is free then.
constexpr duration input_fetch_time{45};

constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;

/// Endpoints that refuse or can't be reached, tried one after the other for one request.
constexpr std::size_t max_sendings = 5;

} // namespace

/// Marks a sending at the endpoint in the book; what is not concluded counts as given up here.
class request_handler::sending {
public:
    sending(endpoint_selector& book, endpoint to, time_point now) : target(std::move(to)), book_(book)
    {
        book_.begin_attempt(target.id, now);
    }
    sending(const sending&) = delete;
    sending& operator=(const sending&) = delete;
    ~sending() { conclude(attempt_outcome::cancelled, boot_clock::now()); }

    void conclude(attempt_outcome how, time_point now)
    {
        if (!std::exchange(open_, false))
            return;
        book_.end_attempt(target.id, how, now);
    }

    const endpoint target;

private:
    endpoint_selector& book_;
    bool open_{true};
};

/// Keeps a timer in a set for as long as it lives.
class request_handler::registration {
public:
    registration(std::set<asio::steady_timer*>& all, asio::steady_timer& it) : all_(all), it_(&it)
    {
        all_.insert(it_);
    }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;
    ~registration() { all_.erase(it_); }

private:
    std::set<asio::steady_timer*>& all_;
    asio::steady_timer* it_;
};

request_handler::request_handler(const handler_parts& parts)
    : parts_(parts), random_(static_cast<std::minstd_rand::result_type>(hash64(parts.settings.name, 2))),
      repeats_(parts.metrics.get_counter("limpetlock_repeats_total", "requests sent to a second endpoint")),
      given_up_(parts.metrics.get_counter("limpetlock_callers_gone_total",
                                          "requests whose caller left before the answer"))
{
}

request_handler::~request_handler() = default;

retry_share& request_handler::share_of(const std::string& pool)
{
    const auto& bounds = parts_.settings.bounds;
    retry_share_options options;
    options.ratio = bounds.retry_ratio;
    options.extra = bounds.retry_extra;
    options.window = bounds.retry_window;
    return shares_.try_emplace(pool, options).first->second;
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

duration request_handler::retry_after(const job& it, time_point now)
{
    const duration backlog = it.table ? parts_.chain.backlog(it.work, *it.table, now) : duration{0};
    const auto jitter = static_cast<std::int64_t>(random_() % 300);
    return std::min(longest_retry_after, std::max(first_retry_after, backlog / 2) + duration(jitter));
}

bool request_handler::refuse(job& it, int status, std::string_view reason, duration retry_after)
{
    it.refusal = {status, std::string(reason), retry_after};
    return false;
}

bool request_handler::resolve(job& it)
{
    std::string reason;
    auto parsed = parts_.names.read_request(it.io.message(), reason);
    if (!parsed)
        return refuse(it, 400, reason, duration{0});
    it.request = std::move(*parsed);
    if (refusing_)
        return refuse(it, 503, "stopping", first_retry_after);
    it.table = parts_.state.table();
    if (!it.table)
        return refuse(it, 503, "no configuration yet", longest_retry_after / 2);
    it.proof_age = parts_.state.proof_age(it.arrival);
    const bool proven = it.proof_age && *it.proof_age <= denial_proof_age;
    it.way = it.table->find_route(it.request.host, it.request.path);
    if (it.way == nullptr)
        return proven ? refuse(it, 404, "no route", duration{0})
                      : refuse(it, 503, "configuration may be old", first_retry_after);
    const duration time_left = std::min(it.request.time_left.value_or(it.way->timeout), it.way->timeout);
    it.deadline = it.arrival + time_left;
    return authorize(it);
}

/// The proof must be young enough that a key that was taken away is known to be gone.
bool request_handler::authorize(job& it)
{
    it.priority = it.way->priority;
    if (!it.table->has_teams || it.way->public_access)
        return true;
    const bool proven = it.proof_age && *it.proof_age <= denial_proof_age;
    if (!it.request.api_key)
        return refuse(it, 401, "no key", duration{0});
    const auto found = it.table->teams_by_key.find(*it.request.api_key);
    if (found == it.table->teams_by_key.end())
        return proven ? refuse(it, 401, "unknown key", duration{0})
                      : refuse(it, 503, "configuration may be old", first_retry_after);
    const auto& bounds = parts_.settings.bounds;
    const bool fresh = it.proof_age && *it.proof_age + proof_margin <= bounds.key_revoked;
    if (bounds.keys_need_proof && !fresh)
        return refuse(it, 503, "no proof that the key is valid", first_retry_after);
    it.team = found->second.name;
    it.priority = found->second.priority.value_or(it.way->priority);
    return true;
}

awaitable<void> request_handler::serve(http::exchange& io)
{
    using namespace asio::experimental::awaitable_operators;
    job it(io, boot_clock::now());
    ++in_flight_;
    const bool accepted = resolve(it);
    if (accepted) {
        it.executor = co_await asio::this_coro::executor;
        const auto first = co_await (run(it) || io.closed());
        it.caller_gone = first.index() == 1;
    }
    --in_flight_;
    if (it.caller_gone)
        given_up_.add();
    else if (it.refusal.status != 0 && !io.answered())
        co_await answer_refusal(it);
    log_end(it);
}

awaitable<void> request_handler::run(job& it)
{
    bool ready = false;
    try {
        ready = co_await prepare(it);
        if (ready)
            co_await forward(it);
    } catch (const boost::system::system_error& failure) {
        if (failure.code() != asio::error::operation_aborted)
            log::error("request_failed", {{"id", it.request.id}, {"reason", failure.what()}});
        if (it.refusal.status == 0)
            refuse(it, it.sendings == 0 ? 503 : 502, failure.what(), first_retry_after);
    }
}

/// Chooses the pool and, for a generation, the engine, so that the stages can be run near it.
awaitable<bool> request_handler::prepare(job& it)
{
    it.pool = pick_pool(*it.way);
    share_of(it.pool).record_first_attempt(it.arrival);
    it.wish.pool = it.pool;
    it.wish.domain = parts_.settings.domain;
    it.wish.affinity_hash = affinity_of(it.request);
    it.wish.session_hash = session_of(it.request);
    if (parts_.book.available_endpoints(it.pool).empty())
        co_return refuse(it, 503, "no endpoint", first_retry_after);
    bool ready = true;
    if (!it.way->stages.empty())
        ready = co_await run_stages(it);
    co_return ready;
}

awaitable<bool> request_handler::run_stages(job& it)
{
    const auto& stages = it.way->stages;
    if (it.request.stage_pieces.size() != stages.size())
        co_return refuse(it, 400, "number of pieces doesn't fit the stages of the route", duration{0});
    it.work.request_id = it.request.id;
    it.work.stages = stages;
    it.work.pieces = it.request.stage_pieces;
    it.work.key = it.request.piece_key;
    it.work.deadline = it.deadline - engine_first_event;
    if (it.way->first_event_timeout > duration{0})
        it.work.deadline =
            std::min(it.work.deadline, it.arrival + it.way->first_event_timeout - engine_first_event);
    it.work.objective_time = it.arrival + it.way->objective - engine_first_event;
    it.work.priority = it.priority;
    it.work.tokens_per_piece = worth_of(it.request);
    if (const auto engine = parts_.book.select(it.wish, it.arrival))
        it.work.domain = engine->domain;
    const duration least = stage_runner::minimum_time(it.work, *it.table);
    const duration backlog = parts_.chain.backlog(it.work, *it.table, it.arrival);
    if (it.arrival + least + backlog > it.work.deadline)
        co_return refuse(it, 503, "stages can't be done in time", retry_after(it, it.arrival));
    auto outcome = co_await run_chain(it);
    if (outcome.how == stage_status::failed && boot_clock::now() + least < it.work.deadline)
        outcome = co_await run_chain(it);
    it.stages_done = boot_clock::now();
    if (outcome.how == stage_status::done) {
        it.inputs = std::make_shared<held_results>(parts_.returns, std::move(outcome.inputs));
        co_return true;
    }
    co_return refuse(it, 503, fmt::format("stages {}: {}", to_string(outcome.how), outcome.reason),
                     retry_after(it, boot_clock::now()));
}

/// The stages, or `late` when the request's time is up first.
awaitable<stage_outcome> request_handler::run_chain(job& it)
{
    using namespace asio::experimental::awaitable_operators;
    const duration left = ending_ ? duration{0} : std::max(duration{0}, it.deadline - boot_clock::now());
    asio::steady_timer limit(it.executor, left);
    const registration entry(stage_limits_, limit);
    auto first = co_await (parts_.chain.run(it.work, it.table) || limit.async_wait(quiet));
    if (first.index() == 0)
        co_return std::move(std::get<0>(first));
    stage_outcome out;
    out.how = stage_status::late;
    out.reason = ending_ ? "the instance stops" : "time limit reached";
    co_return out;
}

void request_handler::refuse_waiting()
{
    ending_ = true;
    for (auto* const it : stage_limits_)
        it->cancel();
}

/// Whether the request may go to another endpoint after this end, by its kind, its attempts and the share of
/// repeats.
bool request_handler::may_send_again(job& it, const send_result& last)
{
    const time_point now = boot_clock::now();
    if (it.sendings >= max_sendings || now >= it.deadline)
        return false;
    if (last.how == send_end::not_sent)
        return true;
    if (may_have_run(last.how)) {
        const bool resumes = it.way->resumable;
        if (it.runs >= it.way->max_attempts || !(it.way->repeatable || resumes) ||
            last.how == send_end::timeout)
            return false;
        if (it.streaming && !resumes)
            return false;
    }
    const bool allowed =
        share_of(it.pool).try_acquire_retry(parts_.peers.view().size_estimate(now, least_fleet_size), now);
    if (allowed)
        repeats_.add();
    return allowed;
}

awaitable<void> request_handler::forward(job& it)
{
    send_result last;
    for (;;) {
        const auto to = parts_.book.select(it.wish, boot_clock::now());
        if (!to)
            break;
        sending attempt(parts_.book, *to, boot_clock::now());
        ++it.sendings;
        it.wish.tried.push_back(to->id);
        it.endpoint_id = to->id;
        last = co_await send_once(it, attempt);
        if (last.how == send_end::delivered)
            co_return;
        if (may_have_run(last.how))
            ++it.runs;
        log::info("sending_failed", {{"request", it.request.id},
                                     {"endpoint", to->id},
                                     {"end", std::string(to_string(last.how))},
                                     {"reason", last.reason}});
        bool again = may_send_again(it, last);
        const bool needs_inputs = !it.way->stages.empty() && it.inputs->handles().empty();
        if (again && (last.how == send_end::inputs_gone || needs_inputs))
            again = co_await remake_inputs(it);
        if (!again)
            break;
    }
    if (last.how == send_end::failed_answer && !it.streaming) {
        it.status = last.answer.status;
        http::response answer = std::move(last.answer);
        co_await it.io.respond(std::move(answer));
        co_return;
    }
    conclude(it, last);
}

/// Runs the stages once more, for a request whose results expired before an engine fetched them.
awaitable<bool> request_handler::remake_inputs(job& it)
{
    const bool first = !std::exchange(it.stages_rerun, true);
    if (!first)
        co_return false;
    it.inputs->release();
    it.wish.tried.clear();
    co_return co_await run_stages(it);
}

/// The final answer of a request that was given up. Only a request that never ran is refused.
void request_handler::conclude(job& it, const send_result& last)
{
    if (it.streaming)
        return;
    if (it.refusal.status != 0)
        return;
    if (it.runs == 0)
        refuse(it, 503, last.reason.empty() ? "no endpoint" : last.reason,
               retry_after(it, boot_clock::now()));
    else if (last.how == send_end::timeout)
        refuse(it, 504, last.reason, duration{0});
    else
        refuse(it, 502, last.reason, duration{0});
}

awaitable<send_result> request_handler::send_once(job& it, sending& to)
{
    const time_point now = boot_clock::now();
    forwarding_metadata extra;
    extra.time_left = std::max(duration{1}, it.deadline - now);
    extra.endpoint_id = to.target.id;
    extra.team = it.team;
    extra.inputs = it.inputs->handles();
    if (it.way->generation)
        extra.priority = std::clamp(it.priority, 0, 9);
    extra.resume_after = it.framing.last_id();
    auto message = parts_.names.forward(it.io.message(), extra);
    http::answer_filter mine = [this, &it](const http::header_list& headers) {
        return parts_.names.answers(headers, it.request.id);
    };
    const auto reuse = it.way->repeatable ? http::reuse::pooled : http::reuse::fresh;
    http::call_error error;
    asio::steady_timer fetched(it.executor, input_fetch_time);
    if (!parts_.book.has_waiting_requests(to.target.id, now))
        fetched.async_wait([inputs = it.inputs](const boost::system::error_code& ec) {
            if (!ec)
                inputs->release();
        });
    http::client& client = it.way->stream ? parts_.engines : parts_.services;
    const auto answer = co_await client.open_answer(to.target.address, std::move(message), it.deadline, reuse,
                                                    error, std::move(mine));
    send_result out;
    if (!answer) {
        out = failed_send(error);
        to.conclude(out.outcome, boot_clock::now());
        co_return out;
    }
    const auto facts = parts_.names.read_answer(answer->status(), answer->headers());
    if (facts.load)
        parts_.book.record_load(to.target.id, *facts.load, boot_clock::now());
    if (facts.not_run || facts.wrong_endpoint) {
        out.how = facts.inputs_gone ? send_end::inputs_gone : send_end::not_run;
        out.outcome = facts.inputs_gone      ? attempt_outcome::answered
                      : facts.wrong_endpoint ? attempt_outcome::replaced
                                             : attempt_outcome::full;
        out.reason = fmt::format("refused with status {}", answer->status());
        to.conclude(out.outcome, boot_clock::now());
        co_return out;
    }
    if (!facts.has_signature || facts.content_encoded) {
        out.how = send_end::broken;
        out.reason = "spoiled answer";
        to.conclude(attempt_outcome::broken, boot_clock::now());
        co_return out;
    }
    const bool success = answer->status() >= 200 && answer->status() < 300;
    if (success)
        it.inputs->release();
    if (success && it.way->stream)
        out = co_await relay_stream(it, *answer);
    else
        out = co_await relay_whole(it, *answer, !success);
    to.conclude(out.outcome, boot_clock::now());
    co_return out;
}

awaitable<send_result> request_handler::relay_whole(job& it, http::answer_reader& from, bool keep_errors)
{
    send_result out;
    http::response whole{from.status(), parts_.names.answer_headers(from.headers()), {}};
    for (;;) {
        auto bytes = co_await from.read(it.deadline);
        if (!bytes)
            break;
        whole.body += *bytes;
        if (whole.body.size() > max_answer_bytes)
            break;
    }
    if (from.error().code != http::errc::none || whole.body.size() > max_answer_bytes) {
        out = failed_send(from.error());
        out.how = from.error().code == http::errc::timeout ? send_end::timeout : send_end::broken;
        co_return out;
    }
    if (keep_errors) {
        out.how = send_end::failed_answer;
        out.outcome = from.status() >= 500 ? attempt_outcome::endpoint_error : attempt_outcome::answered;
        out.reason = fmt::format("status {}", from.status());
        out.answer = std::move(whole);
        co_return out;
    }
    it.status = whole.status;
    it.first_byte = boot_clock::now();
    co_await it.io.respond(std::move(whole));
    out.how = send_end::delivered;
    out.outcome = attempt_outcome::answered;
    co_return out;
}

awaitable<send_result> request_handler::relay_stream(job& it, http::answer_reader& from)
{
    send_result out;
    bool ok = true;
    for (;;) {
        const auto bytes = co_await from.read(it.deadline);
        if (!bytes)
            break;
        const std::string events = it.framing.feed(*bytes);
        if (events.empty())
            continue;
        if (!it.streaming) {
            it.streaming = true;
            it.status = from.status();
            it.first_byte = boot_clock::now();
            ok = co_await it.io.begin_stream(from.status(), parts_.names.answer_headers(from.headers()));
        }
        if (ok)
            ok = co_await it.io.write(events);
        if (!ok) {
            out.how = send_end::delivered;
            out.reason = "caller gone";
            co_return out;
        }
    }
    const bool whole = from.error().code == http::errc::none && it.framing.pending() == 0 && it.streaming;
    if (whole) {
        co_await it.io.finish();
        out.how = send_end::delivered;
        out.outcome = attempt_outcome::answered;
        it.complete = true;
        co_return out;
    }
    it.framing.drop_pending();
    out = failed_send(from.error());
    out.how = from.error().code == http::errc::timeout ? send_end::timeout : send_end::broken;
    co_return out;
}

awaitable<void> request_handler::answer_refusal(job& it)
{
    const nlohmann::json body{{"error", {{"status", it.refusal.status}, {"reason", it.refusal.reason}}}};
    http::response answer = http::json_response(
        it.refusal.status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (it.refusal.retry_after > duration{0})
        answer.headers.push_back(
            {"Retry-After",
             fmt::format("{:.2f}", static_cast<double>(it.refusal.retry_after.count()) / 1000)});
    if (refusing_)
        answer.headers.push_back({"Connection", "close"});
    it.status = it.refusal.status;
    co_await it.io.respond(std::move(answer));
}

void request_handler::log_end(const job& it)
{
    const time_point now = boot_clock::now();
    const auto since = [&it](time_point t) {
        return t == time_point{} ? std::string("-") : fmt::to_string((t - it.arrival).count());
    };
    log::info("request", {{"id", it.request.id},
                          {"route", it.way == nullptr ? "-" : it.way->name},
                          {"team", it.team.value_or("-")},
                          {"status", fmt::to_string(it.status)},
                          {"complete", it.complete || (it.status != 0 && !it.streaming) ? "yes" : "no"},
                          {"caller_gone", it.caller_gone ? "yes" : "no"},
                          {"reason", it.refusal.reason.empty() ? "-" : it.refusal.reason},
                          {"endpoint", it.endpoint_id.empty() ? "-" : it.endpoint_id},
                          {"sendings", fmt::to_string(it.sendings)},
                          {"stages_ms", since(it.stages_done)},
                          {"first_ms", since(it.first_byte)},
                          {"took_ms", since(now)},
                          {"table", it.table ? fmt::to_string(it.table->version) : "-"},
                          {"proof_age_ms", it.proof_age ? fmt::to_string(it.proof_age->count()) : "-"}});
    count_end(it, now);
}

void request_handler::count_end(const job& it, time_point now)
{
    const std::string name = it.way == nullptr ? "none" : it.way->name;
    parts_.metrics
        .get_counter("limpetlock_requests_total", "requests by route and status",
                     {{"route", name}, {"status", fmt::to_string(it.status)}})
        .add();
    parts_.metrics.get_summary("limpetlock_request_ms", "time to the end of the answer", {{"route", name}})
        .observe(static_cast<double>((now - it.arrival).count()));
}

} // namespace limpetlock::gateway
