#include "driver.hpp"

#include <limpetlock/admission/gate.hpp>
#include <limpetlock/membership/view.hpp>
#include <limpetlock/routing/chooser.hpp>
#include <limpetlock/routing/retry_budget.hpp>
#include <limpetlock/support/hash.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>

namespace limpetlock::bench {

namespace {

constexpr std::int64_t tick_interval_ms = 200;
constexpr std::int64_t report_interval_ms = 400; // between two load reports of an endpoint
constexpr std::int64_t usage_interval_ms = 400;  // between two exchanges of team usage
constexpr std::size_t max_queued_calls = 64;     // per endpoint; further calls are answered "overloaded"
constexpr int max_attempts = 3;
constexpr double max_utilization_for_hedges =
    0.7; // share of the capacity in use; above it, no call is hedged
const admission::pool_shares one_call{{"model", 1}};

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

struct call {
    std::size_t request;
    std::size_t endpoint;
    std::uint64_t endpoint_id; // id in the membership view of the sending instance
    std::int64_t sent_ms;
    std::int64_t started_ms{-1}; // -1 while it waits at the endpoint
    bool open{true};
};

// An endpoint with endpoint_slots concurrent calls and one queue per priority.
struct simulated_endpoint {
    std::size_t running{0};
    std::array<std::deque<std::size_t>, admission::rank_count> queued;
    std::deque<routing::load_report> load_history; // one entry per tick, newest first
    bool down{false};

    std::size_t waiting() const { return queued[0].size() + queued[1].size() + queued[2].size(); }
};

struct instance {
    explicit instance(std::size_t number) : random(number + 1)
    {
        for (const auto* name : {"urgent", "standard", "background"})
            stages.push_back(std::make_shared<const std::vector<admission::stage_id>>(
                1, times.declare_stage(name, rank_profiles.at(stages.size()).cost_ms)));
        work = std::make_unique<admission::queue>(admission::queue_options{}, times);
        stats.assign(endpoint_count,
                     routing::endpoint_stats(routing::scaled_limits(endpoint_slots, instance_count)));
    }

    admission::stage_time_estimator times;
    std::vector<admission::stage_list> stages;
    std::unique_ptr<admission::queue> work;
    admission::gate gate;
    membership::view view;
    std::vector<routing::endpoint_stats> stats;
    std::unique_ptr<routing::chooser> chooser;
    routing::retry_budget budget;
    std::array<routing::hedge_delay, admission::rank_count> hedge_after;
    routing::random_engine random;
    std::map<std::size_t, admission::ticket> tickets;
};

class driver {
public:
    driver(const scenario& setting, const policy& how, const std::vector<arrival>& arrivals);
    run_result run();

private:
    using event = std::pair<std::int64_t, std::size_t>; // time in ms, and index of a call or request

    instance& instance_for(std::size_t request) { return *instances_[arrivals_[request].instance]; }
    std::int64_t deadline(std::size_t request) const
    {
        const auto& it = arrivals_[request];
        return it.at_ms + rank_profiles.at(static_cast<std::size_t>(it.priority)).deadline_ms;
    }

    void arrive(std::size_t request);
    void admit_waiting(instance& it);
    void send(std::size_t request);
    bool dispatch(std::size_t request);
    void hedge(std::size_t id);
    void cancel_call(std::size_t id, double& used_ms);
    void update_capacity(instance& it);
    std::optional<std::size_t> choose(instance& it, std::size_t request);
    void start_next(std::size_t endpoint);
    void finish(std::size_t id, routing::outcome how);
    void settle(std::size_t request, request_outcome end);
    void end_at_deadline(std::size_t request);
    void tick();
    void set_down(bool down);
    void report_loads();
    void exchange_usage();

