#include "admission_controller.hpp"

#include <limpetlock/support/background.hpp>

#include <boost/asio/strand.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

/// Interval in ms between checks of the deadlines of waiting requests. Released capacity is reused at once,
/// without waiting for a tick.
constexpr duration tick_interval{20};

/// Interval in ms between sums of the capacity of the pools. With 1,700 endpoints, a sum in each tick took
/// 1.2% of a core.
constexpr duration capacity_interval{200};

/// A stage and its configured cost.
struct costed_stage {
    std::string name;
    std::string pool;
    double cost_ms;
};

std::shared_ptr<const request_profile> make_profile(const std::string& name,
                                                    const std::vector<costed_stage>& stages,
                                                    admission::stage_time_estimator& estimator)
{
    auto out = std::make_shared<request_profile>();
    out->name = name;
    std::map<std::string, double> by_pool;
    std::vector<admission::stage_id> ids;
    double total = 0;
    for (const auto& it : stages) {
        ids.push_back(estimator.declare_stage(fmt::format("{}/{}", name, it.name), it.cost_ms));
        by_pool[it.pool] += it.cost_ms;
        total += it.cost_ms;
    }
    out->stages = std::make_shared<const std::vector<admission::stage_id>>(std::move(ids));
    double largest = -1;
    for (const auto& [pool, cost] : by_pool) {
        out->pool_shares.push_back({pool, total > 0 ? cost / total : 1});
        if (cost > largest) {
            largest = cost;
            out->bottleneck = pool;
        }
    }
    return out;
}

} // namespace

admission_permit::~admission_permit()
{
    if (owner_ != nullptr)
        owner_->release(ticket_, *profile_, actual_cost_ms_);
}

class admission_controller::withdrawal_guard {
public:
    withdrawal_guard(admission_controller& owner, std::uint64_t id, std::string team,
                     admission::rank priority)
        : owner_(owner), id_(id), team_(std::move(team)), priority_(priority)
    {
    }
    withdrawal_guard(const withdrawal_guard&) = delete;
    withdrawal_guard& operator=(const withdrawal_guard&) = delete;
    ~withdrawal_guard() { owner_.withdraw(id_, team_, priority_); }

private:
    admission_controller& owner_;
    std::uint64_t id_;
    std::string team_;
    admission::rank priority_;
};

admission_controller::admission_controller(const boost::asio::any_io_executor& executor,
                                           endpoint_table& table)
    : executor_(executor), table_(table)
{
}

void admission_controller::start()
{
    spawn_loop(boost::asio::make_strand(executor_), "admission_tick_loop", [this] { return tick_loop(); });
}

void admission_controller::configure(const config::document& document)
{
    const std::lock_guard lock(mutex_);
    for (std::size_t n = 0; n < admission::rank_count; ++n)
        options_.min_share[n] = document.contents().ranks[n].min_share;
    options_.weights.clear();
    for (const auto& [name, team] : document.teams())
        options_.weights[name] = team.weight;
    options_.max_waiting_per_team = static_cast<std::size_t>(document.limits().queue_per_team);
    for (auto& [pool, it] : queues_)
        it->set_options(options_);

    std::map<std::string, std::shared_ptr<const request_profile>> profiles;
    for (const auto& [name, pipeline] : document.pipelines()) {
        std::vector<costed_stage> stages;
        for (const auto& it : pipeline.stages)
            stages.push_back({it.name, it.pool, it.cost_ms});
        profiles[name] = make_profile(name, stages, estimator_);
    }
    for (const auto& [name, service] : document.services())
        for (const auto& [call_name, call] : service.calls) {
            const auto label = fmt::format("{}/{}", name, call_name);
            profiles[label] = make_profile(label, {{"call", service.pool, call.cost_ms}}, estimator_);
        }
    profiles_ = std::move(profiles);
}

std::shared_ptr<const request_profile> admission_controller::profile(const std::string& name) const
{
    const std::lock_guard lock(mutex_);
    const auto it = profiles_.find(name);
    return it == profiles_.end() ? nullptr : it->second;
}

admission::queue& admission_controller::find_or_create_queue(const std::string& pool)
{
    auto& it = queues_[pool];
    if (!it)
        it = std::make_unique<admission::queue>(options_, estimator_);
    return *it;
}

awaitable<std::optional<admission_permit>>
admission_controller::admit(std::shared_ptr<const request_profile> profile, std::string team,
                            admission::rank priority, time_point deadline, request_error& error)
{
    const auto wakeup = std::make_shared<notification>(co_await boost::asio::this_coro::executor);
    std::uint64_t id = 0;
    {
        const time_point now = boot_clock::now();
        const std::lock_guard lock(mutex_);
        id = ++last_id_;
        auto& queue = find_or_create_queue(profile->bottleneck);
        const double cost = estimator_.cost_ms(*profile->stages, now);
        if (!queue.offer({id, team, priority, cost, deadline, profile->stages}, now)) {
            const bool full = queue.last_error().code == admission::errc::queue_full;
            error = {full ? errc::over_limit : errc::not_run, queue.last_error().reason, execution::no};
            co_return std::nullopt;
        }
        waiting_.emplace(id, waiter{profile, wakeup, {}, false});
        admit_from_queue_locked(queue, now);
    }
    const withdrawal_guard entry(*this, id, team, priority);
    co_await wakeup->wait(deadline);
    const std::lock_guard lock(mutex_);
    auto& it = waiting_.at(id);
    if (!it.ticket) {
        error = {errc::not_run,
                 it.expired ? "the deadline can't be met by the present estimate"
                            : "the deadline passed while the request waited",
                 execution::no};
        co_return std::nullopt;
    }
    const admission::ticket ticket = *std::exchange(it.ticket, std::nullopt);
    co_return std::optional<admission_permit>(std::in_place, *this, ticket, profile);
}

