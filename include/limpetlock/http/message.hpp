/// \file
/// HTTP/1.1 messages as plain values, for the server and the client.
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

/// Compares ASCII text without regard to case, as HTTP compares header names and tokens.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Returns the value of the first header with this name, without regard to case, or nullopt if there is none.
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

/// Makes a response with a JSON body.
response json_response(int status, std::string body);

} // namespace limpetlock::http
