/// \file
/// What the kernel knows about the peer of a TCP socket, without reading from it.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace limpetlock::http {

/// closed: the peer sent FIN (a half-close counts) or the connection was reset. pending: unread bytes wait
/// and the peer has not closed behind them.
enum class peer_state { idle, data_pending, closed };

peer_state peek_peer_state(boost::asio::ip::tcp::socket& socket);

} // namespace limpetlock::http
