#include <limpetlock/http/message.hpp>

#include <boost/beast/core/string.hpp>

#include <utility>

namespace limpetlock::http {

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return boost::beast::iequals(a, b);
}

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name)
{
    for (const auto& it : headers)
        if (equals_ignoring_case(it.name, name))
            return it.value;
    return std::nullopt;
}

response json_response(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace limpetlock::http
