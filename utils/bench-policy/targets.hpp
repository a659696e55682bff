/// \file
/// The targets of the design page, checked on the rows of the comparison.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace limpetlock::bench {

/// Targets that a row misses; `simplest` is the row of round robin, FIFO and no limits on the same arrivals.
std::vector<std::string> missed_targets(const nlohmann::json& row, const nlohmann::json& baseline);

} // namespace limpetlock::bench
