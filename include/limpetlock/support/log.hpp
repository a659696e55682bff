/// \file
/// Structured log lines to standard output: one line for each decision and change of state, written as
/// key=value pairs.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace limpetlock::log {

enum class level { debug, info, warning, error };

/// A field of a log line; values with spaces, quotes or '=' are written in double quotes.
using field = std::pair<std::string_view, std::string>;

/// Lines below this level are dropped. The default is info.
void set_level(level lowest);

/// Parses a level name; false for an unknown one.
bool set_level(std::string_view name);

/// Writes `ts=... level=... event=... key=value ...` as one write to standard output. Never waits.
void line(level severity, std::string_view event, std::initializer_list<field> fields = {});

/// Lines that standard output did not take at once.
std::uint64_t dropped_line_count();

inline void info(std::string_view event, std::initializer_list<field> fields = {})
{
    line(level::info, event, fields);
}

inline void warning(std::string_view event, std::initializer_list<field> fields = {})
{
    line(level::warning, event, fields);
}

inline void error(std::string_view event, std::initializer_list<field> fields = {})
{
    line(level::error, event, fields);
}

} // namespace limpetlock::log
