#include "peer_controller.hpp"

#include "peer_messages.hpp"

#include <map>
#include <utility>

namespace limpetlock::server {

using boost::asio::awaitable;
using peer::wire::frame;

namespace {

frame make_received(bool accepted)
{
    peer::wire::received_message it;
    it.accepted = accepted;
    frame out;
    out.__set_received(it);
    return out;
}

} // namespace

struct peer_controller::impl {
    impl(const boost::asio::any_io_executor& executor, const instance_settings& settings,
         std::int64_t incarnation)
        : own_name(settings.name), own_address{settings.peer.host, settings.peer.port},
          messenger(executor, settings.name, incarnation, {settings.peer.host, settings.peer.port},
                    [this](frame it) { return receive(std::move(it)); })
    {
    }

    awaitable<std::optional<frame>> receive(frame it)
    {
        // The messenger listens before the controllers have started. Until then peers get no reply and try
        // again.
        if (!started)
            co_return std::nullopt;
        co_return dispatch(it);
    }

    std::optional<frame> dispatch(const frame& it)
    {
        const peer_identity from{it.sender, it.incarnation};
        handlers.on_frame(from);
        frame out;
        if (it.__isset.heartbeat && !has_list && it.heartbeat.peer_port > 0)
            add_unlisted_peer(from, it.heartbeat);
        if (it.__isset.heartbeat)
            out.__set_heartbeat_ack(to_wire(handlers.on_heartbeat(from, from_wire(it.heartbeat))));
        else if (it.__isset.claim_request)
            out.__set_claim_reply(to_wire(handlers.on_claim(from, from_wire(it.claim_request))));
        else if (it.__isset.config_pull)
            return answer_config_pull(it.config_pull);
        else if (it.__isset.list_pull)
            return answer_list_pull();
        else if (it.__isset.handover_pull)
            return answer_handover_pull(from, it.handover_pull);
        else
            return dispatch_acknowledged(from, it);
        return out;
    }

    /// Dispatches the messages whose only reply is an acknowledgement.
    std::optional<frame> dispatch_acknowledged(const peer_identity& from, const frame& it)
    {
        if (it.__isset.claim_settle) {
            handlers.on_settle(from, from_wire(it.claim_settle));
            return make_received(true);
        }
        if (it.__isset.evidence) {
            handlers.on_evidence(from_wire(it.evidence));
            return make_received(true);
        }
        if (it.__isset.usage) {
            handlers.on_usage(from_wire(it.usage));
            return make_received(true);
        }
        if (it.__isset.handover)
            return make_received(accept_handover(it.handover));
        return std::nullopt;
    }

    std::optional<frame> answer_config_pull(const peer::wire::config_pull_message& it)
    {
        frame out;
        if (const auto version = handlers.on_config_pull(it.after_number))
            out.__set_config_push(to_wire(*version));
        else
            return make_received(false);
        return out;
    }

    /// Adds a peer under the address in its heartbeat. Without an instance list, for example after a start
    /// while the platform is down, no other address of the peer is known.
    void add_unlisted_peer(const peer_identity& from, const peer::wire::heartbeat_message& it)
    {
        messenger.add_peer(from.name, {it.peer_host, static_cast<std::uint16_t>(it.peer_port)});
        handlers.on_unlisted_peer(from);
    }

    std::optional<frame> answer_list_pull() const
    {
        peer::wire::list_push_message push;
        push.body = handlers.on_list_pull();
        if (push.body.empty())
            return make_received(false);
        frame out;
        out.__set_list_push(push);
        return out;
    }

    std::optional<frame> answer_handover_pull(const peer_identity& from,
                                              const peer::wire::handover_pull_message& it)
    {
        const auto parts = to_wire(handlers.on_handover_pull(from, it.owner));
        if (it.part < 0 || static_cast<std::size_t>(it.part) >= parts.size())
            return make_received(false);
        frame out;
        out.__set_handover(parts[static_cast<std::size_t>(it.part)]);
        return out;
    }

    /// Collects the parts of a handover, which arrive in order on one connection. The first part discards an
    /// incomplete handover of the same owner.
    bool accept_handover(const peer::wire::handover_message& it)
    {
        auto& whole = partial_handovers[it.owner];
        if (it.part == 0)
            whole = {};
        else if (it.part != whole.next_part || it.incarnation != whole.records.incarnation)
            return false;
        append_part(whole.records, it);
        ++whole.next_part;
        if (whole.next_part < it.parts)
            return true;
        const bool kept = handlers.on_handover(whole.records);
        partial_handovers.erase(it.owner);
        return kept;
    }

    awaitable<std::optional<frame>> call(std::string to, frame message, time_point deadline)
    {
        peer::call_error error;
        co_return co_await messenger.call(std::move(to), std::move(message), deadline, error);
    }

    /// Sends a message and returns whether the peer acknowledged it as accepted.
    awaitable<bool> send_acknowledged(std::string to, frame message, time_point deadline)
    {
        const auto reply = co_await call(std::move(to), std::move(message), deadline);
        co_return reply && reply->__isset.received && reply->received.accepted;
    }

    struct partial_handover {
        claims::handover records;
        std::int32_t next_part{0};
    };

