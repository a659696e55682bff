/// \file
/// Errors in answers to callers: a code, a reason and whether the request may have run.
#pragma once

#include <limpetlock/http/message.hpp>

#include <string>
#include <string_view>

namespace limpetlock::server {

/// Code of an error. The names are part of the interface to callers, see to_string().
enum class errc {
    bad_request,
    unauthorized,
    not_found,
    key_reused,
    in_progress,
    too_large,
    over_limit,
    not_run,
    deadline,
    endpoint_failed,
    outcome_unknown,
    internal
};

/// Whether any part of the request may have run at an endpoint.
enum class execution { no, unknown };

struct request_error {
    errc code{errc::internal};
    std::string reason;
    execution ran{execution::unknown};

    friend bool operator==(const request_error&, const request_error&) = default;
};

std::string_view to_string(errc code);
int http_status(errc code);

/// Returns the JSON body of an error answer (section 3.3 of the design page).
std::string to_json(const request_error& error, std::string_view request_id);

/// Returns the HTTP answer. It has the header Retry-After if the caller may soon try again.
http::response to_response(const request_error& error, std::string_view request_id);

} // namespace limpetlock::server
