#include <limpetlock/support/settings.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace limpetlock {

namespace {

namespace tree = boost::property_tree;

/// Syntax errors after which reading stops, because the file is probably not a settings file.
constexpr std::size_t max_syntax_errors = 100;

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || at != end)
        return std::nullopt;
    return value;
}

std::optional<ip_endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(host, ec);
    const auto port = parse_integer(text.substr(colon + 1));
    if (ec || ip.is_v6() != bracketed || !port || *port < 0 || *port > 0xFFFF)
        return std::nullopt;
    return ip_endpoint{ip.to_string(), static_cast<std::uint16_t>(*port)};
}

/// Empties a line, so that the rest of the text can be parsed without its error. Line numbers don't change.
void clear_line(std::string& text, std::size_t line)
{
    std::size_t at = 0;
    for (std::size_t n = 1; n < line && at != std::string::npos; ++n) {
        at = text.find('\n', at);
        at = at == std::string::npos ? at : at + 1;
    }
    if (at == std::string::npos)
        return;
    const auto end = std::min(text.find('\n', at), text.size());
    text.replace(at, end - at, "");
}

std::string unit_text(const setting& it)
{
    return it.unit.empty() && it.type == setting_type::milliseconds ? "ms" : it.unit;
}

std::string range_text(const setting& it)
{
    if (it.type != setting_type::integer && it.type != setting_type::milliseconds)
        return {};
    if (it.max == std::numeric_limits<std::int64_t>::max())
        return fmt::format("at least {}", it.min);
    return fmt::format("{} to {}", it.min, it.max);
}

std::string type_description(const setting& it)
{
    switch (it.type) {
    case setting_type::string:
        return "text";
    case setting_type::integer:
        return "integer";
    case setting_type::milliseconds:
        return "duration";
    case setting_type::address:
        return "IP address with port";
    }
    return {};
}

/// Returns an error for an invalid value, or nullopt.
std::optional<std::pair<settings_errc, std::string>> check_value(const setting& it, const std::string& text)
{
    if (it.type == setting_type::string)
        return std::nullopt;
    if (it.type == setting_type::address) {
        if (parse_endpoint(text))
            return std::nullopt;
        return std::pair(settings_errc::wrong_type,
                         "not an IP address with port (10.0.0.1:80 or [::1]:80): '" + text + "'");
    }
    const auto number = parse_integer(text);
    if (!number)
        return std::pair(settings_errc::wrong_type, "not an integer: '" + text + "'");
    if (*number < it.min || *number > it.max)
        return std::pair(settings_errc::out_of_range, text + " is not " + range_text(it));
    return std::nullopt;
}

} // namespace

std::string to_string(const settings_error& error)
{
    if (error.line > 0)
        return fmt::format("{}:{}: {}", error.file, error.line, error.reason);
    if (error.section.empty() && error.key.empty())
        return fmt::format("{}: {}", error.file, error.reason);
    if (error.key.empty())
        return fmt::format("{}: [{}]: {}", error.file, error.section, error.reason);
    return fmt::format("{}: [{}] {}: {}", error.file, error.section, error.key, error.reason);
}

const settings::value& settings::at(std::string_view section, std::string_view key, setting_type type) const
{
    const auto it = values_.find({std::string(section), std::string(key)});
    if (it == values_.end() || it->second.type != type)
        throw std::logic_error(fmt::format("the schema has no [{}] {} of this type", section, key));
    return it->second;
}

const std::string& settings::string(std::string_view section, std::string_view key) const
{
    return at(section, key, setting_type::string).text;
}

std::int64_t settings::integer(std::string_view section, std::string_view key) const
{
    return parse_integer(at(section, key, setting_type::integer).text).value();
}

duration settings::milliseconds(std::string_view section, std::string_view key) const
{
    return duration(parse_integer(at(section, key, setting_type::milliseconds).text).value());
}

ip_endpoint settings::address(std::string_view section, std::string_view key) const
{
    return parse_endpoint(at(section, key, setting_type::address).text).value();
}

