#include "endpoint_table.hpp"

#include <limpetlock/support/hash.hpp>

#include <utility>

namespace limpetlock::server {

call_slot::~call_slot()
{
    if (table_ != nullptr)
        table_->finish(endpoint_.id, started_, routing::outcome::cancelled, 0, started_);
}

void call_slot::finish(routing::outcome outcome, double expected_ms, time_point now)
{
    if (endpoint_table* it = std::exchange(table_, nullptr); it != nullptr)
        it->finish(endpoint_.id, started_, outcome, expected_ms, now);
}

std::uint32_t domain_hash(std::string_view failure_domain)
{
    return static_cast<std::uint32_t>(hash64(failure_domain));
}

endpoint_table::endpoint_table(std::uint64_t seed)
    : random_(seed), two_choices_(routing::make_two_choices()),
      prefix_affinity_(routing::make_prefix_affinity()),
      members_(std::make_shared<const membership::snapshot>())
{
}

void endpoint_table::configure(const config::limit_settings& limits, std::size_t instances)
{
    const std::lock_guard lock(mutex_);
    limit_options_ = routing::scaled_limits(static_cast<double>(limits.endpoint_concurrency), instances);
    retry_options_.retry_share = limits.retry_share;
    retry_options_.hedge_share = limits.hedge_share;
    for (auto& [id, it] : entries_)
        it.stats.set_options(limit_options_);
    for (auto& [stage, it] : budgets_)
        it.set_options(retry_options_);
}

void endpoint_table::set_members(std::shared_ptr<const membership::snapshot> members)
{
    const std::lock_guard lock(mutex_);
    std::map<std::uint64_t, entry> kept;
    for (const auto& [pool, endpoints] : members->routable) {
        for (const auto& it : endpoints) {
            if (auto node = entries_.extract(it.id); !node.empty())
                kept.insert(std::move(node));
            else
                kept.emplace(it.id, entry{routing::endpoint_stats(limit_options_), false});
        }
    }
    // An ejected endpoint keeps its statistics while it has calls in flight, since their ends update them.
    for (auto& [id, it] : entries_)
        if (it.stats.in_flight() > 0)
            kept.emplace(id, it);
    entries_ = std::move(kept);
    members_ = std::move(members);
}

std::optional<call_slot> endpoint_table::acquire(const endpoint_criteria& criteria, time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto& endpoints = members_->pool(criteria.pool);
    std::vector<routing::candidate> candidates;
    candidates.reserve(endpoints.size());
    for (const auto& it : endpoints)
        candidates.push_back({it.id, domain_hash(it.failure_domain),
                              it.state == membership::endpoint_state::probing, &entries_.at(it.id).stats});
    const routing::choice_context context{criteria.prefix_hash, criteria.tried_ids, criteria.avoid_domain,
                                          criteria.repeatable};
    auto& strategy = criteria.prefix_hash != 0 ? prefix_affinity_ : two_choices_;
    const auto n = strategy->choose(candidates, context, random_, now);
    if (!n)
        return std::nullopt;
    const auto& chosen = endpoints[*n];
    entry& it = entries_.at(chosen.id);
    it.stats.record_start(now);
    it.used_since_pop = true;
    return std::optional<call_slot>(std::in_place, *this, chosen, now);
}

void endpoint_table::finish(std::uint64_t id, time_point started, routing::outcome outcome,
                            double expected_ms, time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(id);
    if (it == entries_.end())
        return;
    it->second.stats.record_finish(now, outcome, static_cast<double>((now - started).count()), expected_ms);
}

void endpoint_table::record_load(std::uint64_t id, const routing::load_report& report, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (const auto it = entries_.find(id); it != entries_.end())
        it->second.stats.record_report(report, now);
}

std::map<std::string, double> endpoint_table::capacities() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, double> out;
    for (const auto& [pool, endpoints] : members_->routable) {
        double slots = 0;
        for (const auto& it : endpoints)
            slots += entries_.at(it.id).stats.concurrency_limit();
        out[pool] = slots;
    }
    return out;
}

routing::retry_budget& endpoint_table::budget(const std::string& stage)
{
    return budgets_.try_emplace(stage, retry_options_).first->second;
}

bool endpoint_table::try_acquire_retry(const std::string& stage)
{
    const std::lock_guard lock(mutex_);
    return budget(stage).try_acquire_retry();
}

bool endpoint_table::try_acquire_hedge(const std::string& stage)
{
    const std::lock_guard lock(mutex_);
    return budget(stage).try_acquire_hedge();
}

void endpoint_table::record_first_attempt(const std::string& stage)
{
    const std::lock_guard lock(mutex_);
    budget(stage).record_first_attempt();
}

void endpoint_table::record_first_success(const std::string& stage)
{
    const std::lock_guard lock(mutex_);
    budget(stage).record_first_success();
}

std::vector<endpoint_row> endpoint_table::rows() const
{
    const std::lock_guard lock(mutex_);
    std::vector<endpoint_row> out;
    for (const auto& [pool, endpoints] : members_->routable)
        for (const auto& it : endpoints) {
            const auto& stats = entries_.at(it.id).stats;
            out.push_back({pool, it.name, it.state, stats.in_flight(), stats.concurrency_limit(),
                           stats.reported_calls()});
        }
    return out;
}

std::map<std::string, double> endpoint_table::retry_tokens() const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, double> out;
    for (const auto& [stage, it] : budgets_)
        out[stage] = it.tokens();
    return out;
}

std::vector<membership::endpoint> endpoint_table::pop_recently_used(std::size_t max_count)
{
    const std::lock_guard lock(mutex_);
    std::vector<membership::endpoint> out;
    for (const auto& [pool, endpoints] : members_->routable)
        for (const auto& it : endpoints) {
            entry& stored = entries_.at(it.id);
            if (!stored.used_since_pop || out.size() >= max_count)
                continue;
            stored.used_since_pop = false;
            out.push_back(it);
        }
    return out;
}

} // namespace limpetlock::server
