#include "stage_runner.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/scope_exit.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

/// Covers the transit time of an order and its reply.
constexpr duration task_reply_margin{350};

/// A call goes on for this long beyond the margin while the instance is heard.
constexpr duration slow_reply_margin{650};

/// A task fails after this many instances, tried one after the other. When six of ten instances are lost at
/// once, one in 60 tasks meets only lost ones.
constexpr std::size_t max_assignments = 8;

constexpr duration cancel_timeout{300};

/// An independent stage starts when the stages with dependents are expected to end no later than this after
/// it. The margin covers the wait for a free endpoint.
constexpr duration alignment_margin{250};

/// The ranking of the instances is kept for this long unless the fleet changes. Ranking 300 instances takes
/// too long to be done for each task.
constexpr duration duties_lifetime{100};

/// A backlog report is ignored when it is older than this.
constexpr duration backlog_lifetime{1'500};

/// Backlogs decide on the refusal of a request only while they are younger than this: the responsible
/// instance decides by its own queue otherwise.
constexpr duration fresh_backlog_age{300};

/// Share of a full batch that a call typically holds, for the expected time of a call.
constexpr double typical_fill_share = 0.4;

duration stage_time(const stage_spec& spec, std::uint32_t pieces, const routing_table& table)
{
    const pool* const it = table.find_pool(spec.pool);
    if (it == nullptr || !it->stage)
        return duration{0};
    const double items = std::max<double>(pieces, typical_fill_share * it->stage->max_batch_pieces);
    return duration(static_cast<std::int64_t>(it->stage->call_ms + it->stage->piece_ms * items));
}

/// For each stage the expected time from its end to the end of the last stage that depends on it, directly or
/// not.
std::vector<duration> time_to_end_after(const std::vector<stage_spec>& stages,
                                        const std::vector<std::uint32_t>& pieces, const routing_table& table)
{
    std::vector<duration> out(stages.size(), duration{0});
    for (std::size_t n = stages.size(); n-- > 0;) {
        if (pieces[n] == 0)
            continue;
        const duration own = stage_time(stages[n], pieces[n], table);
        for (const auto dependency : stages[n].dependencies)
            if (dependency < n)
                out[dependency] = std::max(out[dependency], out[n] + own);
    }
    return out;
}

wire::stage_order_message to_message(const stage_task& it, const pool_key& key, time_point now)
{
    wire::stage_order_message out;
    out.pool = key.pool;
    out.request_id = it.request_id;
    out.run = static_cast<std::int32_t>(it.run);
    out.stage = static_cast<std::int32_t>(it.stage);
    out.pieces.assign(it.pieces.begin(), it.pieces.end());
    out.key = it.key;
    for (const auto& group : it.inputs) {
        wire::result_group_message message;
        message.place = group.scheduler;
        message.handles = group.handles;
        out.inputs.push_back(std::move(message));
    }
    out.time_left_ms = (it.deadline - now).count();
    out.slack_ms = (it.objective_time - now).count();
    out.domain = it.domain;
    out.result_bytes = static_cast<std::int64_t>(it.result_bytes);
    out.priority = it.priority;
    out.worth = it.tokens_per_piece;
    out.transfer_bytes = static_cast<std::int64_t>(it.transfer_bytes);
    out.group = key.domain;
    out.shard = static_cast<std::int32_t>(key.shard);
    out.shards = static_cast<std::int32_t>(key.shards);
    out.next_pools = it.next_pools;
    std::vector<wire::chain_stage_message> chain;
    for (const auto& stage : it.chain) {
        wire::chain_stage_message message;
        message.pool = stage.pool;
        message.stage = static_cast<std::int32_t>(stage.stage);
        message.pieces = static_cast<std::int32_t>(stage.pieces);
        message.time_to_end_ms = stage.time_to_end.count();
        message.after.assign(stage.after.begin(), stage.after.end());
        chain.push_back(std::move(message));
    }
    out.__set_chain(chain);
    out.__set_admitted(it.admitted);
    if (!it.team.empty())
        out.__set_team(it.team);
    return out;
}

/// Bounds of the figures in a reply.
constexpr std::size_t max_reported_pools = 64;
constexpr std::size_t max_reported_points = 16;
constexpr std::int64_t max_reported_ms = 48LL * 3'600'000;

std::map<std::string, std::vector<backlog_point>>
from_message(const std::vector<wire::pool_backlog_message>& from, time_point now)
{
    const auto bounded = [](std::int64_t ms) {
        return duration(std::clamp(ms, -max_reported_ms, max_reported_ms));
    };
    std::map<std::string, std::vector<backlog_point>> out;
    for (const auto& it : from) {
        if (out.size() >= max_reported_pools)
            break;
        const std::size_t points = std::min({it.key_ms.size(), it.before_ms.size(), max_reported_points});
        auto& to = out[it.pool];
        for (std::size_t n = 0; n < points; ++n)
            to.push_back({now + bounded(it.key_ms[n]), bounded(it.before_ms[n])});
    }
    return out;
}

/// Asks for a task that the instance has. Without the inputs and pools, the message is a fraction of an
/// order.
wire::stage_order_message to_poll(const stage_task& it)
{
    wire::stage_order_message out;
    out.request_id = it.request_id;
    out.stage = static_cast<std::int32_t>(it.stage);
    out.run = static_cast<std::int32_t>(it.run);
    out.poll = true;
    return out;
}

std::optional<stage_task_result> from_message(const wire::stage_result_message& it, std::size_t pieces)
{
    stage_task_result out;
    if (it.status < 0 || it.status > static_cast<std::int32_t>(stage_task_result::task_status::cancelled))
        return std::nullopt;
    out.status = static_cast<stage_task_result::task_status>(it.status);
    out.reason = it.reason;
    out.backlog = duration(std::max<std::int64_t>(0, it.backlog_ms));
    if (it.__isset.retry_after_ms)
        out.retry_after = duration(std::clamp<std::int64_t>(it.retry_after_ms, 0, max_reported_ms));
    out.backlogs = from_message(it.backlogs, boot_clock::now());
    for (const auto& piece : it.pieces) {
        if (piece.failure < 0 || piece.failure > static_cast<std::int32_t>(piece_failure::error))
            return std::nullopt;
        out.pieces.push_back({piece.handle, static_cast<piece_failure>(piece.failure)});
    }
    if (out.status == stage_task_result::task_status::done && out.pieces.size() != pieces)
        return std::nullopt;
    return out;
}

} // namespace

