/// \file
/// Statistics of a load run: by rank, team class, team, request class and phase.
#pragma once

#include "testkit/checker.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace limpetlock::testkit {

/// p50, p95 and p99 with the count; null without values.
nlohmann::json quantiles(const std::vector<double>& values);

/// The summary as JSON. seconds is the length of the arrivals.
nlohmann::json summarize(const std::vector<request_result>& results, const evaluation& evaluated,
                         const nlohmann::json& deployment, double seconds);

/// The summary as a table of text.
std::string to_table(const nlohmann::json& summary);

} // namespace limpetlock::testkit
