/// \file
/// Incremental parser for server-sent events (text/event-stream).
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::http {

struct event {
    std::string name; ///< value of the "event" field; empty if there is none
    std::string data; ///< values of the "data" fields, joined by LF

    friend bool operator==(const event&, const event&) = default;
};

/// Lines end with CR, LF or CRLF, and an empty line ends an event. Comments and unknown fields are ignored.
/// An event without a data field is dropped, and so is one that the end of the stream cuts.
class event_parser {
public:
    /// max_bytes bounds the memory of one unfinished event: its data and its current line.
    explicit event_parser(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Parses the next bytes, which may begin and end anywhere in an event. Returns false once an event
    /// exceeds max_bytes; from then on all further bytes are ignored.
    bool feed(std::string_view bytes);

    /// Removes and returns the oldest complete event.
    std::optional<event> next();

    /// True if no complete event waits.
    bool empty() const { return ready_.empty(); }

private:
    void parse_line();
    void parse_field(std::string_view name, std::string_view value);
    void dispatch();

    std::size_t max_bytes_;
    std::string line_;
    std::string name_;
    std::string data_;
    std::deque<event> ready_;
    bool has_data_{false};
    bool after_cr_{false};
    bool first_line_{true};
    bool overflow_{false};
};

} // namespace limpetlock::http
