/// \file
/// Local settings of one instance, from its settings file. Settings that operators change at run time are in
/// the platform's configuration instead.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::server {

/// An address to listen on, or the address of the platform.
struct listen_address {
    std::string host; ///< IP address in numeric form
    std::uint16_t port{0};

    friend auto operator<=>(const listen_address&, const listen_address&) = default;
};

/// Settings of one instance. Durations are in milliseconds.
struct instance_settings {
    std::string name; ///< name of this instance in the platform's instance list
    std::string failure_domain;
    listen_address caller;
    /// PEM files of the caller listener; both empty for plain HTTP.
    std::string tls_certificate;
    std::string tls_key;
    listen_address admin;
    listen_address peer;     ///< listener for other instances
    listen_address platform; ///< configuration service and instance list
    std::int64_t threads{2}; ///< threads that serve requests
    /// How long the platform's load balancer may still send requests after the instance reports not ready.
    duration balancer_lag{3'000};
    /// Time from the stop signal after which the requests that are still in flight are cut.
    duration stop_timeout{60'000};
    std::string log_level{"info"};

    friend bool operator==(const instance_settings&, const instance_settings&) = default;
};

/// Reads and checks a settings file and applies its log level. On failure, returns nullopt and adds
/// a line for each fault to `errors`.
std::optional<instance_settings> read_settings(const std::string& path, std::vector<std::string>& errors);

/// Returns the text of a settings file that has every key with its unit, range and default.
std::string example_settings();

} // namespace limpetlock::server
