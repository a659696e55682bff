/// \file
/// Cost of the calls that one instance served for a team in a pool, as exchanged between instances.
#pragma once

#include <limpetlock/admission/queue.hpp>

#include <string>

namespace limpetlock::server {

/// Usage of one team in the admission queue of one pool.
struct pool_usage {
    std::string pool; ///< bottleneck pool of the requests; each such pool has a queue
    admission::team_usage usage;

    friend bool operator==(const pool_usage&, const pool_usage&) = default;
};

} // namespace limpetlock::server
