#include "document_reader.hpp"
#include "json.hpp"

#include <limpetlock/config/document.hpp>
#include <limpetlock/support/hash.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::config {

namespace {

constexpr std::array<std::string_view, rank_count> rank_names{"urgent", "standard", "background"};
constexpr std::string_view token_placeholder = "(hidden)";

bool is_allowed_caller(const std::vector<std::string>& callers, std::string_view team)
{
    return callers.empty() || std::find(callers.begin(), callers.end(), team) != callers.end();
}

/// Adds the paths of the values that differ. For arrays of different sizes, adds the path of the array.
void collect_differences(const json& from, const json& to, const std::string& path,
                         std::vector<std::string>& paths)
{
    if (from == to)
        return;
    if (from.is_object() && to.is_object()) {
        for (const auto& it : from.items())
            collect_differences(it.value(), to.value(it.key(), json()), member_path(path, it.key()), paths);
        for (const auto& it : to.items())
            if (!from.contains(it.key()))
                paths.push_back(member_path(path, it.key()));
        return;
    }
    if (!from.is_array() || !to.is_array() || from.size() != to.size()) {
        paths.push_back(path);
        return;
    }
    for (std::size_t n = 0; n < from.size(); ++n)
        collect_differences(from[n], to[n], element_path(path, n), paths);
}

} // namespace

std::string_view to_string(rank it)
{
    return rank_names[static_cast<std::size_t>(it)];
}

std::optional<rank> parse_rank(std::string_view name)
{
    for (std::size_t n = 0; n < rank_count; ++n)
        if (rank_names[n] == name)
            return static_cast<rank>(n);
    return std::nullopt;
}

bool pipeline::allows(std::string_view team) const
{
    return is_allowed_caller(callers, team);
}

double pipeline::cost_ms() const
{
    double sum = 0;
    for (const stage& it : stages)
        sum += it.cost_ms;
    return sum;
}

bool service::allows(std::string_view team) const
{
    return is_allowed_caller(callers, team);
}

struct document::state {
    document_contents contents;
    std::string text;
    std::string digest;
    section<std::string> team_by_token;

    static std::shared_ptr<const state> make(const json& value, error_slot<errc>& last);
};

std::shared_ptr<const document::state> document::state::make(const json& value, error_slot<errc>& last)
{
    problem_list problems;
    auto it = std::make_shared<state>();
    it->contents = read_contents(value, problems);
    if (!problems.empty()) {
        last.fail(errc::invalid, join_problems(problems));
        return nullptr;
    }
    it->text = value.dump();
    if (it->text.size() > max_document_bytes) {
        last.fail(errc::invalid,
                  fmt::format("the document must have at most {} bytes as canonical text, has {}",
                              max_document_bytes, it->text.size()));
        return nullptr;
    }
    it->digest = digest128(it->text);
    for (const auto& [name, team] : it->contents.teams)
        it->team_by_token.emplace(team.token, name);
    return it;
}

std::optional<document> document::parse(std::string_view text, error_slot<errc>& last)
{
    const auto value = parse_strict_json(text, last);
    if (!value)
        return std::nullopt;
    auto it = state::make(*value, last);
    if (!it)
        return std::nullopt;
    return document(std::move(it));
}

std::optional<document> document::merge(std::string_view patch, error_slot<errc>& last) const
{
    const auto change = parse_strict_json(patch, last);
    if (!change)
        return std::nullopt;
    // By RFC 7396 any other value would replace the whole document. Only a document entry may do that.
    if (!change->is_object())
        return last.fail(errc::invalid, fmt::format("a patch must be an object, is {}", change->type_name()));
    json value = json::parse(text());
    value.merge_patch(*change);
    auto it = state::make(value, last);
    if (!it)
        return std::nullopt;
    return document(std::move(it));
}

const document_contents& document::contents() const
{
    return state_->contents;
}

const std::string* document::find_team_by_token(std::string_view token) const
{
    const auto it = state_->team_by_token.find(token);
    return it == state_->team_by_token.end() ? nullptr : &it->second;
}

const std::string& document::text() const
{
    return state_->text;
}

std::string document::redacted_text() const
{
    json value = json::parse(text());
    for (auto& it : value["teams"])
        it["token"] = token_placeholder;
    return value.dump();
}

const std::string& document::digest() const
{
    return state_->digest;
}

std::vector<std::string> changed_paths(const document& from, const document& to)
{
    std::vector<std::string> paths;
    collect_differences(json::parse(from.text()), json::parse(to.text()), "", paths);
    return paths;
}

} // namespace limpetlock::config
