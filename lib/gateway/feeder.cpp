#include "feeder.hpp"

#include "result_releaser.hpp"

#include <limpetlock/support/log.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

/// Pauses of endpoints and the patience of pieces end between events, so waiting pieces are looked at again.
constexpr duration tick_interval{25};

/// An order that nobody asked for this long is dropped, and its results are released: the instance that gave
/// it is gone.
constexpr duration abandoned_after{2'500};

/// An endpoint has fetched the inputs of a call this long after the call was sent: a megabyte or two over the
/// links of stage endpoints.
constexpr duration input_fetch_time{40};

/// A pool is congested for an order when it needs longer than this for what goes before it: a call and a
/// half.
constexpr duration congested_backlog{700};

std::vector<std::string> handles_of(const std::vector<result_group>& groups)
{
    std::vector<std::string> out;
    for (const auto& it : groups)
        out.insert(out.end(), it.handles.begin(), it.handles.end());
    return out;
}

} // namespace

/// An order of this or another instance and the results so far.
struct feeder::open_order {
    open_order(stage_task it, pool_key its_pool, const asio::any_io_executor& executor)
        : order(std::make_shared<const stage_task>(std::move(it))), where(std::move(its_pool)),
          results(order->pieces.size()), have(order->pieces.size(), false), done(executor),
          missing(order->pieces.size())
    {
        done.expires_at(asio::steady_timer::time_point::max());
    }

    std::vector<std::string> handles() const
    {
        std::vector<std::string> out;
        for (const auto& it : results)
            if (!it.handle.empty())
                out.push_back(it.handle);
        return out;
    }

    std::shared_ptr<const stage_task> order;
    pool_key where;
    std::vector<piece_result> results;
    std::vector<bool> have;
    asio::steady_timer done; ///< cancelled when the order ends
    std::size_t missing;
    std::size_t started{0}; ///< pieces in calls or done
    bool inputs_returned{false};
    bool cancelled{false};
    time_point last_asked{};
};

struct feeder::pool_state {
    stage_dispatcher dispatcher;
    duration result_lifetime{0};
};

feeder::feeder(asio::any_io_executor executor, const dialect& names, http::client& client,
               result_releaser& releaser, metrics::registry& metrics, used_inputs on_used)
    : executor_(std::move(executor)), names_(names), client_(client), releaser_(releaser),
      on_used_(std::move(on_used)),
      calls_(metrics.get_counter("limpetlock_stage_calls_total", "calls to endpoints of stage pools")),
      pieces_(metrics.get_counter("limpetlock_stage_pieces_total", "pieces sent in stage calls")),
      repeated_(metrics.get_counter("limpetlock_stage_pieces_repeated_total", "pieces sent again"))
{
    asio::co_spawn(executor_, tick_loop(), asio::detached);
}

feeder::~feeder() = default;

std::size_t feeder::open_orders() const
{
    return static_cast<std::size_t>(std::count_if(orders_.begin(), orders_.end(), [](const auto& it) {
        return it.second->missing > 0 && !it.second->cancelled;
    }));
}

void feeder::configure(std::shared_ptr<const routing_table> table, std::vector<endpoint> endpoints)
{
    table_ = std::move(table);
    endpoints_ = std::move(endpoints);
    for (const auto& [where, state] : pools_) {
        configure(where, *state);
        pump(where);
    }
}

void feeder::configure(const pool_key& where, pool_state& state)
{
    const pool* const it = table_ ? table_->find_pool(where.pool) : nullptr;
    if (it == nullptr || !it->stage)
        return;
    std::vector<endpoint> members;
    std::copy_if(endpoints_.begin(), endpoints_.end(), std::back_inserter(members),
                 [&where](const endpoint& e) {
                     return e.pool == where.pool && (where.group.empty() || e.domain == where.group);
                 });
    state.result_lifetime = it->stage->result_lifetime;
    state.dispatcher.configure(*it->stage, std::move(members));
}

