/// \file
/// Last filter of a service call: a repeatable call runs like a stage, any other is claimed first.
#pragma once

#include "admission_controller.hpp"
#include "claim_controller.hpp"
#include "request_context.hpp"
#include "stage_runner.hpp"

#include <limpetlock/http/client.hpp>

#include <memory>

namespace limpetlock::server {

std::unique_ptr<request_filter> make_service_handler(admission_controller& admission, stage_runner& runner,
                                                     claim_controller& claims, endpoint_table& table,
                                                     http::client& client);

} // namespace limpetlock::server
