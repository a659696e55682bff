/// \file
/// Counters and quantiles of requests by rank, team class and outcome.
#pragma once

#include "request_context.hpp"

#include <limpetlock/support/metrics.hpp>
#include <limpetlock/support/time.hpp>

#include <string>

namespace limpetlock::server {

/// Records finished requests in a registry, which must outlive it.
class request_metrics {
public:
    explicit request_metrics(metrics::registry& registry) : registry_(registry) {}

    /// Records a finished request. `elapsed` is the time in ms from its arrival to the end of its answer.
    void record_request(const request_context& it, duration elapsed);

private:
    metrics::registry& registry_;
};

} // namespace limpetlock::server
