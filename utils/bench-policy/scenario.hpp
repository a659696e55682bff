/// \file
/// Scenarios of the policy comparison and their arrivals, with the numbers of instances, endpoints and teams
/// of the first deployment.
#pragma once

#include <limpetlock/admission/queue.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace limpetlock::bench {

inline constexpr std::size_t instance_count = 6;
inline constexpr std::size_t endpoint_count = 12;
inline constexpr std::size_t endpoint_slots = 8;
inline constexpr double capacity_ms_per_s =
    endpoint_count * endpoint_slots * 1000; ///< of all endpoints: milliseconds of endpoint time per second
inline constexpr std::size_t team_count = 5;
inline constexpr std::size_t large_teams = 2; ///< teams 0 and 1

/// Expected cost and deadline of the requests of a rank. Each rank has one pipeline.
struct rank_profile {
    double cost_ms;
    std::int64_t deadline_ms;
};
inline constexpr std::array<rank_profile, admission::rank_count> rank_profiles{
    {{100, 3000}, {400, 3000}, {400, 10'000}}};

/// A stream of requests. The demand is relative to the capacity of all endpoints; 1 uses all of it.
struct stream {
    std::size_t team;
    admission::rank priority;
    double demand;
    std::int64_t from_ms;
    std::int64_t to_ms;
};

/// How the platform's load balancer distributes requests over the instances.
enum class balancing : std::uint8_t { even, small_teams_on_one_instance, half_on_the_first };

/// Load and faults of one simulation. Times are milliseconds since its start.
struct scenario {
    std::string name;
    std::vector<stream> streams;
    balancing balancer{balancing::even};
    std::int64_t report_lag_ms{400};
    double slow_factor{1};          ///< factor on the call times of endpoint 3 from measure_from_ms on
    std::int64_t outage_from_ms{0}; ///< until outage_to_ms all endpoints refuse connections
    std::int64_t outage_to_ms{0};
    std::int64_t measure_from_ms{10'000};
    std::int64_t measure_to_ms{40'000};
    std::int64_t end_ms{52'000}; ///< later than the last deadline
};

struct arrival {
    std::int64_t at_ms;
    std::size_t instance;
    std::size_t team;
    admission::rank priority;
    double cost_ms; ///< actual cost; rank_profile has the expected one
};

std::vector<scenario> all_scenarios();

/// Generates the arrivals of a scenario. Equal scenarios and seeds give equal arrivals.
std::vector<arrival> generate_arrivals(const scenario& it, std::uint64_t seed);

} // namespace limpetlock::bench
