/// \file
/// Requesting side of a claim, in the instance that received the caller's request: when the call may be
/// dispatched to an endpoint, and how the caller may be answered.
#pragma once

#include <limpetlock/claims/messages.hpp>
#include <limpetlock/claims/owner_map.hpp>
#include <limpetlock/support/suspension_detector.hpp>

#include <optional>
#include <string>

namespace limpetlock::claims {

/// Result of a call to an endpoint.
///   not_sent: no byte left this process.
///   refused: the endpoint says that it has not run the call.
///   answered: the endpoint returned the answer.
///   broken: any other failure after the first byte may have left, so the call may have run.
enum class call_result { not_sent, refused, answered, broken };

/// Kind of response that the caller gets: the answer of the call, or the reason why there is none.
enum class response_kind { answer, not_run, unknown, in_progress, key_reused };

/// Response to the caller.
struct caller_response {
    response_kind kind = response_kind::unknown;
    std::string reason; ///< Part of the error that the caller gets.
    std::string answer; ///< Answer of the call; empty unless the kind is `answer`.

    friend bool operator==(const caller_response&, const caller_response&) = default;
};

/// Longest time between two ticks of the timer of a process that was not suspended; it ticks every 200 ms.
inline constexpr duration max_tick_gap{1000};

/// Returns whether a caller's assertion that this is its first attempt at the key may be passed on to the
/// owner. It may not be if the request could have waited in a socket buffer or in this process. The caller
/// may then have sent another attempt in the meantime, of which an owner that was replaced since has no
/// record.
bool first_attempt_assertion_holds(bool asserted, time_point read_at, time_point requested_at,
                                   std::optional<time_point> last_resumed, duration lease_time);

/// One attempt at one key by this instance, from the claim request to the response to the caller. It holds
/// the grant if the owner gives one.
class holder {
public:
    holder(claim_request request, time_point requested_at);

    /// Records the first reply of the owner. Returns a settlement to send if the reply is a grant that comes
    /// after finish(), since nothing is dispatched under it.
    std::optional<claim_settle> record_reply(const claim_reply& reply);

    /// Returns whether a byte may be sent to an endpoint now. If not, refusal() has the reason.
    bool may_dispatch(time_point now);

    /// Marks the call as being sent now. Returns false if may_dispatch() does, and then nothing may be sent.
    bool begin_dispatch(time_point now);

    /// Records the result of the call to the endpoint. After `not_sent` and `refused` the call may be
    /// dispatched to another endpoint.
    void record_result(call_result result, std::string answer);

    /// Ends the attempt and returns the response to the caller. Nothing is dispatched afterwards.
    caller_response finish();

    /// Returns the settlement to send to the owner after finish(), or nullopt if there is no grant to settle.
    /// A result that is recorded after finish() changes it, so that a late answer still reaches the owner's
    /// record.
    std::optional<claim_settle> settlement() const;

    /// Returns the settlement for an attempt that finished without a reply. The owner may have recorded a
    /// grant, whose reply may still arrive, but nothing will be dispatched under it.
    claim_settle withdrawal() const { return settle_as(claim_outcome::not_run); }

    const claim_request& request() const { return request_; }

    /// The reason why may_dispatch() last returned false.
    const std::string& refusal() const { return refusal_; }

private:
    /// State of the call to an endpoint; `not_run` allows another dispatch.
    enum class call_state { none, outstanding, not_run, answered, broken };

    bool refuse(std::string reason);
    caller_response make_response() const;
    caller_response make_response_to_grant() const;
    claim_settle settle_as(claim_outcome outcome) const;

    claim_request request_;
    time_point requested_at_;
    std::optional<claim_reply> reply_;
    call_state call_ = call_state::none;
    std::string answer_;
    std::string refusal_;
    bool finished_ = false;
};

} // namespace limpetlock::claims
