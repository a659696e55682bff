#include "message_text.hpp"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <string_view>

namespace limpetlock::http {

namespace {

std::string_view reason_phrase(int status)
{
    return boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
}

bool is_token_char(char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           others.find(c) != std::string_view::npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_header_value(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool is_request_target(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

bool is_framing_header(std::string_view name)
{
    return equals_ignoring_case(name, "Connection") || equals_ignoring_case(name, "Content-Length") ||
           equals_ignoring_case(name, "Transfer-Encoding");
}

void append_headers(fmt::memory_buffer& buf, const header_list& headers)
{
    for (const auto& it : headers) {
        if (!is_token(it.name) || !is_header_value(it.value))
            throw std::invalid_argument("malformed header " + it.name);
        if (is_framing_header(it.name))
            continue;
        buf.append(it.name);
        buf.append(std::string_view(": "));
        buf.append(it.value);
        buf.append(std::string_view("\r\n"));
    }
}

} // namespace

std::string format_answer_head(int status, const header_list& headers, const framing& frame)
{
    if (status < 200 || status > 599)
        throw std::invalid_argument("status out of range: " + std::to_string(status));
    fmt::memory_buffer buf;
    const auto out = std::back_inserter(buf);
    fmt::format_to(out, "HTTP/1.{} {} {}\r\n", frame.version == 10 ? 0 : 1, status, reason_phrase(status));
    append_headers(buf, headers);
    if (frame.chunked)
        buf.append(std::string_view("Transfer-Encoding: chunked\r\n"));
    else if (frame.length && status != 204)
        fmt::format_to(out, "Content-Length: {}\r\n", *frame.length);
    if (!frame.keep_alive)
        buf.append(std::string_view("Connection: close\r\n"));
    else if (frame.version == 10)
        buf.append(std::string_view("Connection: keep-alive\r\n"));
    buf.append(std::string_view("\r\n"));
    return fmt::to_string(buf);
}

std::string format_request_head(const request& message, const std::string& host)
{
    if (!is_token(message.method) || !is_request_target(message.target))
        throw std::invalid_argument("malformed method or target");
    fmt::memory_buffer buf;
    const auto out = std::back_inserter(buf);
    fmt::format_to(out, "{} {} HTTP/1.1\r\n", message.method, message.target);
    if (!find_header(message.headers, "Host"))
        fmt::format_to(out, "Host: {}\r\n", host);
    append_headers(buf, message.headers);
    if (!message.body.empty() || (message.method != "GET" && message.method != "HEAD"))
        fmt::format_to(out, "Content-Length: {}\r\n", message.body.size());
    if (wants_close(message.headers))
        buf.append(std::string_view("Connection: close\r\n"));
    buf.append(std::string_view("\r\n"));
    return fmt::to_string(buf);
}

std::string format_chunk_header(std::size_t size)
{
    return fmt::format("{:x}\r\n", size);
}

bool wants_close(const header_list& headers)
{
    const auto it = find_header(headers, "Connection");
    return it && equals_ignoring_case(*it, "close");
}

bool expects_continue(const header_list& headers)
{
    const auto it = find_header(headers, "Expect");
    return it && equals_ignoring_case(*it, "100-continue");
}

bool status_has_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

} // namespace limpetlock::http
