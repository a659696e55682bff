/// \file
/// Settings of a process, read once at start from an INI file and checked against a schema. Every key is
/// checked and all errors are reported together.
#pragma once

#include <limpetlock/support/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetlock {

enum class setting_type { string, integer, milliseconds, address };

/// One key of the schema. A key without default_value is required.
struct setting {
    std::string section;
    std::string key;
    setting_type type{setting_type::string};
    std::string help;
    std::string unit;                         ///< "ms" for durations when empty
    std::optional<std::string> default_value; ///< as written in the file
    /// Range of an integer or of a duration in ms.
    std::int64_t min{0};
    std::int64_t max{std::numeric_limits<std::int64_t>::max()};
};

using settings_schema = std::vector<setting>;

/// An IP address with a port, written 10.0.0.1:80 or [::1]:80.
struct ip_endpoint {
    std::string host;
    std::uint16_t port{0};

    friend bool operator==(const ip_endpoint&, const ip_endpoint&) = default;
};

enum class settings_errc {
    unreadable,
    syntax,
    duplicate,
    unknown_section,
    unknown_key,
    wrong_type,
    out_of_range,
    missing,
};

struct settings_error {
    settings_errc code{};
    std::string file;
    std::size_t line{0}; ///< 0 when the error belongs to a key and not to a line
    std::string section;
    std::string key;
    std::string reason;

    friend bool operator==(const settings_error&, const settings_error&) = default;
};

/// `FILE:LINE: REASON` or `FILE: [SECTION] KEY: REASON`.
std::string to_string(const settings_error& error);

/// Checked values, with the defaults filled in. The getters throw std::logic_error for a key that the schema
/// doesn't hold with that type: a fault of the program and not of the file.
class settings {
public:
    const std::string& string(std::string_view section, std::string_view key) const;
    std::int64_t integer(std::string_view section, std::string_view key) const;
    duration milliseconds(std::string_view section, std::string_view key) const;
    ip_endpoint address(std::string_view section, std::string_view key) const;

private:
    friend class settings_reader;

    struct value {
        setting_type type{};
        std::string text;
    };

    const value& at(std::string_view section, std::string_view key, setting_type type) const;

    std::map<std::pair<std::string, std::string>, value> values_;
};

/// Reads files of one schema.
class settings_reader {
public:
    explicit settings_reader(settings_schema schema) : schema_(std::move(schema)) {}

    /// nullopt when there is any error; errors() then holds all of them.
    std::optional<settings> read_file(const std::string& path);
    std::optional<settings> read_text(const std::string& text, const std::string& file);

    const std::vector<settings_error>& errors() const { return errors_; }

    /// A file with every key, its meaning, unit, range and default; required keys are commented out.
    std::string example() const;

private:
    const setting* find(const std::string& section, const std::string& key) const;
    bool has_section(const std::string& section) const;
    void store_value(settings& out, const std::string& file, const std::string& section,
                     const std::string& key, const std::string& text);
    void fill_defaults(settings& out, const std::string& file);

    settings_schema schema_;
    std::vector<settings_error> errors_;
};

} // namespace limpetlock
