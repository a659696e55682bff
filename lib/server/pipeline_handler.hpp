/// \file
/// Last filter of a pipeline request: admission, the stages in order, and the answer.
#pragma once

#include "admission_controller.hpp"
#include "request_context.hpp"
#include "stage_runner.hpp"

#include <memory>

namespace limpetlock::server {

/// Requests of other kinds pass through. A caller that goes away cancels the stage that is running.
std::unique_ptr<request_filter> make_pipeline_handler(admission_controller& admission, stage_runner& runner);

} // namespace limpetlock::server
