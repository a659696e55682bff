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

/// The responsible instance replies to a task within this time, done or not, so that a dead instance is
/// noticed. The margin covers the transit time of the messages.
constexpr duration task_poll_timeout{500};
constexpr duration task_reply_margin{350};

/// A task fails after this many instances, tried one after the other. When six of ten instances are lost at
/// once, one in 60 tasks meets only lost ones.
constexpr std::size_t max_assignments = 8;

constexpr duration cancel_timeout{300};

/// An independent stage starts when the stages with dependents are expected to end no later than this after
/// it. The margin covers the wait for a free endpoint.
constexpr duration alignment_margin{250};

/// A deployment with this many endpoints in its stage pools has one responsible instance for each failure
/// domain. A smaller one has a single instance for all domains, which forms fuller batches.
constexpr std::size_t endpoints_for_domains = 24;

/// A backlog report is ignored when it is older than this.
constexpr duration backlog_lifetime{1'500};

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
    out.next_pools = it.next_pools;
    return out;
}

std::optional<stage_task_result> from_message(const wire::stage_result_message& it, std::size_t pieces)
{
    stage_task_result out;
    if (it.status < 0 || it.status > 2)
        return std::nullopt;
    out.status = static_cast<stage_task_result::task_status>(it.status);
    out.reason = it.reason;
    out.backlog = duration(std::max<std::int64_t>(0, it.backlog_ms));
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
    static constexpr std::array<std::string_view, 4> names{"done", "late", "unavailable", "failed"};
    return names[static_cast<std::size_t>(it)];
}

/// State of one run. The coroutines of its stages and the one that waits for them share it.
struct stage_runner::run_state {
    run_state(stage_plan it, std::shared_ptr<const routing_table> its_table,
              const asio::any_io_executor& executor)
        : plan(std::move(it)), table(std::move(its_table)),
          time_to_end(time_to_end_after(plan.stages, plan.pieces, *table)), results(plan.stages.size()),
          ended(plan.stages.size(), false), assigned_to(plan.stages.size()),
          progress(executor, asio::steady_timer::time_point::max())
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
    const std::vector<duration> time_to_end; ///< of each stage; see time_to_end_after
    std::vector<result_group> results;       ///< of each stage; empty once its dependents ended
    std::vector<bool> ended;                 ///< whether each stage is done or skipped
    std::vector<std::string> assigned_to;    ///< instance that has the open task of each stage; empty if none
    asio::steady_timer progress;             ///< never expires; cancelled by notify
    std::uint64_t changes{0};
    stage_status status{stage_status::done};
    std::string reason;
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
                           result_returns& returns, const endpoint_selector& selector, bool moves_to_domains)
    : executor_(std::move(executor)), fleet_(peers), scheduler_(local), returns_(returns),
      selector_(selector), moves_to_domains_(moves_to_domains)
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

duration stage_runner::backlog(const stage_plan& plan, const routing_table& table, time_point now) const
{
    const std::string group = scheduling_group(plan, table);
    duration out{0};
    for (std::size_t n = 0; n < plan.stages.size(); ++n) {
        const auto it = backlogs_.find({group, plan.stages[n].pool});
        if (plan.pieces[n] > 0 && it != backlogs_.end() && now - it->second.at < backlog_lifetime)
            out += it->second.length;
    }
    return out;
}

void stage_runner::record_backlog(const pool_key& key, duration backlog, time_point now)
{
    backlogs_.insert_or_assign(key, backlog_report{backlog, now});
}

awaitable<stage_outcome> stage_runner::run(stage_plan plan, std::shared_ptr<const routing_table> table)
{
    const auto state = std::make_shared<run_state>(std::move(plan), std::move(table), executor_);
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
            scheduler_.cancel(state.plan.request_id, stage);
        else if (!instance.empty())
            spawn_background(executor_, "stage_cancellation",
                             cancel_at(instance, state.plan.request_id, stage));
    }
}

