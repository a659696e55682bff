/// \file
/// The components of an instance in the order of their construction. A component refers only to those that
/// are declared before it. instance.cpp connects the handlers of messages from peers and of changes of state.
#pragma once

#include "admission_controller.hpp"
#include "claim_controller.hpp"
#include "config_controller.hpp"
#include "endpoint_table.hpp"
#include "membership_controller.hpp"
#include "peer_controller.hpp"
#include "request_metrics.hpp"
#include "stage_costs.hpp"
#include "stage_runner.hpp"

#include <limpetlock/http/client.hpp>
#include <limpetlock/lifecycle/stop_sequence.hpp>
#include <limpetlock/server/settings.hpp>
#include <limpetlock/support/snapshot_cell.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace limpetlock::server {

struct components {
    /// \param own_incarnation incarnation of this process: the time of its start in ms since 1970.
    components(instance_settings local_settings, std::int64_t own_incarnation);

    /// Read the stop sequence under its mutex.
    lifecycle::stop_state stop_state() const;
    bool accepts_work() const;

    instance_settings settings;
    std::int64_t incarnation;
    time_point started;
    boost::asio::io_context io;
    http::client client;
    snapshot_cell<config::version> in_force; ///< nullptr until a configuration is in force
    snapshot_cell<membership::snapshot> members;
    metrics::registry registry;
    request_metrics requests{registry};
    endpoint_table table;
    stage_costs costs;
    membership_controller membership;
    peer_controller peers;
    config_controller configuration;
    claim_controller claims;
    admission_controller admission;
    stage_runner runner;
    mutable std::mutex stop_mutex; ///< guards stop
    lifecycle::stop_sequence stop;
    std::atomic<std::size_t> in_flight{0}; ///< requests of callers
};

} // namespace limpetlock::server
