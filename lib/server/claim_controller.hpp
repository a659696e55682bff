/// \file
/// Owns the claim table, the lease and the witness of this instance, exchanges heartbeats with its peers, and
/// requests claims from the owners of keys for the request path.
#pragma once

#include "config_controller.hpp"
#include "peer_controller.hpp"

#include <limpetlock/claims/handover.hpp>
#include <limpetlock/claims/holder.hpp>
#include <limpetlock/claims/lease.hpp>
#include <limpetlock/claims/table.hpp>
#include <limpetlock/claims/witness.hpp>
#include <limpetlock/config/fold.hpp>
#include <limpetlock/membership/view.hpp>
#include <limpetlock/server/settings.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::server {

/// State of the claims of this instance, for the state dump and the metrics page.
struct claim_status {
    bool is_owner{false};
    bool lease_held{false};
    duration held_for{0}; ///< time since the start of the lease in ms; 0 if it is not held
    bool superseded{false};
    bool sealed{false};
    std::size_t records{0};         ///< records in the claim table
    std::size_t witness_entries{0}; ///< processes whose incarnations the witness tracks
    std::size_t kept_handovers{0};  ///< stopped owners whose records this instance keeps
    std::string handover_reason;    ///< why the records of the predecessor are accepted or not
    claims::table_counters counters;
};

/// Runs the claim protocol of this instance. Safe for use from any thread.
class claim_controller {
public:
    claim_controller(const boost::asio::any_io_executor& executor, const instance_settings& settings,
                     std::int64_t incarnation, peer_controller& peers);

    /// Starts the heartbeats and the import of a handover. The handlers for messages need `configuration`,
    /// so call this before the first message arrives.
    void start(config_controller& configuration);
    void stop() { stopped_ = true; }

    /// Puts the claims section of a configuration in force.
    void configure(const config::version& version);
    /// Updates the peers from the instance list. A list that shows the name of this process at another
    /// address, after one that showed it at its own, means that the platform has replaced this process: it
    /// stops granting claims and supporting leases for good.
    void set_members(const std::shared_ptr<const membership::snapshot>& members);

    /// Records that this process was suspended until now.
    void record_suspension();

    // Handlers for messages from peers.

    /// Records the incarnation of the sender of any frame. A newer incarnation of this instance's own name
    /// ends its lease and its support for good.
    void on_frame(const peer_identity& from);
    claims::heartbeat_ack on_heartbeat(const peer_identity& from, const claims::heartbeat& message);
    claims::claim_reply on_claim(const claims::claim_request& request);
    void on_settle(const claims::claim_settle& outcome);
    /// Returns whether this instance keeps the records.
    bool on_handover(const claims::handover& records);
    claims::handover on_handover_pull(const peer_identity& from, const std::string& owner);

    /// Requests the claim from the owner of the key until the owner decides or the deadline passes, and waits
    /// for an attempt that is in progress elsewhere. Returns the last reply; nullopt if no owner replied.
    boost::asio::awaitable<std::optional<claims::claim_reply>> request_claim(claims::claim_request request,
                                                                             time_point deadline);

    /// Sends a settlement to the owner of the key, with retries for up to 8 s. Spawn it as a coroutine of its
    /// own, so that the response to the caller does not wait for it.
    boost::asio::awaitable<void> settle(claims::claim_settle outcome);

    /// Whether the caller's assertion that this is the first attempt for its key may be used.
    /// \param read_at when the request was read from the caller.
    /// \param requested_at when the claim is requested from the owner.
    bool first_attempt_assertion_holds(bool asserted, time_point read_at, time_point requested_at) const;
    /// Number of the claims section in force; 0 without a configuration.
    std::int64_t claims_number() const;

    /// Stops granting claims and sends the records to another owner. Returns true if one keeps them or if
    /// there are none to keep.
    boost::asio::awaitable<bool> hand_over();

    claim_status status() const;

private:
    /// Objects that depend on the claims section of the configuration.
    struct section_state {
        section_state(const std::string& name, std::int64_t incarnation,
                      const claims::claims_section& section, time_point now);

        claims::owner_map map;
        claims::lease lease;
        claims::witness witness;
        claims::table table;
        claims::handover_collector collector;
    };

    boost::asio::awaitable<void> heartbeat_loop();
    boost::asio::awaitable<void> exchange_heartbeat(std::string to, claims::heartbeat message);
    boost::asio::awaitable<void> import_handover();
    boost::asio::awaitable<std::optional<claims::claim_reply>>
    request_claim_once(std::string owner, claims::claim_request request, time_point deadline);
    /// Returns the next heartbeat, its receivers and the time until the one after it.
    claims::heartbeat next_heartbeat(std::vector<std::string>& targets, duration& interval);
    void choose_targets_locked(std::vector<std::string>& targets, time_point now);
    std::string owner_of(const std::string& team, const std::string& key) const;
    bool owns_claims_locked() const;
    void detect_replacement_locked(const std::vector<membership::entry_instance>& entries);

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    std::string name_;
    listen_address own_address_;
    bool seen_in_list_{false}; ///< a list has shown this process at its own address
    std::int64_t incarnation_;
    peer_controller& peers_;
    config_controller* configuration_{nullptr};
    mutable std::mutex mutex_;
    std::unique_ptr<section_state> state_; ///< nullptr until a configuration is in force
    claims::handover_keeper keeper_;
    suspension_detector suspension_detector_;
    std::int64_t config_number_{0};
    std::string config_digest_;
    std::vector<std::string> other_owners_; ///< empty if this instance is no owner
    std::vector<std::string> config_report_peers_;
    time_point next_config_report_{};
    time_point last_expiry_{};
    std::atomic<bool> stopping_{false}; ///< hand_over() was called
    std::atomic<bool> stopped_{false};
};

} // namespace limpetlock::server
