/// \file
/// One running instance: all listeners, filters and controllers.
#pragma once

#include <limpetlock/lifecycle/stop_sequence.hpp>
#include <limpetlock/server/settings.hpp>

#include <memory>

namespace limpetlock::server {

class instance {
public:
    /// Binds all listeners. Throws std::runtime_error with the address and reason when one can't be bound.
    explicit instance(instance_settings settings);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves until SIGTERM or SIGINT and then stops in the planned order.
    lifecycle::exit_reason run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::server
