/// \file
/// Forwards connections, and lets the open ones go silent: nothing passes on them any more, and no end learns
/// of it.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace limpetlock::test {

/// Used on the thread of its executor.
class silent_relay {
public:
    /// Listens on a free port of the address and connects to the target port there.
    silent_relay(const boost::asio::any_io_executor& executor, const std::string& address,
                 std::uint16_t target);
    ~silent_relay();
    silent_relay(const silent_relay&) = delete;
    silent_relay& operator=(const silent_relay&) = delete;

    std::uint16_t port() const;

    /// The connections that are open now go silent; new ones work. Returns their number.
    std::size_t silence();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace limpetlock::test
