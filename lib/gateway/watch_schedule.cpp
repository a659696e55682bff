#include <limpetlock/gateway/watch_schedule.hpp>

namespace limpetlock::gateway {

void watch_schedule::record_read(state_revision known, state_revision of_store, time_point now)
{
    if (known == state_revision{} || of_store <= known)
        return;
    if (!missing_ || missing_->known != known)
        missing_ = {known, now, false};
    missing_->other_era = of_store.era != known.era;
}

bool watch_schedule::is_behind(state_revision known, bool watches, time_point now) const
{
    if (!misses_changes(known))
        return false;
    if (watches && missing_->other_era)
        return true;
    return now - missing_->since >= (watches ? watch_delivery_time : peer_delivery_time);
}

} // namespace limpetlock::gateway
