/// \file
/// Parses JSON and reports duplicate keys and deep nesting, which the library's parser accepts.
#pragma once

#include <limpetlock/config/document.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::config {

using json = nlohmann::json;

/// Largest accepted nesting depth. The document format needs 6 levels, a reply of the service 3 more. Merging
/// and writing JSON recurse, so the depth must be bounded.
inline constexpr int max_json_depth = 24;

/// A departure from the format at a path, for example "entries[3].patch.teams".
struct problem {
    std::string path;
    std::string reason;
};

using problem_list = std::vector<problem>;

/// Parses text; returns nullopt if it is not JSON. Duplicate keys and excessive nesting are added to
/// `problems`. The value is usable nevertheless, so that the caller can reject only the part with the
/// problem.
std::optional<json> parse_json(std::string_view text, problem_list& problems, error_slot<errc>& last);

/// Parses text; returns nullopt if it is not JSON or has any problem.
std::optional<json> parse_strict_json(std::string_view text, error_slot<errc>& last);

std::string member_path(std::string_view parent, std::string_view key);
std::string element_path(std::string_view parent, std::size_t index);

/// Joins the first problems into one line and appends the number of those left out.
std::string join_problems(const problem_list& problems);

} // namespace limpetlock::config
