#include <limpetlock/gateway/fleet_view.hpp>
#include <limpetlock/support/hash.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpetlock::gateway {

namespace {

/// Silence of one instance before it counts as gone, in a fleet in which every instance pings every other
/// one. Four pings of 300 ms.
constexpr duration base_timeout{1'200};

/// Added for each further instance: with a fixed number of pings a round, news of an instance are older in a
/// larger fleet.
constexpr duration timeout_per_member{15};

/// An instance with twice the capacity of another one is chosen eight times as often: duties for all are not
/// divided, so a small instance would be overrun by one.
constexpr double capacity_exponent = 3;

/// Uniform in (0, 1).
double unit_interval(std::uint64_t hash)
{
    return (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(std::uint64_t{1} << 53);
}

} // namespace

duration fleet_view::timeout() const
{
    return base_timeout + timeout_per_member * static_cast<std::int64_t>(others_.size());
}

void fleet_view::heard(const member_news& news, time_point now)
{
    if (news.who.name == own_.name || news.age >= forget_after)
        return;
    const time_point heard = now - news.age;
    auto& it = others_[news.who.name];
    if (news.age == duration{0})
        it.unreachable = false;
    if (it.heard != time_point{} && heard <= it.heard)
        return;
    it.who = news.who;
    it.heard = heard;
}

void fleet_view::unreachable(std::string_view name)
{
    const auto it = others_.find(name);
    if (it != others_.end())
        it->second.unreachable = true;
}

bool fleet_view::lives(const entry& it, time_point now) const
{
    return now - it.heard < timeout() && !it.unreachable;
}

std::vector<member> fleet_view::live(time_point now, bool working) const
{
    std::vector<member> out;
    if (!working || !own_.stopping)
        out.push_back(own_);
    for (const auto& [name, it] : others_)
        if (lives(it, now) && !(working && it.who.stopping))
            out.push_back(it.who);
    std::sort(out.begin(), out.end(), [](const member& a, const member& b) { return a.name < b.name; });
    return out;
}

std::vector<member_news> fleet_view::news(time_point now, std::size_t most) const
{
    std::vector<member_news> out;
    for (const auto& [name, it] : others_)
        if (now - it.heard < forget_after)
            out.push_back({it.who, now - it.heard});
    std::sort(out.begin(), out.end(),
              [](const member_news& a, const member_news& b) { return a.age < b.age; });
    if (out.size() > most)
        out.resize(most);
    return out;
}

std::size_t fleet_view::size_estimate(time_point now, std::size_t least) const
{
    std::size_t n = 1;
    for (const auto& [name, it] : others_)
        if (now - it.heard < forget_after)
            ++n;
    return std::max(n, least);
}

void fleet_view::forget(time_point now)
{
    std::erase_if(others_, [now](const auto& it) { return now - it.second.heard >= forget_after; });
}

std::vector<member> by_responsibility(std::string_view key, std::vector<member> members)
{
    const std::uint64_t seed = hash64(key);
    std::vector<std::pair<double, member>> ranked;
    ranked.reserve(members.size());
    for (auto& it : members) {
        const double capacity = static_cast<double>(std::max<std::int64_t>(1, it.capacity));
        const double weight = std::pow(capacity, capacity_exponent);
        ranked.emplace_back(-weight / std::log(unit_interval(hash64(it.name, seed))), std::move(it));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<member> out;
    out.reserve(ranked.size());
    for (auto& [score, it] : ranked)
        out.push_back(std::move(it));
    return out;
}

} // namespace limpetlock::gateway