std::string_view to_string(stage_status it)
{
    static constexpr std::array<std::string_view, 5> names{"done", "late", "unavailable", "failed",
                                                           "refused"};
    return names[static_cast<std::size_t>(it)];
}

/// State of one run. The coroutines of its stages and the one that waits for them share it.
struct stage_runner::run_state {
    run_state(stage_plan it, std::shared_ptr<const routing_table> its_table, stage_group its_group,
              const asio::any_io_executor& executor)
        : plan(std::move(it)), table(std::move(its_table)), group(std::move(its_group)),
          time_to_end(time_to_end_after(plan.stages, plan.pieces, *table)), results(plan.stages.size()),
          ended(plan.stages.size(), false), assigned_to(plan.stages.size()),
          progress(executor, asio::steady_timer::time_point::max()), admitted(plan.admitted)
    {
    }

    /// Wakes the coroutines that wait for a change of the run.
    void notify()
    {
        ++changes;
        progress.cancel();
    }

    bool failed() const { return abandoned || status != stage_status::done; }

    void fail(stage_status code, std::string cause)
    {
        if (status == stage_status::done) {
            status = code;
            reason = std::move(cause);
        }
        notify();
    }

    bool dependencies_ended(std::size_t index) const
    {
        const auto& dependencies = plan.stages[index].dependencies;
        return std::all_of(dependencies.begin(), dependencies.end(),
                           [this](std::uint32_t it) { return ended[it]; });
    }

    /// Whether the stage has no dependencies and no dependents.
    bool is_independent(std::size_t index) const
    {
        return plan.stages[index].dependencies.empty() && !has_dependents(index);
    }

    /// Expected time of the open stages that have dependents, if no other pieces wait.
    duration time_of_stages_with_dependents() const
    {
        duration out{0};
        for (std::size_t n = 0; n < plan.stages.size(); ++n)
            if (!ended[n] && has_dependents(n))
                out += stage_time(plan.stages[n], plan.pieces[n], *table);
        return out;
    }

