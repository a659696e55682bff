#include "rank_queue.hpp"

#include <algorithm>
#include <limits>

namespace limpetlock::admission {

std::size_t rank_queue::waiting_for_team(const std::string& team) const
{
    const auto it = flows_.find(team);
    return it == flows_.end() ? 0 : it->second.waiting.size();
}

double rank_queue::weight(const std::string& team) const
{
    constexpr double min_weight = 1e-3; // with a weight of 0, the team would never be served again
    const auto it = options_.weights.find(team);
    return it == options_.weights.end() ? 1 : std::max(min_weight, it->second);
}

void rank_queue::insert_into_order(team_flow& it, const std::string& team)
{
    order_.emplace(order_key{it.virtual_start, it.sequence}, &*flows_.find(team));
}

void rank_queue::remove_from_order(const team_flow& it)
{
    order_.erase({it.virtual_start, it.sequence});
}

void rank_queue::push(request it)
{
    const auto [entry, added] = flows_.try_emplace(it.team);
    auto& flow = entry->second;
    if (added) {
        flow.sequence = next_sequence_++;
        flow.virtual_finish = virtual_time_;
    }
    max_cost_ms_ = empty() ? it.cost_ms : std::max(max_cost_ms_, it.cost_ms);
    flow.waiting.push_back(std::move(it));
    ++waiting_;
    if (flow.waiting.size() > 1)
        return;
    flow.virtual_start = std::max(virtual_time_, flow.virtual_finish);
    insert_into_order(flow, entry->first);
}

const request* rank_queue::front(const predicate& viable, const predicate& fits,
                                 std::vector<std::uint64_t>& dropped)
{
    for (auto it = order_.begin(); it != order_.end();) {
        const auto entry = it->second;
        ++it;
        auto& flow = entry->second;
        while (!flow.waiting.empty() && !viable(flow.waiting.front())) {
            dropped.push_back(flow.waiting.front().id);
            flow.waiting.pop_front();
            --waiting_;
        }
        if (flow.waiting.empty()) {
            remove_from_order(flow);
            continue;
        }
        if (fits(flow.waiting.front()))
            return &flow.waiting.front();
    }
    return nullptr;
}

request rank_queue::pop(const request& head)
{
    const auto entry = flows_.find(head.team);
    auto& flow = entry->second;
    remove_from_order(flow);
    request it = std::move(flow.waiting.front());
    flow.waiting.pop_front();
    --waiting_;
    virtual_time_ = std::max(virtual_time_, flow.virtual_start);
    flow.virtual_finish = flow.virtual_start + it.cost_ms / weight(it.team);
    flow.virtual_start = flow.virtual_finish;
    if (!flow.waiting.empty())
        insert_into_order(flow, entry->first);
    return it;
}

bool rank_queue::cancel(std::uint64_t id, const std::string& team)
{
    const auto entry = flows_.find(team);
    if (entry == flows_.end())
        return false;
    auto& waiting = entry->second.waiting;
    const auto it =
        std::find_if(waiting.begin(), waiting.end(), [&](const request& r) { return r.id == id; });
    if (it == waiting.end())
        return false;
    waiting.erase(it);
    --waiting_;
    if (waiting.empty())
        remove_from_order(entry->second);
    return true;
}

void rank_queue::drop_if(const predicate& is_lost, std::vector<std::uint64_t>& dropped)
{
    for (auto it = order_.begin(); it != order_.end();) {
        auto& flow = it->second->second;
        ++it;
        const auto before = flow.waiting.size();
        std::erase_if(flow.waiting, [&](const request& r) {
            if (!is_lost(r))
                return false;
            dropped.push_back(r.id);
            return true;
        });
        waiting_ -= before - flow.waiting.size();
        if (flow.waiting.empty())
            remove_from_order(flow);
    }
}

void rank_queue::shift_start(team_flow& it, const std::string& team, double shift)
{
    if (it.waiting.empty()) {
        it.virtual_finish += shift;
        return;
    }
    remove_from_order(it);
    it.virtual_start = std::max(virtual_time_, it.virtual_start + shift);
    it.virtual_finish = it.virtual_start;
    insert_into_order(it, team);
}

void rank_queue::charge(const std::string& team, double cost_ms)
{
    const auto it = flows_.find(team);
    if (it != flows_.end())
        shift_start(it->second, team, cost_ms / weight(team));
}

void rank_queue::charge_peer_usage(const std::vector<std::pair<std::string, double>>& served)
{
    for (const auto& [team, cost] : served) {
        const auto it = flows_.find(team);
        if (it != flows_.end())
            it->second.uncharged_peer_cost += cost / weight(team);
    }
    double min_uncharged = std::numeric_limits<double>::max();
    for (const auto& [team, flow] : flows_)
        if (!flow.waiting.empty() || flow.virtual_finish > virtual_time_)
            min_uncharged = std::min(min_uncharged, flow.uncharged_peer_cost);
    for (auto& [team, flow] : flows_) {
        const double lead = flow.virtual_finish - virtual_time_;
        const double charge =
            std::min(flow.uncharged_peer_cost - min_uncharged, options_.max_peer_lead_ms - lead);
        flow.uncharged_peer_cost = 0;
        if (charge > 0)
            shift_start(flow, team, charge);
    }
}

void rank_queue::remove_idle_teams()
{
    std::erase_if(flows_, [&](const auto& it) {
        return it.second.waiting.empty() && it.second.virtual_finish <= virtual_time_;
    });
}

} // namespace limpetlock::admission
