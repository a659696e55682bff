#include <limpetlock/gateway/peer_silence.hpp>

namespace limpetlock::gateway {

bool shows_unreachable(const unanswered_call& it)
{
    if (it.unclear_before >= max_unclear_calls)
        return true;
    switch (it.code) {
    case peer::errc::closed:
    case peer::errc::not_sent:
        return false;
    case peer::errc::timeout:
        return it.replies_soon && !it.heard && !it.own_loop_late;
    case peer::errc::none:
    case peer::errc::unknown_peer:
    case peer::errc::connection_refused:
        break;
    }
    return true;
}

} // namespace limpetlock::gateway