    /// Whether the stage should start now. The results of a request are fetched together, so an early result
    /// occupies memory at its endpoint until the last one is done. Hence an independent stage waits until the
    /// stages with dependents are nearly done, and a stage without dependents waits for the independent ones.
    bool is_due(std::size_t index) const
    {
        if (!dependencies_ended(index))
            return false;
        if (is_independent(index)) {
            const duration own = stage_time(plan.stages[index], plan.pieces[index], *table);
            return time_of_stages_with_dependents() <= own + alignment_margin;
        }
        if (has_dependents(index))
            return true;
        for (std::size_t n = 0; n < plan.stages.size(); ++n)
            if (n != index && !ended[n] && is_independent(n))
                return false;
        return true;
    }

    bool complete() const
    {
        return std::all_of(ended.begin(), ended.end(), [](bool it) { return it; });
    }

    /// Whether a stage that isn't skipped depends on the given one.
    bool has_dependents(std::size_t index) const
    {
        for (std::size_t n = 0; n < plan.stages.size(); ++n)
            if (plan.pieces[n] > 0)
                for (const auto dependency : plan.stages[n].dependencies)
                    if (dependency == index)
                        return true;
        return false;
    }

    bool dependents_ended(std::size_t index) const
    {
        for (std::size_t n = 0; n < plan.stages.size(); ++n)
            for (const auto dependency : plan.stages[n].dependencies)
                if (dependency == index && !ended[n])
                    return false;
        return true;
    }

    /// Pools of the stages that depend on the given one, directly or not.
    std::vector<std::string> next_pools(std::size_t index) const
    {
        std::vector<std::string> out;
        std::vector<bool> follows(plan.stages.size(), false);
        follows[index] = true;
        for (std::size_t n = index + 1; n < plan.stages.size(); ++n)
            for (const auto dependency : plan.stages[n].dependencies)
                if (follows[dependency] && plan.pieces[n] > 0 && !follows[n]) {
                    follows[n] = true;
                    out.push_back(plan.stages[n].pool);
                }
        return out;
    }

    /// The given stage and those that depend on it, directly or not.
    std::vector<chain_stage> chain(std::size_t index) const
    {
        std::vector<chain_stage> out;
        std::vector<std::optional<std::uint32_t>> places(plan.stages.size());
        for (std::size_t n = index; n < plan.stages.size(); ++n) {
            chain_stage it{
                plan.stages[n].pool, static_cast<std::uint32_t>(n), plan.pieces[n], time_to_end[n], {}};
            for (const auto dependency : plan.stages[n].dependencies)
                if (places[dependency])
                    it.after.push_back(*places[dependency]);
            if (plan.pieces[n] == 0 || (n != index && it.after.empty()))
                continue;
            places[n] = static_cast<std::uint32_t>(out.size());
            out.push_back(std::move(it));
        }
        return out;
    }

    /// Bytes that are fetched for a task: each of its pieces fetches all inputs, and each piece of a
    /// dependent stage fetches all results.
    std::uint64_t transfer_bytes(std::size_t index) const
    {
        std::uint64_t fetchers = 0;
        for (std::size_t n = 0; n < plan.stages.size(); ++n)
            for (const auto dependency : plan.stages[n].dependencies)
                fetchers += dependency == index ? plan.pieces[n] : 0;
        std::uint64_t inputs = 0;
        for (const auto dependency : plan.stages[index].dependencies)
            inputs += plan.pieces[dependency] * plan.stages[dependency].result_bytes;
        const std::uint64_t produced = plan.stages[index].result_bytes * std::max<std::uint64_t>(1, fetchers);
        return plan.pieces[index] * (produced + inputs);
    }

    std::vector<result_group> inputs_of(std::size_t index) const
    {
        std::vector<result_group> out;
        for (const auto dependency : plan.stages[index].dependencies)
            if (!results[dependency].handles.empty())
                out.push_back(results[dependency]);
        return out;
    }

