/// \file
/// Decides whether all remaining stages of a request can be done in time before the first of them starts.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace limpetlock::gateway {

/// One of the remaining stages of a request.
struct chain_stage {
    std::string pool;
    std::uint32_t stage{0}; ///< index among the stages of the route
    std::uint32_t pieces{0};
    duration time_to_end{0};          ///< from its end to the end of the last stage, if no other pieces wait
    std::vector<std::uint32_t> after; ///< indexes into the chain of the stages whose results it takes

    friend bool operator==(const chain_stage&, const chain_stage&) = default;
};

/// The load of the pool of one stage.
struct stage_load {
    duration before{0};    ///< time that the pool needs for the work that goes before the stage
    duration call_time{0}; ///< of the stage itself

    friend bool operator==(const stage_load&, const stage_load&) = default;
};

/// Expected course of a chain.
struct chain_estimate {
    duration end{0};           ///< time until the last stage ends
    std::size_t bottleneck{0}; ///< index of the stage that waits longest for its pool
    duration wait{0};          ///< of that stage

    friend bool operator==(const chain_estimate&, const chain_estimate&) = default;
};

/// Estimates the course of a chain from the loads of its stages. A stage starts when its inputs are there and
/// its pool has done the work before it; the pools work at the same time. Work that arrives later isn't
/// counted, so the true end is rarely earlier.
chain_estimate estimate_chain(const std::vector<chain_stage>& stages, const std::vector<stage_load>& loads);

struct chain_decision {
    bool admitted{true};
    duration retry_after{0}; ///< of a refused chain: time until one with the same time left has room

    friend bool operator==(const chain_decision&, const chain_decision&) = default;
};

/// Refuses a chain that is expected to end after its deadline by more than a margin.
chain_decision decide_admission(const chain_estimate& estimate, duration time_left);

/// Whether the chain is well formed: each stage only takes the results of earlier ones, and the numbers of
/// stages and pieces are within bounds.
bool is_valid(const std::vector<chain_stage>& stages);

} // namespace limpetlock::gateway
