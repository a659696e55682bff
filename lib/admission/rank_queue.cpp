#include "rank_queue.hpp"

#include <algorithm>
#include <limits>

namespace limpetlock::admission {

std::size_t rank_queue::waiting_of(const std::string& team) const
{
    const auto it = flows_.find(team);
    return it == flows_.end() ? 0 : it->second.waiting.size();
}

double rank_queue::weight(const std::string& team) const
{
    constexpr double least = 1e-3; // a weight of zero would put the team behind for ever
    const auto it = options_.weights.find(team);
    return it == options_.weights.end() ? 1 : std::max(least, it->second);
}

void rank_queue::list(team_flow& it, const std::string& team)
{
    order_.emplace(order_key{it.start, it.number}, &*flows_.find(team));
}

void rank_queue::unlist(const team_flow& it)
{
    order_.erase({it.start, it.number});
}

void rank_queue::push(request it)
{
    const auto [entry, added] = flows_.try_emplace(it.team);
    auto& flow = entry->second;
    if (added) {
        flow.number = next_number_++;
        flow.finish = virtual_time_;
    }
    largest_cost_ = empty() ? it.cost_ms : std::max(largest_cost_, it.cost_ms);
    flow.waiting.push_back(std::move(it));
    ++waiting_;
    if (flow.waiting.size() > 1)
        return;
    flow.start = std::max(virtual_time_, flow.finish);
    list(flow, entry->first);
}

const request* rank_queue::front(const test& viable, const test& fits, std::vector<std::uint64_t>& dropped)
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
            unlist(flow);
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
    unlist(flow);
    request it = std::move(flow.waiting.front());
    flow.waiting.pop_front();
    --waiting_;
    virtual_time_ = std::max(virtual_time_, flow.start);
    flow.finish = flow.start + it.cost_ms / weight(it.team);
    flow.start = flow.finish;
    if (!flow.waiting.empty())
        list(flow, entry->first);
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
        unlist(entry->second);
    return true;
}

void rank_queue::drop_if(const test& lost, std::vector<std::uint64_t>& dropped)
{
    for (auto it = order_.begin(); it != order_.end();) {
        auto& flow = it->second->second;
        ++it;
        const auto before = flow.waiting.size();
        std::erase_if(flow.waiting, [&](const request& r) {
            if (!lost(r))
                return false;
            dropped.push_back(r.id);
            return true;
        });
        waiting_ -= before - flow.waiting.size();
        if (flow.waiting.empty())
            unlist(flow);
    }
}

void rank_queue::move(team_flow& it, const std::string& team, double by)
{
    if (it.waiting.empty()) {
        it.finish += by;
        return;
    }
    unlist(it);
    it.start = std::max(virtual_time_, it.start + by);
    it.finish = it.start;
    list(it, team);
}

void rank_queue::charge(const std::string& team, double cost_ms)
{
    const auto it = flows_.find(team);
    if (it != flows_.end())
        move(it->second, team, cost_ms / weight(team));
}

void rank_queue::charge_peers(const std::vector<std::pair<std::string, double>>& served)
{
    for (const auto& [team, cost] : served) {
        const auto it = flows_.find(team);
        if (it != flows_.end())
            it->second.peer_backlog += cost / weight(team);
    }
    double least = std::numeric_limits<double>::max();
    for (const auto& [team, flow] : flows_)
        if (!flow.waiting.empty() || flow.finish > virtual_time_)
            least = std::min(least, flow.peer_backlog);
    for (auto& [team, flow] : flows_) {
        const double lead = flow.finish - virtual_time_;
        const double charge = std::min(flow.peer_backlog - least, options_.max_peer_lead_ms - lead);
        flow.peer_backlog = 0;
        if (charge > 0)
            move(flow, team, charge);
    }
}

void rank_queue::forget_idle()
{
    std::erase_if(flows_, [&](const auto& it) {
        return it.second.waiting.empty() && it.second.finish <= virtual_time_;
    });
}

} // namespace limpetlock::admission
