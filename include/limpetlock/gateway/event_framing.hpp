/// \file
/// Splits a stream of server-sent events at the boundaries of events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::gateway {

/// Buffers the bytes of a stream until an event is complete. The bytes themselves are unchanged.
class event_framing {
public:
    /// Adds bytes and returns all complete events; the rest stays buffered.
    std::string feed(std::string_view bytes);

    /// Number of buffered bytes of an incomplete event.
    std::size_t pending() const { return buffer_.size(); }

    /// Discards the buffered bytes, since another endpoint continues the stream after the last complete
    /// event.
    void discard_pending();

    /// Id of the last complete event with a numeric id.
    std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

private:
    void parse_line(std::string_view line);

    std::string buffer_;
    std::size_t scanned_{0};                ///< start of the first line that isn't parsed yet
    std::optional<std::uint64_t> event_id_; ///< of the incomplete event
    std::optional<std::uint64_t> last_event_id_;
};

} // namespace limpetlock::gateway
