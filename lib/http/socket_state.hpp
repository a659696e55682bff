/// \file
/// State of the peer of a TCP socket, found without reading from the socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace limpetlock::http {

/// idle: the connection is open and no bytes are unread. data_pending: bytes are unread and the peer has not
/// closed the connection after them. closed: the peer has sent FIN (also if it only stopped sending), the
/// connection was reset, or the socket isn't open.
enum class peer_state { idle, data_pending, closed };

peer_state peek_peer_state(boost::asio::ip::tcp::socket& socket);

} // namespace limpetlock::http
