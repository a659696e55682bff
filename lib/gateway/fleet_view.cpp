#include <limpetlock/gateway/fleet_view.hpp>
#include <limpetlock/support/hash.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpetlock::gateway {

namespace {

/// Timeout in a small fleet, in which every instance pings every other one: four ping intervals of 300 ms.
constexpr duration base_timeout{1'200};

/// Added for each other instance: with a fixed number of pings in each round, reports get older in a larger
/// fleet.
constexpr duration timeout_per_member{15};

/// An instance with twice the capacity of another one is responsible for eight times as many keys. The work
/// of one key isn't divided, and a single key can overload a small instance.
constexpr double capacity_exponent = 3;

/// Maps a hash uniformly to (0, 1).
double unit_interval(std::uint64_t hash)
{
    return (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(std::uint64_t{1} << 53);
}

} // namespace

duration fleet_view::timeout() const
{
    return base_timeout + timeout_per_member * static_cast<std::int64_t>(others_.size());
}

void fleet_view::record_contact(const member_report& report, time_point now)
{
    if (report.info.name == own_.name || report.age >= retention)
        return;
    const time_point last_contact = now - report.age;
    const auto [found, added] = others_.try_emplace(report.info.name);
    auto& it = found->second;
    if (report.age == duration{0} && std::exchange(it.unreachable, false))
        ++version_;
    if (it.last_contact != time_point{} && last_contact <= it.last_contact)
        return;
    if (added || it.info != report.info)
        ++version_;
    it.info = report.info;
    it.last_contact = last_contact;
}

void fleet_view::mark_unreachable(std::string_view name)
{
    const auto it = others_.find(name);
    if (it == others_.end())
        return;
    it->second.unreachable = true;
    ++version_;
}

bool fleet_view::is_unreachable(std::string_view name) const
{
    const auto it = others_.find(name);
    return it == others_.end() || it->second.unreachable;
}

void fleet_view::mark_overloaded(std::string_view name)
{
    const auto it = others_.find(name);
    if (it == others_.end() || it->second.info.overloaded)
        return;
    it->second.info.overloaded = true;
    ++version_;
}

void fleet_view::record_suspension(duration length, time_point now)
{
    suspension_ = length;
    resumed_at_ = now;
    ++version_;
}

bool fleet_view::is_live(const entry& it, time_point now) const
{
    const duration suspended = it.last_contact < resumed_at_ ? suspension_ : duration{0};
    return now - it.last_contact < timeout() + suspended && !it.unreachable;
}

std::vector<member> fleet_view::live_instances(time_point now, bool exclude_stopping) const
{
    std::vector<member> out;
    if (!exclude_stopping || !own_.stopping)
        out.push_back(own_);
    for (const auto& [name, it] : others_)
        if (is_live(it, now) && !(exclude_stopping && it.info.stopping))
            out.push_back(it.info);
    std::sort(out.begin(), out.end(), [](const member& a, const member& b) { return a.name < b.name; });
    return out;
}

std::vector<member_report> fleet_view::recent_reports(time_point now, std::size_t max_reports) const
{
    std::vector<member_report> out;
    for (const auto& [name, it] : others_)
        if (now - it.last_contact < retention)
            out.push_back({it.info, now - it.last_contact});
    std::sort(out.begin(), out.end(),
              [](const member_report& a, const member_report& b) { return a.age < b.age; });
    if (out.size() > max_reports)
        out.resize(max_reports);
    return out;
}

std::size_t fleet_view::size_estimate(time_point now, std::size_t min_size) const
{
    std::size_t n = 1;
    for (const auto& [name, it] : others_)
        if (now - it.last_contact < retention)
            ++n;
    return std::max(n, min_size);
}

void fleet_view::remove_expired(time_point now)
{
    if (std::erase_if(others_, [now](const auto& it) { return now - it.second.last_contact >= retention; }) >
        0)
        ++version_;
}

double responsibility_weight(std::int64_t capacity)
{
    return std::pow(static_cast<double>(std::max<std::int64_t>(1, capacity)), capacity_exponent);
}

double responsibility_score(std::uint64_t seed, std::string_view name, double weight)
{
    return -weight / std::log(unit_interval(hash64(name, seed)));
}

std::vector<member> by_responsibility(std::string_view key, std::vector<member> members)
{
    const std::uint64_t seed = hash64(key);
    std::vector<std::pair<double, member>> ranked;
    ranked.reserve(members.size());
    for (auto& it : members) {
        const double score = responsibility_score(seed, it.name, responsibility_weight(it.capacity));
        ranked.emplace_back(score, std::move(it));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return a.second.overloaded != b.second.overloaded ? b.second.overloaded : a.first > b.first;
    });
    std::vector<member> out;
    out.reserve(ranked.size());
    for (auto& [score, it] : ranked)
        out.push_back(std::move(it));
    return out;
}

} // namespace limpetlock::gateway
