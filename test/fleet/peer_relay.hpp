/// \file
/// Stand-in for the network between instances: passes frames on and drops the links that a test cuts.
#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace limpetlock::test {

class peer_relay {
public:
    /// Listens at an address and reaches its targets there.
    peer_relay(boost::asio::io_context& context, const std::string& address);
    ~peer_relay();
    peer_relay(const peer_relay&) = delete;
    peer_relay& operator=(const peer_relay&) = delete;

    /// Opens a port that leads to the peer listener of an instance.
    std::uint16_t add(const std::string& target, std::uint16_t target_port);

    void partition(const std::vector<std::string>& one_side, const std::vector<std::string>& other_side);
    void heal_partitions();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::test