/// nullptr for a pool that the table doesn't hold.
feeder::pool_state* feeder::find_pool(const pool_key& where)
{
    const auto found = pools_.find(where);
    if (found != pools_.end())
        return found->second.get();
    const pool* const it = table_ ? table_->find_pool(where.pool) : nullptr;
    if (it == nullptr || !it->stage)
        return nullptr;
    auto state = std::make_unique<pool_state>();
    configure(where, *state);
    return pools_.emplace(where, std::move(state)).first->second.get();
}

/// The first stage of a request waits while a later one is congested by work that goes before it there: what
/// it makes would wait there, occupy room at its maker and expire. A request that would be late behind that
/// work waits too: begun now, it would only make others late.
task_filter feeder::hold_filter(const std::string& group, time_point now) const
{
    const auto profiles = std::make_shared<std::map<std::string, backlog_profile>>();
    return [this, group, now, profiles](const stage_task& order) {
        if (!order.inputs.empty())
            return false;
        duration earlier{0};
        const duration slack = order.objective_time - now;
        const duration limit = slack > duration{0} ? std::min(slack, congested_backlog) : congested_backlog;
        for (const auto& name : order.next_pools) {
            const auto it = pools_.find({group, name});
            if (it == pools_.end() || !it->second->dispatcher.has_endpoints())
                continue;
            const auto& next = it->second->dispatcher;
            auto known = profiles->find(name);
            if (known == profiles->end())
                known = profiles->emplace(name, next.profile(now)).first;
            earlier += known->second.typical_call_time();
            stage_task there;
            there.objective_time = order.objective_time + earlier;
            there.priority = order.priority;
            there.tokens_per_piece = order.tokens_per_piece;
            if (known->second.time_before(queue_rank(there, next.options(), now)) > limit)
                return true;
        }
        return false;
    };
}

awaitable<void> feeder::tick_loop()
{
    for (;;) {
        co_await sleep_for(tick_interval);
        expire(boot_clock::now());
        for (const auto& [where, state] : pools_)
            if (state->dispatcher.waiting() > 0)
                pump(where);
    }
}

awaitable<order_result> feeder::run(pool_key where, stage_task order, duration patience)
{
    order_result out;
    pool_state* const state = find_pool(where);
    if (state == nullptr || !state->dispatcher.has_endpoints()) {
        out.reason = "no endpoints in pool " + where.pool;
        co_return out;
    }
    const time_point now = boot_clock::now();
    const order_key key{order.request_id, order.stage};
    auto& slot = orders_[key];
    if (!slot || slot->cancelled) {
        slot = std::make_shared<open_order>(std::move(order), where, executor_);
        state->dispatcher.submit(slot->order, now);
        slot->last_asked = now;
        pump(where);
    }
    const auto it = slot;
    it->last_asked = now;
    if (it->missing > 0 && !it->cancelled) {
        asio::steady_timer limit(executor_, patience);
        limit.async_wait([it](const boost::system::error_code& ec) {
            if (!ec)
                it->done.cancel();
        });
        co_await it->done.async_wait(quiet);
    }
    it->last_asked = boot_clock::now();
    out.backlog = state->dispatcher.backlog_ahead(it->last_asked, hold_filter(where.group, it->last_asked));
    if (it->cancelled) {
        out.reason = "cancelled";
        co_return out;
    }
    if (it->missing > 0) {
        out.how = order_result::status::in_progress;
        co_return out;
    }
    out.how = order_result::status::done;
    out.pieces = it->results;
    orders_.erase(key);
    co_return out;
}

void feeder::cancel(const std::string& request_id, std::uint32_t stage)
{
    const auto found = orders_.find({request_id, stage});
    if (found == orders_.end())
        return;
    const auto it = found->second;
    orders_.erase(found);
    it->cancelled = true;
    it->done.cancel();
    release(it->handles());
    if (const auto pool = pools_.find(it->where); pool != pools_.end())
        pool->second->dispatcher.cancel(request_id, stage);
}

