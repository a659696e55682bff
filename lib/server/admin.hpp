/// \file
/// The administration API: liveness, readiness, metrics, state dump, configuration and dry run of a patch.
#pragma once

#include "components.hpp"

#include <limpetlock/http/server.hpp>

namespace limpetlock::server {

/// Answers one request to the administration API.
boost::asio::awaitable<void> serve_admin(components& parts, http::exchange& io);

/// Whether the load balancer may send requests to this instance: a configuration and an instance list are in
/// force, and no planned stop has begun.
bool is_ready(const components& parts);

/// Returns the state dump of this process as JSON text.
std::string dump_state(const components& parts);

} // namespace limpetlock::server
