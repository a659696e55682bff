/// \file
/// Validates JSON against the rules of the document format and converts it to typed contents.
#pragma once

#include "json.hpp"

#include <limpetlock/config/document.hpp>

namespace limpetlock::config {

/// Adds every departure from the format to `problems`. The contents are usable only if none was added.
document_contents read_contents(const json& value, problem_list& problems);

} // namespace limpetlock::config
