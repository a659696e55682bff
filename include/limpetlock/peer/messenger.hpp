/// \file
/// Messages between instances: requests and their replies over one TCP connection to each peer.
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
    std::string host; ///< IP address
    std::uint16_t port{0};

    friend auto operator<=>(const address&, const address&) = default; // NOLINT(modernize-use-nullptr)
};

enum class errc {
    none,
    unknown_peer,
    connection_refused,
    closed,
    timeout,
    not_sent ///< the deadline passed in this process before the message could be sent
};

/// Why a call ended without a reply.
struct call_error {
    errc code{errc::none};
    std::string reason;
    bool sent{false}; ///< false only if no byte of the message reached a socket; true if the peer may have it
    /// Bytes of the peer arrived during the call and, with a bound, within the last max_silence; some may not
    /// have been read yet.
    bool heard{false};
};

/// Counts since the start of the messenger, for metrics and the state dump.
struct messenger_counters {
    std::uint64_t frames_received{0};
    std::uint64_t frames_sent{0};
    std::uint64_t bytes_received{0};
    std::uint64_t bytes_sent{0};
    std::uint64_t malformed{0};       ///< frames that could not be decoded; each closes its connection
    std::uint64_t old_incarnation{0}; ///< frames of an earlier incarnation of their sender, which are dropped
    std::uint64_t late_replies{0};    ///< replies to calls that had ended
    std::uint64_t waiting_bytes{0};   ///< that waited for the network at the last measure_waiting_bytes
};

/// When a call ends without a reply.
struct call_limits {
    time_point deadline{};
    /// The call ends before the deadline if nothing of the peer arrives for this long.
    duration max_silence{duration::max()};
};

/// Handles a received message. Returns the reply, or nullopt if the message has none. Runs on the messenger's
/// strand.
using message_handler = std::function<boost::asio::awaitable<std::optional<wire::frame>>(wire::frame)>;

/// Sends and receives the frames of this instance. It sets their sender, incarnation and correlation. A frame
/// with a lower incarnation than the highest seen for its sender is dropped, so that a message from before
/// the sender's restart has no effect. Safe for use from any thread.
class messenger {
public:
    /// Listens on an address. Throws std::runtime_error if that fails.
    messenger(const boost::asio::any_io_executor& executor, std::string name, std::int64_t incarnation,
              const address& listen, message_handler handle);
    ~messenger();
    messenger(const messenger&) = delete;
    messenger& operator=(const messenger&) = delete;

    /// Port of the listener, which the operating system chose if the constructor was given port 0.
    std::uint16_t port() const;

    /// Replaces the table of peers, whose keys are their names. Connections to peers that were removed or
    /// have another address are closed, and their pending calls fail.
    void set_peers(std::map<std::string, address> peers);

    /// Adds a peer unless the table has its name, for an instance that has no list yet. The next set_peers()
    /// replaces the table.
    void add_peer(std::string name, address where);

    /// Sends a request to the peer of the given name and waits for its reply. The request is never sent a
    /// second time. Returns nullopt and sets `error` if no reply arrives in time.
    boost::asio::awaitable<std::optional<wire::frame>> call(std::string to, wire::frame message,
                                                            call_limits limits, call_error& error);
    boost::asio::awaitable<std::optional<wire::frame>> call(std::string to, wire::frame message,
                                                            time_point deadline, call_error& error);

    messenger_counters counters() const;

    /// Measures the bytes that wait for the network, in this process and in the kernel, on connections from
    /// which something arrived lately. The result is in the counters soon after.
    void measure_waiting_bytes();

    /// Highest incarnation seen of each sender.
    std::map<std::string, std::int64_t> incarnations() const;

    /// Closes the listener and all connections; pending calls fail.
    void stop();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::peer
