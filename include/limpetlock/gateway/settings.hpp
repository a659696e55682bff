/// \file
/// Settings of a gateway process.
#pragma once

#include <limpetlock/http/client.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace limpetlock::gateway {

/// Bounds that the operator sets for the behaviour of the whole system.
struct operating_bounds {
    duration endpoint_leave_time{2'000}; ///< no request reaches a leaving endpoint after this
    duration stop_time{8'000};           ///< between the stop signal and the kill
    duration table_adoption_time{2'000}; ///< a published configuration is in force after this
    duration key_revocation_time{5'000}; ///< no request with a revoked key runs after this
    bool strict_key_revocation{true};    ///< key_revoked also holds for a machine that is cut off
    double retry_ratio{0.2};             ///< repeats in the window in relation to requests, per pool
    double retry_extra{0};               ///< repeats in the window beside the ratio, over all instances
    duration retry_window{10'000};
    duration recovery_time{12'000};

    friend bool operator==(const operating_bounds&, const operating_bounds&) = default;
};

struct gateway_settings {
    std::string name;
    std::string domain;
    http::address caller_address;    ///< listener for callers
    http::address readiness_address; ///< listener for readiness checks
    http::address metrics_address;   ///< listener for metrics
    http::address peer_address;      ///< listener for other instances
    http::address store_address;     ///< the platform's published state
    std::vector<http::address> seeds;
    std::int64_t capacity_millicores{1000}; ///< thousandths of a core
    double store_reads_per_second{0};       ///< reading calls a second for all instances together
    operating_bounds bounds;

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

} // namespace limpetlock::gateway
