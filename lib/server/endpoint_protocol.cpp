#include "endpoint_protocol.hpp"

#include <limpetlock/support/untrusted_json.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace limpetlock::server {

using nlohmann::json;

namespace {

http::request post(std::string target, const json& body)
{
    return {"POST",
            std::move(target),
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

/// Returns nullopt if the text is no JSON object.
std::optional<json> parse_object(std::string_view text)
{
    auto out = parse_untrusted_json(text);
    if (!out.is_object())
        return std::nullopt;
    return out;
}

std::optional<std::string> string_member(const json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

/// Reads an answer whose result is the given member of a JSON object. A string is returned without its quotes
/// unless `raw` is set; any other value is returned as JSON text.
endpoint_answer read_answer(const http::response& it, std::string_view call_id, const char* member, bool raw)
{
    if (it.status != 200)
        return read_error_answer(it.status, it.body);
    const auto body = parse_object(it.body);
    if (!body)
        return {answer_kind::malformed, {}, "the answer is no JSON object"};
    const auto id = string_member(*body, "call_id");
    if (!id || *id != call_id)
        return {answer_kind::wrong_call, {}, "the answer belongs to another call"};
    const auto value = body->find(member);
    if (value == body->end())
        return {answer_kind::malformed, {}, fmt::format("the answer has no member '{}'", member)};
    return {answer_kind::ok, value->is_string() && !raw ? value->get<std::string>() : value->dump(), {}};
}

} // namespace

http::request to_request(const stage_call& it)
{
    return post("/v1/stage", {{"call_id", it.call_id},
                              {"stage", it.stage},
                              {"input", it.input},
                              {"deadline_ms", it.time_left.count()}});
}

http::request to_request(const generation_call& it)
{
    return post("/v1/completions", {{"model", it.model},
                                    {"prompt", it.prompt},
                                    {"max_tokens", it.max_tokens},
                                    {"stream", true},
                                    {"priority", it.priority},
                                    {"user", it.call_id},
                                    {"resume_from", it.resume_from}});
}

http::request to_request(const service_call& it)
{
    json body{{"call_id", it.call_id}, {"body", parse_untrusted_json(it.body)}};
    if (!it.key.empty())
        body["key"] = it.key;
    return post("/v1/call/" + it.name, body);
}

http::request load_request()
{
    return {"GET", "/v1/load", {}, {}};
}

endpoint_answer read_stage_answer(const http::response& it, std::string_view call_id)
{
    return read_answer(it, call_id, "output", false);
}

endpoint_answer read_service_answer(const http::response& it, std::string_view call_id)
{
    return read_answer(it, call_id, "result", true);
}

endpoint_answer read_error_answer(int status, std::string_view body)
{
    const auto object = parse_object(body);
    const auto error = object ? string_member(*object, "error") : std::nullopt;
    if (status == 503 && error == "leaving")
        return {answer_kind::leaving, {}, "the endpoint is leaving"};
    if (status == 503 && error == "overloaded")
        return {answer_kind::overloaded, {}, "the endpoint is overloaded"};
    if (status >= 400 && status < 500)
        return {answer_kind::refused_input,
                {},
                fmt::format("the endpoint refused the call with status {}", status)};
    return {answer_kind::failed, {}, fmt::format("the endpoint answered with status {}", status)};
}

generation_event read_generation_event(std::string_view data, std::string_view call_id)
{
    using kind = generation_event::kind;
    if (data == "[DONE]")
        return {kind::end, {}, 0};
    const auto object = parse_object(data);
    if (!object)
        return {kind::malformed, {}, 0};
    const auto id = string_member(*object, "id");
    if (!id || *id != call_id)
        return {kind::wrong_call, {}, 0};
    const auto choices = object->find("choices");
    const auto position = object->find("position");
    if (choices == object->end() || !choices->is_array() || choices->empty() || !choices->front().is_object())
        return {kind::malformed, {}, 0};
    if (position == object->end() || !position->is_number_integer())
        return {kind::malformed, {}, 0};
    const auto& first = choices->front();
    const auto text = string_member(first, "text");
    if (!text)
        return {kind::malformed, {}, 0};
    const auto reason = string_member(first, "finish_reason");
    return {reason ? kind::last_token : kind::token, *text, position->get<std::int64_t>()};
}

std::optional<routing::load_report> read_load(const http::response& it)
{
    if (it.status != 200)
        return std::nullopt;
    const auto body = parse_object(it.body);
    if (!body)
        return std::nullopt;
    const auto number = [&](const char* name) -> std::int64_t {
        const auto found = body->find(name);
        return found != body->end() && found->is_number_integer() ? found->get<std::int64_t>() : -1;
    };
    const std::int64_t running = number("running");
    const std::int64_t queued = number("queued");
    const std::int64_t age = number("age_ms");
    if (running < 0 || queued < 0 || age < 0)
        return std::nullopt;
    return routing::load_report{static_cast<std::uint32_t>(running), static_cast<std::uint32_t>(queued),
                                duration{age}};
}

} // namespace limpetlock::server
