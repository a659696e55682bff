#include <limpetlock/gateway/peer_silence.hpp>

#include <criterion/criterion.h>

using namespace limpetlock::gateway;
using limpetlock::peer::errc;

// An instance whose peer connections are reset must not move the work of live peers: two instances would then
// call the same endpoints.
Test(peer_silence, lost_connection_is_no_lost_peer)
{
    cr_expect_not(shows_unreachable({errc::closed, false, false, true, 0}));
    cr_expect_not(shows_unreachable({errc::closed, false, false, true, 1}));
}

// A caller that is short of processor time must not take its own lateness for the silence of all its peers.
Test(peer_silence, late_caller_draws_no_conclusion)
{
    cr_expect_not(shows_unreachable({errc::timeout, false, true, true, 0}));
    cr_expect_not(shows_unreachable({errc::not_sent, false, false, true, 0}));
}

// A peer with a long queue of messages is slow and not gone while it answers other calls.
Test(peer_silence, peer_that_is_heard_is_asked_again)
{
    cr_expect_not(shows_unreachable({errc::timeout, true, false, true, 0}));
}

// A request must not wait for its deadline because the peer that has its work is gone.
Test(peer_silence, silent_or_refusing_peer_is_unreachable_at_once)
{
    cr_expect(shows_unreachable({errc::timeout, false, false, true, 0}));
    cr_expect(shows_unreachable({errc::connection_refused, false, true, true, 0}));
    cr_expect(shows_unreachable({errc::unknown_peer, false, true, true, 0}));
}

// A caller that is late all the time must find out at last that a peer is gone.
Test(peer_silence, number_of_unclear_calls_is_bounded)
{
    for (const auto code : {errc::closed, errc::timeout, errc::not_sent})
        cr_expect(shows_unreachable({code, true, true, false, max_unclear_calls}));
}

// A peer that may reply late is asked for a prompt reply before it counts as gone.
Test(peer_silence, silence_of_a_peer_that_need_not_reply_yet_is_no_evidence)
{
    cr_expect_not(shows_unreachable({errc::timeout, false, false, false, 0}));
}
