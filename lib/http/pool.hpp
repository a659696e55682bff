/// \file
/// Connections of the client, and the pool of its idle connections.
#pragma once

#include "deadline_timer.hpp"

#include <limpetlock/http/client.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace limpetlock::http {

/// Connection to an endpoint. Its operations run on its own strand.
struct endpoint_connection : std::enable_shared_from_this<endpoint_connection> {
    endpoint_connection(const boost::asio::any_io_executor& executor, address target)
        : peer(std::move(target)), socket(boost::asio::make_strand(executor)), timer(socket)
    {
    }

    void expire_at(deadline_timer::clock::time_point deadline) { timer.set(deadline, shared_from_this()); }

    /// Closes the socket immediately. Call on the strand.
    void close_on_strand();

    /// Closes the socket later, on the strand. Call from any thread, while no operation is pending.
    void post_close();

    const address peer;
    boost::asio::ip::tcp::socket socket;
    deadline_timer timer;
    time_point idle_since{};
};

using connection_ptr = std::shared_ptr<endpoint_connection>;

/// Safe for use from any thread.
class connection_pool : public std::enable_shared_from_this<connection_pool> {
public:
    connection_pool(boost::asio::any_io_executor executor, client_limits limits);

    /// Removes and returns an idle connection that the endpoint has neither closed nor written to, or nullptr
    /// if there is none. Connections that don't qualify are closed.
    connection_ptr pop_idle(const address& to);

    /// Makes a connection that isn't open yet.
    connection_ptr create(const address& to) const;

    /// Adds a connection whose last answer was read to its end, or closes it if the pool is full or closed.
    /// Call on the connection's strand.
    void add_idle(connection_ptr it);

    /// Closes the connections to the address that have been idle since `since` or longer.
    void close_idle(const address& to, time_point since);

    /// Closes the idle connections, and every connection that is added later.
    void close();

    std::size_t idle_count() const;

private:
    void schedule_sweep();
    void sweep();

    const boost::asio::any_io_executor executor_;
    const client_limits limits_;
    mutable std::mutex mutex_;
    std::map<address, std::vector<connection_ptr>> idle_;
    boost::asio::steady_timer sweep_timer_;
    bool sweep_pending_{false};
    bool closed_{false};
};

} // namespace limpetlock::http