void feeder::pump(const pool_key& where)
{
    auto& state = *pools_.at(where);
    const time_point now = boot_clock::now();
    const task_filter held = hold_filter(where.group, now);
    while (auto call = state.dispatcher.next_call(now, held))
        asio::co_spawn(executor_, make_call(where, std::move(*call)), asio::detached);
}

void feeder::pump_group(const std::string& group)
{
    for (const auto& [where, state] : pools_)
        if (where.group == group && state->dispatcher.waiting() > 0)
            pump(where);
}

awaitable<void> feeder::make_call(pool_key where, stage_dispatch call)
{
    const time_point started = boot_clock::now();
    std::vector<piece_request> items;
    for (const auto& it : call.pieces)
        items.push_back({it.task->request_id, it.task->stage, it.task->pieces[it.index],
                         std::max(duration{1}, it.task->deadline - started), it.task->key,
                         handles_of(it.task->inputs)});
    asio::co_spawn(executor_, give_inputs_back(note_started(call)), asio::detached);
    calls_.add();
    pieces_.add(items.size());
    http::call_error error;
    const auto answer = co_await client_.call(call.to.address, names_.stage_call(items, call.to.id),
                                              call.timeout_at, http::reuse::fresh, error);
    const time_point now = boot_clock::now();
    auto& state = *pools_.at(where);
    auto how = call_outcome::broken;
    std::optional<std::vector<piece_result>> results;
    if (answer) {
        const auto facts = names_.read_answer(answer->status, answer->headers);
        if (answer->status == 200)
            results = names_.read_stage_answer(answer->body, items.size());
        if (results)
            how = call_outcome::answered;
        else if (facts.wrong_endpoint)
            how = call_outcome::replaced;
        else if (facts.not_run)
            how = call_outcome::full;
    } else if (!error.sent) {
        how = call_outcome::unreachable;
    }
    state.dispatcher.finish_call(call.call_id, how, now);
    log::info("stage_call", {{"pool", where.pool},
                             {"endpoint", call.to.id},
                             {"pieces", fmt::to_string(items.size())},
                             {"requests", fmt::format("{}", items.front().request_id)},
                             {"took_ms", fmt::to_string((now - started).count())},
                             {"status", answer ? fmt::to_string(answer->status) : error.reason},
                             {"waiting", fmt::to_string(state.dispatcher.waiting())}});
    if (results) {
        note_results(where, call, *results, now);
        take_results(state, call, *results);
    } else {
        requeue(state, call.pieces, answer ? "refused" : error.reason);
    }
    pump_group(where.group);
}

/// Orders of the call that have inputs.
std::vector<std::shared_ptr<feeder::open_order>> feeder::note_started(const stage_dispatch& call)
{
    std::vector<std::shared_ptr<open_order>> out;
    for (const auto& piece : call.pieces) {
        const auto found = orders_.find({piece.task->request_id, piece.task->stage});
        if (found == orders_.end() || found->second->order != piece.task)
            continue;
        ++found->second->started;
        if (!piece.task->inputs.empty() && std::find(out.begin(), out.end(), found->second) == out.end())
            out.push_back(found->second);
    }
    return out;
}

/// An endpoint fetches the inputs of its pieces before it works on them, so their room is free long before
/// the call ends.
awaitable<void> feeder::give_inputs_back(std::vector<std::shared_ptr<open_order>> orders)
{
    if (orders.empty())
        co_return;
    co_await sleep_for(input_fetch_time);
    for (const auto& it : orders) {
        if (it->inputs_returned || it->cancelled || it->started < it->order->pieces.size())
            continue;
        it->inputs_returned = true;
        on_used_(it->order->inputs);
    }
}

/// Results occupy room until they are released or expire; failed pieces occupy none.
void feeder::note_results(const pool_key& where, const stage_dispatch& call,
                          const std::vector<piece_result>& results, time_point now)
{
    auto& state = *pools_.at(where);
    for (std::size_t n = 0; n < results.size(); ++n) {
        const std::uint64_t bytes = call.pieces[n].task->result_bytes;
        if (results[n].handle.empty())
            state.dispatcher.release_result_bytes(call.to.id, bytes);
        else
            kept_.insert_or_assign(results[n].handle,
                                   kept_result{where, call.to.id, bytes, now + state.result_lifetime});
    }
}

