#include "json.hpp"

#include <limpetlock/config/entry.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace limpetlock::config {

namespace {

constexpr std::array<std::string_view, 3> kind_names{"document", "patch", "unreadable"};

/// Longer names of authors, which operators see, are truncated.
constexpr std::size_t max_author_length = 64;

std::optional<std::int64_t> find_integer(const json& from, const char* key)
{
    const auto it = from.find(key);
    if (it == from.end() || !it->is_number_integer())
        return std::nullopt;
    const auto n = it->get<std::int64_t>();
    // An unsigned number above the range of int64 is converted to a negative one. No field of the format is
    // negative.
    if (n < 0)
        return std::nullopt;
    return n;
}

std::string find_text(const json& from, const char* key)
{
    const auto it = from.find(key);
    return it != from.end() && it->is_string() ? it->get<std::string>() : std::string();
}

entry unreadable(entry it, std::string reason)
{
    it.kind = entry_kind::unreadable;
    it.body = std::move(reason);
    return it;
}

entry to_entry(const json& from, std::int64_t revision)
{
    entry it;
    it.revision = revision;
    it.author = find_text(from, "author").substr(0, max_author_length);
    const std::string kind = find_text(from, "kind");
    const bool is_document = kind == kind_names[0];
    if (!is_document && kind != kind_names[1])
        return unreadable(it, "kind must be \"document\" or \"patch\"");
    const auto base = find_integer(from, "base");
    if (!base)
        return unreadable(it, "base must be an integer from 0");
    it.base = *base;
    const auto number = find_integer(from, "number");
    if (is_document && (!number || *number == 0))
        return unreadable(it, "number must be an integer from 1");
    if (is_document)
        it.number = *number;
    const auto body = from.find(kind);
    if (body == from.end())
        return unreadable(it, fmt::format("{} is missing", kind));
    it.kind = is_document ? entry_kind::document : entry_kind::patch;
    it.body = body->dump();
    return it;
}

/// Returns the problems within one element of the reply, with paths relative to that element.
problem_list problems_within(const problem_list& all, const std::string& prefix)
{
    problem_list found;
    for (const problem& it : all) {
        if (it.path.rfind(prefix, 0) != 0)
            continue;
        const std::size_t skip = it.path.size() > prefix.size() && it.path[prefix.size()] == '.' ? 1 : 0;
        found.push_back({it.path.substr(prefix.size() + skip), it.reason});
    }
    return found;
}

} // namespace

std::string_view to_string(entry_kind it)
{
    return kind_names[static_cast<std::size_t>(it)];
}

std::optional<service_reply> parse_service_reply(std::string_view body, error_slot<errc>& last)
{
    problem_list problems;
    const auto value = parse_json(body, problems, last);
    if (!value)
        return std::nullopt;
    if (!value->is_object())
        return last.fail(errc::malformed, "the reply is not an object");
    const auto revision = find_integer(*value, "revision");
    if (!revision)
        return last.fail(errc::malformed, "revision must be an integer from 0");
    const auto entries = value->find("entries");
    if (entries == value->end() || !entries->is_array())
        return last.fail(errc::malformed, "entries must be an array");
    service_reply reply{*revision, {}};
    std::int64_t former = 0;
    for (std::size_t n = 0; n < entries->size(); ++n) {
        const json& it = (*entries)[n];
        const std::string path = element_path("entries", n);
        const auto own = it.is_object() ? find_integer(it, "revision") : std::nullopt;
        if (!own || *own <= former)
            return last.fail(errc::malformed,
                             fmt::format("{}.revision must be an integer above {}", path, former));
        former = *own;
        const auto wrong = problems_within(problems, path);
        const entry read = to_entry(it, *own);
        reply.entries.push_back(wrong.empty() ? read : unreadable(read, join_problems(wrong)));
    }
    // The service may determine its revision before it collects the entries, and then return newer ones.
    reply.revision = std::max(reply.revision, former);
    return reply;
}

std::optional<entry> parse_entry(std::string_view text, std::int64_t revision, error_slot<errc>& last)
{
    const auto value = parse_strict_json(text, last);
    if (!value)
        return std::nullopt;
    if (!value->is_object())
        return last.fail(errc::malformed, "the entry is not an object");
    entry it = to_entry(*value, find_integer(*value, "revision").value_or(revision));
    if (it.kind == entry_kind::unreadable)
        return last.fail(errc::malformed, it.body);
    return it;
}

std::string make_service_target(std::int64_t after, duration wait)
{
    return fmt::format("/v1/config?after={}&wait_ms={}", after, wait.count());
}

} // namespace limpetlock::config
