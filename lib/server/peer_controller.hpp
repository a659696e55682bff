/// \file
/// The messages between instances as typed calls: heartbeats, claims, configuration, evidence, usage and
/// handover.
#pragma once

#include "pool_usage.hpp"

#include <limpetlock/claims/messages.hpp>
#include <limpetlock/config/fold.hpp>
#include <limpetlock/membership/view.hpp>
#include <limpetlock/peer/messenger.hpp>
#include <limpetlock/server/settings.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::server {

/// Who sent a message.
struct peer_identity {
    std::string name;
    std::int64_t incarnation{0};
};

/// What the other controllers do with a message. Each is called on the peer node's strand.
struct peer_handlers {
    std::function<void(const peer_identity&)> on_frame;
    std::function<claims::heartbeat_ack(const peer_identity&, const claims::heartbeat&)> on_heartbeat;
    std::function<claims::claim_reply(const peer_identity&, const claims::claim_request&)> on_claim;
    std::function<void(const peer_identity&, const claims::claim_settle&)> on_settle;
    std::function<std::optional<config::peer_version>(std::int64_t after_number)> on_config_pull;
    std::function<void(const std::vector<membership::leaving_evidence>&)> on_evidence;
    std::function<void(const std::vector<pool_usage>&)> on_usage;
    std::function<bool(const claims::handover&)> on_handover;
    std::function<claims::handover(const peer_identity&, const std::string& owner)> on_handover_pull;
    /// The instance list as the platform gave it; empty when there is none.
    std::function<std::string()> on_list_pull;
    /// A heartbeat came from an instance that this one can't find in a list.
    std::function<void(const peer_identity&)> on_unlisted_peer;
};

template <typename T>
struct peer_reply {
    peer_identity from;
    T value;
};

class peer_controller {
public:
    peer_controller(const boost::asio::any_io_executor& executor, const instance_settings& settings,
                    std::int64_t incarnation);
    ~peer_controller();
    peer_controller(const peer_controller&) = delete;
    peer_controller& operator=(const peer_controller&) = delete;

    void start(peer_handlers handlers);
    void stop();
    void set_members(const std::shared_ptr<const membership::snapshot>& members);

    boost::asio::awaitable<std::optional<peer_reply<claims::heartbeat_ack>>>
    heartbeat(std::string to, claims::heartbeat message, time_point deadline);
    boost::asio::awaitable<std::optional<claims::claim_reply>>
    claim(std::string to, claims::claim_request message, time_point deadline);
    boost::asio::awaitable<bool> settle(std::string to, claims::claim_settle message, time_point deadline);
    boost::asio::awaitable<std::optional<config::peer_version>>
    pull_config(std::string to, std::int64_t after_number, time_point deadline);
    /// The peer's instance list; nullopt when it has none.
    boost::asio::awaitable<std::optional<std::string>> pull_list(std::string to, time_point deadline);
    boost::asio::awaitable<bool>
    send_evidence(std::string to, std::vector<membership::leaving_evidence> items, time_point deadline);
    boost::asio::awaitable<bool> send_usage(std::string to, std::vector<pool_usage> items,
                                            time_point deadline);
    boost::asio::awaitable<bool> hand_over(std::string to, claims::handover records, time_point deadline);
    boost::asio::awaitable<std::optional<claims::handover>> pull_handover(std::string to, std::string owner,
                                                                          time_point deadline);

    peer::messenger_counters counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::server
