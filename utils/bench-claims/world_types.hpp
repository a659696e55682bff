/// \file
/// Requests of callers and their attempts, shared by the sources of the simulation.
#pragma once

#include "world.hpp"

#include <set>

namespace limpetlock::bench {

/// The request of one idempotency key: its caller's state and the count of its executions.
struct world::request {
    std::string key;
    int side = 0;
    int attempts = 0;
    /// The first retry goes out as two concurrent attempts.
    bool sends_retry_twice = false;
    bool answered = false;
    time_point first_sent{};
    std::uint64_t executions = 0;
    claims::response_kind last = claims::response_kind::unknown;
};

/// One attempt: the state at its caller and at the instance that received it.
struct world::attempt {
    shared_request parent;
    int number = 0;
    bool given_up = false;
    bool reported_not_run = false;
    std::optional<claims::holder> holder;
    int voters_asked = 0;
    std::vector<claims::claim_reply> votes;
    bool votes_counted = false;
};

} // namespace limpetlock::bench