    const stage_plan plan;
    const std::shared_ptr<const routing_table> table;
    const stage_group group;                 ///< of endpoints that run all stages
    const std::vector<duration> time_to_end; ///< of each stage; see time_to_end_after
    std::vector<result_group> results;       ///< of each stage; empty once its dependents ended
    std::vector<bool> ended;                 ///< whether each stage is done or skipped
    std::vector<std::string> assigned_to;    ///< instance that has the open task of each stage; empty if none
    asio::steady_timer progress;             ///< never expires; cancelled by notify
    std::uint64_t changes{0};
    stage_status status{stage_status::done};
    std::string reason;
    duration retry_after{0};
    bool admitted{false};  ///< an instance has begun to run the stages
    bool abandoned{false}; ///< the run failed or its coroutine was destroyed
};

/// Cancels the open tasks if the coroutine of the run is destroyed before its end.
class stage_runner::run_guard {
public:
    run_guard(stage_runner& owner, std::shared_ptr<run_state> it) : owner_(owner), state_(std::move(it)) {}
    run_guard(const run_guard&) = delete;
    run_guard& operator=(const run_guard&) = delete;
    ~run_guard()
    {
        if (state_)
            owner_.cancel_tasks(*state_);
    }

    void dismiss() { state_ = nullptr; }

private:
    stage_runner& owner_;
    std::shared_ptr<run_state> state_;
};

stage_runner::stage_runner(asio::any_io_executor executor, fleet& peers, stage_scheduler& local,
                           result_returns& returns, metrics::registry& metrics, bool moves_to_domains)
    : executor_(std::move(executor)), fleet_(peers), scheduler_(local), returns_(returns), metrics_(metrics),
      moves_to_domains_(moves_to_domains)
{
}

duration stage_runner::minimum_time(const stage_plan& plan, const routing_table& table)
{
    const auto time_to_end = time_to_end_after(plan.stages, plan.pieces, table);
    duration out{0};
    for (std::size_t n = 0; n < plan.stages.size(); ++n)
        if (plan.pieces[n] > 0)
            out = std::max(out, time_to_end[n] + stage_time(plan.stages[n], plan.pieces[n], table));
    return out;
}

duration stage_runner::backlog(const stage_plan& plan, time_point now) const
{
    return known_backlog(plan, choose_group(plan, now), now).value_or(duration{0});
}

/// Returns nullopt if no pool of the request has a recent reply.
std::optional<duration> stage_runner::known_backlog(const stage_plan& plan, const stage_group& group,
                                                    time_point now) const
{
    std::optional<duration> out;
    for (std::size_t n = 0; n < plan.stages.size(); ++n) {
        const auto& pool = plan.stages[n].pool;
        const auto it = backlogs_.find(key_of(layout_.group_of_pool(group, pool), pool));
        if (plan.pieces[n] > 0 && it != backlogs_.end() && now - it->second.at < backlog_lifetime)
            out = out.value_or(duration{0}) + it->second.length;
    }
    return out;
}

void stage_runner::record_backlog(const pool_key& key, duration backlog, time_point now)
{
    backlogs_.insert_or_assign(key, backlog_report{backlog, now});
}

void stage_runner::record_backlogs(const pool_key& key, stage_task_result& from, time_point now)
{
    pool_key group = key;
    group.pool.clear();
    group_reports_.insert_or_assign(std::move(group), group_report{std::move(from.backlogs), now});
}

duration stage_runner::expected_time(const stage_plan& plan, const routing_table& table, time_point now) const
{
    const auto report = group_reports_.find(key_of(choose_group(plan, now), {}));
    const bool fresh = report != group_reports_.end() && now - report->second.at < fresh_backlog_age;
    if (!fresh)
        return minimum_time(plan, table);
    const auto time_to_end = time_to_end_after(plan.stages, plan.pieces, table);
    std::vector<chain_stage> stages;
    std::vector<stage_load> loads;
    for (std::size_t n = 0; n < plan.stages.size(); ++n) {
        const auto& spec = plan.stages[n];
        stages.push_back({spec.pool, static_cast<std::uint32_t>(n), plan.pieces[n], time_to_end[n], {}});
        for (const auto dependency : spec.dependencies)
            if (dependency < n)
                stages.back().after.push_back(dependency);
        const pool* const it = table.find_pool(spec.pool);
        const auto found = report->second.pools.find(spec.pool);
        stage_load load;
        if (plan.pieces[n] > 0 && it != nullptr && it->stage) {
            load.call_time = stage_time(spec, plan.pieces[n], table);
            stage_task task;
            task.objective_time = plan.objective_time - time_to_end[n];
            task.priority = plan.priority;
            task.tokens_per_piece = plan.tokens_per_piece;
            batch_options options;
            options.call_ms = it->stage->call_ms;
            options.piece_ms = it->stage->piece_ms;
            if (found != report->second.pools.end())
                load.before =
                    time_before(found->second, order_key(task, options, now), now - report->second.at);
        }
        loads.push_back(load);
    }
    return estimate_chain(stages, loads).end;
}

