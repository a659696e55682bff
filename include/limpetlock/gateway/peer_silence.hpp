/// \file
/// What a call to another instance without a reply says of that instance.
#pragma once

#include <limpetlock/peer/messenger.hpp>

#include <cstddef>

namespace limpetlock::gateway {

/// How a call to a peer ended without a reply, and what is known of the time that it took.
struct unanswered_call {
    peer::errc code{peer::errc::timeout};
    bool heard{false};             ///< something else arrived from the peer meanwhile
    bool own_loop_late{false};     ///< the event loop of this process was late meanwhile
    bool replies_soon{true};       ///< the peer had to reply before the end of the call
    std::size_t unclear_before{0}; ///< calls in a row before this one that said nothing of the peer

    friend bool operator==(const unanswered_call&, const unanswered_call&) = default;
};

/// Whether the peer counts as unreachable. Otherwise the caller asks it once more: the work of a peer that is
/// only slow must not be started at another instance as well. After a lost connection, the next call shows at
/// once whether the peer accepts a new one. A caller whose own loop is late may have missed the reply.
bool shows_unreachable(const unanswered_call& it);

/// After this many calls in a row that say nothing, the next one counts whatever its circumstances.
inline constexpr std::size_t max_unclear_calls = 2;

} // namespace limpetlock::gateway