bool feeder::forget_result(const std::string& handle)
{
    const auto it = kept_.find(handle);
    if (it == kept_.end())
        return false;
    const auto pool = pools_.find(it->second.where);
    if (pool != pools_.end())
        pool->second->dispatcher.release_result_bytes(it->second.endpoint_id, it->second.bytes);
    kept_.erase(it);
    return true;
}

void feeder::release(const std::vector<std::string>& handles)
{
    for (const auto& it : handles)
        forget_result(it);
    releaser_.release(handles);
}

void feeder::take_results(pool_state& at, stage_dispatch& call, const std::vector<piece_result>& results)
{
    std::vector<queued_piece> again;
    const time_point now = boot_clock::now();
    for (std::size_t n = 0; n < results.size(); ++n) {
        const auto failure = results[n].failure;
        if (failure == piece_failure::no_room)
            put_back(at, call.to.id, std::move(call.pieces[n]), now);
        else if (failure == piece_failure::error)
            again.push_back(std::move(call.pieces[n]));
        else
            settle(call.pieces[n], results[n]);
    }
    if (!again.empty())
        requeue(at, again, "piece failed");
}

/// Lets a piece wait again for which the endpoint had no room.
void feeder::put_back(pool_state& at, const std::string& endpoint_id, queued_piece piece, time_point now)
{
    const auto found = orders_.find({piece.task->request_id, piece.task->stage});
    if (found == orders_.end() || found->second->order != piece.task)
        return;
    --found->second->started;
    at.dispatcher.requeue_for_lack_of_storage(endpoint_id, std::move(piece), now);
}

void feeder::requeue(pool_state& at, const std::vector<queued_piece>& pieces, std::string_view reason)
{
    const time_point now = boot_clock::now();
    for (const auto& it : pieces) {
        if (!orders_.contains({it.task->request_id, it.task->stage}))
            continue;
        repeated_.add();
        --orders_.at({it.task->request_id, it.task->stage})->started;
        queued_piece copy = it;
        if (!at.dispatcher.retry(std::move(copy), now)) {
            log::warning("stage_piece_failed", {{"request", it.task->request_id},
                                                {"stage", fmt::to_string(it.task->stage)},
                                                {"tries", fmt::to_string(it.failed_attempts + 1)},
                                                {"reason", std::string(reason)}});
            settle(it, {{}, piece_failure::error});
        }
    }
}

/// Records the end of a piece. Results for an order that nobody waits for are released.
void feeder::settle(const queued_piece& piece, piece_result result)
{
    const auto found = orders_.find({piece.task->request_id, piece.task->stage});
    if (found == orders_.end() || found->second->order != piece.task || found->second->have[piece.index]) {
        if (!result.handle.empty())
            release({result.handle});
        return;
    }
    auto& it = *found->second;
    it.have[piece.index] = true;
    it.results[piece.index] = std::move(result);
    if (--it.missing == 0)
        it.done.cancel();
}

void feeder::expire(time_point now)
{
    for (const auto& [name, state] : pools_)
        for (const auto& it : state->dispatcher.expire(now))
            settle(it, {{}, piece_failure::late});
    std::vector<std::string> expired;
    for (const auto& [handle, it] : kept_)
        if (it.expires <= now)
            expired.push_back(handle);
    for (const auto& it : expired)
        forget_result(it);
    for (auto it = orders_.begin(); it != orders_.end();) {
        const auto order = it->second;
        ++it;
        if (now - order->last_asked < abandoned_after)
            continue;
        log::info("stage_order_abandoned", {{"request", order->order->request_id},
                                            {"stage", fmt::to_string(order->order->stage)},
                                            {"pool", order->where.pool}});
        const std::string id = order->order->request_id;
        cancel(id, order->order->stage);
    }
}

} // namespace limpetlock::gateway
