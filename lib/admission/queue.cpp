#include "rank_queue.hpp"

#include <limpetlock/admission/queue.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace limpetlock::admission {

namespace {

constexpr std::array<std::string_view, rank_count> rank_names{"urgent", "standard", "background"};

constexpr std::size_t index(rank it)
{
    return static_cast<std::size_t>(it);
}

bool waited_half_of_its_time(const request& it, time_point now)
{
    return now - it.enqueued_at > (it.deadline - it.enqueued_at) / 2;
}

} // namespace

std::string_view to_string(rank it)
{
    return rank_names.at(index(it));
}

std::optional<rank> parse_rank(std::string_view name)
{
    const auto it = std::find(rank_names.begin(), rank_names.end(), name);
    if (it == rank_names.end())
        return std::nullopt;
    return static_cast<rank>(it - rank_names.begin());
}

class queue::impl {
public:
    impl(queue_options initial, const stage_time_estimator& times)
        : options(std::move(initial)),
          times_(times), queues_{rank_queue(options), rank_queue(options), rank_queue(options)}
    {
    }

    std::optional<std::size_t> offer(request it, time_point now);
    std::optional<ticket> pop_next(time_point now, const predicate& fits);
    std::vector<std::uint64_t> expire(time_point now, bool pool_failing);
    void complete(const ticket& it, double actual_cost_ms);
    std::vector<team_usage> extract_usage();
    void add_peer_usage(const std::vector<team_usage>& served);

    rank_queue& queue_for(rank it) { return queues_.at(index(it)); }

    queue_options options;
    error_slot<errc> last_error;
    std::array<double, rank_count> served_ms{};

private:
    struct choice {
        rank priority;
        const request* head;
        bool by_min_share;
    };

    bool can_meet_deadline(const request& it, time_point now) const;
    std::optional<choice> choose(const rank_queue::predicate& viable, const rank_queue::predicate& fits);
    void add_credit(double cost);

    const stage_time_estimator& times_;
    std::array<rank_queue, rank_count> queues_;
    std::vector<std::uint64_t> dropped_;
    std::array<std::unordered_map<std::string, double>, rank_count> unreported_usage_ms_;
};

bool queue::impl::can_meet_deadline(const request& it, time_point now) const
{
    const double needed = it.stages ? times_.required_ms(*it.stages, now) : 0;
    return now < it.deadline && needed <= static_cast<double>((it.deadline - now).count());
}

std::optional<std::size_t> queue::impl::offer(request it, time_point now)
{
    auto& ranked = queue_for(it.priority);
    if (!can_meet_deadline(it, now))
        return last_error.fail(
            errc::deadline_unreachable,
            fmt::format("the remaining stages need more than the {} ms left", (it.deadline - now).count()));
    const auto before = ranked.waiting_for_team(it.team);
    if (before >= options.max_waiting_per_team)
        return last_error.fail(errc::queue_full, fmt::format("{} requests of this team wait", before));
    if (ranked.waiting() >= options.max_waiting_per_rank)
        return last_error.fail(errc::queue_full,
                               fmt::format("{} requests of this rank wait", ranked.waiting()));
    it.cost_ms = std::max(1.0, it.cost_ms);
    it.enqueued_at = now;
    ranked.push(std::move(it));
    return before;
}

// A rank whose credit covers its first request precedes the order of ranks.
std::optional<queue::impl::choice> queue::impl::choose(const rank_queue::predicate& viable,
                                                       const rank_queue::predicate& fits)
{
    std::array<const request*, rank_count> heads{};
    for (std::size_t n = 0; n < rank_count; ++n)
        heads[n] = queues_[n].empty() ? nullptr : queues_[n].front(viable, fits, dropped_);
    for (std::size_t n = rank_count - 1; n > 0; --n)
        if (heads[n] != nullptr && queues_[n].credit_ms >= heads[n]->cost_ms)
            return choice{static_cast<rank>(n), heads[n], true};
    for (std::size_t n = 0; n < rank_count; ++n)
        if (heads[n] != nullptr)
            return choice{static_cast<rank>(n), heads[n], false};
    return std::nullopt;
}

// Credits every rank that has waiting requests with its minimum share of the served cost. Service beyond the
// minimum share isn't deducted. A rank without waiting requests loses its credit, and a rank that can't be
// served because its pools have no free capacity accumulates at most the cost of two requests.
void queue::impl::add_credit(double cost)
{
    for (std::size_t n = 1; n < rank_count; ++n) {
        auto& ranked = queues_.at(n);
        if (ranked.empty()) {
            ranked.credit_ms = 0;
            continue;
        }
        ranked.credit_ms += options.min_share.at(n) * cost;
        ranked.credit_ms = std::min(ranked.credit_ms, 2 * ranked.max_cost_ms());
    }
}

