/// \file
/// Local settings of one instance. Everything that operators change at run time is in the platform's
/// configuration instead.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::server {

struct listen_address {
    std::string host; ///< IP number
    std::uint16_t port{0};

    friend auto operator<=>(const listen_address&, const listen_address&) = default;
};

struct instance_settings {
    std::string name;
    std::string failure_domain;
    listen_address caller;
    /// PEM files of the caller listener; both empty for plain HTTP.
    std::string tls_certificate;
    std::string tls_key;
    listen_address admin;
    listen_address peer;
    listen_address platform;
    std::int64_t threads{2};
    /// How long the platform's balancer may go on sending requests after the instance reports not ready.
    duration balancer_lag{3'000};
    /// Requests still in flight this long after the stop signal are cut.
    duration stop_timeout{60'000};
    std::string log_level{"info"};

    friend bool operator==(const instance_settings&, const instance_settings&) = default;
};

/// Reads and checks a settings file. On failure `errors` has a line for each fault. The log level takes
/// effect at once.
std::optional<instance_settings> read_settings(const std::string& path, std::vector<std::string>& errors);

/// A settings file with every key, its unit, range and default.
std::string example_settings();

} // namespace limpetlock::server
