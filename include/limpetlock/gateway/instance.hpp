/// \file
/// A gateway process, which forwards the requests of callers to the platform's endpoints.
#pragma once

#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/gateway/settings.hpp>
#include <limpetlock/lifecycle/stop_sequence.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace limpetlock::gateway {

/// Reads the current settings. Returns nullopt and sets `reason` when they are invalid or can't be read.
using settings_loader = std::function<std::optional<gateway_settings>(std::string& reason)>;

class instance {
public:
    /// Opens the listeners. Throws std::runtime_error when one can't be opened. `reload` is called when the
    /// settings may have changed.
    instance(gateway_settings settings, std::unique_ptr<platform_codec> codec, settings_loader reload);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves until the process received a stop signal and the requests in progress ended or ran out of time.
    lifecycle::exit_reason run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::gateway
