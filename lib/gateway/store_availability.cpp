#include <limpetlock/gateway/store_availability.hpp>

namespace limpetlock::gateway {

void store_availability::record_call(time_point sent)
{
    if (!unanswered_since_)
        unanswered_since_ = sent;
}

std::optional<duration> store_availability::record_answer(time_point at)
{
    if (!unanswered_since_ || at < *unanswered_since_)
        return std::nullopt;
    const duration length = at - *unanswered_since_;
    unanswered_since_.reset();
    if (length < min_outage)
        return std::nullopt;
    returned_at_ = at;
    return length;
}

bool store_availability::may_have_lapsed(time_point now) const
{
    const bool away = unanswered_since_ && now - *unanswered_since_ >= min_outage;
    return away || (returned_at_ && now - *returned_at_ < republish_time);
}

} // namespace limpetlock::gateway
