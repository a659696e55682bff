/// \file
/// State of a request that passes through the chain of filters.
#pragma once

#include "admission_controller.hpp"
#include "request_error.hpp"

#include <limpetlock/config/fold.hpp>
#include <limpetlock/http/server.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace limpetlock::server {

/// Filled in by the filters in turn.
struct request_context {
    request_context(http::exchange& exchange, std::string id, time_point now)
        : io(exchange), request_id(std::move(id)), arrival(now)
    {
    }

    http::exchange& io;
    std::string request_id;
    time_point arrival{};
    std::shared_ptr<const config::version> version; ///< configuration in force when the request was accepted

    std::string team;
    config::rank priority{config::rank::standard};
    std::string name; ///< pipeline, or service and call joined by '/'
    time_point deadline{};

    // Pipeline requests only.
    const config::pipeline* pipeline{nullptr}; ///< null for a service call
    std::string input;
    std::int64_t max_tokens{0};
    bool stream{false}; ///< the caller asks for a streamed answer

    // Service calls only.
    const config::service* service{nullptr};
    const config::call* call{nullptr}; ///< null for a pipeline request
    std::string call_name;
    std::string body;                   ///< canonical JSON text
    std::string key;                    ///< Idempotency-Key; empty if absent
    bool first_attempt_asserted{false}; ///< Idempotency-Attempt is 1

    // Outcome, for the metrics. error_code is empty if the request succeeded or its caller disconnected.
    std::optional<errc> error_code;
    std::optional<duration> time_to_first_token;
    std::int64_t tokens{0};
};

/// One step of the processing of a request.
class request_filter {
public:
    virtual ~request_filter() = default;

    /// Returns true to pass the request to the next filter. Otherwise the request has been answered.
    virtual boost::asio::awaitable<bool> apply(request_context& it) = 0;

protected:
    request_filter() = default;
    request_filter(const request_filter&) = default;
    request_filter& operator=(const request_filter&) = default;
};

/// Answers with an error and records its code for the metrics.
boost::asio::awaitable<void> respond_with_error(request_context& it, request_error error);

/// Adjusts the error of a request that is refused before its key is claimed. The response describes the state
/// of the key over all attempts, not only of this attempt. Unless the caller asserted that this is the first
/// attempt, an earlier one may have run, so "not run" becomes "unknown". An error of a request without a key
/// stays unchanged.
request_error account_for_earlier_attempts(request_error error, bool keyed, bool first_attempt);

} // namespace limpetlock::server
