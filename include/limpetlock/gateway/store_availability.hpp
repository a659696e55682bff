/// \file
/// Whether the store was away for so long that entries may have lapsed although their endpoints live.
#pragma once

#include <limpetlock/support/time.hpp>

#include <optional>

namespace limpetlock::gateway {

/// Judges by the calls that the store answers at once, of this instance and of its peers: the endpoints,
/// which can't renew their entries while the store is away, are taken to reach it when an instance does.
class store_availability {
public:
    /// Records that a call was sent. A failed call needs no further record.
    void record_call(time_point sent);

    /// Records that the store gave an answer, here or to a peer, at `at` or later. Returns the length of the
    /// outage that this ends, if it ends one.
    std::optional<duration> record_answer(time_point at);

    /// Records that the store is back without the last changes, as after an outage.
    void record_return(time_point now) { returned_at_ = now; }

    /// Whether an entry that was removed lately may have lapsed: during an outage, and until the endpoints
    /// have published their entries again.
    bool may_have_lapsed(time_point now) const;

    /// Time for which calls are without an answer in an outage. A call may be lost on a connection that went
    /// silent, while one on a new connection is answered.
    static constexpr duration min_outage{800};

    /// Entries of live endpoints are published again within this time after the store is back. What is
    /// removed later has left.
    static constexpr duration republish_time{2'000};

private:
    std::optional<time_point> unanswered_since_; ///< sending of the first call after the last answer
    std::optional<time_point> returned_at_;      ///< end of the last outage
};

} // namespace limpetlock::gateway
