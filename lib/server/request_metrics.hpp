/// \file
/// Counters and quantiles of requests, by rank, team class and outcome.
#pragma once

#include "request_context.hpp"

#include <limpetlock/support/time.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace limpetlock::server {

class request_metrics {
public:
    void finished(const request_context& it, duration took);

    /// Finished requests by "rank/team class/outcome"; the outcome is ok or an error code.
    std::map<std::string, std::uint64_t> counts() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace limpetlock::server
