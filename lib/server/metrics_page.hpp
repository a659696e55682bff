/// \file
/// The metrics page: the request metrics of the registry, and gauges that are read from the controllers at
/// the time of the request.
#pragma once

#include "components.hpp"

#include <string>

namespace limpetlock::server {

/// Updates the gauges and returns the page in the Prometheus text format.
std::string render_metrics(components& parts);

} // namespace limpetlock::server
