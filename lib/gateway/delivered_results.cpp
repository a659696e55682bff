#include <limpetlock/gateway/delivered_results.hpp>

namespace limpetlock::gateway {

void delivered_results::record(stage_task_id id, std::vector<piece_result> results, time_point now)
{
    order_.emplace_back(now, id);
    results_.insert_or_assign(std::move(id), entry{std::move(results), now});
}

std::optional<std::vector<piece_result>> delivered_results::find(const stage_task_id& id,
                                                                 time_point now) const
{
    const auto it = results_.find(id);
    if (it == results_.end() || now - it->second.recorded >= retention)
        return std::nullopt;
    return it->second.results;
}

std::vector<piece_result> delivered_results::remove(const stage_task_id& id)
{
    const auto it = results_.find(id);
    if (it == results_.end())
        return {};
    auto out = std::move(it->second.results);
    results_.erase(it);
    return out;
}

void delivered_results::remove_expired(time_point now)
{
    while (!order_.empty() && now - order_.front().first >= retention) {
        const auto it = results_.find(order_.front().second);
        // A later record of the same task has an element of its own.
        if (it != results_.end() && it->second.recorded == order_.front().first)
            results_.erase(it);
        order_.pop_front();
    }
}

} // namespace limpetlock::gateway
