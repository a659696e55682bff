#include <limpetlock/gateway/back_off.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

namespace limpetlock::gateway {

namespace {

/// Back-off after a failed call; for unreachable and broken calls it doubles with each further failure, up to
/// max_back_off.
constexpr duration unreachable_back_off{400};
constexpr duration broken_back_off{600};
constexpr duration overloaded_back_off{120};
constexpr duration no_room_back_off{80};
constexpr duration max_back_off{5'000};

/// An endpoint whose address belongs to another id now is gone and will soon leave the list.
constexpr duration replaced_back_off{5'000};

/// A call is taken as hung after this many times its expected time plus the margin.
constexpr double hung_factor = 3;
constexpr duration hung_margin{400};

/// A call that takes one and a half times its expected time and this margin has waited at the endpoint.
constexpr duration contention_margin{60};

/// Calls of another instance are expected for this long after the last sign of one.
constexpr duration contention_memory{3'000};

/// Weight of one call in the moving average of the slowness.
constexpr double slowness_weight = 0.4;

/// An endpoint with a greater slowness gets a call only if no faster one would finish it sooner.
constexpr double slow_threshold = 1.8;

/// Time in which half of the excess slowness of an endpoint is forgotten.
constexpr duration slowness_half_life{4'000};

/// Longest time between two ticks of a process that was not suspended: ten intervals.
constexpr duration max_tick_gap{250};

/// A pool in which more full batches than this wait is overloaded.
constexpr std::size_t overload_batches = 1;

/// The last places of a call take parts of tasks while more full batches than this wait: the calls in
/// progress then decide when the queue ends, and a split task ends with the next call at the latest.
constexpr std::size_t fill_batches = 2;

/// Weight of one call in the moving average of the pieces of a call.
constexpr double typical_pieces_weight = 0.1;

/// Least assumed backlog of a pool whose endpoints are all backed off.
constexpr duration unknown_backlog{2'000};

/// A team that was served more than another one yields to it for no longer than this, in time of all
/// endpoints of the pool.
constexpr duration max_team_lead{2'000};

/// An endpoint that is avoided for no longer than this counts in estimates of the backlog as one that works
/// meanwhile. If it counted as lost, refusals for lack of storage would multiply the estimate.
constexpr duration short_avoidance{200};

/// Time constant of the average rate of arrivals. With a longer one, requests are refused for a burst that
/// has ended.
constexpr duration inflow_window{500};

/// Points of the outline of a backlog. Replies to other instances carry them for each pool.
constexpr std::size_t outline_points = 4;

constexpr double bytes_per_mb = 1e6;

} // namespace

std::string_view to_string(avoidance it)
{
    static constexpr std::array<std::string_view, 8> names{
        "none", "slow", "unreachable", "broken", "overloaded", "replaced", "no_storage", "held_back"};
    return names[static_cast<std::size_t>(it)];
}

void stage_dispatcher::configure(const stage_capacity& capacity, std::vector<endpoint> endpoints)
{
    capacity_ = capacity;
    options_.max_pieces = std::max<std::uint32_t>(1, capacity.max_batch_pieces);
    options_.call_ms = capacity.call_ms;
    options_.piece_ms = capacity.piece_ms;
    options_.overload_threshold = options_.max_pieces * overload_batches;
    options_.fill_threshold = admission_ ? options_.max_pieces * fill_batches : SIZE_MAX;
    std::map<std::string, endpoint_state, std::less<>> next;
    for (auto& it : endpoints) {
        if (it.leaving || it.evacuated)
            continue;
        const auto found = endpoints_.find(it.id);
        endpoint_state entry = found == endpoints_.end() ? endpoint_state{} : found->second;
        const bool restarted = entry.listed.started_ms != it.started_ms;
        if (restarted)
            entry = endpoint_state{};
        std::string id = it.id;
        entry.listed = std::move(it);
        next.emplace(std::move(id), std::move(entry));
    }
    endpoints_ = std::move(next);
    options_.max_team_lead_ms = static_cast<double>(max_team_lead.count() * endpoints_.size());
}

void stage_dispatcher::submit(const std::shared_ptr<const stage_task>& task, time_point now)
{
    if (task->objective_time >= now + call_time(1)) {
        const double piece_cost = to_team_order_options(options_).piece_cost;
        inflow_ms_ = inflow_at(now) + piece_cost * static_cast<double>(task->pieces.size());
        inflow_since_ = now;
    }
    for (std::size_t n = 0; n < task->pieces.size(); ++n)
        queue_.push({task, n, 0, now});
}

bool stage_dispatcher::retry(queued_piece it, time_point now)
{
    if (it.failed_attempts + 1 >= max_attempts || it.task->deadline <= now)
        return false;
    ++it.failed_attempts;
    queue_.push(std::move(it));
    return true;
}

bool stage_dispatcher::is_contended(std::string_view endpoint_id, time_point now) const
{
    const auto it = endpoints_.find(endpoint_id);
    return it != endpoints_.end() && it->second.contended_at &&
           now - *it->second.contended_at < contention_memory;
}

bool stage_dispatcher::usable(const endpoint_state& it, time_point now) const
{
    return !it.busy && it.avoid_until <= now;
}

double stage_dispatcher::inflow_at(time_point now) const
{
    const auto age = static_cast<double>((now - inflow_since_).count());
    return inflow_ms_ * std::exp(-std::max(0.0, age) / static_cast<double>(inflow_window.count()));
}

void stage_dispatcher::tick(time_point now)
{
    if (!suspensions_)
        suspensions_.emplace(now, max_tick_gap);
    suspensions_->tick(now);
}

double stage_dispatcher::slowness_of(const endpoint_state& it, time_point now)
{
    const double age =
        static_cast<double>((now - it.slowness_at).count()) / static_cast<double>(slowness_half_life.count());
    return 1 + (it.slowness - 1) * std::exp2(-std::max(0.0, age));
}

std::vector<avoided_endpoint> stage_dispatcher::avoided_endpoints(time_point now) const
{
    std::vector<avoided_endpoint> out;
    for (const auto& [id, it] : endpoints_) {
        const double slowness = slowness_of(it, now);
        if (it.avoid_until > now)
            out.push_back({id, it.reason, it.avoid_until - now, slowness});
        else if (slowness >= slow_threshold)
            out.push_back({id, avoidance::slow, duration{0}, slowness});
    }
    return out;
}

domain_free_times stage_dispatcher::free_times(time_point now) const
{
    domain_free_times out;
    for (const auto& [id, it] : endpoints_)
        if (it.avoid_until <= now && slowness_of(it, now) < slow_threshold)
            out[it.listed.domain].push_back(it.busy ? std::max(duration{0}, it.busy_until - now)
                                                    : duration{0});
    for (auto& [domain, times] : out)
        std::sort(times.begin(), times.end());
    return out;
}

/// Returns the fastest free endpoint that isn't excluded. Returns nullptr if that one is slow and a faster
/// busy endpoint is expected to finish another call sooner.
stage_dispatcher::endpoint_state* stage_dispatcher::pick_endpoint(time_point now,
                                                                  const std::vector<std::string>& excluded)
{
    endpoint_state* best = nullptr;
    for (auto& [id, it] : endpoints_) {
        const bool skip = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (!skip && usable(it, now) && (best == nullptr || slowness_of(it, now) < slowness_of(*best, now)))
            best = &it;
    }
    if (best == nullptr || slowness_of(*best, now) < slow_threshold)
        return best;
    const auto done = now + duration(static_cast<std::int64_t>(static_cast<double>(call_time(1).count()) *
                                                               slowness_of(*best, now)));
    for (const auto& [id, it] : endpoints_)
        if (it.busy && slowness_of(it, now) < slow_threshold && it.avoid_until <= now &&
            std::max(it.busy_until, now) + call_time(1) < done)
            return nullptr;
    return best;
}

std::optional<stage_dispatch> stage_dispatcher::next_call(time_point now, const task_filter& deferred)
{
    std::vector<std::string> excluded;
    while (!queue_.empty()) {
        endpoint_state* const to = pick_endpoint(now, excluded);
        if (to == nullptr)
            return std::nullopt;
        auto [pieces, vacancy] = queue_.pop_batch(options_, to->listed.domain, free_times(now),
                                                  free_result_bytes(*to), deferred, now);
        if (pieces.empty() && !vacancy.depends_on_endpoint())
            return std::nullopt;
        if (pieces.empty()) {
            excluded.push_back(to->listed.id);
            continue;
        }
        const duration expected(static_cast<std::int64_t>(
            static_cast<double>(call_time(pieces.size()).count()) * std::max(1.0, slowness_of(*to, now))));
        record_batch_size(pieces.size(), vacancy);
        to->busy = true;
        to->busy_until = now + expected;
        const duration timeout(
            static_cast<std::int64_t>(static_cast<double>(expected.count()) * hung_factor));
        std::uint64_t bytes = 0;
        for (const auto& it : pieces)
            bytes += it.task->result_bytes;
        to->stored_bytes += bytes;
        calls_[++last_call_] = {to->listed.id, now, pieces.size(), bytes};
        return stage_dispatch{last_call_, to->listed, std::move(pieces), now + timeout + hung_margin,
                              vacancy};
    }
    return std::nullopt;
}

std::uint64_t stage_dispatcher::free_result_bytes(const endpoint_state& it) const
{
    if (capacity_.result_storage_mb <= 0)
        return UINT64_MAX;
    const auto all = static_cast<std::uint64_t>(capacity_.result_storage_mb * bytes_per_mb);
    return all - std::min(all, it.stored_bytes);
}

void stage_dispatcher::release_result_bytes(std::string_view endpoint_id, std::uint64_t bytes)
{
    const auto it = endpoints_.find(endpoint_id);
    if (it != endpoints_.end())
        it->second.stored_bytes -= std::min(bytes, it->second.stored_bytes);
}

void stage_dispatcher::hold_back(std::string_view endpoint_id, time_point until)
{
    const auto it = endpoints_.find(endpoint_id);
    if (it != endpoints_.end())
        avoid(it->second, until, avoidance::held_back);
}

void stage_dispatcher::avoid(endpoint_state& it, time_point until, avoidance reason)
{
    if (until <= it.avoid_until)
        return;
    it.avoid_until = until;
    it.reason = reason;
}

void stage_dispatcher::requeue_for_lack_of_storage(std::string_view endpoint_id, queued_piece it,
                                                   time_point now)
{
    const auto at = endpoints_.find(endpoint_id);
    if (at != endpoints_.end())
        avoid(at->second, now + no_room_back_off, avoidance::no_storage);
    queue_.push(std::move(it));
}

/// Only full calls count, and those that leave pieces waiting which didn't fit: they show how many pieces fit
/// into a call, which is less than a batch if the memory for results is short. A call that is small because
/// the other tasks are deferred or wait for their own failure domain says nothing of that.
void stage_dispatcher::record_batch_size(std::size_t pieces, const batch_vacancy& vacancy)
{
    if (typical_pieces_ <= 0)
        typical_pieces_ = static_cast<double>(options_.max_pieces);
    const std::size_t too_large =
        vacancy.passed_over(pass_over_reason::size) + vacancy.passed_over(pass_over_reason::storage);
    const std::size_t waiting = admission_ ? too_large : queue_.size();
    if (vacancy.places == 0 || waiting >= options_.max_pieces / 2)
        typical_pieces_ += typical_pieces_weight * (static_cast<double>(pieces) - typical_pieces_);
}

void stage_dispatcher::penalize(endpoint_state& it, duration base, avoidance reason, time_point now)
{
    avoid(it, now + back_off(base, it.failures, max_back_off), reason);
    ++it.failures;
}

void stage_dispatcher::record_call_time(endpoint_state& it, const running_call& ended, time_point now) const
{
    const double ratio = static_cast<double>((now - ended.started).count()) /
                         std::max(1.0, static_cast<double>(call_time(ended.pieces).count()));
    const double before = slowness_of(it, now);
    it.slowness = before + slowness_weight * (ratio - before);
    it.slowness_at = now;
}

void stage_dispatcher::finish_call(std::uint64_t call, call_outcome outcome, time_point now)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    const running_call ended = found->second;
    calls_.erase(found);
    const auto at = endpoints_.find(ended.endpoint_id);
    if (at == endpoints_.end())
        return;
    endpoint_state& it = at->second;
    it.busy = false;
    if (outcome != call_outcome::answered)
        release_result_bytes(ended.endpoint_id, ended.bytes);
    const bool suspended = suspensions_ && suspensions_->suspended_since(ended.started, now);
    switch (outcome) {
    case call_outcome::answered:
        it.failures = 0;
        if (now - ended.started > call_time(ended.pieces) * 3 / 2 + contention_margin)
            it.contended_at = now;
        if (!suspended)
            record_call_time(it, ended, now);
        break;
    case call_outcome::overloaded:
        it.contended_at = now;
        avoid(it, now + overloaded_back_off, avoidance::overloaded);
        break;
    case call_outcome::unreachable:
        if (!suspended)
            penalize(it, unreachable_back_off, avoidance::unreachable, now);
        break;
    case call_outcome::broken:
        if (!suspended)
            penalize(it, broken_back_off, avoidance::broken, now);
        break;
    case call_outcome::replaced:
        avoid(it, now + replaced_back_off, avoidance::replaced);
        break;
    }
}

duration stage_dispatcher::backlog_ahead(time_point now, const task_filter& deferred) const
{
    return capacity_profile(now).time_for(queue_.count_with_objective_from(now + call_time(1), deferred));
}

backlog_profile stage_dispatcher::profile(time_point now, const task_filter& deferred) const
{
    backlog_profile out = capacity_profile(now);
    out.items_ = queue_.items(options_, deferred, now);
    out.pieces_ = 0;
    for (const auto& it : out.items_)
        out.pieces_ += it.pieces;
    out.shares_ = queue_.shares();
    out.team_options_ = to_team_order_options(options_);
    out.team_turns_ = options_.team_turns;
    // Every n-th batch begins with the oldest tasks, so late ones always have a part of the capacity.
    const double most = options_.oldest_first_interval > 0 ? 1 - 1.0 / options_.oldest_first_interval : 1;
    const double capacity = out.effective_endpoints_ * static_cast<double>(inflow_window.count());
    out.inflow_share_ = capacity > 0 ? std::min(most, inflow_at(now) / capacity) : 0;
    return out;
}

/// The profile without the waiting pieces.
backlog_profile stage_dispatcher::capacity_profile(time_point now) const
{
    backlog_profile out;
    for (const auto& [id, it] : endpoints_) {
        const duration left = std::max(duration{0}, it.avoid_until - now);
        if (left > (admission_ ? short_avoidance : duration{0})) {
            out.until_first_ = out.until_first_ == duration{0} ? left : std::min(left, out.until_first_);
            continue;
        }
        out.effective_endpoints_ += 1 / std::max(0.5, slowness_of(it, now));
        const duration busy = it.busy ? it.busy_until - now : duration{0};
        out.running_ms_ += static_cast<double>(std::max(busy, left).count());
    }
    out.typical_pieces_ =
        std::max(1.0, typical_pieces_ > 0 ? typical_pieces_ : static_cast<double>(options_.max_pieces));
    out.max_pieces_ = static_cast<double>(options_.max_pieces);
    out.call_ms_ = capacity_.call_ms;
    out.piece_ms_ = capacity_.piece_ms;
    return out;
}

duration backlog_profile::time_before(time_point order_key) const
{
    if (!is_contested())
        return time_for(pieces_below(order_key));
    const auto& keys = positions().keys();
    return time_for(
        static_cast<std::size_t>(std::lower_bound(keys.begin(), keys.end(), order_key) - keys.begin()));
}

const std::vector<backlog_profile::key_step>& backlog_profile::steps() const
{
    if (steps_)
        return *steps_;
    auto& out = steps_.emplace();
    out.reserve(items_.size());
    for (const auto& it : items_)
        out.push_back({it.key, it.pieces});
    std::sort(out.begin(), out.end(), [](const key_step& a, const key_step& b) { return a.key < b.key; });
    std::size_t sum = 0;
    for (auto& it : out)
        it.pieces = sum += it.pieces;
    return out;
}

std::size_t backlog_profile::pieces_below(time_point key) const
{
    const auto& all = steps();
    const auto end = std::lower_bound(all.begin(), all.end(), key,
                                      [](const key_step& it, time_point value) { return it.key < value; });
    return end == all.begin() ? 0 : std::prev(end)->pieces;
}

/// Key of the n-th piece, counted from 1, in the order of the keys.
time_point backlog_profile::key_of_piece(std::size_t n) const
{
    const auto& all = steps();
    return std::lower_bound(all.begin(), all.end(), n,
                            [](const key_step& it, std::size_t value) { return it.pieces < value; })
        ->key;
}

std::size_t backlog_profile::pieces_up_to(time_point key) const
{
    const auto& all = steps();
    const auto end = std::upper_bound(all.begin(), all.end(), key,
                                      [](time_point value, const key_step& it) { return value < it.key; });
    return end == all.begin() ? 0 : std::prev(end)->pieces;
}

const queue_positions& backlog_profile::positions() const
{
    if (!positions_)
        positions_.emplace(items_, shares_, team_options_);
    return *positions_;
}

/// Whether the teams take turns, so that a new task may go before waiting ones of another team with a smaller
/// key. Otherwise the order is that of the keys.
bool backlog_profile::is_contested() const
{
    if (!contested_)
        contested_ = team_turns_ && gateway::is_contested(items_, static_cast<std::size_t>(max_pieces_));
    return *contested_;
}

duration backlog_profile::time_before(const order_item& it) const
{
    return time_for(is_contested() ? positions().pieces_before(it) : pieces_up_to(it.key));
}

duration backlog_profile::least_time_before(const order_item& it, duration slack) const
{
    if (effective_endpoints_ <= 0)
        return until_first_;
    const std::size_t before = is_contested() ? positions().pieces_before(it) : pieces_up_to(it.key);
    const duration in_time = time_for(before);
    if (!it.late && in_time <= slack)
        return in_time;
    const std::size_t all = it.late ? before : before + late_pieces_for(it);
    return duration(
        static_cast<std::int64_t>(static_cast<double>(time_for(all).count()) / (1 - inflow_share_)));
}

duration backlog_profile::typical_call_time() const
{
    return duration(static_cast<std::int64_t>(call_ms_ + piece_ms_ * typical_pieces_));
}

duration backlog_profile::call_time(std::size_t pieces) const
{
    const auto all = static_cast<double>(pieces);
    const double calls = std::ceil(all / std::max(1.0, max_pieces_));
    const double rounds = std::max(1.0, std::ceil(calls / std::max(1.0, effective_endpoints_)));
    return duration(static_cast<std::int64_t>(rounds * (call_ms_ + piece_ms_ * std::min(all, max_pieces_))));
}

void backlog_profile::add(order_item it)
{
    pieces_ += it.pieces;
    items_.push_back(std::move(it));
    steps_.reset();
    contested_.reset();
    positions_.reset();
}

std::size_t backlog_profile::late_pieces_for(const order_item& it) const
{
    if (is_contested())
        return positions().late_pieces_for(it);
    return std::accumulate(items_.begin(), items_.end(), std::size_t{0},
                           [&it](std::size_t sum, const order_item& other) {
                               return sum + (other.late && other.priority <= it.priority ? other.pieces : 0);
                           });
}

/// Tasks of a later turn may yield to a new task of another team, so they aren't counted.
std::vector<backlog_point> backlog_profile::outline() const
{
    if (effective_endpoints_ <= 0)
        return {};
    const bool by_turns = is_contested();
    const std::size_t count = by_turns ? positions().first_turn_keys().size() : pieces_;
    std::vector<backlog_point> out;
    for (std::size_t n = 1; n <= outline_points && count > 0; ++n) {
        const std::size_t end = std::max<std::size_t>(1, count * n / outline_points);
        out.push_back({by_turns ? positions().first_turn_keys()[end - 1] : key_of_piece(end), time_for(end)});
    }
    return out;
}

duration time_before(const std::vector<backlog_point>& outline, time_point order_key, duration age)
{
    duration out{0};
    for (const auto& it : outline)
        if (it.order_key < order_key)
            out = std::max(out, it.before - age);
    return out;
}

duration backlog_profile::time_for(std::size_t pieces) const
{
    if (effective_endpoints_ <= 0)
        return std::max(unknown_backlog, until_first_);
    const auto n = static_cast<double>(pieces);
    const double total_ms = running_ms_ + std::ceil(n / typical_pieces_) * call_ms_ + n * piece_ms_;
    return duration(static_cast<std::int64_t>(total_ms / effective_endpoints_));
}

} // namespace limpetlock::gateway