std::optional<settings> settings_reader::read_file(const std::string& path)
{
    errno = 0;
    std::ifstream in(path, std::ios::binary);
    std::stringstream text;
    if (in && in.peek() != std::ifstream::traits_type::eof())
        text << in.rdbuf();
    if (!in.is_open() || in.bad() || (in.fail() && !in.eof())) {
        const std::string reason = errno == 0 ? "unknown reason" : std::strerror(errno);
        errors_ = {{settings_errc::unreadable, path, 0, {}, {}, "can't read the file: " + reason}};
        return std::nullopt;
    }
    return read_text(text.str(), path);
}

std::optional<settings> settings_reader::read_text(const std::string& text, const std::string& file)
{
    errors_.clear();
    tree::ptree content;
    std::string rest = text;
    for (bool whole = false; !whole && errors_.size() < max_syntax_errors;) {
        try {
            std::istringstream in(rest);
            tree::read_ini(in, content);
            whole = true;
        } catch (const tree::ini_parser_error& it) {
            const bool duplicate = it.message().starts_with("duplicate");
            errors_.push_back({duplicate ? settings_errc::duplicate : settings_errc::syntax,
                               file,
                               it.line(),
                               {},
                               {},
                               it.message()});
            clear_line(rest, it.line());
        }
    }
    settings result;
    for (const auto& [section, keys] : content) {
        if (!has_section(section)) {
            const bool key_only = keys.empty();
            errors_.push_back({key_only ? settings_errc::unknown_key : settings_errc::unknown_section, file,
                               0, key_only ? "" : section, key_only ? section : "",
                               key_only ? "key outside of a section" : "unknown section"});
            continue;
        }
        for (const auto& [key, value] : keys)
            store_value(result, file, section, key, value.data());
    }
    fill_defaults(result, file);
    if (!errors_.empty())
        return std::nullopt;
    return result;
}

const setting* settings_reader::find(const std::string& section, const std::string& key) const
{
    for (const auto& it : schema_)
        if (it.section == section && it.key == key)
            return &it;
    return nullptr;
}

bool settings_reader::has_section(const std::string& section) const
{
    for (const auto& it : schema_)
        if (it.section == section)
            return true;
    return false;
}

void settings_reader::store_value(settings& out, const std::string& file, const std::string& section,
                                  const std::string& key, const std::string& text)
{
    const auto* it = find(section, key);
    if (!it) {
        errors_.push_back({settings_errc::unknown_key, file, 0, section, key, "unknown key"});
        return;
    }
    out.values_[{section, key}] = {it->type, text};
    if (auto problem = check_value(*it, text))
        errors_.push_back({problem->first, file, 0, section, key, std::move(problem->second)});
}

/// Defaults are checked as values of a file are, so that every test that reads a file finds an invalid
/// default.
void settings_reader::fill_defaults(settings& out, const std::string& file)
{
    for (const auto& it : schema_) {
        if (out.values_.contains({it.section, it.key}))
            continue;
        if (it.default_value)
            store_value(out, file, it.section, it.key, *it.default_value);
        else
            errors_.push_back(
                {settings_errc::missing, file, 0, it.section, it.key, "required key is missing"});
    }
}

std::string settings_reader::example() const
{
    std::string out;
    std::vector<std::string> sections;
    for (const auto& it : schema_)
        if (std::find(sections.begin(), sections.end(), it.section) == sections.end())
            sections.push_back(it.section);
    const auto to = std::back_inserter(out);
    for (const auto& section : sections) {
        fmt::format_to(to, "{}[{}]\n", out.empty() ? "" : "\n", section);
        for (const auto& it : schema_) {
            if (it.section != section)
                continue;
            const auto unit = unit_text(it);
            const auto range = range_text(it);
            fmt::format_to(to, "# {}\n# {}{}{}{}\n", it.help, type_description(it),
                           unit.empty() ? "" : " in " + unit, range.empty() ? "" : ", " + range,
                           it.default_value ? ", default " + *it.default_value : ", required");
            fmt::format_to(to, "{}{} = {}\n", it.default_value ? "" : "#", it.key,
                           it.default_value.value_or(""));
        }
    }
    return out;
}

} // namespace limpetlock
