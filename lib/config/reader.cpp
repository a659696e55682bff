#include "reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::config {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_token_length = 256;

bool is_letter_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_name(std::string_view it, std::string_view others)
{
    const auto allowed = [&](char c) { return is_letter_or_digit(c) || others.find(c) != others.npos; };
    return !it.empty() && it.size() <= max_name_length && std::all_of(it.begin(), it.end(), allowed);
}

} // namespace

bool is_key_name(std::string_view it)
{
    return is_name(it, "-_");
}

bool is_value_name(std::string_view it)
{
    return is_name(it, "-_.:/");
}

bool is_token(std::string_view it)
{
    const auto visible = [](char c) { return c > ' ' && c <= '~'; };
    return !it.empty() && it.size() <= max_token_length && std::all_of(it.begin(), it.end(), visible);
}

object_reader::object_reader(const json* value, std::string path, problem_list& problems)
    : value_(value), path_(std::move(path)), problems_(problems)
{
    if (value_ == nullptr || value_->is_object())
        return;
    problems_.push_back({path_, fmt::format("must be an object, is {}", value_->type_name())});
    value_ = nullptr;
}

std::int64_t object_reader::integer(std::string_view key, range<std::int64_t> allowed,
                                    std::optional<std::int64_t> default_value)
{
    const json* it = find(key, !default_value);
    if (it == nullptr)
        return default_value.value_or(0);
    const std::int64_t fallback = default_value.value_or(allowed.min);
    if (!it->is_number_integer()) {
        report(key, fmt::format("must be an integer, is {}", it->type_name()));
        return fallback;
    }
    constexpr auto limit = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const bool fits = !it->is_number_unsigned() || it->get<std::uint64_t>() <= limit;
    const std::int64_t n = fits ? it->get<std::int64_t>() : std::numeric_limits<std::int64_t>::max();
    if (fits && n >= allowed.min && n <= allowed.max)
        return n;
    report(key, fmt::format("must be from {} to {}, is {}", allowed.min, allowed.max, it->dump()));
    return fallback;
}

double object_reader::number(std::string_view key, range<double> allowed, std::optional<double> default_value)
{
    const json* it = find(key, !default_value);
    if (it == nullptr)
        return default_value.value_or(0);
    const double fallback = default_value.value_or(allowed.min);
    if (!it->is_number()) {
        report(key, fmt::format("must be a number, is {}", it->type_name()));
        return fallback;
    }
    const auto n = it->get<double>();
    if (n >= allowed.min && n <= allowed.max)
        return n;
    report(key, fmt::format("must be from {} to {}, is {}", allowed.min, allowed.max, it->dump()));
    return fallback;
}

bool object_reader::boolean(std::string_view key, std::optional<bool> default_value)
{
    const json* it = find(key, !default_value);
    if (it == nullptr)
        return default_value.value_or(false);
    if (it->is_boolean())
        return it->get<bool>();
    report(key, fmt::format("must be a boolean, is {}", it->type_name()));
    return default_value.value_or(false);
}

std::string object_reader::name(std::string_view key, const std::optional<std::string>& default_value)
{
    const auto it = text(key, !default_value);
    if (!it)
        return default_value.value_or("");
    if (!is_value_name(*it))
        report(key, fmt::format("must be 1 to {} letters, digits or any of -_.:/", max_name_length));
    return *it;
}

std::string object_reader::token(std::string_view key)
{
    // The reason does not quote the token, since reasons are logged.
    const auto it = text(key, true);
    if (it && !is_token(*it))
        report(key, fmt::format("must be 1 to {} visible ASCII characters", max_token_length));
    return it.value_or("");
}

std::vector<std::string> object_reader::names(std::string_view key, range<std::size_t> size, bool required)
{
    std::vector<std::string> found;
    const json* list = array(key, required);
    if (list == nullptr)
        return found;
    if (list->size() < size.min || list->size() > size.max)
        report(key, fmt::format("must have {} to {} elements, has {}", size.min, size.max, list->size()));
    std::set<std::string, std::less<>> seen;
    for (std::size_t n = 0; n < list->size(); ++n) {
        const json& it = (*list)[n];
        const std::string path = element_path(path_of(key), n);
        if (!it.is_string() || !is_value_name(it.get_ref<const std::string&>())) {
            problems_.push_back(
                {path,
                 fmt::format("must be a name of 1 to {} letters, digits or any of -_.:/", max_name_length)});
            continue;
        }
        found.push_back(it.get<std::string>());
        if (!seen.insert(found.back()).second)
            problems_.push_back({path, fmt::format("\"{}\" is listed twice", found.back())});
    }
    return found;
}

const json* object_reader::object(std::string_view key, bool required)
{
    const json* it = find(key, required);
    if (it == nullptr || it->is_object())
        return it;
    report(key, fmt::format("must be an object, is {}", it->type_name()));
    return nullptr;
}

const json* object_reader::array(std::string_view key, bool required)
{
    const json* it = find(key, required);
    if (it == nullptr || it->is_array())
        return it;
    report(key, fmt::format("must be an array, is {}", it->type_name()));
    return nullptr;
}

void object_reader::report_unknown_keys()
{
    if (value_ == nullptr)
        return;
    for (const auto& it : value_->items())
        if (requested_keys_.find(it.key()) == requested_keys_.end())
            report(it.key(), "is not a known key");
}

void object_reader::report(std::string_view key, std::string reason)
{
    problems_.push_back({path_of(key), std::move(reason)});
}

const json* object_reader::find(std::string_view key, bool required)
{
    requested_keys_.emplace(key);
    if (value_ != nullptr) {
        const auto it = value_->find(key);
        if (it != value_->end())
            return &*it;
    }
    if (required && value_ != nullptr)
        report(key, "is missing");
    return nullptr;
}

std::optional<std::string> object_reader::text(std::string_view key, bool required)
{
    const json* it = find(key, required);
    if (it == nullptr)
        return std::nullopt;
    if (it->is_string())
        return it->get<std::string>();
    report(key, fmt::format("must be a string, is {}", it->type_name()));
    return std::nullopt;
}

} // namespace limpetlock::config
