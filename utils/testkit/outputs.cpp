#include "testkit/outputs.hpp"

#include <limpetlock/support/hash.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace limpetlock::testkit {

namespace {
constexpr std::int64_t min_natural_length = 16;
constexpr std::int64_t natural_length_range = 112;
constexpr std::uint64_t length_seed = 0x6c656e677468;
} // namespace

std::string stage_output(std::string_view stage, std::string_view input)
{
    return fmt::format("{}({})", stage, input);
}

std::string token_text(std::string_view prompt, std::int64_t position)
{
    const auto hash = hash64(prompt, static_cast<std::uint64_t>(position));
    return fmt::format("{:08x} ", hash & 0xffffffffU);
}

std::int64_t natural_length(std::string_view prompt)
{
    return min_natural_length + static_cast<std::int64_t>(hash64(prompt, length_seed) % natural_length_range);
}

std::int64_t generation_length(std::string_view prompt, std::int64_t max_tokens)
{
    const auto natural = natural_length(prompt);
    return max_tokens > 0 ? std::min(natural, max_tokens) : natural;
}

std::string generation(std::string_view prompt, std::int64_t max_tokens)
{
    std::string text;
    for (std::int64_t n = 0; n < generation_length(prompt, max_tokens); ++n)
        text += token_text(prompt, n);
    return text;
}

std::string body_digest(const nlohmann::json& body)
{
    return digest128(body.dump());
}

nlohmann::json service_result(std::string_view call, const nlohmann::json& body)
{
    return {{"call", call}, {"digest", body_digest(body)}};
}

} // namespace limpetlock::testkit
