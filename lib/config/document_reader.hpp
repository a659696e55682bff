/// \file
/// The rules of the document format: reads JSON into typed contents and records every problem.
#pragma once

#include "json.hpp"

#include <limpetlock/config/document.hpp>

namespace limpetlock::config {

/// The contents are usable only if no problem was added.
document_contents read_contents(const json& value, problem_list& problems);

} // namespace limpetlock::config