    const scenario& scenario_;
    const policy& policy_;
    const std::vector<arrival>& arrivals_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::array<simulated_endpoint, endpoint_count> endpoints_;
    std::vector<call> calls_;
    std::vector<std::size_t> last_call_;   // by request: the most recent call, or no_call
    std::vector<std::size_t> hedged_call_; // by request: the call that was hedged, or no_call
    std::vector<std::vector<std::uint64_t>> tried_endpoints_; // by request
    std::priority_queue<event, std::vector<event>, std::greater<>> completions_;
    std::priority_queue<event, std::vector<event>, std::greater<>> deadlines_;
    std::priority_queue<event, std::vector<event>, std::greater<>> hedges_;
    run_result result_;
    std::int64_t now_{0};
};

constexpr std::size_t no_call = SIZE_MAX;

driver::driver(const scenario& setting, const policy& how, const std::vector<arrival>& arrivals)
    : scenario_(setting), policy_(how), arrivals_(arrivals), last_call_(arrivals.size(), no_call),
      hedged_call_(arrivals.size(), no_call), tried_endpoints_(arrivals.size())
{
    membership::instance_list list{1, {}};
    for (std::size_t n = 0; n < endpoint_count; ++n)
        list.instances.push_back({"m" + std::to_string(10 + n), "model", "10.0.0.1",
                                  static_cast<std::uint16_t>(n), 0, std::to_string(n % 3), false});
    for (std::size_t n = 0; n < instance_count; ++n) {
        instances_.push_back(std::make_unique<instance>(n));
        instances_.back()->view.apply(list, at(0));
        instances_.back()->chooser = routing::make_chooser(how.chooser);
        update_capacity(*instances_.back());
    }
    result_.requests.resize(arrivals.size());
}

void driver::update_capacity(instance& it)
{
    double slots = 0;
    for (const auto& endpoint : it.view.current_snapshot()->pool("model"))
        slots += endpoint.state == membership::endpoint_state::probing
                     ? 0
                     : it.stats[endpoint.port].concurrency_limit();
    it.gate.set_capacity("model", std::max(slots, 1.0));
}

void driver::arrive(std::size_t request)
{
    const auto& it = arrivals_[request];
    auto& local_instance = instance_for(request);
    deadlines_.emplace(deadline(request), request);
    if (!policy_.admission)
        return send(request);
    const auto n = static_cast<std::size_t>(it.priority);
    const admission::request offered{request,
                                     "team-" + std::to_string(it.team),
                                     it.priority,
                                     rank_profiles.at(n).cost_ms,
                                     at(deadline(request)),
                                     local_instance.stages[n]};
    if (!local_instance.work->offer(offered, at(now_)))
        return settle(request, request_outcome::refused);
    admit_waiting(local_instance);
}

void driver::admit_waiting(instance& it)
{
    while (it.gate.can_admit(one_call, at(now_))) {
        const auto taken = it.work->pop_next(at(now_));
        if (!taken)
            return;
        it.gate.acquire(one_call);
        it.tickets[taken->id] = *taken;
        send(taken->id);
    }
}

std::optional<std::size_t> driver::choose(instance& it, std::size_t request)
{
    std::vector<routing::candidate> all;
    const auto snapshot = it.view.current_snapshot();
    for (const auto& endpoint : snapshot->pool("model"))
        all.push_back({endpoint.id, static_cast<std::uint32_t>(endpoint.port % 3),
                       endpoint.state == membership::endpoint_state::probing, &it.stats[endpoint.port]});
    routing::choice_context context{0, tried_endpoints_[request], {}, true};
    if (!tried_endpoints_[request].empty())
        context.avoid_domain = static_cast<std::uint32_t>(calls_[last_call_[request]].endpoint % 3);
    const auto chosen = it.chooser->choose(all, context, it.random, at(now_));
    if (!chosen)
        return std::nullopt;
    tried_endpoints_[request].push_back(all[*chosen].id);
    return snapshot->pool("model")[*chosen].port;
}

void driver::send(std::size_t request)
{
    if (!dispatch(request))
        return settle(request, request_outcome::failed);
    const auto id = last_call_[request];
    const auto rank = static_cast<std::size_t>(arrivals_[request].priority);
    const auto delay = instance_for(request).hedge_after.at(rank).current();
    if (policy_.hedging && delay && calls_[id].open)
        hedges_.emplace(now_ + delay->count(), id);
}

// Sends a second call for a request whose first call is slow.
void driver::hedge(std::size_t id)
{
    const auto request = calls_[id].request;
    auto& from = instance_for(request);
    // When the pool has little free capacity, a hedge would displace the first call of another request of
    // this or another instance.
    const bool crowded =
        from.work->waiting() > 0 ||
        from.gate.occupied("model") > max_utilization_for_hedges * from.gate.capacity("model");
    if (!calls_[id].open || last_call_[request] != id || crowded || !from.budget.try_acquire_hedge())
        return;
    ++result_.hedges;
    hedged_call_[request] = id;
    if (!dispatch(request))
        hedged_call_[request] = no_call;
}

// Cancels a call whose answer is no longer needed and adds its endpoint time to `used_ms`.
void driver::cancel_call(std::size_t id, double& used_ms)
{
    auto& it = calls_[id];
    for (auto& line : endpoints_.at(it.endpoint).queued)
        std::erase(line, id);
    used_ms += it.started_ms < 0 ? 0 : static_cast<double>(now_ - it.started_ms);
    finish(id, routing::outcome::cancelled);
}

bool driver::dispatch(std::size_t request)
{
    auto& from = instance_for(request);
    const auto endpoint = choose(from, request);
    if (!endpoint)
        return false;
    const bool outage = now_ >= scenario_.outage_from_ms && now_ < scenario_.outage_to_ms;
    const bool first = result_.requests[request].attempts++ == 0;
    if (first)
        from.budget.record_first_attempt();
    if (outage)
        ++(first ? result_.first_in_outage : result_.retries_in_outage);
    from.stats[*endpoint].record_start(at(now_));
    const auto id = calls_.size();
    calls_.push_back({request, *endpoint, tried_endpoints_[request].back(), now_});
    last_call_[request] = id;
    auto& to = endpoints_.at(*endpoint);
    const bool full = to.running >= endpoint_slots && to.waiting() >= max_queued_calls;
    if (to.down || full) {
        finish(id, to.down ? routing::outcome::failed : routing::outcome::overloaded);
        return true;
    }
    // A request admitted by its rank's minimum share must not wait behind a higher rank at the endpoint.
    // Without admission there are no ranks, so all calls have the same priority.
    const auto ticket = from.tickets.find(request);
    const bool top_priority = ticket == from.tickets.end() || ticket->second.by_min_share;
    const auto priority = top_priority ? 0 : static_cast<std::size_t>(arrivals_[request].priority);
    to.queued.at(priority).push_back(id);
    start_next(*endpoint);
    return true;
}

void driver::start_next(std::size_t endpoint)
{
    auto& it = endpoints_.at(endpoint);
    const bool slow = endpoint == 3 && now_ >= scenario_.measure_from_ms;
    for (auto& line : it.queued) {
        while (!line.empty() && it.running < endpoint_slots) {
            const auto id = line.front();
            line.pop_front();
            calls_[id].started_ms = now_;
            ++it.running;
            const double cost = arrivals_[calls_[id].request].cost_ms * (slow ? scenario_.slow_factor : 1);
            completions_.emplace(now_ + static_cast<std::int64_t>(cost) + 1, id);
        }
    }
}

// Ends a call, and then retries or settles its request.
void driver::finish(std::size_t id, routing::outcome how)
{
    auto& it = calls_[id];
    it.open = false;
    const auto request = it.request;
    const auto endpoint = it.endpoint;
    auto& from = instance_for(request);
    auto& to = endpoints_.at(endpoint);
    const double used = it.started_ms < 0 ? 0 : static_cast<double>(now_ - it.started_ms);
    if (it.started_ms >= 0)
        --to.running;
    const auto took = static_cast<double>(now_ - it.sent_ms);
    const auto sent_ms = it.sent_ms;
    const auto sent = at(sent_ms);
    const auto endpoint_id = it.endpoint_id;
    const bool last = last_call_[request] == id;
    const auto other_call = last ? hedged_call_[request] : last_call_[request];
    const bool other_call_open = other_call != no_call && calls_[other_call].open;
    const auto rank = static_cast<std::size_t>(arrivals_[request].priority);
    from.stats[endpoint].record_finish(at(now_), how, took, rank_profiles.at(rank).cost_ms);
    if (how == routing::outcome::success) {
        result_.useful_ms += used;
        if (now_ >= scenario_.measure_from_ms && now_ < scenario_.measure_to_ms)
            result_.useful_in_window.at(rank) += used;
        from.times.record(from.stages[rank]->front(), took, at(now_));
        if (result_.requests[request].attempts == 1)
            from.budget.record_first_success();
        from.gate.record_call("model", true, at(now_));
        from.view.record_success(endpoint_id, sent, at(now_));
        from.hedge_after.at(rank).record(duration(now_ - sent_ms), at(now_));
        if (other_call_open)
            cancel_call(other_call, result_.hedged_ms);
        settle(request, request_outcome::answered);
        return start_next(endpoint);
    }
    if (how == routing::outcome::cancelled)
        return start_next(endpoint);
    result_.retried_ms += used;
    if (how == routing::outcome::failed)
        from.gate.record_call("model", false, at(now_));
    if (how == routing::outcome::failed && policy_.membership)
        from.view.record_failure(endpoint_id, membership::call_failure::connection_refused, sent, at(now_));
    if (other_call_open)
        return;
    const bool again = result_.requests[request].attempts < max_attempts && now_ < deadline(request) &&
                       (!policy_.retry_budget || from.budget.try_acquire_retry());
    again ? send(request) : settle(request, request_outcome::failed);
}

void driver::settle(std::size_t request, request_outcome end)
{
    auto& it = result_.requests[request];
    it.end = end;
    it.latency_ms = now_ - arrivals_[request].at_ms;
    it.ended_ms = now_;
    auto& from = instance_for(request);
    const auto ticket = from.tickets.find(request);
    if (ticket == from.tickets.end())
        return;
    const auto id = last_call_[request];
    const bool ran = id != no_call && calls_[id].started_ms >= 0;
    from.work->complete(ticket->second, ran ? static_cast<double>(now_ - calls_[id].sent_ms) : 0);
    from.tickets.erase(ticket);
    from.gate.release(one_call);
    update_capacity(from);
    admit_waiting(from);
}

void driver::end_at_deadline(std::size_t request)
{
    if (result_.requests[request].end != request_outcome::waiting)
        return;
    const auto id = last_call_[request];
    if (id == no_call) {
        const auto& it = arrivals_[request];
        instance_for(request).work->cancel(request, "team-" + std::to_string(it.team), it.priority);
        return settle(request, request_outcome::expired);
    }
    const auto first = hedged_call_[request];
    if (first != no_call && calls_[first].open)
        cancel_call(first, result_.abandoned_ms);
    if (calls_[id].open)
        cancel_call(id, result_.abandoned_ms);
    settle(request, request_outcome::abandoned);
}

void driver::tick()
{
    for (auto& it : instances_) {
        if (policy_.membership)
            it->view.tick(at(now_));
        for (const auto id : it->work->expire(at(now_), it->gate.is_failing("model")))
            if (result_.requests[id].end == request_outcome::waiting)
                settle(id, request_outcome::expired);
        update_capacity(*it);
        if (policy_.admission)
            admit_waiting(*it);
    }
    for (auto& it : endpoints_)
        it.load_history.push_front(
            {static_cast<std::uint32_t>(it.running), static_cast<std::uint32_t>(it.waiting()), duration(0)});
    if (now_ % report_interval_ms == 0)
        report_loads();
    if (now_ % usage_interval_ms == 0 && policy_.usage_exchange)
        exchange_usage();
}

void driver::report_loads()
{
    const auto lag = static_cast<std::size_t>(scenario_.report_lag_ms / tick_interval_ms);
    for (std::size_t n = 0; n < endpoint_count; ++n) {
        const auto& history = endpoints_.at(n).load_history;
        if (endpoints_.at(n).down || history.size() <= lag)
            continue;
        auto report = history[lag];
        report.age = duration(scenario_.report_lag_ms);
        for (auto& it : instances_)
            it->stats[n].record_report(report, at(now_));
    }
}

void driver::exchange_usage()
{
    std::vector<std::vector<admission::team_usage>> all;
    for (auto& it : instances_)
        all.push_back(it->work->extract_usage());
    for (std::size_t to = 0; to < instance_count; ++to) {
        std::map<std::pair<admission::rank, std::string>, double> sums;
        for (std::size_t from = 0; from < instance_count; ++from)
            for (const auto& it : all[from])
                if (from != to)
                    sums[{it.priority, it.team}] += it.cost_ms;
        std::vector<admission::team_usage> served;
        served.reserve(sums.size());
        for (const auto& [key, cost] : sums)
            served.push_back({key.second, key.first, cost});
        instances_[to]->work->add_peer_usage(served);
    }
}

void driver::set_down(bool down)
{
    for (auto& it : endpoints_) {
        it.down = down;
        for (auto& line : it.queued)
            line.clear();
    }
    const auto present = calls_.size();
    for (std::size_t id = 0; down && id < present; ++id)
        if (calls_[id].open)
            finish(id, routing::outcome::failed);
}

run_result driver::run()
{
    std::size_t next = 0;
    for (now_ = 0; now_ < scenario_.end_ms; ++now_) {
        if (scenario_.outage_to_ms > 0 && now_ == scenario_.outage_from_ms)
            set_down(true);
        if (scenario_.outage_to_ms > 0 && now_ == scenario_.outage_to_ms)
            set_down(false);
        while (!completions_.empty() && completions_.top().first <= now_) {
            const auto id = completions_.top().second;
            completions_.pop();
            if (calls_[id].open)
                finish(id, routing::outcome::success);
        }
        while (!hedges_.empty() && hedges_.top().first <= now_) {
            const auto id = hedges_.top().second;
            hedges_.pop();
            hedge(id);
        }
        while (!deadlines_.empty() && deadlines_.top().first <= now_) {
            const auto request = deadlines_.top().second;
            deadlines_.pop();
            end_at_deadline(request);
        }
        if (now_ % tick_interval_ms == 0)
            tick();
        for (; next < arrivals_.size() && arrivals_[next].at_ms <= now_; ++next)
            arrive(next);
    }
    return std::move(result_);
}

} // namespace

run_result simulate(const scenario& setting, const policy& how, const std::vector<arrival>& arrivals)
{
    return driver(setting, how, arrivals).run();
}

} // namespace limpetlock::bench
