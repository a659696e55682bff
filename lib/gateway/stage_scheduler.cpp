#include "stage_scheduler.hpp"

#include "result_releaser.hpp"

#include <limpetlock/gateway/cached_estimate.hpp>
#include <limpetlock/support/background.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/scope_exit.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

/// Interval at which waiting pieces are checked, since back-offs of endpoints end and deadlines of pieces
/// pass without an event.
constexpr duration tick_interval{25};

/// The event loop is late if the last tick was this long ago.
constexpr duration late_tick{200};

/// A task that no instance requested for this long is dropped, and its results are released: the instance
/// that submitted it is gone.
constexpr duration abandoned_after{2'500};

/// Time after a call was sent by which the endpoint has fetched its inputs: one or two megabytes over the
/// links of stage endpoints.
constexpr duration input_fetch_time{40};

/// A pool is congested for a task when the work that precedes the task takes longer than this: the time of
/// one and a half calls.
constexpr duration congested_backlog{700};

/// Another instance may still make calls to the endpoints for this long after this one began to: instances
/// that start or meet again need this time to agree who is responsible.
constexpr duration takeover_time{3'000};

/// Interval of the check which endpoints are avoided.
constexpr duration avoided_log_interval{250};

/// An endpoint without a permit gets no calls for this long at most, since its limit may end meanwhile.
constexpr duration max_hold{1'000};

/// A pool that nobody asked for in this time is dropped, for instance after its shard moved to another
/// instance. It is longer than any result is stored, so no storage is forgotten.
constexpr duration pool_retention{60'000};
constexpr duration idle_check_interval{1'000};

std::vector<std::string> handles_of(const std::vector<result_group>& groups)
{
    std::vector<std::string> out;
    for (const auto& it : groups)
        out.insert(out.end(), it.handles.begin(), it.handles.end());
    return out;
}

std::vector<std::string> handles_of(const std::vector<piece_result>& results)
{
    std::vector<std::string> out;
    for (const auto& it : results)
        if (!it.handle.empty())
            out.push_back(it.handle);
    return out;
}

/// For the order keys in a pool that this instance doesn't have.
const batch_options default_batch_options;

/// The group of a pool, as a key without the pool: the same instance is responsible for all pools of a group.
pool_key group_of(pool_key key)
{
    key.pool.clear();
    return key;
}

/// Name of an element of batch_vacancy::places_by_reason.
std::string_view vacancy_reason(std::size_t n)
{
    return n < pass_over_reason_count ? to_string(static_cast<pass_over_reason>(n)) : "queue_empty";
}

/// The empty places of a call by reason, such as "size:3,deferred:1"; "-" for a full call.
std::string vacancy_text(const batch_vacancy& it)
{
    const auto places = it.places_by_reason();
    std::string out;
    for (std::size_t n = 0; n < places.size(); ++n)
        if (places[n] > 0)
            out += fmt::format("{}{}:{}", out.empty() ? "" : ",", vacancy_reason(n), places[n]);
    return out.empty() ? "-" : out;
}

} // namespace

/// A task of this or another instance and its results so far.
struct stage_scheduler::open_task {
    open_task(stage_task it, pool_key its_pool, const asio::any_io_executor& executor)
        : task(std::make_shared<const stage_task>(std::move(it))), pool(std::move(its_pool)),
          results(task->pieces.size()), has_result(task->pieces.size(), false), done(executor),
          missing_results(task->pieces.size())
    {
        done.expires_at(asio::steady_timer::time_point::max());
    }

    /// Handles of the results so far.
    std::vector<std::string> handles() const { return handles_of(results); }

    std::shared_ptr<const stage_task> task;
    pool_key pool;
    std::vector<piece_result> results;
    std::vector<bool> has_result;
    asio::steady_timer done; ///< cancelled when the task ends
    std::size_t missing_results;
    std::size_t started_pieces{0}; ///< pieces that are in a call or done
    bool inputs_released{false};
    bool cancelled{false};
    bool evacuated{false}; ///< cancelled because the endpoints of its pool get no more work
    time_point last_requested{};
};

struct stage_scheduler::pool_state {
    stage_dispatcher dispatcher;
    duration result_lifetime{0};
    bool evacuated{false};                    ///< has endpoints, but they are all evacuated
    std::map<std::string, avoidance> avoided; ///< endpoints and reasons as they were logged last
    std::vector<std::string> listed;   ///< ids of the endpoints in the domain; only with several shards
    std::vector<std::uint32_t> shards; ///< of each of them
    time_point last_requested{};
    time_point opened{boot_clock::now()}; ///< when this instance began to schedule the pool
    cached_estimate backlog;              ///< that replies state
};

pool_key key_of(const stage_group& group, std::string pool)
{
    return {group.domain, std::move(pool), group.shard, group.shards};
}

stage_scheduler::stage_scheduler(asio::any_io_executor executor, const platform_codec& codec,
                                 http::client& client, result_releaser& releaser,
                                 endpoint_statements& statements, permit_issuer& issuer,
                                 metrics::registry& metrics, team_counters& teams, loop_monitor& monitor,
                                 stage_capacity_settings settings, inputs_fetched_handler on_inputs_fetched)
    : executor_(std::move(executor)), codec_(codec), client_(client), releaser_(releaser),
      statements_(statements), issuer_(issuer), on_inputs_fetched_(std::move(on_inputs_fetched)),
      metrics_(metrics),
      calls_(metrics.get_counter("limpetlock_stage_calls_total", "calls to endpoints of stage pools")),
      pieces_(metrics.get_counter("limpetlock_stage_pieces_total", "pieces sent in stage calls")),
      repeated_pieces_(metrics.get_counter("limpetlock_stage_pieces_repeated_total", "pieces sent again")),
      evacuated_tasks_(metrics.get_counter("limpetlock_stage_tasks_evacuated_total",
                                           "tasks ended because their endpoints were evacuated")),
      repeated_replies_(metrics.get_counter("limpetlock_stage_replies_repeated_total",
                                            "results sent again because the first reply was lost")),
      teams_(teams), monitor_(monitor), settings_(settings)
{
    spawn_loop(executor_, "stage_tick_loop", [this] { return tick_loop(); });
}

stage_scheduler::~stage_scheduler() = default;

std::size_t stage_scheduler::open_task_count() const
{
    return static_cast<std::size_t>(std::count_if(open_tasks_.begin(), open_tasks_.end(), [](const auto& it) {
        return it.second->missing_results > 0 && !it.second->cancelled;
    }));
}

std::size_t stage_scheduler::waiting_piece_count() const
{
    return std::accumulate(pools_.begin(), pools_.end(), std::size_t{0}, [](std::size_t sum, const auto& it) {
        return sum + it.second->dispatcher.waiting();
    });
}

void stage_scheduler::configure(std::shared_ptr<const routing_table> table, std::vector<endpoint> endpoints)
{
    table_ = std::move(table);
    endpoints_ = std::move(endpoints);
    for (const auto& [key, state] : pools_) {
        configure(key, *state);
        end_evacuated_tasks(key);
        dispatch_calls(key);
    }
}

void stage_scheduler::configure(const pool_key& key, pool_state& state)
{
    const pool* const it = table_ ? table_->find_pool(key.pool) : nullptr;
    if (it == nullptr || !it->stage)
        return;
    std::vector<endpoint> members;
    std::copy_if(endpoints_.begin(), endpoints_.end(), std::back_inserter(members),
                 [&key](const endpoint& e) {
                     return e.pool == key.pool && (key.domain.empty() || e.domain == key.domain);
                 });
    if (key.shards > 1) {
        std::vector<std::string> ids;
        ids.reserve(members.size());
        for (const auto& e : members)
            ids.push_back(e.id);
        if (ids != state.listed) {
            state.shards = assign_to_shards(ids, key.shards);
            state.listed = std::move(ids);
        }
        std::size_t n = 0;
        std::erase_if(members, [&](const endpoint&) { return state.shards[n++] != key.shard; });
    }
    state.result_lifetime = it->stage->result_lifetime;
    const bool any_evacuated =
        std::any_of(members.begin(), members.end(), [](const endpoint& e) { return e.evacuated; });
    state.dispatcher.configure(*it->stage, std::move(members));
    state.evacuated = any_evacuated && !state.dispatcher.has_endpoints();
}

/// Ends the tasks of the pool whose pieces wait for endpoints that get no more work, so that the instances
/// that submitted them use the endpoints of other failure domains at once. Tasks whose pieces are all in
/// calls or done run to completion.
void stage_scheduler::end_evacuated_tasks(const pool_key& key)
{
    const auto& state = *pools_.at(key);
    if (!state.evacuated || state.dispatcher.waiting() == 0)
        return;
    std::vector<std::shared_ptr<open_task>> ended;
    for (const auto& [id, it] : open_tasks_)
        if (it->pool == key && it->missing_results > 0 && it->started_pieces < it->task->pieces.size())
            ended.push_back(it);
    for (const auto& it : ended) {
        evacuated_tasks_.add();
        log::info("stage_task_evacuated", {{"request", it->task->request_id},
                                           {"stage", fmt::to_string(it->task->stage)},
                                           {"pool", key.pool},
                                           {"domain", key.domain.empty() ? "-" : key.domain},
                                           {"pieces", fmt::to_string(it->task->pieces.size())},
                                           {"started_pieces", fmt::to_string(it->started_pieces)}});
        it->evacuated = true;
        cancel(it->task->request_id, it->task->stage, it->task->run);
    }
}

/// Returns nullptr for a pool that the table doesn't have.
stage_scheduler::pool_state* stage_scheduler::find_pool(const pool_key& key)
{
    const auto found = pools_.find(key);
    if (found != pools_.end())
        return found->second.get();
    const pool* const it = table_ ? table_->find_pool(key.pool) : nullptr;
    if (it == nullptr || !it->stage)
        return nullptr;
    auto state = std::make_unique<pool_state>();
    state->dispatcher.set_team_turns(settings_.team_turns);
    state->dispatcher.set_admission(settings_.admission);
    configure(key, *state);
    state->last_requested = boot_clock::now();
    log::info("stage_pool_opened", {{"pool", key.pool},
                                    {"domain", key.domain.empty() ? "-" : key.domain},
                                    {"shard", fmt::to_string(key.shard)},
                                    {"shards", fmt::to_string(key.shards)}});
    return pools_.emplace(key, std::move(state)).first->second.get();
}

/// Selects the tasks to defer: the first stage of a request waits while a later stage is congested by
/// work that precedes the request there. Its results would wait for that stage, occupy storage at their
/// producer and expire. A request that would miss its objective behind that work waits too: if it started
/// now, it would only delay others.
task_filter stage_scheduler::congestion_filter(const stage_group& group, time_point now) const
{
    const auto profiles = std::make_shared<std::map<std::string, backlog_profile>>();
    return [this, group, now, profiles](const stage_task& task) {
        if (!task.inputs.empty())
            return false;
        duration delay_to_next{0};
        const duration slack = task.objective_time - now;
        const duration max_backlog =
            slack > duration{0} ? std::min(slack, congested_backlog) : congested_backlog;
        for (const auto& name : task.next_pools) {
            const auto it = pools_.find(key_of(group, name));
            if (it == pools_.end() || !it->second->dispatcher.has_endpoints())
                continue;
            const auto& next = it->second->dispatcher;
            auto profile = profiles->find(name);
            if (profile == profiles->end())
                profile = profiles->emplace(name, next.profile(now)).first;
            delay_to_next += profile->second.typical_call_time();
            // A later stage has its objective later, by about one call for each stage in between.
            stage_task next_task;
            next_task.objective_time = task.objective_time + delay_to_next;
            next_task.priority = task.priority;
            next_task.tokens_per_piece = task.tokens_per_piece;
            next_task.team = task.team;
            const auto item = make_order_item(next_task, task.pieces.size(), next.options(), now);
            if (profile->second.time_before(item) > max_backlog)
                return true;
        }
        return false;
    };
}

/// The profiles are kept for a while, since each one sorts all waiting tasks of its pool.
stage_scheduler::group_profiles& stage_scheduler::profiles_of(const pool_key& group, time_point now)
{
    auto& out = group_profiles_[group_of(group)];
    if (now - out.at < estimate_lifetime(out.waiting_pieces))
        return out;
    out = {now, 0, {}, {}};
    const task_filter deferred = congestion_filter(group.group(), now);
    for (const auto& [key, state] : pools_)
        if (group_of(key) == group_of(group) && state->dispatcher.has_endpoints()) {
            out.waiting_pieces += state->dispatcher.waiting();
            out.pools.emplace(key.pool, state->dispatcher.profile(now, deferred));
        }
    std::set<task_key> counted;
    for (const auto& [id, it] : open_tasks_) {
        if (group_of(it->pool) != group_of(group) || it->missing_results == 0)
            continue;
        for (std::size_t n = 1; n < it->task->chain.size(); ++n)
            if (counted.insert({id.request_id, it->task->chain[n].stage, id.run}).second)
                add_stage(group, *it->task, it->task->chain[n], out, now);
    }
    for (const auto& [pool, profile] : out.pools)
        if (auto outline = profile.outline(); !outline.empty())
            out.outlines.emplace(pool, std::move(outline));
    return out;
}

order_item stage_scheduler::order_item_of(const pool_key& group, const stage_task& task,
                                          const chain_stage& later, time_point now) const
{
    pool_key key = group;
    key.pool = later.pool;
    const auto found = pools_.find(key);
    const batch_options& options =
        found == pools_.end() ? default_batch_options : found->second->dispatcher.options();
    return make_order_item(later_task(task, later), later.pieces, options, now);
}

/// Counts a stage of a request that doesn't wait in its queue yet.
void stage_scheduler::add_stage(const pool_key& group, const stage_task& task, const chain_stage& later,
                                group_profiles& to, time_point now) const
{
    const auto profile = to.pools.find(later.pool);
    if (profile != to.pools.end())
        profile->second.add(order_item_of(group, task, later, now));
}

std::map<std::string, std::vector<backlog_point>> stage_scheduler::outlines_of(const pool_key& group,
                                                                               time_point now)
{
    return profiles_of(group, now).outlines;
}

/// Returns the refusal of a task whose stages can't all be done in time; nullopt if the task is admitted.
std::optional<stage_task_result> stage_scheduler::refusal_of(const pool_key& key, const stage_task& task,
                                                             time_point now)
{
    if (!settings_.admission || !task.inputs.empty() || task.chain.empty() || task.admitted)
        return std::nullopt;
    const work_timer timer(monitor_, work_kind::admission);
    teams_.count_asked(task.team, task.priority);
    auto& group = profiles_of(key, now);
    std::vector<stage_load> loads;
    duration longest_queue{0}; // at the place of the request
    for (const auto& it : task.chain) {
        const auto profile = group.pools.find(it.pool);
        stage_load load;
        if (profile != group.pools.end()) {
            const auto item = order_item_of(key, task, it, now);
            load.call_time = profile->second.call_time(it.pieces);
            const duration slack = later_task(task, it).objective_time - now - load.call_time;
            longest_queue = std::max(longest_queue, profile->second.time_before(item));
            load.before =
                std::max(duration{0}, profile->second.least_time_before(item, slack) - (now - group.at));
        }
        loads.push_back(load);
    }
    const auto estimate = estimate_chain(task.chain, loads);
    const duration time_left = task.deadline + task.chain.front().time_to_end - now;
    auto decision = decide_admission(estimate, time_left);
    // Once the work before it is done, a request has room, also if it would have to wait longer as a late
    // one.
    decision.retry_after = std::min(decision.retry_after, longest_queue);
    if (decision.admitted) {
        teams_.count_admitted(task.team, task.priority);
        for (const auto& it : task.chain)
            add_stage(key, task, it, group, now);
        return std::nullopt;
    }
    teams_.count_refused(task.team, task.priority, stage_refusal::no_room);
    const std::string& bottleneck = task.chain[estimate.bottleneck].pool;
    log::info("stage_chain_refused", {{"request", task.request_id},
                                      {"team", task.team.empty() ? "-" : task.team},
                                      {"priority", fmt::to_string(task.priority)},
                                      {"pool", bottleneck},
                                      {"pool_wait_ms", fmt::to_string(estimate.wait.count())},
                                      {"expected_ms", fmt::to_string(estimate.end.count())},
                                      {"left_ms", fmt::to_string(time_left.count())},
                                      {"profile_age_ms", fmt::to_string((now - group.at).count())},
                                      {"retry_after_ms", fmt::to_string(decision.retry_after.count())}});
    stage_task_result out;
    out.reason = "no room in pool " + bottleneck;
    out.retry_after = decision.retry_after;
    return out;
}

awaitable<void> stage_scheduler::tick_loop()
{
    for (;;) {
        co_await sleep_for(tick_interval);
        const time_point now = boot_clock::now();
        for (const auto& [key, state] : pools_)
            state->dispatcher.tick(now);
        last_tick_ = now;
        expire(now);
        log_avoided_endpoints(now);
        remove_idle_pools(now);
        for (const auto& [key, state] : pools_)
            if (state->dispatcher.waiting() > 0) {
                // Pieces of calls that failed since the order wait again.
                end_evacuated_tasks(key);
                dispatch_calls(key);
            }
    }
}

metrics::gauge& stage_scheduler::avoided_gauge(const pool_key& key)
{
    return metrics_.get_gauge(
        "limpetlock_stage_endpoints_avoided",
        "endpoints of a stage pool that get no calls, for failures, slowness or their own wish",
        {{"pool", key.pool}, {"domain", key.domain}});
}

void stage_scheduler::remove_idle_pools(time_point now)
{
    if (now - idle_checked_at_ < idle_check_interval)
        return;
    idle_checked_at_ = now;
    for (auto it = pools_.begin(); it != pools_.end();) {
        const auto& [key, state] = *it;
        const duration kept = std::max(pool_retention, state->result_lifetime);
        if (now - state->last_requested < kept || !state->dispatcher.idle()) {
            ++it;
            continue;
        }
        log::info("stage_pool_closed", {{"pool", key.pool},
                                        {"domain", key.domain.empty() ? "-" : key.domain},
                                        {"shard", fmt::to_string(key.shard)},
                                        {"shards", fmt::to_string(key.shards)}});
        avoided_gauge(key).set(0);
        it = pools_.erase(it);
    }
}

/// Logs which endpoints begin and cease to be avoided. Short back-offs are left out: a refusal for lack of
/// capacity says no more than the line of its call.
void stage_scheduler::log_avoided_endpoints(time_point now)
{
    if (now - avoided_logged_at_ < avoided_log_interval)
        return;
    avoided_logged_at_ = now;
    for (const auto& [key, state] : pools_) {
        std::map<std::string, avoidance> next;
        for (const auto& it : state->dispatcher.avoided_endpoints(now)) {
            if (it.reason == avoidance::overloaded || it.reason == avoidance::no_storage)
                continue;
            next.emplace(it.id, it.reason);
            const auto before = state->avoided.find(it.id);
            if (before == state->avoided.end() || before->second != it.reason)
                log::info("stage_endpoint_avoided",
                          {{"pool", key.pool},
                           {"domain", key.domain.empty() ? "-" : key.domain},
                           {"endpoint", it.id},
                           {"reason", std::string(to_string(it.reason))},
                           {"left_ms", fmt::to_string(it.left.count())},
                           {"slowness", fmt::format("{:.2f}", it.slowness)},
                           {"waiting", fmt::to_string(state->dispatcher.waiting())}});
        }
        for (const auto& [id, reason] : state->avoided)
            if (!next.contains(id))
                log::info("stage_endpoint_used_again", {{"pool", key.pool},
                                                        {"domain", key.domain.empty() ? "-" : key.domain},
                                                        {"endpoint", id},
                                                        {"reason", std::string(to_string(reason))}});
        state->avoided = std::move(next);
        avoided_gauge(key).set(static_cast<std::int64_t>(state->avoided.size()));
    }
}

awaitable<stage_task_result> stage_scheduler::run(pool_key key, stage_task task, duration max_wait)
{
    stage_task_result out;
    pool_state* const state = find_pool(key);
    const task_key task_id = id_of(task);
    if (auto again = repeat_reply(task_id, key, boot_clock::now()))
        co_return std::move(*again);
    // A task whose pieces are all in calls runs to completion although its endpoints were evacuated since.
    const auto open = open_tasks_.find(task_id);
    const bool is_open = open != open_tasks_.end() && !open->second->cancelled;
    const bool runs = state != nullptr && state->evacuated && is_open && open->second->pool == key;
    if (state == nullptr || (!state->dispatcher.has_endpoints() && !runs)) {
        // Without a table or list, another instance may know the endpoints.
        if (state != nullptr && !endpoints_.empty())
            out.status = stage_task_result::task_status::no_endpoints;
        out.reason = "no endpoints in pool " + key.pool;
        co_return out;
    }
    const time_point now = boot_clock::now();
    state->last_requested = now;
    if (!is_open) {
        auto refusal = refusal_of(key, task, now);
        if (refusal) {
            refusal->backlogs = outlines_of(key, now);
            co_return std::move(*refusal);
        }
    }
    auto& slot = open_tasks_[task_id];
    if (!slot || slot->cancelled) {
        slot = std::make_shared<open_task>(std::move(task), key, executor_);
        state->dispatcher.submit(slot->task, now);
        slot->last_requested = now;
        // In a process that is late, the next tick dispatches the task: a cancellation that waits behind the
        // order has to be handled before.
        if (now - last_tick_ < late_tick)
            dispatch_calls(key);
    }
    const auto it = slot;
    it->last_requested = now;
    if (it->missing_results > 0 && !it->cancelled) {
        asio::steady_timer timeout(executor_, max_wait);
        timeout.async_wait([it](const boost::system::error_code& ec) {
            if (!ec)
                it->done.cancel();
        });
        co_await it->done.async_wait(as_tuple_awaitable);
    }
    set_backlog(out, key, boot_clock::now());
    if (it->cancelled) {
        out.status = it->evacuated ? stage_task_result::task_status::no_endpoints
                                   : stage_task_result::task_status::cancelled;
        out.reason = it->evacuated ? "endpoints of pool " + key.pool + " are evacuated" : "cancelled";
        co_return out;
    }
    if (it->missing_results > 0) {
        out.status = stage_task_result::task_status::in_progress;
        co_return out;
    }
    out.status = stage_task_result::task_status::done;
    out.pieces = it->results;
    // Two orders may wait for the task, the first of them on a connection that is lost.
    if (open_tasks_.erase(task_id) > 0)
        delivered_.record(task_id, out.pieces, boot_clock::now());
    co_return out;
}

/// Returns the reply for a task that was completed a short time ago.
std::optional<stage_task_result> stage_scheduler::repeat_reply(const task_key& id, const pool_key& key,
                                                               time_point now)
{
    auto results = delivered_.find(id, now);
    if (!results)
        return std::nullopt;
    repeated_replies_.add();
    log::info("stage_reply_repeated",
              {{"request", id.request_id}, {"stage", fmt::to_string(id.stage)}, {"pool", key.pool}});
    stage_task_result out;
    out.status = stage_task_result::task_status::done;
    out.pieces = std::move(*results);
    if (pools_.contains(key))
        set_backlog(out, key, now);
    return out;
}

awaitable<std::optional<stage_task_result>> stage_scheduler::poll(std::string request_id, std::uint32_t stage,
                                                                  std::uint32_t run, duration max_wait)
{
    if (auto again = repeat_reply({request_id, stage, run}, {}, boot_clock::now()))
        co_return again;
    const auto found = open_tasks_.find({request_id, stage, run});
    if (found == open_tasks_.end() || found->second->cancelled)
        co_return std::nullopt;
    pool_key key = found->second->pool;
    stage_task task;
    task.request_id = std::move(request_id);
    task.stage = stage;
    task.run = run;
    auto out = co_await this->run(std::move(key), std::move(task), max_wait);
    co_return out;
}

/// States the backlog of a pool, and those of its group, in a reply.
void stage_scheduler::set_backlog(stage_task_result& out, const pool_key& key, time_point now)
{
    const work_timer timer(monitor_, work_kind::estimate);
    auto& state = *pools_.at(key);
    if (!state.backlog.get(now))
        state.backlog.set(state.dispatcher.backlog_ahead(now, congestion_filter(key.group(), now)),
                          state.dispatcher.waiting(), now);
    out.backlog = state.backlog.get(now).value_or(duration{0});
    if (settings_.admission)
        out.backlogs = outlines_of(key, now);
}

void stage_scheduler::cancel(const std::string& request_id, std::uint32_t stage, std::uint32_t run)
{
    const work_timer timer(monitor_, work_kind::removal);
    if (const auto undelivered = handles_of(delivered_.remove({request_id, stage, run}));
        !undelivered.empty())
        release(undelivered);
    const auto found = open_tasks_.find({request_id, stage, run});
    if (found == open_tasks_.end())
        return;
    const auto it = found->second;
    open_tasks_.erase(found);
    it->cancelled = true;
    it->done.cancel();
    release(it->handles());
    if (const auto pool = pools_.find(it->pool); pool != pools_.end())
        pool->second->dispatcher.cancel(request_id, stage, run);
}

void stage_scheduler::dispatch_calls(const pool_key& key)
{
    auto& state = *pools_.at(key);
    const time_point now = boot_clock::now();
    // After a suspension, the tasks that other instances have taken elsewhere meanwhile must not run here
    // too.
    if (now - last_tick_ > abandoned_after)
        expire(now);
    const work_timer timer(monitor_, work_kind::dispatch);
    const task_filter deferred = congestion_filter(key.group(), now);
    hold_back_by_statements(key, now);
    while (auto call = state.dispatcher.next_call(now, deferred)) {
        if (const auto limit = statements_.limit_of(call->to.id, now))
            issuer_.request({call->to.id, limit->max_rate, duration{0}, {}, limit->max_saved, limit->cold},
                            now);
        spawn_background(executor_, "stage_call", make_call(key, std::move(*call)));
    }
}

/// Makes no calls to endpoints that want none now, and to those without a permit. This instance makes all
/// calls to the pool's endpoints, so it issues their permits itself.
void stage_scheduler::hold_back_by_statements(const pool_key& key, time_point now)
{
    if (statements_.count() == 0 && !statements_.any_paused(now))
        return;
    auto& dispatcher = pools_.at(key)->dispatcher;
    for (const auto& it : endpoints_) {
        if (it.pool != key.pool)
            continue;
        if (const auto until = statements_.paused_until(it.id, now))
            dispatcher.hold_back(it.id, *until);
        const auto limit = statements_.limit_of(it.id, now);
        if (!limit)
            continue;
        const duration wait = issuer_.time_to_permit(it.id, limit->max_rate, limit->max_saved, now);
        if (wait > duration{0})
            dispatcher.hold_back(it.id, now + std::min(wait, max_hold));
    }
}

void stage_scheduler::dispatch_group(const stage_group& group)
{
    for (const auto& [key, state] : pools_)
        if (key.group() == group && state->dispatcher.waiting() > 0)
            dispatch_calls(key);
}

awaitable<void> stage_scheduler::make_call(pool_key key, stage_dispatch call)
{
    const time_point started = boot_clock::now();
    // An unexpected error must not leave the endpoint busy for good. It says nothing of the endpoint itself.
    scope_exit give_up([this, &key, &call] {
        auto& pool = *pools_.at(key);
        pool.dispatcher.finish_call(call.call_id, call_outcome::overloaded, boot_clock::now());
        requeue(pool, call.pieces, "unexpected error");
    });
    const bool returned = return_unsent(key, call);
    if (returned) {
        give_up.release();
        co_return;
    }
    std::string domain = call.to.domain;
    ++in_flight_by_domain_[domain];
    const scope_exit count_down([this, &domain] {
        if (--in_flight_by_domain_[domain] == 0)
            in_flight_by_domain_.erase(domain);
    });
    std::vector<piece_request> pieces;
    for (const auto& it : call.pieces)
        pieces.push_back({it.task->request_id, it.task->stage, it.task->pieces[it.index],
                          std::max(duration{1}, it.task->deadline - started), it.task->key,
                          handles_of(it.task->inputs)});
    auto with_inputs = record_started(call);
    const bool fetched_soon = fetches_inputs_soon(key, call.to.id, started);
    if (fetched_soon)
        spawn_background(executor_, "input_release", release_inputs_after_fetch(with_inputs));
    calls_.add();
    pieces_.add(pieces.size());
    count_vacancy(key.pool, call.vacancy);
    count_used(call, pools_.at(key)->dispatcher.options());
    http::call_error error;
    const auto answer = co_await client_.call(call.to.address, codec_.encode_stage_call(pieces, call.to.id),
                                              call.timeout_at, http::connection_policy::fresh, error);
    const time_point now = boot_clock::now();
    auto& state = *pools_.at(key);
    auto outcome = call_outcome::broken;
    std::optional<std::vector<piece_result>> results;
    if (answer) {
        const auto metadata = codec_.decode_answer_metadata(answer->status, answer->headers);
        if (answer->status == 200)
            results = codec_.decode_stage_answer(answer->body, pieces.size());
        statements_.record_answer(call.to, metadata, results || metadata.not_run, started, now);
        if (results)
            outcome = call_outcome::answered;
        else if (metadata.wrong_endpoint)
            outcome = call_outcome::replaced;
        else if (metadata.not_run)
            outcome = call_outcome::overloaded;
    } else if (!error.sent) {
        outcome = call_outcome::unreachable;
    }
    give_up.release();
    state.dispatcher.finish_call(call.call_id, outcome, now);
    log::info("stage_call", {{"pool", key.pool},
                             {"endpoint", call.to.id},
                             {"pieces", fmt::to_string(pieces.size())},
                             {"vacant", vacancy_text(call.vacancy)},
                             {"requests", fmt::format("{}", pieces.front().request_id)},
                             {"took_ms", fmt::to_string((now - started).count())},
                             {"status", answer ? fmt::to_string(answer->status) : error.reason},
                             {"waiting", fmt::to_string(state.dispatcher.waiting())}});
    if (results) {
        if (!fetched_soon)
            release_inputs(with_inputs);
        record_results(key, call, *results, now);
        process_results(state, call, *results);
    } else {
        requeue(state, call.pieces, answer ? "refused" : error.reason);
    }
    dispatch_group(key.group());
}

/// Queues the pieces of a call again if its endpoint was withdrawn between the decision and the call. Returns
/// whether it was.
bool stage_scheduler::return_unsent(const pool_key& key, stage_dispatch& call)
{
    auto& state = *pools_.at(key);
    if (state.dispatcher.has_endpoint(call.to.id))
        return false;
    state.dispatcher.finish_call(call.call_id, call_outcome::unreachable, boot_clock::now());
    std::erase_if(call.pieces, [this](const queued_piece& it) {
        const auto found = open_tasks_.find(id_of(*it.task));
        return found == open_tasks_.end() || found->second->task != it.task;
    });
    state.dispatcher.requeue(std::move(call.pieces));
    end_evacuated_tasks(key);
    dispatch_calls(key);
    return true;
}

void stage_scheduler::count_vacancy(const std::string& pool, const batch_vacancy& vacancy)
{
    const auto places = vacancy.places_by_reason();
    for (std::size_t n = 0; n < places.size(); ++n)
        if (places[n] > 0)
            metrics_
                .get_counter("limpetlock_stage_vacant_places_total",
                             "places of stage calls that stayed empty, by the reason",
                             {{"pool", pool}, {"reason", std::string(vacancy_reason(n))}})
                .add(places[n]);
}

void stage_scheduler::count_used(const stage_dispatch& call, const batch_options& options)
{
    std::map<std::pair<std::string_view, int>, std::size_t> pieces;
    for (const auto& it : call.pieces)
        ++pieces[{it.task->team, it.task->priority}];
    const double piece_cost = to_team_order_options(options).piece_cost;
    for (const auto& [whose, count] : pieces)
        teams_.count_used(whose.first, whose.second, static_cast<double>(count) * piece_cost);
}

/// Counts the pieces of the call as started and returns the tasks among them that have inputs.
std::vector<std::shared_ptr<stage_scheduler::open_task>>
stage_scheduler::record_started(const stage_dispatch& call)
{
    std::vector<std::shared_ptr<open_task>> out;
    for (const auto& piece : call.pieces) {
        const auto found = open_tasks_.find(id_of(*piece.task));
        if (found == open_tasks_.end() || found->second->task != piece.task)
            continue;
        ++found->second->started_pieces;
        if (!piece.task->inputs.empty() && std::find(out.begin(), out.end(), found->second) == out.end())
            out.push_back(found->second);
    }
    return out;
}

/// An endpoint fetches the inputs of its pieces before it works on them, so the inputs can be released long
/// before the call ends.
awaitable<void> stage_scheduler::release_inputs_after_fetch(std::vector<std::shared_ptr<open_task>> tasks)
{
    if (tasks.empty())
        co_return;
    co_await sleep_for(input_fetch_time);
    release_inputs(tasks);
}

/// Whether a call begins as soon as it arrives, so that its inputs are fetched then. A call that waits at the
/// endpoint for the call of another instance fetches them later, and would find them gone.
bool stage_scheduler::fetches_inputs_soon(const pool_key& key, const std::string& endpoint_id,
                                          time_point now) const
{
    const auto& state = *pools_.at(key);
    return now - state.opened >= takeover_time && !state.dispatcher.is_contended(endpoint_id, now);
}

/// Releases the inputs of the tasks whose pieces have all begun.
void stage_scheduler::release_inputs(const std::vector<std::shared_ptr<open_task>>& tasks)
{
    for (const auto& it : tasks) {
        if (it->inputs_released || it->cancelled || it->started_pieces < it->task->pieces.size())
            continue;
        it->inputs_released = true;
        on_inputs_fetched_(it->task->inputs);
    }
}

/// Results occupy storage until they are released or expire; failed pieces occupy none.
void stage_scheduler::record_results(const pool_key& key, const stage_dispatch& call,
                                     const std::vector<piece_result>& results, time_point now)
{
    auto& state = *pools_.at(key);
    for (std::size_t n = 0; n < results.size(); ++n) {
        const std::uint64_t bytes = call.pieces[n].task->result_bytes;
        if (results[n].handle.empty())
            state.dispatcher.release_result_bytes(call.to.id, bytes);
        else
            stored_results_.insert_or_assign(
                results[n].handle, stored_result{key, call.to.id, bytes, now + state.result_lifetime});
    }
}

bool stage_scheduler::remove_result(const std::string& handle)
{
    const auto it = stored_results_.find(handle);
    if (it == stored_results_.end())
        return false;
    const auto pool = pools_.find(it->second.pool);
    if (pool != pools_.end())
        pool->second->dispatcher.release_result_bytes(it->second.endpoint_id, it->second.bytes);
    stored_results_.erase(it);
    return true;
}

void stage_scheduler::release(const std::vector<std::string>& handles)
{
    for (const auto& it : handles)
        remove_result(it);
    releaser_.release(handles);
}

void stage_scheduler::process_results(pool_state& at, stage_dispatch& call,
                                      const std::vector<piece_result>& results)
{
    std::vector<queued_piece> again;
    const time_point now = boot_clock::now();
    for (std::size_t n = 0; n < results.size(); ++n) {
        const auto failure = results[n].failure;
        if (failure == piece_failure::no_room)
            requeue_without_room(at, call.to.id, std::move(call.pieces[n]), now);
        else if (failure == piece_failure::error)
            again.push_back(std::move(call.pieces[n]));
        else
            complete_piece(call.pieces[n], results[n]);
    }
    if (!again.empty())
        requeue(at, again, "piece failed");
}

/// Queues a piece again because its endpoint had no memory for the result.
void stage_scheduler::requeue_without_room(pool_state& at, const std::string& endpoint_id, queued_piece piece,
                                           time_point now)
{
    const auto found = open_tasks_.find(id_of(*piece.task));
    if (found == open_tasks_.end() || found->second->task != piece.task ||
        found->second->missing_results == 0)
        return;
    --found->second->started_pieces;
    at.dispatcher.requeue_for_lack_of_storage(endpoint_id, std::move(piece), now);
}

void stage_scheduler::requeue(pool_state& at, const std::vector<queued_piece>& pieces,
                              std::string_view reason)
{
    const time_point now = boot_clock::now();
    for (const auto& it : pieces) {
        const auto found = open_tasks_.find(id_of(*it.task));
        if (found == open_tasks_.end() || found->second->missing_results == 0)
            continue;
        repeated_pieces_.add();
        --found->second->started_pieces;
        queued_piece copy = it;
        if (!at.dispatcher.retry(std::move(copy), now)) {
            log::warning("stage_piece_failed", {{"request", it.task->request_id},
                                                {"stage", fmt::to_string(it.task->stage)},
                                                {"tries", fmt::to_string(it.failed_attempts + 1)},
                                                {"reason", std::string(reason)}});
            complete_piece(it, {{}, piece_failure::error});
        }
    }
}

/// Records the result of a piece. The result of a task that is no longer open, or of a piece that already has
/// one, is released.
void stage_scheduler::complete_piece(const queued_piece& piece, piece_result result)
{
    const auto found = open_tasks_.find(id_of(*piece.task));
    if (found == open_tasks_.end() || found->second->task != piece.task ||
        found->second->has_result[piece.index]) {
        if (!result.handle.empty())
            release({result.handle});
        return;
    }
    auto& it = *found->second;
    it.has_result[piece.index] = true;
    it.results[piece.index] = std::move(result);
    if (it.results[piece.index].handle.empty())
        end_task(it, it.results[piece.index].failure);
    else if (--it.missing_results == 0)
        it.done.cancel();
}

/// Ends a task of which a piece failed for good, since the request can't be served any more. Results that its
/// other pieces still get are released when they arrive.
void stage_scheduler::end_task(open_task& it, piece_failure failure)
{
    for (std::size_t n = 0; n < it.results.size(); ++n)
        if (!it.has_result[n])
            it.results[n].failure = failure;
    it.has_result.assign(it.results.size(), true);
    it.missing_results = 0;
    if (const auto pool = pools_.find(it.pool); pool != pools_.end())
        pool->second->dispatcher.cancel(it.task->request_id, it.task->stage, it.task->run);
    it.done.cancel();
}

void stage_scheduler::expire(time_point now)
{
    const work_timer timer(monitor_, work_kind::expiry);
    for (const auto& [name, state] : pools_)
        for (const auto& it : state->dispatcher.expire(now)) {
            const auto found = open_tasks_.find({it.task->request_id, it.task->stage});
            if (found != open_tasks_.end() && found->second->missing_results > 0)
                teams_.count_refused(it.task->team, it.task->priority, stage_refusal::late);
            complete_piece(it, {{}, piece_failure::late});
        }
    std::vector<std::string> expired;
    for (const auto& [handle, it] : stored_results_)
        if (it.expires <= now)
            expired.push_back(handle);
    for (const auto& it : expired)
        remove_result(it);
    delivered_.remove_expired(now);
    for (auto it = open_tasks_.begin(); it != open_tasks_.end();) {
        const auto open = it->second;
        ++it;
        if (now - open->last_requested < abandoned_after)
            continue;
        log::info("stage_order_abandoned", {{"request", open->task->request_id},
                                            {"stage", fmt::to_string(open->task->stage)},
                                            {"pool", open->pool.pool}});
        const std::string id = open->task->request_id;
        cancel(id, open->task->stage, open->task->run);
    }
}

} // namespace limpetlock::gateway
