/// \file
/// The metrics page: request metrics as they were counted, and gauges read from the controllers at the time
/// of the request.
#pragma once

#include "components.hpp"

#include <string>

namespace limpetlock::server {

std::string render_metrics(components& parts);

} // namespace limpetlock::server
