/// \file
/// Answers of the stand-in endpoints as pure functions of their input, so that a caller can check that an
/// answer is complete and belongs to its own request.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetlock::testkit {

/// The output of a stage call, for example "encode(x)".
std::string stage_output(std::string_view stage, std::string_view input);

/// The text of the generated token at a position, from 0.
std::string token_text(std::string_view prompt, std::int64_t position);

/// Number of tokens after which the engine stops by itself (16 to 127).
std::int64_t natural_length(std::string_view prompt);

/// Number of tokens of a generation; `max_tokens` 0 means no limit.
std::int64_t generation_length(std::string_view prompt, std::int64_t max_tokens);

/// The whole text of a generation.
std::string generation(std::string_view prompt, std::int64_t max_tokens);

/// Digest of a service call's body; independent of key order and white space of the JSON text.
std::string body_digest(const nlohmann::json& body);

/// The result of a service call.
nlohmann::json service_result(std::string_view call, const nlohmann::json& body);

} // namespace limpetlock::testkit
