#include <limpetlock/server/settings.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/settings.hpp>

#include <utility>

namespace limpetlock::server {

namespace {

setting string_setting(std::string section, std::string key, std::string help,
                       std::optional<std::string> default_value = {})
{
    return {std::move(section),      std::move(key), setting_type::string, std::move(help), {},
            std::move(default_value)};
}

setting address_setting(std::string section, std::string key, std::string help)
{
    return {std::move(section), std::move(key), setting_type::address, std::move(help), {}, {}};
}

setting milliseconds_setting(std::string section, std::string key, std::string help,
                             std::int64_t default_value, std::int64_t max)
{
    return {std::move(section),
            std::move(key),
            setting_type::milliseconds,
            std::move(help),
            "ms",
            std::to_string(default_value),
            0,
            max};
}

/// Returns the schema of the settings file.
settings_schema make_schema()
{
    constexpr std::int64_t max_threads = 64;
    constexpr std::int64_t max_balancer_lag_ms = 60'000;
    constexpr std::int64_t max_stop_timeout_ms = 600'000;
    const instance_settings defaults;
    return {
        string_setting("instance", "name",
                       "name of this instance in the platform's instance list; a replacement takes it over"),
        string_setting("instance", "failure_domain", "failure domain that this instance runs in"),
        {"instance", "threads", setting_type::integer, "threads that serve requests", "threads",
         std::to_string(defaults.threads), 1, max_threads},
        string_setting("instance", "log_level", "lowest level that is logged: debug, info, warning, error",
                       defaults.log_level),
        address_setting("caller", "listen", "listener for callers, behind the platform's balancer"),
        string_setting("caller", "tls_certificate",
                       "PEM file with the certificate chain; empty for plain HTTP", ""),
        string_setting("caller", "tls_key", "PEM file with the private key of the certificate", ""),
        address_setting("admin", "listen",
                        "listener of the administration API; reachable for operators only"),
        address_setting("peer", "listen", "listener for other instances; reachable for instances only"),
        address_setting("platform", "address", "configuration service and instance list of the platform"),
        milliseconds_setting(
            "stop", "balancer_lag_ms",
            "how long the balancer may go on sending requests after the instance reports not ready",
            defaults.balancer_lag.count(), max_balancer_lag_ms),
        milliseconds_setting("stop", "limit_ms",
                             "requests still in flight this long after the stop signal are cut",
                             defaults.stop_timeout.count(), max_stop_timeout_ms),
    };
}

listen_address to_address(const ip_endpoint& it)
{
    return {it.host, it.port};
}

instance_settings to_settings(const settings& from)
{
    instance_settings out;
    out.name = from.string("instance", "name");
    out.failure_domain = from.string("instance", "failure_domain");
    out.threads = from.integer("instance", "threads");
    out.log_level = from.string("instance", "log_level");
    out.caller = to_address(from.address("caller", "listen"));
    out.admin = to_address(from.address("admin", "listen"));
    out.peer = to_address(from.address("peer", "listen"));
    out.platform = to_address(from.address("platform", "address"));
    out.tls_certificate = from.string("caller", "tls_certificate");
    out.tls_key = from.string("caller", "tls_key");
    out.balancer_lag = from.milliseconds("stop", "balancer_lag_ms");
    out.stop_timeout = from.milliseconds("stop", "limit_ms");
    return out;
}

} // namespace

std::optional<instance_settings> read_settings(const std::string& path, std::vector<std::string>& errors)
{
    settings_reader reader(make_schema());
    const auto values = reader.read_file(path);
    if (!values) {
        for (const auto& it : reader.errors())
            errors.push_back(to_string(it));
        return std::nullopt;
    }
    auto out = to_settings(*values);
    if (out.name.empty() || out.failure_domain.empty()) {
        errors.push_back(path + ": [instance] name and failure_domain must not be empty");
        return std::nullopt;
    }
    if (out.tls_certificate.empty() != out.tls_key.empty()) {
        errors.push_back(path + ": [caller] tls_certificate and tls_key go together");
        return std::nullopt;
    }
    if (!log::set_level(out.log_level)) {
        errors.push_back(path + ": [instance] log_level: must be debug, info, warning or error");
        return std::nullopt;
    }
    return out;
}

std::string example_settings()
{
    return settings_reader(make_schema()).example();
}

} // namespace limpetlock::server
