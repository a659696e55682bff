/// \file
/// Counters and quantiles of requests by rank, team class, kind of work and outcome.
#pragma once

#include "request_context.hpp"

#include <limpetlock/support/metrics.hpp>
#include <limpetlock/support/time.hpp>

#include <string>

namespace limpetlock::server {

class request_metrics {
public:
    explicit request_metrics(metrics::registry& registry) : registry_(registry) {}

    void record_request(const request_context& it, duration elapsed);

private:
    metrics::registry& registry_;
};

} // namespace limpetlock::server
