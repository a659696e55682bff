#include <limpetlock/http/message.hpp>

#include <boost/algorithm/string/predicate.hpp>

#include <utility>

namespace limpetlock::http {

std::optional<std::string_view> find(const header_list& headers, std::string_view name)
{
    for (const auto& it : headers)
        if (boost::algorithm::iequals(it.name, name))
            return it.value;
    return std::nullopt;
}

response json_response(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace limpetlock::http
