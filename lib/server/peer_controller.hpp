/// \file
/// Typed calls for the messages between instances: heartbeats, claims, configuration, instance list,
/// evidence, usage and handover.
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

/// The process that sent a message.
struct peer_identity {
    std::string name;
    std::int64_t incarnation{0};
};

/// Handlers of the other controllers for received messages. Each is called on the messenger's strand.
/// Handlers of requests return the content of the reply.
struct peer_handlers {
    /// Called for each frame, before the handler of its message.
    std::function<void(const peer_identity&)> on_frame;
    std::function<claims::heartbeat_ack(const peer_identity&, const claims::heartbeat&)> on_heartbeat;
    std::function<claims::claim_reply(const peer_identity&, const claims::claim_request&)> on_claim;
    std::function<void(const peer_identity&, const claims::claim_settle&)> on_settle;
    /// Returns the version in force if its number is larger than `after_number`.
    std::function<std::optional<config::peer_version>(std::int64_t after_number)> on_config_pull;
    std::function<void(const std::vector<membership::leaving_evidence>&)> on_evidence;
    std::function<void(const std::vector<pool_usage>&)> on_usage;
    /// Returns whether this instance keeps the records.
    std::function<bool(const claims::handover&)> on_handover;
    std::function<claims::handover(const peer_identity&, const std::string& owner)> on_handover_pull;
    /// Returns the instance list as the platform sent it; empty if there is none.
    std::function<std::string()> on_list_pull;
    /// Called for a heartbeat that arrives while this instance has no instance list.
    std::function<void(const peer_identity&)> on_unlisted_peer;
};

/// A reply and the process that sent it.
template <typename T>
struct peer_reply {
    peer_identity from;
    T value;
};

/// Sends messages to peers, identified by their names, and dispatches received ones to the handlers. Each
/// call is sent at most once and waits for the reply until its deadline. It returns nullopt or false if there
/// is no reply or if the peer does not accept the message.
class peer_controller {
public:
    /// Binds the listener for peers. Throws std::runtime_error if the address can't be bound.
    peer_controller(const boost::asio::any_io_executor& executor, const instance_settings& settings,
                    std::int64_t incarnation);
    ~peer_controller();
    peer_controller(const peer_controller&) = delete;
    peer_controller& operator=(const peer_controller&) = delete;

    /// Starts to dispatch received messages. Requests that arrive earlier get no reply.
    void start(peer_handlers handlers);
    void stop();
    /// Updates the addresses of the peers from the instance list.
    void set_members(const std::shared_ptr<const membership::snapshot>& members);

    boost::asio::awaitable<std::optional<peer_reply<claims::heartbeat_ack>>>
    send_heartbeat(std::string to, claims::heartbeat message, time_point deadline);
    boost::asio::awaitable<std::optional<claims::claim_reply>>
    send_claim_request(std::string to, claims::claim_request message, time_point deadline);
    boost::asio::awaitable<bool> send_settlement(std::string to, claims::claim_settle message,
                                                 time_point deadline);
    /// Returns the peer's version of the configuration if its number is larger than `after_number`.
    boost::asio::awaitable<std::optional<config::peer_version>>
    pull_config(std::string to, std::int64_t after_number, time_point deadline);
    /// Returns the text of the peer's instance list; nullopt if it has none.
    boost::asio::awaitable<std::optional<std::string>> pull_list(std::string to, time_point deadline);
    boost::asio::awaitable<bool>
    send_evidence(std::string to, std::vector<membership::leaving_evidence> items, time_point deadline);
    boost::asio::awaitable<bool> send_usage(std::string to, std::vector<pool_usage> items,
                                            time_point deadline);
    /// Sends the claim records in parts. Returns whether the peer keeps all of them.
    boost::asio::awaitable<bool> hand_over(std::string to, claims::handover records, time_point deadline);
    /// Returns the peer's reply to a handover pull for the records of `owner`, with all its parts.
    boost::asio::awaitable<std::optional<claims::handover>> pull_handover(std::string to, std::string owner,
                                                                          time_point deadline);

    peer::messenger_counters counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::server
