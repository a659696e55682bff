/// \file
/// Equal shares of the teams in the capacity of one bottleneck.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::admission {

/// Start-time fair queueing of teams of equal weight. It knows by how much the cost that each team used is
/// ahead of that of the waiting team that used least. A team that doesn't wait has no claim: what it leaves
/// unused is lent to the others, who owe nothing for it, and it starts level with the least when it returns.
/// It holds only teams that are ahead. Not thread-safe.
class team_shares {
public:
    /// Updates the level of the team that used least by the teams that wait now. Without one, all are level.
    void set_waiting(const std::vector<std::string_view>& teams);

    /// Records that the team uses capacity. `max_lead` bounds the result of lead() afterwards.
    void charge(std::string_view team, double cost, double max_lead);

    /// Cost by which the team is ahead of the waiting team that used least.
    double lead(std::string_view team) const;

    /// Number of teams that are ahead.
    std::size_t size() const { return used_.size(); }

private:
    double level_{0};
    std::map<std::string, double, std::less<>> used_; ///< by team, on the same scale as level_
};

} // namespace limpetlock::admission
