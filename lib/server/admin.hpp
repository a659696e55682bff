/// \file
/// The administration API: liveness, readiness, metrics, state dump, configuration and dry run of a patch.
#pragma once

#include "components.hpp"

#include <limpetlock/http/server.hpp>

namespace limpetlock::server {

boost::asio::awaitable<void> serve_admin(components& parts, http::exchange& io);

/// Not ready before a configuration and a list are in force, and from the start of a planned stop.
bool is_ready(const components& parts);

/// The state dump of this process as JSON text.
std::string dump_state(const components& parts);

} // namespace limpetlock::server