awaitable<stage_outcome> stage_runner::run(stage_plan plan, std::shared_ptr<const routing_table> table)
{
    auto group = choose_group(plan, boot_clock::now());
    const auto state =
        std::make_shared<run_state>(std::move(plan), std::move(table), std::move(group), executor_);
    run_guard guard(*this, state);
    for (std::size_t n = 0; n < state->plan.stages.size(); ++n) {
        if (state->plan.pieces[n] == 0)
            state->ended[n] = true;
        else
            spawn_background(executor_, "stage", run_stage(*this, state, n));
    }
    while (!state->complete() && !state->failed()) {
        co_await state->progress.async_wait(as_tuple_awaitable);
    }
    stage_outcome out;
    out.status = state->status;
    out.reason = state->reason;
    out.retry_after = state->retry_after;
    if (out.status != stage_status::done)
        co_return out;
    guard.dismiss();
    for (std::size_t n = 0; n < state->plan.stages.size(); ++n)
        if (!state->has_dependents(n) && !state->results[n].handles.empty())
            out.inputs.push_back(std::move(state->results[n]));
    co_return out;
}

void stage_runner::cancel_tasks(run_state& state)
{
    state.abandoned = true;
    state.notify();
    for (std::size_t n = 0; n < state.results.size(); ++n) {
        returns_.return_results(std::exchange(state.results[n], {}));
        const std::string instance = std::exchange(state.assigned_to[n], {});
        const auto stage = static_cast<std::uint32_t>(n);
        if (instance == fleet_.view().own().name)
            scheduler_.cancel(state.plan.request_id, stage, state.plan.run);
        else if (!instance.empty())
            spawn_background(executor_, "stage_cancellation",
                             cancel_at(instance, state.plan.request_id, stage, state.plan.run));
    }
}

awaitable<void> stage_runner::cancel_at(std::string instance, std::string request_id, std::uint32_t stage,
                                        std::uint32_t run)
{
    wire::frame message;
    wire::stage_cancel_message body;
    body.request_id = std::move(request_id);
    body.stage = static_cast<std::int32_t>(stage);
    body.run = static_cast<std::int32_t>(run);
    message.__set_stage_cancel(body);
    co_await fleet_.call(std::move(instance), std::move(message), boot_clock::now() + cancel_timeout);
}

awaitable<void> stage_runner::run_stage(stage_runner& self, std::shared_ptr<run_state> state,
                                        std::size_t index)
{
    // An unexpected error must not leave the request waiting for its deadline.
    const scope_exit give_up([&state, index] {
        if (!state->ended[index] && !state->abandoned && !state->failed())
            state->fail(stage_status::failed, "unexpected error");
    });
    while (!state->is_due(index) && !state->failed()) {
        co_await state->progress.async_wait(as_tuple_awaitable);
    }
    if (state->failed())
        co_return;
    const stage_spec& spec = state->plan.stages[index];
    stage_task task;
    task.request_id = state->plan.request_id;
    task.run = state->plan.run;
    task.stage = static_cast<std::uint32_t>(index);
    for (std::uint32_t n = 0; n < state->plan.pieces[index]; ++n)
        task.pieces.push_back(n);
    task.inputs = state->inputs_of(index);
    if (task.inputs.empty())
        task.key = state->plan.key;
    task.deadline = state->plan.deadline - state->time_to_end[index];
    task.objective_time = state->plan.objective_time - state->time_to_end[index];
    task.domain = state->plan.domain;
    task.result_bytes = spec.result_bytes;
    task.transfer_bytes = state->transfer_bytes(index);
    task.next_pools = state->next_pools(index);
    task.priority = state->plan.priority;
    task.tokens_per_piece = state->plan.tokens_per_piece;
    task.chain = state->chain(index);
    task.team = state->plan.team;
    auto result = co_await self.run_task(state, index, std::move(task));
    result_group produced{std::exchange(state->assigned_to[index], {}), {}};
    auto failure = piece_failure::none;
    for (const auto& it : result.pieces) {
        if (!it.handle.empty())
            produced.handles.push_back(it.handle);
        else
            failure = it.failure == piece_failure::none ? piece_failure::error : it.failure;
    }
    const bool done = result.status == stage_task_result::task_status::done && failure == piece_failure::none;
    if (done && !state->abandoned)
        state->results[index] = std::move(produced);
    else
        self.returns_.return_results(std::move(produced));
    if (state->abandoned)
        co_return;
    if (result.status != stage_task_result::task_status::done) {
        state->retry_after = result.retry_after.value_or(duration{0});
        state->fail(result.retry_after ? stage_status::refused : stage_status::unavailable, result.reason);
        co_return;
    }
    if (!done) {
        state->fail(failure == piece_failure::late ? stage_status::late : stage_status::failed,
                    fmt::format("piece of stage {}: {}", index, to_string(failure)));
        co_return;
    }
    state->ended[index] = true;
    // The scheduler of this stage has returned its inputs once the endpoints had fetched them.
    for (const auto dependency : spec.dependencies)
        if (state->dependents_ended(dependency))
            state->results[dependency] = {};
    state->notify();
}

