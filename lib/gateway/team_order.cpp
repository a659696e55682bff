#include <limpetlock/gateway/team_order.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>
#include <tuple>
#include <utility>

namespace limpetlock::gateway {

std::size_t rank_shares::rank_of(int priority)
{
    return static_cast<std::size_t>(std::clamp(priority, 0, static_cast<int>(ranks) - 1));
}

void rank_shares::set_waiting(const std::vector<order_item>& items)
{
    std::array<std::vector<std::string_view>, ranks> waiting;
    for (const auto& it : items)
        waiting[rank_of(it.priority)].emplace_back(it.team);
    for (std::size_t n = 0; n < ranks; ++n)
        shares_[n].set_waiting(waiting[n]);
}

void rank_shares::charge(int priority, const std::string& team, std::size_t pieces,
                         const team_order_options& options)
{
    shares_[rank_of(priority)].charge(team, static_cast<double>(pieces) * options.piece_cost,
                                      options.max_lead);
}

std::size_t rank_shares::size() const
{
    return std::accumulate(shares_.begin(), shares_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& it) { return sum + it.size(); });
}

bool is_contested(const std::vector<order_item>& items, std::size_t max_pieces)
{
    std::size_t pieces = 0;
    bool several = false;
    for (const auto& it : items) {
        pieces += it.pieces;
        several = several || it.team != items.front().team;
    }
    return several && pieces > max_pieces;
}

std::vector<order_place> team_order(const std::vector<order_item>& items, const rank_shares& shares,
                                    const team_order_options& options)
{
    std::vector<order_place> out;
    out.reserve(items.size());
    for (std::size_t n = 0; n < items.size(); ++n)
        out.push_back({n, items[n].key, 0});
    const auto by_key = [](const order_place& a, const order_place& b) { return a.key < b.key; };
    std::stable_sort(out.begin(), out.end(), by_key);
    std::map<std::pair<int, std::string_view>, double> leads; // each after the tasks so far
    for (auto& place : out) {
        const auto& it = items[place.item];
        const auto [lead, added] = leads.try_emplace({it.priority, it.team}, 0.0);
        if (added)
            lead->second = shares.lead(it.priority, it.team);
        place.turn = static_cast<std::uint64_t>(lead->second / options.turn_cost);
        lead->second += static_cast<double>(it.pieces) * options.piece_cost;
    }
    const auto level = [&](const order_place& it) {
        return std::pair(items[it.item].late, items[it.item].priority);
    };
    std::stable_sort(out.begin(), out.end(), [&](const order_place& a, const order_place& b) {
        return std::tuple(level(a), a.turn, a.key) < std::tuple(level(b), b.turn, b.key);
    });
    for (std::size_t n = 1; n < out.size(); ++n)
        if (level(out[n]) == level(out[n - 1]))
            out[n].key = std::max(out[n].key, out[n - 1].key);
    std::stable_sort(out.begin(), out.end(), by_key);
    return out;
}

} // namespace limpetlock::gateway
