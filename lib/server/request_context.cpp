#include "request_context.hpp"

#include <utility>

namespace limpetlock::server {

boost::asio::awaitable<void> respond_with_error(request_context& it, request_error error)
{
    it.error_code = error.code;
    http::response answer = to_response(error, it.request_id);
    co_await it.io.respond(std::move(answer));
}

request_error account_for_earlier_attempts(request_error error, bool keyed, bool first_attempt)
{
    if (!keyed || first_attempt)
        return error;
    error.ran = execution::unknown;
    if (error.code == errc::not_run) {
        error.code = errc::outcome_unknown;
        error.reason += "; an earlier attempt with this key may have run";
    }
    return error;
}

} // namespace limpetlock::server
