/// \file
/// Filters that each request passes before admission. The arguments `in_force` and `claims` must outlive
/// them.
#pragma once

#include "claim_controller.hpp"
#include "request_context.hpp"

#include <limpetlock/config/fold.hpp>
#include <limpetlock/support/snapshot_cell.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace limpetlock::server {

/// Refuses requests while `accepts_work` returns false (the instance is stopping) or no configuration is in
/// force. Sets request_context::version.
std::unique_ptr<request_filter> make_accept_filter(std::function<bool()> accepts_work,
                                                   const snapshot_cell<config::version>& in_force,
                                                   const claim_controller& claims);

/// Sets the team of the request by its bearer token, or refuses the request.
std::unique_ptr<request_filter> make_authenticate_filter(const claim_controller& claims);

/// Finds the pipeline or service call by the request path and reads its parameters from the body and headers.
/// Refuses a request that is malformed or that its team may not make.
std::unique_ptr<request_filter> make_resolve_filter(const claim_controller& claims);

} // namespace limpetlock::server
