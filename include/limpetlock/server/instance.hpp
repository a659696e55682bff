/// \file
/// A running instance with its listeners, request filters and controllers.
#pragma once

#include <limpetlock/lifecycle/stop_sequence.hpp>
#include <limpetlock/server/settings.hpp>

#include <memory>

namespace limpetlock::server {

class instance {
public:
    /// Binds all listeners. Throws std::runtime_error with the address and the reason if one can't be bound.
    explicit instance(instance_settings settings);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves until SIGTERM or SIGINT, then stops as lifecycle::stop_sequence prescribes. A second signal
    /// cuts the requests in flight.
    lifecycle::exit_reason run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::server
