#include <limpetlock/admission/team_shares.hpp>

#include <algorithm>
#include <limits>

namespace limpetlock::admission {

void team_shares::set_waiting(const std::vector<std::string_view>& teams)
{
    double least = std::numeric_limits<double>::infinity();
    for (const auto it : teams)
        least = std::min(least, level_ + lead(it));
    if (teams.empty())
        used_.clear();
    else
        level_ = std::max(level_, least);
    std::erase_if(used_, [this](const auto& it) { return it.second <= level_; });
}

void team_shares::charge(std::string_view team, double cost, double max_lead)
{
    const double used = level_ + std::min(max_lead, lead(team) + cost);
    const auto found = used_.find(team);
    if (found == used_.end())
        used_.emplace(std::string(team), used);
    else
        found->second = used;
}

double team_shares::lead(std::string_view team) const
{
    const auto found = used_.find(team);
    return found == used_.end() ? 0 : std::max(0.0, found->second - level_);
}

} // namespace limpetlock::admission
