/// \file
/// The only place that knows the formats of stage pools, model engines and plain services (section 3.4 of the
/// design page). Pure functions between typed values and HTTP messages.
#pragma once

#include <limpetlock/http/message.hpp>
#include <limpetlock/routing/endpoint_stats.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::server {

struct stage_call {
    std::string call_id;
    std::string stage;
    std::string input;
    duration time_left{};
};

struct generation_call {
    std::string call_id;
    std::string model;
    std::string prompt;
    std::int64_t max_tokens{};
    int priority{};
    std::int64_t resume_from{};
};

struct service_call {
    std::string call_id;
    std::string name;
    std::string key;
    std::string body; ///< JSON text
};

http::request to_request(const stage_call& it);
http::request to_request(const generation_call& it);
http::request to_request(const service_call& it);
http::request load_request();

/// What an answer of an endpoint means. leaving, overloaded: the endpoint says that it did not run the call.
/// wrong_call: an answer to another call. cancelled: given up by this side.
enum class answer_kind { ok, cancelled, leaving, overloaded, refused_input, failed, wrong_call, malformed };

struct endpoint_answer {
    answer_kind kind{answer_kind::failed};
    std::string value; ///< output of a stage, or JSON text of a service's result
    std::string reason;
};

endpoint_answer read_stage_answer(const http::response& it, std::string_view call_id);
endpoint_answer read_service_answer(const http::response& it, std::string_view call_id);

/// Classifies an answer with a status other than 200.
endpoint_answer read_error_answer(int status, std::string_view body);

/// One event of a generation.
struct generation_event {
    enum class kind { token, last_token, end, wrong_call, malformed };
    kind type{kind::malformed};
    std::string text;
    std::int64_t position{}; ///< index of the token in the whole generation
};

generation_event read_generation_event(std::string_view data, std::string_view call_id);

std::optional<routing::load_report> read_load(const http::response& it);

} // namespace limpetlock::server
