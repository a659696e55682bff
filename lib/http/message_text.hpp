/// \file
/// Text of message headers as it goes to the socket.
#pragma once

#include <limpetlock/http/message.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace limpetlock::http {

struct framing {
    unsigned version{11}; ///< 10 or 11
    bool keep_alive{true};
    bool chunked{false};
    std::optional<std::size_t> length; ///< Content-Length
};

/// Status line and headers with the closing empty line. Connection, Content-Length and Transfer-Encoding come
/// from the framing and not from the headers. Throws std::invalid_argument for a header that would break the
/// message apart.
std::string format_answer_head(int status, const header_list& headers, const framing& frame);

/// Request line and headers; the same rules. Host is added when it is absent.
std::string format_request_head(const request& message, const std::string& host);

std::string format_chunk_header(std::size_t size);

bool wants_close(const header_list& headers);

bool expects_continue(const header_list& headers);

/// False for the statuses that end after their header (1xx, 204, 304).
bool status_has_body(int status);

} // namespace limpetlock::http
