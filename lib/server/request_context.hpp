/// \file
/// State of one request on its way through the filters.
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

struct request_context {
    request_context(http::exchange& exchange, std::string id, time_point now)
        : io(exchange), request_id(std::move(id)), arrival(now)
    {
    }

    http::exchange& io;
    std::string request_id;
    time_point arrival{};
    std::shared_ptr<const config::version> version;

    std::string team;
    config::rank priority{config::rank::standard};
    std::string name; ///< pipeline, or service and call joined by '/'
    time_point deadline{};

    // Of a pipeline.
    const config::pipeline* pipeline{nullptr};
    std::string input;
    std::int64_t max_tokens{0};
    bool stream{false};

    // Of a service call.
    const config::service* service{nullptr};
    const config::call* call{nullptr};
    std::string call_name;
    std::string body; ///< canonical JSON text
    std::string key;
    bool first_attempt_asserted{false};

    // Outcome, for the metrics.
    std::optional<errc> error_code;
    std::optional<duration> time_to_first_token;
    std::int64_t tokens{0};
};

/// One step of the chain. False ends the chain; the step has then answered.
class request_filter {
public:
    virtual ~request_filter() = default;
    virtual boost::asio::awaitable<bool> apply(request_context& it) = 0;

protected:
    request_filter() = default;
    request_filter(const request_filter&) = default;
    request_filter& operator=(const request_filter&) = default;
};

/// Answers with an error and notes it for the metrics.
boost::asio::awaitable<void> respond_with_error(request_context& it, request_error error);

/// A refusal that is given before the claim of a key was decided. It speaks for the booking and not only for
/// this attempt: unless the caller asserted that this is the first attempt, an earlier one may have run, so
/// "not run" becomes "unknown".
request_error account_for_earlier_attempts(request_error error, bool keyed, bool first_attempt);

} // namespace limpetlock::server