void stage_runner::set_layout(stage_layout it)
{
    if (it == layout_)
        return;
    const auto before = std::exchange(layout_, std::move(it)).divided_groups();
    const auto groups = layout_.divided_groups();
    duties_checked_at_ = {};
    if (groups == before)
        return;
    metrics_.get_gauge("limpetlock_stage_shards", "shards of the stage endpoints, if a domain has several")
        .set(static_cast<std::int64_t>(groups.size()));
    log::info("stage_shards",
              {{"shards", fmt::to_string(groups.size())}, {"before", fmt::to_string(before.size())}});
    std::erase_if(backlogs_, [now = boot_clock::now()](const auto& report) {
        return now - report.second.at >= backlog_lifetime;
    });
}

/// Returns the group of endpoints that runs the stages of a request. One instance is responsible for all
/// stage pools of a group, so it knows the queue of a later stage when it starts an earlier one.
stage_group stage_runner::choose_group(const stage_plan& plan, time_point now) const
{
    auto drawn = layout_.draw(plan.request_id, plan.domain);
    const bool second = drawn.size() > 1 && prefers_second(known_backlog(plan, drawn[0], now),
                                                           known_backlog(plan, drawn[1], now));
    return std::move(drawn[second ? 1 : 0]);
}

std::vector<std::string> stage_runner::responsible_instances(const stage_group& group, time_point now)
{
    const auto& view = fleet_.view();
    if (duties_version_ != view.version() || now - duties_checked_at_ >= duties_lifetime) {
        auto live = view.live_instances(now, true);
        if (live != duties_.members() || duties_checked_at_ == time_point{})
            duties_ = stage_duties(layout_.divided_groups(), std::move(live));
        duties_version_ = view.version();
        duties_checked_at_ = now;
    }
    return duties_.order(group);
}

/// Runs the task at the responsible instance. If that instance doesn't reply or refuses, tries the next one.
awaitable<stage_task_result> stage_runner::run_task(std::shared_ptr<run_state> state, std::size_t index,
                                                    stage_task task)
{
    const std::string& pool = state->plan.stages[index].pool;
    const auto groups = layout_.fallbacks(state->group, state->plan.request_id, pool, moves_to_domains_);
    auto group = groups.begin();
    pool_key key = key_of(*group, pool);
    stage_task_result last;
    last.reason = "no instance runs the pool";
    std::vector<std::string> tried;
    for (std::size_t n = 0; n < max_assignments && !state->abandoned; ++n) {
        const time_point now = boot_clock::now();
        std::string instance = fleet_.view().own().name;
        for (const auto& it : responsible_instances(*group, now))
            if (std::find(tried.begin(), tried.end(), it) == tried.end()) {
                instance = it;
                break;
            }
        if (task.deadline <= now || std::find(tried.begin(), tried.end(), instance) != tried.end())
            break;
        tried.push_back(instance);
        state->assigned_to[index] = instance;
        stage_task copy = task;
        pool_key target = key;
        auto result = co_await run_task_at(state, instance, std::move(target), std::move(copy));
        if (result && (result->status == stage_task_result::task_status::done || result->retry_after))
            co_return std::move(*result);
        // The instance may only be slow. It drops the task so that it doesn't run here and there.
        if (result)
            last = std::move(*result);
        else if (instance != fleet_.view().own().name)
            spawn_background(executor_, "stage_cancellation",
                             cancel_at(instance, task.request_id, task.stage, task.run));
        log::warning("stage_order_moved", {{"request", task.request_id},
                                           {"stage", fmt::to_string(task.stage)},
                                           {"pool", key.pool},
                                           {"group", responsibility_key(*group)},
                                           {"from", instance},
                                           {"reason", result ? last.reason : "no answer"}});
        // Only a group without an endpoint is left. A second instance that makes calls to the same endpoints
        // holds up those of the first one.
        const bool no_endpoints = result && result->status == stage_task_result::task_status::no_endpoints;
        if (result && result->status == stage_task_result::task_status::cancelled)
            tried.pop_back();
        if (no_endpoints && group + 1 != groups.end()) {
            key = key_of(*++group, pool);
            tried.clear();
        }
    }
    last.status = stage_task_result::task_status::refused;
    co_return last;
}

