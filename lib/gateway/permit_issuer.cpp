#include <limpetlock/gateway/permit_issuer.hpp>

#include <algorithm>
#include <cmath>

namespace limpetlock::gateway {

namespace {

/// A team whose averages are below this doesn't count any more.
constexpr double min_average = 0.05;

duration seconds_to_duration(double seconds)
{
    return duration(static_cast<std::int64_t>(std::ceil(seconds * 1'000)));
}

} // namespace

permit_issuer::account& permit_issuer::update(std::string_view endpoint, double max_rate, double max_permits,
                                              time_point now)
{
    const auto [found, added] = accounts_.try_emplace(std::string(endpoint));
    account& it = found->second;
    if (!added) {
        const auto ms = static_cast<double>((now - it.at).count());
        it.permits = std::min(max_permits, it.permits + it.rate * ms / 1'000);
        const double decay = std::exp(-ms / static_cast<double>(share_time.count()));
        for (auto& [name, share] : it.teams) {
            share.requested *= decay;
            share.granted *= decay;
        }
        std::erase_if(it.teams, [](const auto& team) { return team.second.requested < min_average; });
    }
    it.at = now;
    it.rate = std::max(min_rate, max_rate);
    return it;
}

duration permit_issuer::time_to_permit(const account& it)
{
    return it.permits >= 1 ? duration{0} : seconds_to_duration((1 - it.permits) / it.rate);
}

duration permit_issuer::time_to_permit(std::string_view endpoint, double max_rate, double max_permits,
                                       time_point now)
{
    return time_to_permit(update(endpoint, max_rate, max_permits, now));
}

/// Whether the team got more than an equal part of the permits of the teams that ask for them.
bool permit_issuer::exceeds_share(const account& it, const std::string& team)
{
    double granted = 0;
    for (const auto& [name, share] : it.teams)
        granted += share.granted;
    const auto own = it.teams.find(team);
    return own != it.teams.end() && own->second.granted * static_cast<double>(it.teams.size()) > granted + 1;
}

permit permit_issuer::request(const permit_request& it, time_point now)
{
    remove_expired(now);
    account& from = update(it.endpoint, it.max_rate, it.max_saved, now);
    from.teams[it.team].requested += 1;
    const duration wait = time_to_permit(from);
    const duration max_wait = exceeds_share(from, it.team) ? duration{0} : it.max_wait;
    if (wait <= max_wait) {
        from.permits -= 1;
        from.denied = 0;
        from.teams[it.team].granted += 1;
        return {true, wait};
    }
    const duration staggered = wait + seconds_to_duration(static_cast<double>(from.denied++) / from.rate);
    return {false, std::max(wait, std::min(staggered, max_stagger))};
}

void permit_issuer::remove_expired(time_point now)
{
    std::erase_if(accounts_, [now](const auto& it) { return now - it.second.at >= retention; });
}

} // namespace limpetlock::gateway
