/// \file
/// Time and memory that the policy objects need, at several sizes.
#pragma once

#include <nlohmann/json.hpp>

#include <vector>

namespace limpetlock::bench {

/// One object per size and subject, with microseconds per operation and bytes per item.
std::vector<nlohmann::json> measure_costs();

} // namespace limpetlock::bench
