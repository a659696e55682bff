/// \file
/// Settings of a gateway process.
#pragma once

#include <limpetlock/gateway/cold_rate.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::gateway {

/// Bounds that the operator sets for the behaviour of the whole system. Times are in milliseconds.
struct operating_bounds {
    /// From the listing of an endpoint as leaving until no request reaches it.
    duration endpoint_leave_time{2'000};
    duration stop_time{8'000};           ///< from the stop signal to the kill
    duration contact_time{3'000};        ///< from the end of a disturbance until the bounds hold again
    duration table_adoption_time{2'000}; ///< until a published configuration is in force
    duration key_revocation_time{5'000}; ///< until no request with a revoked key runs
    bool strict_key_revocation{true};    ///< key_revocation_time also holds for an instance that is cut off
    double retry_ratio{0.2};             ///< retries allowed per request within the window, for each pool
    double retry_extra{0};         ///< retries allowed in the window beyond the ratio, over all instances
    duration retry_window{10'000}; ///< sliding window of the two limits above
    duration recovery_time{12'000};
    /// From the order to evacuate a failure domain until nothing more is sent there; nullopt: orders are
    /// neither read nor followed.
    std::optional<duration> evacuation_time;
    std::optional<cold_bound> cold; ///< nullopt: cold endpoints are treated like warm ones

    friend bool operator==(const operating_bounds&, const operating_bounds&) = default;
};

/// Second attempts (hedged requests) against slow answers.
struct second_attempt_settings {
    double share{0};        ///< most second attempts, as a share of first requests; 0 turns them off
    duration min_delay{50}; ///< no second attempt before it, however fast the answers usually are
    bool reads{true};       ///< for requests of idempotent routes
    bool streams{true};     ///< for resumable streams, before their first event

    friend bool operator==(const second_attempt_settings&, const second_attempt_settings&) = default;
};

/// What the responsible instances of stage pools do while a pool is short of capacity.
struct stage_capacity_settings {
    bool admission{false};  ///< refuse requests whose stages can't all be done in time before the first one
    bool team_turns{false}; ///< let teams take turns while one of them floods a pool

    friend bool operator==(const stage_capacity_settings&, const stage_capacity_settings&) = default;
};

struct gateway_settings {
    std::string name;                          ///< unique among the instances
    std::string domain;                        ///< failure domain
    http::address caller_address;              ///< listener for callers
    http::address readiness_address;           ///< listener for readiness checks
    http::address metrics_address;             ///< listener for metrics
    http::address peer_address;                ///< listener for other instances
    http::address store_address;               ///< store of the platform's published state
    std::vector<http::address> seeds;          ///< instances that are contacted first, to learn of the others
    std::int64_t capacity_millicores{1000};    ///< thousandths of a core
    std::optional<std::size_t> memory_bytes{}; ///< beyond which the process is killed
    double store_reads_per_second{0};          ///< read calls to the store, for all instances together
    operating_bounds bounds;
    second_attempt_settings second_attempts{};
    stage_capacity_settings stages{};

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

} // namespace limpetlock::gateway
