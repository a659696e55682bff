/// \file
/// Reads a JSON object key by key and reports every departure from the format with the path of the key.
#pragma once

#include "json.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace limpetlock::config {

/// A range of numbers, both ends included.
template <typename T>
struct range {
    T min;
    T max;
};

/// Whether `it` may be a key chosen by operators: 1 to 64 letters, digits, '-' or '_', which are safe in
/// paths and metric labels.
bool is_key_name(std::string_view it);

/// Whether `it` may be a name (of a pool, model, instance or class) that is used as a JSON value, not as a
/// key: also allows '.', ':' and '/'.
bool is_value_name(std::string_view it);

/// Whether `it` may be a bearer token: 1 to 256 visible ASCII characters.
bool is_token(std::string_view it);

/// Reads the members of one JSON object and reports problems.
class object_reader {
public:
    /// `value` may be nullptr or of another type than object. Another type is reported; in both cases missing
    /// keys are not.
    object_reader(const json* value, std::string path, problem_list& problems);

    /// The functions below return the default if the key is missing. After they report a problem, they return
    /// the default or another value that callers must not use.
    std::int64_t integer(std::string_view key, range<std::int64_t> allowed,
                         std::optional<std::int64_t> default_value = {});
    double number(std::string_view key, range<double> allowed, std::optional<double> default_value = {});
    bool boolean(std::string_view key, std::optional<bool> default_value = {});
    std::string name(std::string_view key, const std::optional<std::string>& default_value = {});
    std::string token(std::string_view key);
    /// A list of distinct names.
    std::vector<std::string> names(std::string_view key, range<std::size_t> size, bool required);

    /// Return a nested object or array. They return nullptr if it is missing, which is reported if it is
    /// required, or of another type, which is reported.
    const json* object(std::string_view key, bool required);
    const json* array(std::string_view key, bool required);

    /// Reports the keys that no call requested.
    void report_unknown_keys();

    void report(std::string_view key, std::string reason);
    std::string path_of(std::string_view key) const { return member_path(path_, key); }

private:
    const json* find(std::string_view key, bool required);
    std::optional<std::string> text(std::string_view key, bool required);

    const json* value_;
    std::string path_;
    problem_list& problems_;
    std::set<std::string, std::less<>> requested_keys_;
};

} // namespace limpetlock::config
