#include <limpetlock/gateway/evacuations.hpp>

#include <set>

namespace limpetlock::gateway {

evacuation_changes evacuations::set_orders(const std::vector<evacuation_order>& orders, std::int64_t era,
                                           time_point now)
{
    evacuation_changes out;
    std::set<std::string_view> present;
    for (const auto& it : orders) {
        present.insert(it.domain);
        const auto [found, added] = orders_.insert_or_assign(it.domain, order_state{it.revision, {}});
        if (added)
            out.begun.push_back(it);
    }
    for (auto it = orders_.begin(); it != orders_.end();) {
        auto& [domain, state] = *it;
        if (present.contains(domain)) {
            ++it;
            continue;
        }
        // The removal of an order that the store still has in this era is the operators' own.
        const bool lost = state.revision.era < era;
        if (!state.missing_since)
            state.missing_since = now;
        if (lost && now - *state.missing_since < lost_order_grace) {
            ++it;
            continue;
        }
        out.ended.push_back({domain, state.revision});
        it = orders_.erase(it);
    }
    return out;
}

evacuation_changes evacuations::remove_lapsed(time_point now)
{
    evacuation_changes out;
    for (auto it = orders_.begin(); it != orders_.end();) {
        const auto& [domain, state] = *it;
        if (!state.missing_since || now - *state.missing_since < lost_order_grace) {
            ++it;
            continue;
        }
        out.ended.push_back({domain, state.revision});
        it = orders_.erase(it);
    }
    return out;
}

void evacuations::mark(std::vector<endpoint>& list) const
{
    for (auto& it : list)
        it.evacuated = contains(it.domain);
}

} // namespace limpetlock::gateway
