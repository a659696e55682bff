/// \file
/// Conversions for the platform's instance list. Only this file knows its format, which is in section 3.1 of
/// the design page. The format of configuration entries is in the config library.
#pragma once

#include <limpetlock/membership/view.hpp>
#include <limpetlock/support/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::server {

/// Returns the request target for a list with a version above `after`. The platform holds the request for up
/// to `wait` while there is none.
std::string instance_list_target(std::int64_t after, duration wait);

/// Parses a list. Returns nullopt and sets `reason` if any part of it is malformed, so that an incomplete
/// list never replaces a complete one.
std::optional<membership::instance_list> read_instance_list(std::string_view body, std::string& reason);

} // namespace limpetlock::server
