#include "measurements.hpp"
#include "sample_document.hpp"
#include "scripted_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace limpetlock::config {

namespace {

constexpr duration settling_time{30'000};
constexpr duration idle_time{120'000};
constexpr duration outage_time{60'000};
/// Corresponds to 5,400 changes a day.
constexpr duration change_interval{16'000};
constexpr std::size_t change_count = 10;
constexpr duration burst_window{5000};
constexpr duration max_wait{120'000};
constexpr duration sampling_interval{20};

std::vector<instance> make_instances(const fleet_size& size)
{
    std::vector<instance> found;
    for (std::size_t n = 0; n < size.instances; ++n)
        found.push_back(
            {fmt::format("entry-{:03}", n), fmt::format("domain-{:02}", n % size.domains), false});
    return found;
}

double seconds(duration it)
{
    return static_cast<double>(it.count()) / 1000;
}

struct change {
    /// Time until the change was in force in every instance, at most change_interval.
    duration spread{};
    std::int64_t burst_calls{};
    std::int64_t most_served{};
};

void publish_change(scripted_fleet& fleet, std::int64_t base)
{
    entry it;
    it.kind = entry_kind::patch;
    it.author = "bench";
    it.base = base;
    it.body = fmt::format(R"({{"teams":{{"{}":{{"weight":{}}}}}}})", sample_team(0), base + 1);
    fleet.publish(it);
}

/// Publishes a change and runs the fleet until the next change is due.
change change_once(scripted_fleet& fleet, std::int64_t base)
{
    const time_point start = fleet.now();
    const std::int64_t calls = fleet.totals().service_calls;
    publish_change(fleet, base);
    change made{change_interval, 0, 0};
    fleet.extract_most_served();
    while (fleet.now() - start < change_interval) {
        fleet.run(sampling_interval);
        const duration passed = fleet.now() - start;
        if (fleet.all_reached(base + 1))
            made.spread = std::min(made.spread, passed);
        if (passed <= burst_window)
            made.burst_calls = fleet.totals().service_calls - calls;
    }
    made.most_served = fleet.extract_most_served();
    return made;
}

/// Runs the fleet until `number` is in force in every instance, at most max_wait. Returns the time in ms.
double ms_until_all_reached(scripted_fleet& fleet, std::int64_t number)
{
    const time_point start = fleet.now();
    while (!fleet.all_reached(number) && fleet.now() - start < max_wait)
        fleet.run(sampling_interval);
    return static_cast<double>((fleet.now() - start).count());
}

/// Stops all watchers, publishes a change, and returns the time in ms until it is in force everywhere.
double lose_watchers(scripted_fleet& fleet, std::int64_t base)
{
    for (const std::string& name : fleet.running())
        if (fleet.sync_of(name).watches())
            fleet.stop(name);
    publish_change(fleet, base);
    return ms_until_all_reached(fleet, base + 1);
}

/// Restarts all instances but one under the same names, and returns the time in ms until `number` is in force
/// everywhere. The service must be down.
double replace_all_but_one(scripted_fleet& fleet, const std::vector<instance>& list, std::int64_t number)
{
    const std::string survivor = fleet.running().front();
    for (const instance& it : list) {
        if (it.name == survivor)
            continue;
        fleet.stop(it.name);
        fleet.start(it.name);
    }
    return ms_until_all_reached(fleet, number);
}

} // namespace

fleet_row measure_fleet(const fleet_size& size, std::size_t watchers_per_domain, std::size_t teams)
{
    fleet_settings settings;
    settings.partners = size.partners;
    settings.sync.watchers_per_domain = watchers_per_domain;
    scripted_fleet fleet(settings, {});
    fleet.set_instances(make_instances(size));
    fleet.publish(entry{0, "bench", entry_kind::document, 0, 1, sample_document(teams)});
    for (const instance& it : make_instances(size))
        fleet.start(it.name);

    fleet_row row;
    row.instances = size.instances;
    row.domains = size.domains;
    row.partners = size.partners;
    const bool all = watchers_per_domain >= size.instances;
    row.watchers = all ? "all" : fmt::format("{} per domain", watchers_per_domain);
    fleet.run(settling_time);
    row.start_calls = fleet.totals().service_calls;

    fleet_totals before = fleet.totals();
    fleet.run(idle_time);
    row.idle_calls_per_s =
        static_cast<double>(fleet.totals().service_calls - before.service_calls) / seconds(idle_time);

    before = fleet.totals();
    std::vector<duration> spreads;
    for (std::size_t n = 0; n < change_count; ++n) {
        const change made = change_once(fleet, static_cast<std::int64_t>(n) + 1);
        spreads.push_back(made.spread);
        row.most_served = std::max(row.most_served, made.most_served);
        row.burst_calls_per_change += static_cast<double>(made.burst_calls) / change_count;
    }
    row.changing_calls_per_s = static_cast<double>(fleet.totals().service_calls - before.service_calls) /
                               seconds(change_interval * change_count);
    row.pulls_per_change = static_cast<double>(fleet.totals().pulls - before.pulls) / change_count;
    row.pulled_bytes_per_change_and_instance =
        static_cast<double>(fleet.totals().pulled_bytes - before.pulled_bytes) /
        static_cast<double>(change_count * size.instances);
    std::sort(spreads.begin(), spreads.end());
    row.median_spread_ms = static_cast<double>(spreads[spreads.size() / 2].count());
    row.longest_spread_ms = static_cast<double>(spreads.back().count());

    std::int64_t number = change_count + 1;
    if (!all && watchers_per_domain * size.domains < size.instances)
        row.watchers_lost_ms = lose_watchers(fleet, number++);
    for (const instance& it : make_instances(size))
        if (!fleet.is_running(it.name))
            fleet.start(it.name);
    fleet.run(settling_time);

    before = fleet.totals();
    fleet.set_service(service_mode::down);
    fleet.run(outage_time);
    row.outage_calls_per_s =
        static_cast<double>(fleet.totals().service_calls - before.service_calls) / seconds(outage_time);
    row.replaced_ms = replace_all_but_one(fleet, make_instances(size), number);
    return row;
}

} // namespace limpetlock::config
