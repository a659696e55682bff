/// \file
/// Time and memory costs of the policy objects at several sizes.
#pragma once

#include <nlohmann/json.hpp>

#include <vector>

namespace limpetlock::bench {

/// Returns one JSON object per component and size, with microseconds per operation and bytes per element.
std::vector<nlohmann::json> measure_costs();

} // namespace limpetlock::bench