/// Asks one instance repeatedly until the task ends. Returns nullopt if the instance does not reply.
awaitable<std::optional<stage_task_result>> stage_runner::run_task_at(std::shared_ptr<run_state> state,
                                                                      std::string instance, pool_key key,
                                                                      stage_task task)
{
    const bool local = instance == fleet_.view().own().name;
    const std::size_t pieces = task.pieces.size();
    std::optional<stage_task_result> result;
    bool may_poll = false;
    std::size_t unclear_calls = 0; // in a row
    bool must_be_prompt = false;   // the last call left open whether the instance is gone
    while (!state->abandoned) {
        const time_point now = boot_clock::now();
        result.reset();
        task.admitted = state->admitted;
        if (local) {
            stage_task copy = task;
            pool_key pool = key;
            result = co_await scheduler_.run(std::move(pool), std::move(copy), reply_waits::prompt);
        } else {
            wire::frame message;
            const bool polls = std::exchange(may_poll, false);
            message.__set_stage_order(polls ? to_poll(task) : to_message(task, key, now));
            const duration wait = waits_.choose(instance, must_be_prompt);
            message.stage_order.__set_max_wait_ms(static_cast<std::int32_t>(wait.count()));
            fleet::call_terms terms;
            terms.limits.deadline = now + wait + task_reply_margin + slow_reply_margin;
            terms.limits.max_silence = reply_waits::prompt + task_reply_margin;
            terms.unclear_before = unclear_calls;
            terms.replies_soon = wait == reply_waits::prompt;
            waits_.begin(instance, wait);
            const scope_exit end_call([this, &instance, wait] { waits_.end(instance, wait); });
            const auto answer = co_await fleet_.call(instance, std::move(message), terms);
            const auto& reply = answer.reply;
            // A task that the instance has isn't started again by the repeated order.
            if (answer.unclear && boot_clock::now() < task.deadline) {
                unclear_calls += terms.replies_soon ? 1 : 0;
                must_be_prompt = true;
                continue;
            }
            must_be_prompt = false;
            unclear_calls = 0;
            if (reply && reply->__isset.stage_result) {
                result = from_message(reply->stage_result, pieces);
                if (reply->stage_result.overloaded)
                    fleet_.view().mark_overloaded(instance);
                // The instance has dropped the task or started again since the last order.
                if (polls && reply->stage_result.status == fleet::unknown_task_status)
                    continue;
                may_poll = reply->stage_result.accepts_polls;
            }
        }
        // The instance may have answered while this process was suspended, so it is asked once more.
        if (!result && fleet_.suspended_since(now) && boot_clock::now() < task.deadline)
            continue;
        if (!result)
            co_return std::nullopt;
        record_backlog(key, result->backlog, boot_clock::now());
        record_backlogs(key, *result, boot_clock::now());
        if (result->status == stage_task_result::task_status::done ||
            result->status == stage_task_result::task_status::in_progress)
            state->admitted = true;
        if (result->status != stage_task_result::task_status::in_progress)
            break;
    }
    co_return result;
}

} // namespace limpetlock::gateway
