/// \file
/// Simulates the network between instances, so that a test can partition it.
#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace limpetlock::test {

/// Forwards frames between instances and closes connections between partitioned ones.
class peer_relay {
public:
    /// Listens at `address` and connects to the targets there.
    peer_relay(boost::asio::io_context& context, const std::string& address);
    ~peer_relay();
    peer_relay(const peer_relay&) = delete;
    peer_relay& operator=(const peer_relay&) = delete;

    /// Opens a port that forwards to the peer listener of an instance, and returns it.
    std::uint16_t add(const std::string& target, std::uint16_t target_port);

    /// Closes each connection between instances of the two sides at its next frame, until heal_partitions().
    void partition(const std::vector<std::string>& one_side, const std::vector<std::string>& other_side);
    void heal_partitions();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::test
