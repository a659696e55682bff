/// \file
/// Owns the configuration in force: reads it from the platform's configuration service, pulls newer versions
/// from peers and publishes snapshots.
#pragma once

#include "peer_controller.hpp"

#include <limpetlock/config/fold.hpp>
#include <limpetlock/config/sync.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/membership/view.hpp>
#include <limpetlock/server/settings.hpp>
#include <limpetlock/support/snapshot_cell.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace limpetlock::server {

/// Executes the commands of a config::synchronizer. Safe for use from any thread.
class config_controller {
public:
    /// Called on the controller's strand when another version comes into force.
    using change_handler = std::function<void(const std::shared_ptr<const config::version>&)>;

    config_controller(const boost::asio::any_io_executor& executor, const instance_settings& settings,
                      std::int64_t incarnation, http::client& client, peer_controller& peers,
                      snapshot_cell<config::version>& in_force);

    void start(change_handler on_change);
    void stop() { stopped_ = true; }

    /// Records the number and digest in force at a peer, as received in a heartbeat or its acknowledgement.
    void record_peer_report(std::string peer, std::int64_t number, std::string digest);

    /// Updates the instances of the synchronizer, which choose the watchers of the service.
    void set_members(const std::shared_ptr<const membership::snapshot>& members);

    /// Whether a configuration is in force and no peer was ahead of it when this was first decided; see
    /// config::synchronizer. Once true, it stays true.
    bool ready() const { return ready_; }
    /// Whether a peer has other content under the same number.
    bool diverged() const;
    /// Returns the result that publishing `patch` for version `base` would have. Changes nothing.
    config::check_result check(std::int64_t base, std::string_view patch) const;
    std::deque<config::outcome> outcomes() const;
    config::sync_counters counters() const;
    /// Returns the number of outcomes with this verdict.
    std::int64_t count(config::verdict it) const;
    /// Returns the revision up to which published entries are applied.
    std::int64_t revision() const;

private:
    boost::asio::awaitable<void> decide_loop();
    boost::asio::awaitable<void> read(config::read_command command);
    boost::asio::awaitable<void> pull(config::pull_command command);
    void apply_reply(const config::read_command& command, const config::service_reply& reply);
    void log_outcome(const config::outcome& it);
    void publish_if_changed();
    /// Ends the wait of decide_loop(), so that it executes the next decision at once.
    void request_decision() { timer_.cancel(); }

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    const instance_settings& settings_;
    http::client& client_;
    peer_controller& peers_;
    snapshot_cell<config::version>& in_force_;
    change_handler on_change_;
    boost::asio::steady_timer timer_;
    /// Guards fold_ and sync_. They change only on the strand, but the admin API reads them from other
    /// threads.
    mutable std::mutex mutex_;
    config::fold fold_;
    config::synchronizer sync_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> stopped_{false};
};

} // namespace limpetlock::server
