/// \file
/// The only place that knows the format of the platform's instance list (section 3.1 of the design page). The
/// format of configuration entries is in the config library.
#pragma once

#include <limpetlock/membership/view.hpp>
#include <limpetlock/support/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::server {

std::string instance_list_target(std::int64_t after, duration wait);

/// Reads a whole list; nullopt with a reason when any part of it is malformed, so that half a list never
/// replaces a whole one.
std::optional<membership::instance_list> read_instance_list(std::string_view body, std::string& reason);

} // namespace limpetlock::server
