#include "socket_state.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace limpetlock::http {

namespace {

/// True if the peer has sent FIN. recv() can't show a FIN behind unread bytes, but the TCP state does.
bool fin_received(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return false;
    return info.tcpi_state != TCP_ESTABLISHED;
}

} // namespace

peer_state peek_peer_state(boost::asio::ip::tcp::socket& socket)
{
    if (!socket.is_open())
        return peer_state::closed;
    const int fd = socket.native_handle();
    char byte = 0;
    const auto n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n == 0)
        return peer_state::closed;
    if (n < 0)
        return errno == EAGAIN || errno == EINTR ? peer_state::idle : peer_state::closed;
    return fin_received(fd) ? peer_state::closed : peer_state::data_pending;
}

} // namespace limpetlock::http
