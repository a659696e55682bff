/// \file
/// Connections between instances: requests with replies and one-way messages over one TCP connection per
/// peer.
#pragma once

#include <limpetlock/peer/codec.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace limpetlock::peer {

struct address {
    std::string host; ///< IP number
    std::uint16_t port{0};

    friend auto operator<=>(const address&, const address&) = default; // NOLINT(modernize-use-nullptr)
};

enum class errc { none, unknown_peer, connection_refused, closed, timeout };

/// sent is false only when provably no byte of the message reached a socket.
struct call_error {
    errc code{errc::none};
    std::string reason;
    bool sent{false};
};

/// Numbers of the node since its start, for metrics and the state dump.
struct messenger_counters {
    std::uint64_t frames_received{0};
    std::uint64_t frames_sent{0};
    std::uint64_t bytes_received{0};
    std::uint64_t bytes_sent{0};
    std::uint64_t malformed{0};
    std::uint64_t old_incarnation{0};
    std::uint64_t late_replies{0};
};

/// The node's answer to a received message; nullopt when the message has no reply.
using message_handler = std::function<boost::asio::awaitable<std::optional<wire::frame>>(wire::frame)>;

/// Sends and receives frames. Sender, incarnation and correlation are filled in here. A frame of an
/// incarnation lower than the highest seen for its sender is dropped, so that messages of a former life
/// change nothing. Safe for use from any thread.
class messenger {
public:
    /// Throws std::runtime_error when the address can't be bound.
    messenger(const boost::asio::any_io_executor& executor, std::string name, std::int64_t incarnation,
              const address& listen, message_handler handle);
    ~messenger();
    messenger(const messenger&) = delete;
    messenger& operator=(const messenger&) = delete;

    std::uint16_t port() const;

    /// Replaces the table of peers. Connections to addresses that are gone are closed.
    void set_peers(std::map<std::string, address> peers);

    /// Adds one peer, for an instance that has no list yet. set_peers() replaces it.
    void add_peer(std::string name, address where);

    /// Sends a request and waits for its reply. At most once: it is never sent a second time.
    boost::asio::awaitable<std::optional<wire::frame>> call(std::string to, wire::frame message,
                                                            time_point deadline, call_error& error);

    messenger_counters counters() const;

    /// Highest incarnation seen per sender.
    std::map<std::string, std::int64_t> incarnations() const;

    void stop();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::peer
