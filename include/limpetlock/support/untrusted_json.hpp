/// \file
/// Parses JSON that comes from outside of the process.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace limpetlock {

/// Deepest nesting of arrays and objects in JSON from outside. Copying, comparing and writing a value
/// recurse, so a deeply nested one overflows the stack.
inline constexpr std::size_t max_untrusted_json_depth = 64;

/// Whether arrays and objects in the text are nested deeper than max_untrusted_json_depth.
inline bool exceeds_untrusted_json_depth(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char c = text[n];
        if (in_string) {
            if (c == '\\')
                ++n;
            in_string = c != '"';
        } else if (c == '"') {
            in_string = true;
        } else if (c == '[' || c == '{') {
            if (++depth > max_untrusted_json_depth)
                return true;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

/// Returns a discarded value if the text isn't JSON or is nested too deeply.
inline nlohmann::json parse_untrusted_json(std::string_view text)
{
    if (exceeds_untrusted_json_depth(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace limpetlock