awaitable<void> stage_runner::cancel_at(std::string instance, std::string request_id, std::uint32_t stage)
{
    wire::frame message;
    wire::stage_cancel_message body;
    body.request_id = std::move(request_id);
    body.stage = static_cast<std::int32_t>(stage);
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
        state->fail(stage_status::unavailable, result.reason);
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

/// Returns the failure domain whose endpoints run the stages; empty for all domains. In a small deployment
/// one instance is responsible for all stage pools, so it knows the queue of a later stage when it starts an
/// earlier one. In a large deployment one such instance is responsible for the endpoints of each failure
/// domain. Evacuated endpoints count too: if an order changed the groups, the queues of the old and the new
/// ones would call the same endpoints.
std::string stage_runner::scheduling_group(const stage_plan& plan, const routing_table& table) const
{
    std::size_t endpoints = 0;
    for (const auto& [name, it] : table.pools)
        if (it.stage)
            endpoints += selector_.available_endpoints(name).size() + selector_.count_evacuated(name);
    return endpoints >= endpoints_for_domains ? plan.domain : std::string();
}

/// Returns the failure domain to which a task moves that was refused in these ones: one of the others that
/// have endpoints of the pool; empty for all domains if there is none. A single queue feeds the endpoints of
/// each domain then. This doesn't depend on the orders known here: the instance that refused may know a newer
/// one.
std::string stage_runner::next_group(const std::string& pool, const std::string& request_id,
                                     const std::vector<std::string>& refused_in) const
{
    if (!moves_to_domains_)
        return {};
    std::set<std::string> domains;
    for (const auto& it : selector_.available_endpoints(pool))
        domains.insert(it.domain);
    for (const auto& it : refused_in)
        domains.erase(it);
    if (domains.empty())
        return {};
    const auto n = static_cast<std::ptrdiff_t>(hash64(request_id) % domains.size());
    return *std::next(domains.begin(), n);
}

/// Runs the task at the responsible instance. If that instance doesn't reply or refuses, tries the next one.
awaitable<stage_task_result> stage_runner::run_task(std::shared_ptr<run_state> state, std::size_t index,
                                                    stage_task task)
{
    pool_key key{scheduling_group(state->plan, *state->table), state->plan.stages[index].pool};
    stage_task_result last;
    last.reason = "no instance runs the pool";
    std::vector<std::string> tried;
    std::vector<std::string> refused_in;
    for (std::size_t n = 0; n < max_assignments && !state->abandoned; ++n) {
        const time_point now = boot_clock::now();
        std::string instance = fleet_.view().own().name;
        for (const auto& it :
             by_responsibility("stages/" + key.domain, fleet_.view().live_instances(now, true)))
            if (std::find(tried.begin(), tried.end(), it.name) == tried.end()) {
                instance = it.name;
                break;
            }
        if (task.deadline <= now || std::find(tried.begin(), tried.end(), instance) != tried.end())
            break;
        tried.push_back(instance);
        state->assigned_to[index] = instance;
        stage_task copy = task;
        pool_key target = key;
        auto result = co_await run_task_at(state, instance, std::move(target), std::move(copy));
        if (result && result->status == stage_task_result::task_status::done)
            co_return std::move(*result);
        if (result)
            last = std::move(*result);
        log::warning("stage_order_moved", {{"request", task.request_id},
                                           {"stage", fmt::to_string(task.stage)},
                                           {"pool", key.pool},
                                           {"from", instance},
                                           {"reason", result ? last.reason : "no answer"}});
        // The failure domain may have no endpoint of the pool left, so others are used instead.
        if (result && !key.domain.empty()) {
            refused_in.push_back(key.domain);
            key.domain = next_group(key.pool, task.request_id, refused_in);
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
    while (!state->abandoned) {
        const time_point now = boot_clock::now();
        result.reset();
        if (local) {
            stage_task copy = task;
            pool_key pool = key;
            result = co_await scheduler_.run(std::move(pool), std::move(copy), task_poll_timeout);
        } else {
            wire::frame message;
            message.__set_stage_order(to_message(task, key, now));
            auto reply = co_await fleet_.call(instance, std::move(message),
                                              now + task_poll_timeout + task_reply_margin);
            if (reply && reply->__isset.stage_result)
                result = from_message(reply->stage_result, pieces);
        }
        // The instance may have answered while this process was suspended, so it is asked once more.
        if (!result && fleet_.suspended_since(now) && boot_clock::now() < task.deadline)
            continue;
        if (!result)
            co_return std::nullopt;
        record_backlog(key, result->backlog, boot_clock::now());
        if (result->status != stage_task_result::task_status::in_progress)
            break;
    }
    co_return result;
}

} // namespace limpetlock::gateway
