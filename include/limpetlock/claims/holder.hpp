/// \file
/// Rules of the instance that received the request: whether it may dispatch now, and what it may tell the
/// caller.
#pragma once

#include <limpetlock/claims/messages.hpp>
#include <limpetlock/claims/owner_map.hpp>

#include <optional>
#include <string>

namespace limpetlock::claims {

/// What the endpoint call said. `not_sent`: no byte left. `refused`: the endpoint says that it has not run
/// the call. `broken`: anything else after the first byte may have left.
enum class call_result { not_sent, refused, answered, broken };

/// What the caller is told.
enum class response_kind { answer, not_run, unknown, in_progress, key_reused };

struct caller_response {
    response_kind kind = response_kind::unknown;
    std::string reason;
    std::string answer;

    friend bool operator==(const caller_response&, const caller_response&) = default;
};

/// Notices suspensions of this process from the gap between two timer ticks.
class suspension_detector {
public:
    /// Two 200 ms ticks that are further apart than this show a suspension.
    static constexpr duration max_tick_gap{1000};

    explicit suspension_detector(time_point start) : last_tick_(start) {}

    void tick(time_point now);

    /// The end of the last suspension, including one that no tick has shown yet.
    std::optional<time_point> last_resumed(time_point now) const;

private:
    time_point last_tick_;
    std::optional<time_point> last_resumed_;
};

/// Whether a caller's first-attempt assertion may be passed on. It may not when the request can have waited
/// in a socket buffer or in this process: the caller may have sent another attempt in the meantime, and a
/// replaced owner has no record of that one.
bool first_attempt_assertion_holds(bool asserted, time_point read_at, time_point requested_at,
                                   std::optional<time_point> last_resumed, duration lease);

/// One attempt at one key by this instance, from the ask to the answer.
class holder {
public:
    holder(claim_request request, time_point requested_at);

    /// Notes the owner's reply. Returns a settlement to send when a grant comes after finish().
    std::optional<claim_settle> record_reply(const claim_reply& reply);

    /// Whether a byte may be sent to an endpoint now; refusal() has the reason if not.
    bool may_dispatch(time_point now);

    /// Marks that the call goes out now. False, and nothing may be sent, when may_dispatch() is false.
    bool begin_dispatch(time_point now);

    /// Notes what the endpoint call said. After `not_sent` and `refused` another endpoint may be tried.
    void record_result(call_result result, std::string answer);

    /// Ends the attempt and says what the caller may be told. Nothing is dispatched afterwards.
    caller_response finish();

    /// The settlement for the owner after finish(); nullopt when there is no grant to settle. A result that
    /// is noted after finish() changes it, so that a late answer still reaches the record.
    std::optional<claim_settle> settlement() const;

    /// For an attempt that finished without a reply: a grant may still be on its way or recorded at the
    /// owner, and nothing will be dispatched under it.
    claim_settle withdrawal() const { return settle_as(claim_outcome::not_run); }

    const claim_request& request() const { return request_; }
    const std::string& refusal() const { return refusal_; }

private:
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
