/// \file
/// JSON parsing that also finds what the library's parser lets pass: duplicate keys and deep nesting.
#pragma once

#include <limpetlock/config/document.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::config {

using json = nlohmann::json;

/// Deepest nesting that is read. The format needs 6 levels, a service's reply 3 more. Merging and writing
/// JSON recurse, so the depth must be bounded.
inline constexpr int max_json_depth = 24;

/// A finding at a place in the text. Element indexes are part of the path: "entries[3].patch.teams".
struct problem {
    std::string path;
    std::string reason;
};

using problem_list = std::vector<problem>;

/// Parses text; nullopt if it is not JSON. Duplicate keys and nesting that is too deep go to `problems`; the
/// value is usable all the same, so that a caller can blame the part that they are in.
std::optional<json> parse_json(std::string_view text, problem_list& problems, error_slot<errc>& last);

/// Parses text in which any problem is an error.
std::optional<json> parse_strict_json(std::string_view text, error_slot<errc>& last);

std::string member_path(std::string_view parent, std::string_view key);
std::string element_path(std::string_view parent, std::size_t index);

/// The problems in one line, at most the first few.
std::string join_problems(const problem_list& problems);

} // namespace limpetlock::config
