/// \file
/// Splits a stream of server-sent events at the boundaries of events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::gateway {

/// Buffers the bytes of a stream until an event with a new id is complete. The bytes themselves are
/// unchanged. Events without a new id, such as comments, are held back until one follows or the stream ends.
class event_framing {
public:
    /// Adds bytes and returns the complete events up to the last one with a new id; the rest stays buffered.
    std::string feed(std::string_view bytes);

    /// Whether an endpoint that was to continue the stream sent an event that had already come, so its bytes
    /// belong to another run. They are not returned.
    bool repeats() const { return repeats_; }

    /// Number of buffered bytes of an incomplete event.
    std::size_t pending() const { return buffer_.size() - complete_; }

    /// Number of all buffered bytes.
    std::size_t buffered() const { return buffer_.size(); }

    /// Returns and removes the complete events that are held back.
    std::string take_complete();

    /// Discards the buffered bytes, since another endpoint continues the stream after the last event with an
    /// id.
    void discard_pending();

    /// Id of the last complete event with a numeric id.
    std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }

private:
    void parse_line(std::string_view line);

    std::string buffer_;
    bool repeats_{false};
    std::optional<std::uint64_t> continued_after_; ///< last id before the endpoint that sends now
    std::size_t complete_{0};                      ///< end of the last complete event
    std::size_t scanned_{0};                       ///< start of the first line that isn't parsed yet
    std::optional<std::uint64_t> event_id_;        ///< of the incomplete event
    std::optional<std::uint64_t> last_event_id_;
};

} // namespace limpetlock::gateway
