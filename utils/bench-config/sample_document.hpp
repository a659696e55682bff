/// \file
/// Configuration documents of a given size for measurements.
#pragma once

#include <cstddef>
#include <string>

namespace limpetlock::config {

/// Returns a valid document with the given number of teams, and with the planned number of pipelines and
/// services: 8 pipelines of 3 to 6 stages and 4 services of 3 calls.
std::string sample_document(std::size_t teams);

/// Returns the name of team `n` of a sample document; `n` starts at 0.
std::string sample_team(std::size_t n);

} // namespace limpetlock::config
