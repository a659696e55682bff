/// \file
/// Parser for server-sent events (text/event-stream), fed with any cut of the bytes.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::http {

struct event {
    std::string name; ///< empty when the event has no "event" line
    std::string data; ///< data lines joined by LF

    friend bool operator==(const event&, const event&) = default;
};

/// Lines end with CR, LF or CRLF; an empty line ends an event; comments and unknown fields are ignored; an
/// event without data is dropped, and so is one that the stream cuts.
class event_parser {
public:
    /// max_bytes bounds one event (its line and its data).
    explicit event_parser(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// False once an event is larger than the bound; the parser takes nothing more then.
    bool feed(std::string_view bytes);

    std::optional<event> next();

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
