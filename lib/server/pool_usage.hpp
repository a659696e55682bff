/// \file
/// Cost of the calls that one instance served for a team in a pool, as exchanged between instances.
#pragma once

#include <limpetlock/admission/queue.hpp>

#include <string>

namespace limpetlock::server {

struct pool_usage {
    std::string pool; ///< bottleneck pool of the queue that served it
    admission::team_usage usage;

    friend bool operator==(const pool_usage&, const pool_usage&) = default;
};

} // namespace limpetlock::server
