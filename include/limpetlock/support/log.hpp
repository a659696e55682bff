/// \file
/// Structured log on standard output: one line of key=value pairs for each decision and change of state.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace limpetlock::log {

enum class level { debug, info, warning, error };

/// Key and value of a field. A value that is empty or has white space, double quotes or '=' is written in
/// double quotes.
using field = std::pair<std::string_view, std::string>;

/// Sets the lowest level that is written. The default is info.
void set_level(level lowest);

/// Sets the lowest level by its name. Returns false if the name is unknown.
bool set_level(std::string_view name);

/// Writes `ts=... level=... event=... key=value ...` to standard output in one system call. If standard
/// output isn't ready, the line is dropped instead of blocking the thread.
void line(level severity, std::string_view event, std::initializer_list<field> fields = {});

/// Number of lines dropped because standard output was not ready or the write failed.
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
