/// \file
/// Owns the claim table, the lease and the witness of this instance, exchanges heartbeats, and asks the
/// owners of keys on behalf of requests.
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

/// What the state dump shows of the claims of this instance.
struct claim_status {
    bool is_owner{false};
    bool lease_held{false};
    duration held_for{0};
    bool superseded{false};
    bool sealed{false};
    std::size_t records{0};
    std::size_t witness_entries{0};
    std::size_t kept_handovers{0};
    std::string handover_reason;
    claims::table_counters counters;
};

class claim_controller {
public:
    claim_controller(const boost::asio::any_io_executor& executor, const instance_settings& settings,
                     std::int64_t incarnation, peer_controller& peers);

    void start(config_controller& configuration);
    void stop() { stopped_ = true; }

    /// Takes over the claims section of a configuration.
    void configure(const config::version& version);
    /// Follows the instance list. Once it has shown this process and then shows its name at another address,
    /// the platform has replaced this process, and it grants and vouches no more.
    void set_members(const std::shared_ptr<const membership::snapshot>& members);

    /// Called when this process notices that it was suspended.
    void record_suspension();

    // Messages of peers.
    void on_frame(const peer_identity& from);
    claims::heartbeat_ack on_heartbeat(const peer_identity& from, const claims::heartbeat& message);
    claims::claim_reply on_claim(const claims::claim_request& request);
    void on_settle(const claims::claim_settle& outcome);
    bool on_handover(const claims::handover& records);
    claims::handover on_handover_pull(const peer_identity& from, const std::string& owner);

    /// Asks the owner of the key until it decides or the deadline comes; an attempt that is in progress
    /// elsewhere is waited for. nullopt when no owner answered.
    boost::asio::awaitable<std::optional<claims::claim_reply>> request_claim(claims::claim_request request,
                                                                             time_point deadline);

    /// Brings a settlement to the owner, with retries. To be spawned on its own.
    boost::asio::awaitable<void> settle(claims::claim_settle outcome);

    bool first_attempt_assertion_holds(bool asserted, time_point read_at, time_point asked_at) const;
    std::int64_t claims_number() const;

    /// Stops granting and sends the records to another owner; true when one keeps them or there are none to
    /// keep.
    boost::asio::awaitable<bool> hand_over();

    claim_status status() const;

private:
    /// Everything that depends on the claims section.
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
    claims::heartbeat next_heartbeat(std::vector<std::string>& targets, duration& interval);
    void choose_targets_locked(std::vector<std::string>& targets, time_point now);
    std::string owner_of(const std::string& team, const std::string& key) const;
    bool owns_claims_locked() const;
    void detect_replacement_locked(const std::vector<membership::entry_instance>& entries);

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    std::string name_;
    listen_address own_address_;
    bool seen_in_list_{false};
    std::int64_t incarnation_;
    peer_controller& peers_;
    config_controller* configuration_{nullptr};
    mutable std::mutex mutex_;
    std::unique_ptr<section_state> state_;
    claims::handover_keeper keeper_;
    claims::suspension_detector suspension_detector_;
    std::int64_t config_number_{0};
    std::string config_digest_;
    std::vector<std::string> other_owners_;
    std::vector<std::string> config_report_peers_;
    time_point next_config_report_{};
    time_point last_expiry_{};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> stopped_{false};
};

} // namespace limpetlock::server
