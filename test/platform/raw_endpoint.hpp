/// \file
/// An endpoint that answers with arbitrary bytes, for faults that a well-formed answer can't have.
#pragma once

#include "platform_fleet.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <thread>

namespace limpetlock::test {

/// A request as it reached the endpoint.
struct raw_request {
    std::string id;
    std::string text;      ///< head and body
    std::size_t number{0}; ///< of the requests before it
};

/// Runs a function for each request, on a thread of its own. The connection is closed after it.
class raw_endpoint {
public:
    using handler = std::function<void(boost::asio::ip::tcp::socket&, const raw_request&)>;

    /// What an endpoint does with the body of a request before it calls the handler. An unread body makes it
    /// reset the connection at its end.
    enum class upload { read, left_unread };

    explicit raw_endpoint(handler answer, upload body = upload::read);
    raw_endpoint(const raw_endpoint&) = delete;
    raw_endpoint& operator=(const raw_endpoint&) = delete;
    ~raw_endpoint();

    /// Lists the endpoint as a member of a pool, in place of an earlier one with the same id, and waits until
    /// the instances know it.
    void publish(platform_fleet& fleet, const std::string& pool, const std::string& id = "i-raw");

    /// The same without waiting.
    void list(platform_fleet& fleet, const std::string& pool, const std::string& id);

    std::size_t requests() const { return requests_; }

    /// Head of a successful answer to the request, up to the headers that state the length.
    static std::string head(const raw_request& request, const std::string& status = "200 OK");

private:
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    void accept();
    void serve(boost::asio::ip::tcp::socket& socket);

    handler answer_;
    upload body_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> requests_{0};
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<std::thread> connections_;
    std::thread thread_;
};

/// Writes bytes; a closed connection is no error.
void write_bytes(boost::asio::ip::tcp::socket& socket, const std::string& bytes);

/// Writes bytes again and again until the connection is closed. Returns how many.
std::size_t write_endlessly(boost::asio::ip::tcp::socket& socket, const std::string& bytes);

} // namespace limpetlock::test
