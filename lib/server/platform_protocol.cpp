#include "platform_protocol.hpp"

#include <limpetlock/support/untrusted_json.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace limpetlock::server {

using nlohmann::json;

namespace {

std::optional<std::string> string_member(const json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

/// Returns 0 if the member is absent, nullopt if it is no valid port.
std::optional<std::uint16_t> port_member(const json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end())
        return std::uint16_t{0};
    if (!it->is_number_integer())
        return std::nullopt;
    const auto n = it->get<std::int64_t>();
    if (n < 0 || n > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return static_cast<std::uint16_t>(n);
}

std::optional<membership::listed_instance> read_instance(const json& it)
{
    if (!it.is_object())
        return std::nullopt;
    const auto name = string_member(it, "name");
    const auto pool = string_member(it, "pool");
    const auto address = string_member(it, "address");
    const auto domain = string_member(it, "failure_domain");
    const auto state = string_member(it, "state");
    const auto port = port_member(it, "port");
    const auto peer_port = port_member(it, "peer_port");
    if (!name || !pool || !address || !domain || !state || !port || !peer_port)
        return std::nullopt;
    if (*state != "live" && *state != "leaving")
        return std::nullopt;
    return membership::listed_instance{*name,      *pool,   *address,           *port,
                                       *peer_port, *domain, *state == "leaving"};
}

} // namespace

std::string instance_list_target(std::int64_t after, duration wait)
{
    return fmt::format("/v1/instances?after={}&wait_ms={}", after, wait.count());
}

std::optional<membership::instance_list> read_instance_list(std::string_view body, std::string& reason)
{
    const auto object = parse_untrusted_json(body);
    if (!object.is_object() || !object.contains("version") || !object["version"].is_number_integer() ||
        !object.contains("instances") || !object["instances"].is_array()) {
        reason = "the instance list is no object with 'version' and 'instances'";
        return std::nullopt;
    }
    membership::instance_list out;
    out.version = object["version"].get<std::int64_t>();
    for (const auto& it : object["instances"]) {
        auto read = read_instance(it);
        if (!read) {
            reason = fmt::format("instance {} of the list is malformed", out.instances.size());
            return std::nullopt;
        }
        out.instances.push_back(std::move(*read));
    }
    return out;
}

} // namespace limpetlock::server
