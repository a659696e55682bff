/// \file
/// HTTP/1.1 messages as plain values, shared by the server and the client side.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::http {

struct header {
    std::string name;
    std::string value;

    friend bool operator==(const header&, const header&) = default;
};

using header_list = std::vector<header>;

/// Compares names of headers and tokens without case, in ASCII.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// First value of a header, compared without case; nullopt when it is absent.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

struct request {
    std::string method{"GET"};
    std::string target{"/"};
    header_list headers;
    std::string body;
};

struct response {
    int status{200};
    header_list headers;
    std::string body;
};

/// A response with a JSON body.
response json_response(int status, std::string body);

} // namespace limpetlock::http