void admission_controller::withdraw(std::uint64_t id, const std::string& team, admission::rank priority)
{
    std::optional<admission::ticket> unused_ticket;
    std::shared_ptr<const request_profile> profile;
    {
        const std::lock_guard lock(mutex_);
        const auto it = waiting_.find(id);
        if (it == waiting_.end())
            return;
        unused_ticket = it->second.ticket;
        profile = it->second.profile;
        if (!unused_ticket)
            find_or_create_queue(profile->bottleneck).cancel(id, team, priority);
        waiting_.erase(it);
    }
    // The request was admitted just as its wait ended, so no permit holds the ticket.
    if (unused_ticket)
        release(*unused_ticket, *profile, 0);
}

void admission_controller::release(const admission::ticket& ticket, const request_profile& profile,
                                   double actual_cost_ms)
{
    const std::lock_guard lock(mutex_);
    find_or_create_queue(profile.bottleneck).complete(ticket, actual_cost_ms);
    gate_.release(profile.pool_shares);
    admit_waiting_locked(boot_clock::now());
}

void admission_controller::admit_waiting_locked(time_point now)
{
    for (auto& [pool, queue] : queues_)
        admit_from_queue_locked(*queue, now);
}

void admission_controller::admit_from_queue_locked(admission::queue& queue, time_point now)
{
    const auto fits = [&](std::uint64_t id) {
        return gate_.can_admit(waiting_.at(id).profile->pool_shares, now);
    };
    while (const auto ticket = queue.pop_next(now, fits)) {
        auto& it = waiting_.at(ticket->id);
        gate_.acquire(it.profile->pool_shares);
        it.ticket = *ticket;
        it.wakeup->notify();
    }
}

void admission_controller::expire_locked(const std::string& pool, admission::queue& queue, time_point now)
{
    for (const std::uint64_t id : queue.expire(now, gate_.is_failing(pool))) {
        const auto it = waiting_.find(id);
        if (it == waiting_.end())
            continue;
        it->second.expired = true;
        it->second.wakeup->notify();
    }
}

void admission_controller::refresh_capacities(time_point now)
{
    const auto capacities = table_.capacities();
    const std::lock_guard lock(mutex_);
    capacities_due_ = now + capacity_interval;
    for (const auto& [pool, slots] : capacities)
        gate_.set_capacity(pool, slots);
    for (const auto& [pool, queue] : queues_)
        if (!capacities.contains(pool))
            gate_.set_capacity(pool, 0);
}

void admission_controller::tick()
{
    const time_point now = boot_clock::now();
    if (now >= capacities_due_)
        refresh_capacities(now);
    const std::lock_guard lock(mutex_);
    for (auto& [pool, queue] : queues_)
        expire_locked(pool, *queue, now);
    admit_waiting_locked(now);
}

awaitable<void> admission_controller::tick_loop()
{
    while (!stopped_) {
        tick();
        co_await sleep_for(tick_interval);
    }
}

void admission_controller::record_call(const std::string& pool, bool answered)
{
    const std::lock_guard lock(mutex_);
    gate_.record_call(pool, answered, boot_clock::now());
}

void admission_controller::record_stage_time(admission::stage_id stage, double took_ms)
{
    const std::lock_guard lock(mutex_);
    estimator_.record(stage, took_ms, boot_clock::now());
}

double admission_controller::expected_ms(admission::stage_id stage) const
{
    const std::lock_guard lock(mutex_);
    return estimator_.mean_ms(stage, boot_clock::now());
}

std::vector<pool_usage> admission_controller::extract_usage()
{
    const std::lock_guard lock(mutex_);
    std::vector<pool_usage> out;
    for (auto& [pool, queue] : queues_)
        for (auto& it : queue->extract_usage())
            out.push_back({pool, std::move(it)});
    return out;
}

void admission_controller::add_peer_usage(const std::vector<pool_usage>& served)
{
    std::map<std::string, std::vector<admission::team_usage>> by_pool;
    for (const auto& it : served)
        by_pool[it.pool].push_back(it.usage);
    const std::lock_guard lock(mutex_);
    for (const auto& [pool, usage] : by_pool)
        if (const auto it = queues_.find(pool); it != queues_.end())
            it->second->add_peer_usage(usage);
}

std::vector<queue_row> admission_controller::rows() const
{
    const std::lock_guard lock(mutex_);
    std::vector<queue_row> out;
    for (const auto& [pool, queue] : queues_) {
        queue_row row{pool, queue->waiting(), {}, {}, gate_.capacity(pool), gate_.occupied(pool)};
        for (std::size_t n = 0; n < admission::rank_count; ++n) {
            row.waiting_by_rank[n] = queue->waiting(static_cast<admission::rank>(n));
            row.served_ms[n] = queue->served_ms(static_cast<admission::rank>(n));
        }
        out.push_back(std::move(row));
    }
    return out;
}

} // namespace limpetlock::server
