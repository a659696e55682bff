/// \file
/// The measurements of the configuration library.
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
    /// Heap bytes allocated during one operation, and kept after it.
    std::int64_t allocated_bytes{};
    std::int64_t kept_bytes{};
};

/// Parsing a document, folding a patch of one team, adopting a peer's version, and a dry run.
std::vector<cost_row> measure_costs(const std::vector<std::size_t>& sizes, std::size_t repetitions);

/// Calls to the service by a fleet of one size.
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
    /// Calls per second while there is a change every 16 s.
    double changing_calls_per_s{};
    double outage_calls_per_s{};
    double pulls_per_change{};
    double pulled_bytes_per_change_and_instance{};
    /// Time from publication until a change is in force in every instance.
    double median_spread_ms{};
    double longest_spread_ms{};
    /// Most pulls that one instance answered for one change.
    std::int64_t most_served{};
    /// Time until a change is in force everywhere that is published when all watchers die; none when all
    /// watch.
    std::optional<double> watchers_lost_ms;
    /// Time until every instance has the configuration when all but one are replaced in an outage of the
    /// service.
    double replaced_ms{};
};

struct fleet_size {
    std::size_t instances{};
    std::size_t domains{};
    /// How many random peers each heartbeat goes to; 0 for all.
    std::size_t partners{};
};

fleet_row measure_fleet(const fleet_size& size, std::size_t watchers_per_domain, std::size_t teams);

} // namespace limpetlock::config
