/// \file
/// Checks the results of the policy comparison against the targets of the design page.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace limpetlock::bench {

/// Returns a description of each target that `row` misses. `baseline` is the row of round robin with FIFO
/// order and no limits on the same arrivals.
std::vector<std::string> missed_targets(const nlohmann::json& row, const nlohmann::json& baseline);

} // namespace limpetlock::bench
