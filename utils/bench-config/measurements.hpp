/// \file
/// Measurements of the configuration library and their result rows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::config {

/// Cost of one operation at one document size.
struct cost_row {
    std::string operation;
    std::size_t teams{};
    std::size_t document_bytes{};
    double median_us{};
    double p99_us{};
    /// Heap bytes allocated by the operation with the median time, and those still in use after it.
    std::int64_t allocated_bytes{};
    std::int64_t kept_bytes{};
};

/// Measures parsing a document, folding and refusing a patch of one team, a dry run of such a patch, and
/// adopting a peer's version. `sizes` are numbers of teams.
std::vector<cost_row> measure_costs(const std::vector<std::size_t>& sizes, std::size_t repetitions);

/// Calls to the service, and spread of changes, in a fleet of one size.
struct fleet_row {
    std::size_t instances{};
    std::size_t domains{};
    /// "all" or the number of watchers per failure domain.
    std::string watchers;
    std::size_t partners{};
    std::int64_t start_calls{};
    double idle_calls_per_s{};
    /// Calls in the 5 s after a change, idle calls included.
    double burst_calls_per_change{};
    /// Calls per second with one change every 16 s.
    double changing_calls_per_s{};
    double outage_calls_per_s{};
    double pulls_per_change{};
    double pulled_bytes_per_change_and_instance{};
    /// Time from the publication of a change until it is in force in every instance.
    double median_spread_ms{};
    double longest_spread_ms{};
    /// Largest number of pulls that one instance answered for one change.
    std::int64_t most_served{};
    /// Time in ms until a change published right after the failure of all watchers is in force everywhere.
    /// Empty if every instance watches.
    std::optional<double> watchers_lost_ms;
    /// Time in ms until every instance has the configuration after all but one are replaced during an outage
    /// of the service.
    double replaced_ms{};
};

struct fleet_size {
    std::size_t instances{};
    std::size_t domains{};
    /// Number of random peers that receive each heartbeat; 0 means all.
    std::size_t partners{};
};

/// Measures one fleet. `teams` is the number of teams in its document.
fleet_row measure_fleet(const fleet_size& size, std::size_t watchers_per_domain, std::size_t teams);

} // namespace limpetlock::config
