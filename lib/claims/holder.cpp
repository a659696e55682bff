#include <limpetlock/claims/holder.hpp>

#include <utility>

namespace limpetlock::claims {

bool first_attempt_assertion_holds(bool asserted, time_point read_at, time_point requested_at,
                                   std::optional<time_point> last_resumed, duration lease_time)
{
    if (!asserted)
        return false;
    if (requested_at - read_at >= longest_deadline)
        return false;
    return !last_resumed || read_at - *last_resumed >= first_attempt_hold(lease_time);
}

holder::holder(claim_request request, time_point requested_at)
    : request_(std::move(request)), requested_at_(requested_at)
{
}

std::optional<claim_settle> holder::record_reply(const claim_reply& reply)
{
    if (reply_)
        return std::nullopt;
    if (!finished_) {
        reply_ = reply;
        return std::nullopt;
    }
    if (reply.verdict != claim_verdict::granted)
        return std::nullopt;
    return settle_as(claim_outcome::not_run);
}

bool holder::may_dispatch(time_point now)
{
    if (finished_)
        return refuse("the attempt is finished");
    if (!reply_ || reply_->verdict != claim_verdict::granted)
        return refuse("no grant");
    if (call_ != call_state::none && call_ != call_state::not_run)
        return refuse("a call is out or has run");
    if (now - requested_at_ >= duration{reply_->valid_ms})
        return refuse("the grant has expired");
    return true;
}

bool holder::begin_dispatch(time_point now)
{
    if (!may_dispatch(now))
        return false;
    call_ = call_state::outstanding;
    return true;
}

void holder::record_result(call_result result, std::string answer)
{
    if (call_ != call_state::outstanding)
        return;
    answer_ = std::move(answer);
    switch (result) {
    case call_result::not_sent:
    case call_result::refused:
        call_ = call_state::not_run;
        return;
    case call_result::answered:
        call_ = call_state::answered;
        return;
    case call_result::broken:
        call_ = call_state::broken;
        return;
    }
}

caller_response holder::finish()
{
    finished_ = true;
    return make_response();
}

std::optional<claim_settle> holder::settlement() const
{
    if (!finished_ || !reply_ || reply_->verdict != claim_verdict::granted)
        return std::nullopt;
    if (call_ == call_state::answered)
        return settle_as(claim_outcome::done);
    const bool ran_nothing = call_ == call_state::none || call_ == call_state::not_run;
    return settle_as(ran_nothing ? claim_outcome::not_run : claim_outcome::unknown);
}

bool holder::refuse(std::string reason)
{
    refusal_ = std::move(reason);
    return false;
}

caller_response holder::make_response() const
{
    if (!reply_ && request_.first_attempt)
        return {response_kind::not_run, "no reply from the claim owner", {}};
    if (!reply_)
        return {response_kind::unknown, "no reply from the claim owner", {}};
    switch (reply_->verdict) {
    case claim_verdict::granted:
        return make_response_to_grant();
    case claim_verdict::answered:
        return {response_kind::answer, reply_->reason, reply_->answer};
    case claim_verdict::in_progress:
        return {response_kind::in_progress, reply_->reason, {}};
    case claim_verdict::refused:
        return {response_kind::not_run, reply_->reason, {}};
    case claim_verdict::key_reused:
        return {response_kind::key_reused, reply_->reason, {}};
    case claim_verdict::unknown:
        break;
    }
    return {response_kind::unknown, reply_->reason, {}};
}

caller_response holder::make_response_to_grant() const
{
    switch (call_) {
    case call_state::none:
        return {response_kind::not_run, "the grant was not used", {}};
    case call_state::not_run:
        return {response_kind::not_run, "the endpoint has not run the call", {}};
    case call_state::answered:
        return {response_kind::answer, {}, answer_};
    case call_state::outstanding:
    case call_state::broken:
        break;
    }
    return {response_kind::unknown, "a byte of the call may have left", {}};
}

claim_settle holder::settle_as(claim_outcome outcome) const
{
    return {request_.team, request_.key, request_.attempt_id, outcome,
            outcome == claim_outcome::done ? answer_ : std::string()};
}

} // namespace limpetlock::claims
