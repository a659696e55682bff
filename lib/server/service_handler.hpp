/// \file
/// Last filter of a service call. A repeatable call runs like a stage; the key of any other call is claimed
/// before it runs.
#pragma once

#include "admission_controller.hpp"
#include "claim_controller.hpp"
#include "request_context.hpp"
#include "stage_runner.hpp"

#include <limpetlock/http/client.hpp>

#include <memory>

namespace limpetlock::server {

/// Returns the filter that runs and answers service calls. It passes other requests to the next filter. The
/// arguments must outlive the filter.
std::unique_ptr<request_filter> make_service_handler(admission_controller& admission, stage_runner& runner,
                                                     claim_controller& claims, endpoint_table& table,
                                                     http::client& client);

} // namespace limpetlock::server
