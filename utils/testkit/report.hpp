/// \file
/// Statistics of a load run by rank, team class, team, request class and phase.
#pragma once

#include "testkit/checker.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace limpetlock::testkit {

/// The count and the exact p50, p95 and p99 of the values; null without values.
nlohmann::json quantiles(const std::vector<double>& values);

/// The summary as JSON. `seconds` is the time over which the requests arrived.
nlohmann::json summarize(const std::vector<request_result>& results, const evaluation& evaluated,
                         const nlohmann::json& deployment, double seconds);

/// The summary as a text table.
std::string to_table(const nlohmann::json& summary);

} // namespace limpetlock::testkit
