/// \file
/// Byte stream of an accepted connection, over plain TCP or TLS.
#pragma once

#include <limpetlock/http/server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <tuple>

namespace limpetlock::http {

/// Error and number of bytes transferred.
using io_result = std::tuple<boost::system::error_code, std::size_t>;
/// Buffers of one write; unused ones are empty.
using output_buffers = std::array<boost::asio::const_buffer, 3>;

output_buffers single_buffer(boost::asio::const_buffer buffer);

/// Removes the first n bytes.
void consume(output_buffers& buffers, std::size_t n);

class transport {
public:
    transport() = default;
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    virtual ~transport() = default;

    /// The TCP socket; cancelling or closing it ends every operation.
    virtual boost::asio::ip::tcp::socket& socket() = 0;

    virtual boost::asio::awaitable<boost::system::error_code> handshake() = 0;
    virtual boost::asio::awaitable<io_result> read_some(boost::asio::mutable_buffer to) = 0;

    /// Writes all bytes of the buffers.
    virtual boost::asio::awaitable<io_result> write_all(output_buffers from) = 0;

    /// Writes the bytes that the socket accepts without waiting, and returns their number; 0 if the transport
    /// always waits.
    virtual std::size_t try_write(const output_buffers& from, boost::system::error_code& ec) = 0;

    /// Notifies the peer that the stream is complete, if the protocol has a message for that (close_notify of
    /// TLS).
    virtual boost::asio::awaitable<void> shut_down() = 0;
};

std::unique_ptr<transport> make_plain_transport(boost::asio::ip::tcp::socket socket);

/// Certificate and key of a listener, shared by its connections.
class tls_context {
public:
    /// Throws std::runtime_error that names the file and the reason if a file can't be used.
    explicit tls_context(const tls_files& files);
    tls_context(const tls_context&) = delete;
    tls_context& operator=(const tls_context&) = delete;
    ~tls_context();

    std::unique_ptr<transport> make_transport(boost::asio::ip::tcp::socket socket);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::http
