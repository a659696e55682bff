/// \file
/// Settings of a process, which are read from an INI file at its start and checked against a schema. All
/// errors of a file are reported together.
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

/// A key of the schema. A key without default_value is required.
struct setting {
    std::string section;
    std::string key;
    setting_type type{setting_type::string};
    std::string help;
    std::string unit;                         ///< empty stands for "ms" if the type is milliseconds
    std::optional<std::string> default_value; ///< as in a file
    /// Range of an integer, or of a duration in ms. Both ends are allowed.
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
    std::size_t line{0}; ///< from 1; 0 if the error has no line
    std::string section;
    std::string key;
    std::string reason;

    friend bool operator==(const settings_error&, const settings_error&) = default;
};

/// Formats an error as `FILE:LINE: REASON`, `FILE: [SECTION] KEY: REASON` or, without a key or section,
/// `FILE: [SECTION]: REASON` or `FILE: REASON`.
std::string to_string(const settings_error& error);

/// Checked values, with defaults for keys that the file doesn't have. The getters throw std::logic_error if
/// the schema has no such key of that type, which is a programming error and not one of the file.
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

/// Reads settings files against a schema.
class settings_reader {
public:
    explicit settings_reader(settings_schema schema) : schema_(std::move(schema)) {}

    /// Return nullopt if there are errors, which errors() then lists. `file` is the name in their text.
    std::optional<settings> read_file(const std::string& path);
    std::optional<settings> read_text(const std::string& text, const std::string& file);

    const std::vector<settings_error>& errors() const { return errors_; }

    /// Returns a file with every key, its description, type, unit, range and default. Required keys are
    /// commented out.
    std::string example() const;

private:
    const setting* find(const std::string& section, const std::string& key) const;
    bool has_section(const std::string& section) const;
    /// Checks and stores the text of a key. Adds an error if it is invalid or the schema has no such key.
    void store_value(settings& out, const std::string& file, const std::string& section,
                     const std::string& key, const std::string& text);
    /// Stores the defaults of absent keys, and adds an error for each absent key that is required.
    void fill_defaults(settings& out, const std::string& file);

    settings_schema schema_;
    std::vector<settings_error> errors_;
};

} // namespace limpetlock
