#include "request_error.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace limpetlock::server {

namespace {

struct code_entry {
    errc code;
    std::string_view name;
    int status;
};

constexpr std::array codes{
    code_entry{errc::bad_request, "bad_request", 400},
    code_entry{errc::unauthorized, "unauthorized", 401},
    code_entry{errc::not_found, "not_found", 404},
    code_entry{errc::key_reused, "key_reused", 409},
    code_entry{errc::in_progress, "in_progress", 409},
    code_entry{errc::too_large, "too_large", 413},
    code_entry{errc::over_limit, "over_limit", 429},
    code_entry{errc::not_run, "not_run", 503},
    code_entry{errc::deadline, "deadline", 504},
    code_entry{errc::endpoint_failed, "endpoint_failed", 502},
    code_entry{errc::outcome_unknown, "outcome_unknown", 502},
    code_entry{errc::internal, "internal", 500},
};

const code_entry& entry_of(errc code)
{
    for (const auto& it : codes)
        if (it.code == code)
            return it;
    return codes.back();
}

} // namespace

std::string_view to_string(errc code)
{
    return entry_of(code).name;
}

int http_status(errc code)
{
    return entry_of(code).status;
}

std::string to_json(const request_error& error, std::string_view request_id)
{
    const nlohmann::json out{{"error",
                              {{"code", to_string(error.code)},
                               {"reason", error.reason},
                               {"ran", error.ran == execution::no ? "no" : "unknown"}}},
                             {"request_id", request_id}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::response to_response(const request_error& error, std::string_view request_id)
{
    auto out = http::json_response(http_status(error.code), to_json(error, request_id));
    if (error.code == errc::not_run || error.code == errc::over_limit)
        out.headers.push_back({"Retry-After", "1"});
    return out;
}

} // namespace limpetlock::server
