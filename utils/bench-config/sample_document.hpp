/// \file
/// Documents of a chosen size for measurements.
#pragma once

#include <cstddef>
#include <string>

namespace limpetlock::config {

/// A valid document with this many teams, and with the pipelines and services of the planned size: 8
/// pipelines of 3 to 6 stages and 4 services of 3 calls.
std::string sample_document(std::size_t teams);

/// Name of the n-th team of a sample document.
std::string sample_team(std::size_t n);

} // namespace limpetlock::config
