/// \file
/// Plays recorded arrivals against the policy objects of six instances, with a scripted clock.
#pragma once

#include "scenario.hpp"

#include <string>
#include <vector>

namespace limpetlock::bench {

struct policy {
    std::string name;
    bool admission{true}; ///< queue, gate and deadline refusal; without it, every request is sent at once
    bool usage_exchange{true};
    bool retry_budget{true}; ///< without it, every failed call is sent up to three times
    bool membership{true};   ///< ejection of failing endpoints
    std::string chooser{"two_choices"};
    bool hedging{true}; ///< a second call once the first takes longer than the 99% quantile
};

enum class request_outcome : std::uint8_t { waiting, answered, refused, expired, abandoned, failed };

struct request_result {
    request_outcome end{request_outcome::waiting};
    std::int64_t latency_ms{0};
    std::int64_t ended_ms{0};
    int attempts{0};
};

struct run_result {
    std::vector<request_result> requests; ///< in the order of the arrivals
    double useful_ms{0};                  ///< endpoint milliseconds of answers in time
    double retried_ms{0};                 ///< of calls that ended by a failure
    double abandoned_ms{0};               ///< of calls that were cut at the deadline
    double hedged_ms{0};                  ///< of calls that were cut because their twin answered
    std::size_t hedges{0};
    std::array<double, admission::rank_count> useful_in_window{};
    std::size_t first_in_outage{0}; ///< first attempts and retries sent during the outage
    std::size_t retries_in_outage{0};
};

run_result simulate(const scenario& setting, const policy& how, const std::vector<arrival>& arrivals);

} // namespace limpetlock::bench
