/// \file
/// Accepted connection of the server: reads requests, runs the handler and writes answers.
#pragma once

#include "transport.hpp"

#include <limpetlock/http/server.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetlock::http {

/// Safe for use from any thread.
class connection {
public:
    connection() = default;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    virtual ~connection() = default;

    virtual void start() = 0;

    /// Closes the connection if it is idle. Otherwise it is closed after the answer in progress.
    virtual void stop() = 0;

    /// Closes the connection immediately, which cuts an answer in progress.
    virtual void close() = 0;
};

/// State that the listener shares with its connections.
struct server_state {
    server_state(server_limits bounds, handler function) : handle(std::move(function)), limits_(bounds) {}

    void add(const std::shared_ptr<connection>& it);
    void remove(connection* it);
    std::vector<std::shared_ptr<connection>> connections() const;

    server_limits limits() const;

    /// Sets the bounds for connections accepted and requests awaited from now on.
    void set_limits(const server_limits& bounds);

    const handler handle;
    std::atomic<std::size_t> active_requests{0};
    std::atomic<std::size_t> open_connections{0};
    std::atomic<std::size_t> body_bytes{0}; ///< of all requests that are read or served
    std::atomic<bool> stopping{false};

private:
    mutable std::mutex mutex_;
    server_limits limits_;
    std::unordered_map<connection*, std::weak_ptr<connection>> connections_;
};

/// Makes a connection that runs on the executor of the stream's socket, which must be a strand.
std::shared_ptr<connection> make_connection(std::unique_ptr<transport> stream,
                                            std::shared_ptr<server_state> state);

/// Answers 503 and closes the socket; for a connection beyond server_limits::connections.
boost::asio::awaitable<void> refuse_connection(boost::asio::ip::tcp::socket socket);

/// Returns the JSON body of an error answer that the server sends on its own. `ran` states whether
/// the request was run: "no" or "unknown".
std::string error_body(std::string_view code, std::string_view reason, std::string_view ran);

} // namespace limpetlock::http
