/// \file
/// Last filter of a pipeline request. It waits for admission, runs the stages in order and answers.
#pragma once

#include "admission_controller.hpp"
#include "request_context.hpp"
#include "stage_runner.hpp"

#include <memory>

namespace limpetlock::server {

/// Returns the filter that runs and answers pipeline requests. It passes other requests to the next filter.
/// If the caller disconnects, the running stage is cancelled. The arguments must outlive the filter.
std::unique_ptr<request_filter> make_pipeline_handler(admission_controller& admission, stage_runner& runner);

} // namespace limpetlock::server
