/// \file
/// The filters that every request passes before its work starts.
#pragma once

#include "claim_controller.hpp"
#include "request_context.hpp"

#include <limpetlock/config/fold.hpp>
#include <limpetlock/support/snapshot_cell.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace limpetlock::server {

/// Refuses new work while the instance drains or has no configuration.
std::unique_ptr<request_filter> make_accept_filter(std::function<bool()> accepts_work,
                                                   const snapshot_cell<config::version>& in_force,
                                                   const claim_controller& claims);

/// Finds the team of the bearer token.
std::unique_ptr<request_filter> make_authenticate_filter(const claim_controller& claims);

/// Finds the pipeline or service call and reads the body and headers that belong to it.
std::unique_ptr<request_filter> make_resolve_filter(const claim_controller& claims);

} // namespace limpetlock::server
