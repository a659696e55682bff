/// \file
/// Conversions between typed values and the HTTP messages of stage pools, model engines and plain services.
/// Only this file knows their formats, which are in section 3.4 of the design page.
#pragma once

#include <limpetlock/http/message.hpp>
#include <limpetlock/routing/endpoint_stats.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::server {

/// Call of a pipeline stage.
struct stage_call {
    std::string call_id; ///< the endpoint repeats it in its answer
    std::string stage;
    std::string input;
    duration time_left{}; ///< time until the deadline of the request in ms
};

/// Call of a model engine that streams the generated tokens.
struct generation_call {
    std::string call_id;
    std::string model;
    std::string prompt;
    std::int64_t max_tokens{};
    int priority{};
    std::int64_t resume_from{}; ///< position of the first token that is still needed
};

/// Call of a plain service.
struct service_call {
    std::string call_id;
    std::string name; ///< name of the service
    std::string key;  ///< idempotency key; empty if there is none
    std::string body; ///< JSON text
};

http::request to_request(const stage_call& it);
http::request to_request(const generation_call& it);
http::request to_request(const service_call& it);

/// Returns the request for the load report of an endpoint.
http::request load_request();

/// Meaning of an endpoint's answer. leaving, overloaded: the endpoint says that it did not run the call.
/// refused_input: it refused the call with a status from 400 to 499. wrong_call: the answer belongs to
/// another call. malformed: the answer could not be parsed. cancelled: this instance gave up the call.
enum class answer_kind { ok, cancelled, leaving, overloaded, refused_input, failed, wrong_call, malformed };

struct endpoint_answer {
    answer_kind kind{answer_kind::failed};
    std::string value;  ///< output of a stage, or JSON text of a service's result
    std::string reason; ///< empty if the kind is ok
};

endpoint_answer read_stage_answer(const http::response& it, std::string_view call_id);
endpoint_answer read_service_answer(const http::response& it, std::string_view call_id);

/// Classifies an answer with a status other than 200 by its status and the error that its body names.
endpoint_answer read_error_answer(int status, std::string_view body);

/// One event of a token stream. end: the stream is complete; last_token: the token is the last one.
struct generation_event {
    enum class kind { token, last_token, end, wrong_call, malformed };
    kind type{kind::malformed};
    std::string text;
    std::int64_t position{}; ///< index of the token in the whole generation
};

generation_event read_generation_event(std::string_view data, std::string_view call_id);

/// Reads a load report; nullopt if the answer has none or is malformed.
std::optional<routing::load_report> read_load(const http::response& it);

} // namespace limpetlock::server
