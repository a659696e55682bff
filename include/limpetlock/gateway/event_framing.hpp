/// \file
/// Cuts a stream of server-sent events at the ends of events, without changing its bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::gateway {

class event_framing {
public:
    /// Adds bytes and returns those of the events that are whole now.
    std::string feed(std::string_view bytes);

    /// Bytes of an event that is not whole yet.
    std::size_t pending() const { return buffer_.size(); }

    /// Drops the pending bytes; the stream goes on with another source.
    void discard_pending();

    /// Id of the last whole event that had a numeric one.
    std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

private:
    void parse_line(std::string_view line);

    std::string buffer_;
    std::size_t scanned_{0}; ///< start of the first line that was not looked at
    std::optional<std::uint64_t> event_id_;
    std::optional<std::uint64_t> last_event_id_;
};

} // namespace limpetlock::gateway
