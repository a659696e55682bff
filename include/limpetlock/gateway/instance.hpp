/// \file
/// A gateway process: callers on one side, the platform's endpoints and published state on the other.
#pragma once

#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/gateway/settings.hpp>
#include <limpetlock/lifecycle/stop_sequence.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace limpetlock::gateway {

/// Reads the settings again after a change; nullopt with a reason when they can't be used.
using settings_loader = std::function<std::optional<gateway_settings>(std::string& reason)>;

class instance {
public:
    /// Throws std::runtime_error when a listener can't be opened.
    instance(gateway_settings settings, std::unique_ptr<platform_codec> codec, settings_loader reload);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves until a stop signal and the end of the requests in progress.
    lifecycle::exit_reason run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::gateway