std::optional<ticket> queue::impl::pop_next(time_point now, const predicate& fits)
{
    const auto picked = choose([&](const request& it) { return can_meet_deadline(it, now); },
                               [&](const request& it) { return !fits || fits(it.id); });
    if (!picked)
        return std::nullopt;
    const auto cost = picked->head->cost_ms;
    add_credit(cost);
    if (picked->by_min_share)
        queue_for(picked->priority).credit_ms -= cost;
    request it = queue_for(picked->priority).pop(*picked->head);
    served_ms.at(index(it.priority)) += cost;
    unreported_usage_ms_.at(index(it.priority))[it.team] += cost;
    return ticket{it.id, std::move(it.team), it.priority, cost, picked->by_min_share};
}

std::vector<std::uint64_t> queue::impl::expire(time_point now, bool pool_failing)
{
    for (auto& ranked : queues_) {
        ranked.drop_if(
            [&](const request& it) {
                return !can_meet_deadline(it, now) || (pool_failing && waited_half_of_its_time(it, now));
            },
            dropped_);
        ranked.remove_idle_teams();
    }
    return std::exchange(dropped_, {});
}

void queue::impl::complete(const ticket& it, double actual_cost_ms)
{
    const double difference_ms = actual_cost_ms - it.cost_ms;
    auto& ranked = queue_for(it.priority);
    ranked.charge(it.team, difference_ms);
    add_credit(difference_ms);
    if (it.by_min_share)
        ranked.credit_ms -= difference_ms;
    served_ms.at(index(it.priority)) += difference_ms;
    unreported_usage_ms_.at(index(it.priority))[it.team] += difference_ms;
}

std::vector<team_usage> queue::impl::extract_usage()
{
    std::vector<team_usage> all;
    for (std::size_t n = 0; n < rank_count; ++n) {
        for (const auto& [team, cost] : unreported_usage_ms_.at(n))
            if (cost > 0)
                all.push_back({team, static_cast<rank>(n), cost});
        unreported_usage_ms_.at(n).clear();
    }
    std::sort(all.begin(), all.end(), [](const team_usage& a, const team_usage& b) {
        return std::tie(a.priority, a.team) < std::tie(b.priority, b.team);
    });
    return all;
}

void queue::impl::add_peer_usage(const std::vector<team_usage>& served)
{
    std::array<std::vector<std::pair<std::string, double>>, rank_count> by_rank;
    for (const auto& it : served)
        by_rank.at(index(it.priority)).emplace_back(it.team, it.cost_ms);
    for (std::size_t n = 0; n < rank_count; ++n)
        if (!by_rank.at(n).empty())
            queues_.at(n).charge_peer_usage(by_rank.at(n));
}

queue::queue(queue_options options, const stage_time_estimator& times)
    : impl_(std::make_unique<impl>(std::move(options), times))
{
}

queue::~queue() = default;

void queue::set_options(queue_options options)
{
    impl_->options = std::move(options);
}

std::optional<std::size_t> queue::offer(request it, time_point now)
{
    return impl_->offer(std::move(it), now);
}

std::optional<ticket> queue::pop_next(time_point now, const predicate& fits)
{
    return impl_->pop_next(now, fits);
}

std::vector<std::uint64_t> queue::expire(time_point now, bool pool_failing)
{
    return impl_->expire(now, pool_failing);
}

bool queue::cancel(std::uint64_t id, const std::string& team, rank priority)
{
    return impl_->queue_for(priority).cancel(id, team);
}

void queue::complete(const ticket& it, double actual_cost_ms)
{
    impl_->complete(it, actual_cost_ms);
}

std::vector<team_usage> queue::extract_usage()
{
    return impl_->extract_usage();
}

void queue::add_peer_usage(const std::vector<team_usage>& served)
{
    impl_->add_peer_usage(served);
}

std::size_t queue::waiting() const
{
    std::size_t sum = 0;
    for (std::size_t n = 0; n < rank_count; ++n)
        sum += waiting(static_cast<rank>(n));
    return sum;
}

std::size_t queue::waiting(rank it) const
{
    return impl_->queue_for(it).waiting();
}

double queue::served_ms(rank it) const
{
    return impl_->served_ms.at(index(it));
}

const error& queue::last_error() const
{
    return impl_->last_error.last();
}

} // namespace limpetlock::admission
