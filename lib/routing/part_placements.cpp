#include <limpetlock/routing/part_placements.hpp>

#include <algorithm>

namespace limpetlock::routing {

void part_placements::record(std::uint64_t part, const std::string& endpoint, time_point now)
{
    if (parts_.size() >= max_parts && !parts_.contains(part)) {
        std::erase_if(parts_, [now](const auto& it) {
            return std::all_of(it.second.begin(), it.second.end(),
                               [now](const placement& one) { return now - one.at > lifetime; });
        });
        if (parts_.size() >= max_parts)
            return;
    }
    auto& list = parts_[part];
    std::erase_if(list, [&](const placement& it) { return it.endpoint == endpoint; });
    if (list.size() >= max_endpoints)
        list.erase(list.begin()); // the oldest
    list.push_back({endpoint, now});
}

bool part_placements::has(std::uint64_t part, std::string_view endpoint, time_point now) const
{
    const auto found = parts_.find(part);
    return found != parts_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const placement& it) {
               return it.endpoint == endpoint && now - it.at <= lifetime;
           });
}

} // namespace limpetlock::routing
