#include <limpetlock/gateway/team_order.hpp>

#include <algorithm>
#include <iterator>
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
    std::map<std::string_view, std::size_t> teams;
    for (const auto& it : items) {
        pieces += it.pieces;
        teams[it.team] += it.pieces;
    }
    const bool one_floods = std::any_of(teams.begin(), teams.end(), [pieces](const auto& it) {
        return !it.first.empty() && 2 * it.second > pieces;
    });
    return one_floods && pieces > max_pieces;
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

queue_positions::queue_positions(const std::vector<order_item>& items, const rank_shares& shares,
                                 const team_order_options& options)
    : shares_(shares), options_(options)
{
    for (const auto& place : team_order(items, shares, options)) {
        const auto& it = items[place.item];
        keys_.insert(keys_.end(), it.pieces, place.key);
        if (place.turn == 0)
            first_turn_keys_.insert(first_turn_keys_.end(), it.pieces, place.key);
        // Within a level, the places are in the order of turns and own keys.
        levels_[{it.late, it.priority}].push_back({place.turn, it.key, place.key, it.pieces, it.team});
    }
    std::vector<const order_item*> by_key;
    by_key.reserve(items.size());
    for (const auto& it : items)
        by_key.push_back(&it);
    std::stable_sort(by_key.begin(), by_key.end(),
                     [](const order_item* a, const order_item* b) { return a->key < b->key; });
    for (const auto* const it : by_key) {
        auto& steps = teams_[{it->priority, it->team}];
        const double lead = steps.empty() ? shares.lead(it->priority, it->team) : steps.back().lead;
        steps.push_back({it->key, lead + static_cast<double>(it->pieces) * options.piece_cost});
    }
}

std::uint64_t queue_positions::turn_of(const order_item& it) const
{
    double lead = shares_.lead(it.priority, it.team);
    if (const auto team = teams_.find({it.priority, it.team}); team != teams_.end()) {
        const auto after = std::upper_bound(team->second.begin(), team->second.end(), it.key,
                                            [](time_point key, const team_step& s) { return key < s.key; });
        if (after != team->second.begin())
            lead = std::prev(after)->lead;
    }
    return static_cast<std::uint64_t>(lead / options_.turn_cost);
}

std::size_t queue_positions::pieces_before(const order_item& it) const
{
    time_point key = it.key;
    std::size_t yielding = 0;
    if (const auto found = levels_.find({it.late, it.priority}); found != levels_.end()) {
        const auto after =
            std::upper_bound(found->second.begin(), found->second.end(), std::pair(turn_of(it), it.key),
                             [](const auto& value, const level_place& place) {
                                 return value < std::pair(place.turn, place.own_key);
                             });
        if (after != found->second.begin())
            key = std::max(key, std::prev(after)->key);
        // The tasks of the level that follow would yield to the new one.
        const auto end =
            std::upper_bound(after, found->second.end(), key,
                             [](time_point value, const level_place& place) { return value < place.key; });
        for (auto place = after; place != end; ++place)
            yielding += place->pieces;
    }
    const auto end = std::upper_bound(keys_.begin(), keys_.end(), key);
    return static_cast<std::size_t>(end - keys_.begin()) - yielding;
}

std::size_t queue_positions::late_pieces_for(const order_item& it) const
{
    const std::uint64_t turn = turn_of(it);
    std::size_t out = 0;
    for (const auto& [of, places] : levels_)
        if (of.first && of.second <= it.priority)
            for (const auto& place : places)
                out += place.team == it.team || place.turn <= turn ? place.pieces : 0;
    return out;
}

} // namespace limpetlock::gateway
