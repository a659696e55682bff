/// \file
/// Simulates arrivals at six instances and their endpoints with the production policy objects and a simulated
/// clock.
#pragma once

#include "scenario.hpp"

#include <string>
#include <vector>

namespace limpetlock::bench {

/// A combination of scheduling mechanisms to compare.
struct policy {
    std::string name;
    bool admission{true}; ///< queue, gate and refusal by deadline; if false, every request is sent at once
    bool usage_exchange{true};
    bool retry_budget{true}; ///< if false, failed calls are retried without a budget, up to three attempts
    bool membership{true};   ///< ejection of failing endpoints
    std::string chooser{"two_choices"};
    bool hedging{true}; ///< a second call when the first takes longer than the 99th percentile
};

enum class request_outcome : std::uint8_t { waiting, answered, refused, expired, abandoned, failed };

struct request_result {
    request_outcome end{request_outcome::waiting};
    std::int64_t latency_ms{0};
    std::int64_t ended_ms{0};
    int attempts{0};
};

struct run_result {
    std::vector<request_result> requests; ///< in the order of arrivals
    double useful_ms{0};                  ///< endpoint time of calls answered before the deadline
    double retried_ms{0};                 ///< endpoint time of calls that failed, even if no retry follows
    double abandoned_ms{0};               ///< endpoint time of calls cancelled at the deadline
    double hedged_ms{0};                  ///< endpoint time of calls cancelled after the other call answered
    std::size_t hedges{0};
    std::array<double, admission::rank_count>
        useful_in_window{};           ///< useful_ms in the measured window, by rank
    std::size_t first_in_outage{0};   ///< first attempts during the outage
    std::size_t retries_in_outage{0}; ///< retries and hedges during the outage
};

run_result simulate(const scenario& setting, const policy& how, const std::vector<arrival>& arrivals);

} // namespace limpetlock::bench