    std::string own_name;
    peer::address own_address;
    std::atomic<bool> has_list{false};
    peer_handlers handlers;
    std::atomic<bool> started{false};
    std::map<std::string, partial_handover> partial_handovers;
    peer::messenger messenger;
};

peer_controller::peer_controller(const boost::asio::any_io_executor& executor,
                                 const instance_settings& settings, std::int64_t incarnation)
    : impl_(std::make_unique<impl>(executor, settings, incarnation))
{
}

peer_controller::~peer_controller() = default;

void peer_controller::start(peer_handlers handlers)
{
    impl_->handlers = std::move(handlers);
    impl_->started = true;
}

void peer_controller::stop()
{
    impl_->messenger.stop();
}

void peer_controller::set_members(const std::shared_ptr<const membership::snapshot>& members)
{
    std::map<std::string, peer::address> table;
    for (const auto& it : members->entry_instances)
        if (it.name != impl_->own_name && it.peer_port != 0)
            table[it.name] = {it.address, it.peer_port};
    if (members->list_version > 0)
        impl_->has_list = true;
    if (impl_->has_list)
        impl_->messenger.set_peers(std::move(table));
}

awaitable<std::optional<peer_reply<claims::heartbeat_ack>>>
peer_controller::send_heartbeat(std::string to, claims::heartbeat message, time_point deadline)
{
    frame it;
    it.__set_heartbeat(to_wire(message));
    it.heartbeat.peer_host = impl_->own_address.host;
    it.heartbeat.peer_port = impl_->own_address.port;
    const auto reply = co_await impl_->call(std::move(to), std::move(it), deadline);
    if (!reply || !reply->__isset.heartbeat_ack)
        co_return std::nullopt;
    peer_reply<claims::heartbeat_ack> out{{reply->sender, reply->incarnation},
                                          from_wire(reply->heartbeat_ack)};
    co_return out;
}

awaitable<std::optional<claims::claim_reply>>
peer_controller::send_claim_request(std::string to, claims::claim_request message, time_point deadline)
{
    frame it;
    it.__set_claim_request(to_wire(message));
    const auto reply = co_await impl_->call(std::move(to), std::move(it), deadline);
    if (!reply || !reply->__isset.claim_reply)
        co_return std::nullopt;
    co_return from_wire(reply->claim_reply);
}

awaitable<bool> peer_controller::send_settlement(std::string to, claims::claim_settle message,
                                                 time_point deadline)
{
    frame it;
    it.__set_claim_settle(to_wire(message));
    co_return co_await impl_->send_acknowledged(std::move(to), std::move(it), deadline);
}

awaitable<std::optional<config::peer_version>>
peer_controller::pull_config(std::string to, std::int64_t after_number, time_point deadline)
{
    peer::wire::config_pull_message pull;
    pull.after_number = after_number;
    frame it;
    it.__set_config_pull(pull);
    const auto reply = co_await impl_->call(std::move(to), std::move(it), deadline);
    if (!reply || !reply->__isset.config_push)
        co_return std::nullopt;
    co_return from_wire(reply->config_push);
}

awaitable<std::optional<std::string>> peer_controller::pull_list(std::string to, time_point deadline)
{
    frame it;
    it.__set_list_pull({});
    const auto reply = co_await impl_->call(std::move(to), std::move(it), deadline);
    if (!reply || !reply->__isset.list_push)
        co_return std::nullopt;
    co_return reply->list_push.body;
}

awaitable<bool> peer_controller::send_evidence(std::string to,
                                               std::vector<membership::leaving_evidence> items,
                                               time_point deadline)
{
    frame it;
    it.__set_evidence(to_wire(items));
    co_return co_await impl_->send_acknowledged(std::move(to), std::move(it), deadline);
}

awaitable<bool> peer_controller::send_usage(std::string to, std::vector<pool_usage> items,
                                            time_point deadline)
{
    frame it;
    it.__set_usage(to_wire(items));
    co_return co_await impl_->send_acknowledged(std::move(to), std::move(it), deadline);
}

awaitable<bool> peer_controller::hand_over(std::string to, claims::handover records, time_point deadline)
{
    for (auto& part : to_wire(records)) {
        frame it;
        it.__set_handover(part);
        if (!co_await impl_->send_acknowledged(to, std::move(it), deadline))
            co_return false;
    }
    co_return true;
}

awaitable<std::optional<claims::handover>> peer_controller::pull_handover(std::string to, std::string owner,
                                                                          time_point deadline)
{
    claims::handover whole;
    std::int32_t parts = 1;
    for (std::int32_t n = 0; n < parts; ++n) {
        peer::wire::handover_pull_message pull;
        pull.owner = owner;
        pull.part = n;
        frame it;
        it.__set_handover_pull(pull);
        const auto reply = co_await impl_->call(to, std::move(it), deadline);
        if (!reply || !reply->__isset.handover)
            co_return std::nullopt;
        append_part(whole, reply->handover);
        parts = reply->handover.parts;
    }
    co_return whole;
}

peer::messenger_counters peer_controller::counters() const
{
    return impl_->messenger.counters();
}

} // namespace limpetlock::server
