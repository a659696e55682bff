/// \file
/// What the stand-in endpoints answer, as pure functions of their input, so that a caller can check that an
/// answer is whole and belongs to its own request.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetlock::testkit {

/// The output of a stage call: STAGE(INPUT).
std::string stage_output(std::string_view stage, std::string_view input);

/// The text of one generated token.
std::string token_text(std::string_view prompt, std::int64_t position);

/// How many tokens the engine generates before it stops by itself (16 to 127).
std::int64_t natural_length(std::string_view prompt);

/// Number of tokens of a generation; max_tokens 0 means no bound.
std::int64_t generation_length(std::string_view prompt, std::int64_t max_tokens);

/// The whole text of a generation.
std::string generation(std::string_view prompt, std::int64_t max_tokens);

/// Digest of a service call's body; key order and white space of the JSON text do not matter.
std::string body_digest(const nlohmann::json& body);

/// The result of a service call.
nlohmann::json service_result(std::string_view call, const nlohmann::json& body);

} // namespace limpetlock::testkit
