#include <limpetlock/support/log.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <iterator>

namespace limpetlock::log {

namespace {

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

std::atomic<level> lowest_level{level::info};
std::atomic<std::uint64_t> dropped_lines{0};

bool needs_quotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void append_value(fmt::memory_buffer& buf, std::string_view text)
{
    if (!needs_quotes(text)) {
        buf.append(text);
        return;
    }
    buf.push_back('"');
    for (const char c : text) {
        if (c == '"' || c == '\\')
            buf.push_back('\\');
        buf.push_back(c == '\n' || c == '\r' ? ' ' : c);
    }
    buf.push_back('"');
}

/// Writes a line without blocking: if standard output isn't ready, the line is dropped and counted. A line of
/// up to PIPE_BUF bytes goes to a pipe whole or not at all.
void write_line(std::string_view text)
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    const bool writable = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
    if (!writable || write(STDOUT_FILENO, text.data(), text.size()) < 0)
        dropped_lines.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

std::uint64_t dropped_line_count()
{
    return dropped_lines.load(std::memory_order_relaxed);
}

void set_level(level lowest)
{
    lowest_level = lowest;
}

bool set_level(std::string_view name)
{
    for (std::size_t n = 0; n < level_names.size(); ++n) {
        if (level_names[n] != name)
            continue;
        lowest_level = static_cast<level>(n);
        return true;
    }
    return false;
}

void line(level severity, std::string_view event, std::initializer_list<field> fields)
{
    if (severity < lowest_level.load(std::memory_order_relaxed))
        return;
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto ms = now.time_since_epoch().count() % 1000;
    fmt::memory_buffer buf;
    fmt::format_to(std::back_inserter(buf), "ts={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms,
                   level_names[static_cast<std::size_t>(severity)], event);
    for (const auto& [key, value] : fields) {
        buf.push_back(' ');
        buf.append(key);
        buf.push_back('=');
        append_value(buf, value);
    }
    buf.push_back('\n');
    write_line(std::string_view(buf.data(), buf.size()));
}

} // namespace limpetlock::log
