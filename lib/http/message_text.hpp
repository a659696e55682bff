/// \file
/// Formats the headers of HTTP/1.1 messages as they are sent.
#pragma once

#include <limpetlock/http/message.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace limpetlock::http {

/// Properties of an answer that decide its Connection, Content-Length and Transfer-Encoding headers.
struct framing {
    unsigned version{11}; ///< 10 for HTTP/1.0, 11 for HTTP/1.1
    bool keep_alive{true};
    bool chunked{false};
    std::optional<std::size_t> length; ///< Content-Length, in bytes
};

/// Returns the status line, the headers and the empty line after them. Connection, Content-Length and
/// Transfer-Encoding come from the framing; those among the headers are dropped. Throws std::invalid_argument
/// for a status out of range, and for a header that would break the framing of the message.
std::string format_answer_head(int status, const header_list& headers, const framing& frame);

/// Returns the request line, the headers and the empty line after them. Content-Length and Connection are
/// derived from the message, and Host is added if it is absent. Throws std::invalid_argument for a malformed
/// method, target or header.
std::string format_request_head(const request& message, const std::string& host);

/// Returns the line before the data of a chunk of this many bytes.
std::string format_chunk_header(std::size_t size);

bool wants_close(const header_list& headers);

bool expects_continue(const header_list& headers);

/// False for the statuses whose answers have no body (1xx, 204, 304).
bool status_has_body(int status);

} // namespace limpetlock::http
