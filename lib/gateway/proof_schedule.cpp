#include <limpetlock/gateway/proof_schedule.hpp>

#include <algorithm>

namespace limpetlock::gateway {

namespace {

// Shares of the bound. A table that is published right after a proof is in force after the renewal age, an
// interval for each lost answer and the time of one read: at most 0.79 of the bound and that read.
constexpr double min_renewal_age = 0.45;
constexpr double max_renewal_age = 0.55;
constexpr double min_eager_renewal_age = 0.375;
constexpr double max_eager_renewal_age = 0.525;
constexpr double read_interval = 0.12;
constexpr double header_time = 0.3;

/// Eager instances renew at this age at the latest, however long the bound is.
constexpr duration latest_eager_renewal{1'050};

/// Above this share of the bound a proof is older than it can get while the store answers.
constexpr double confirmation_age = 0.9;

} // namespace

duration proof_schedule::share(double of_bound) const
{
    return duration(static_cast<std::int64_t>(static_cast<double>(adoption_time_.count()) * of_bound));
}

void proof_schedule::draw_renewal_age(double position, bool eager)
{
    const auto between = [position](double low, double high) { return low + (high - low) * position; };
    renewal_age_ = share(between(min_renewal_age, max_renewal_age));
    if (!eager)
        return;
    const auto latest = std::min(latest_eager_renewal, share(max_eager_renewal_age));
    const double range = between(min_eager_renewal_age / max_eager_renewal_age, 1);
    renewal_age_ = duration(static_cast<std::int64_t>(static_cast<double>(latest.count()) * range));
}

bool proof_schedule::is_read_due(std::optional<duration> proof_age, time_point now)
{
    if (proof_age && *proof_age < renewal_age_) {
        last_read_.reset();
        reads_ = 0;
        failures_ = 0;
        return false;
    }
    if (!last_read_)
        return true;
    if (arriving_ > 0)
        return false;
    const bool may_overlap = reads_ <= max_lost_reads;
    return now - *last_read_ >= share(read_interval) && (may_overlap || pending_ == 0);
}

void proof_schedule::begin_read(time_point now)
{
    last_read_ = now;
    ++reads_;
    ++pending_;
}

void proof_schedule::end_read(bool renewed, bool had_header)
{
    --pending_;
    if (had_header)
        --arriving_;
    if (!renewed)
        ++failures_;
}

bool proof_schedule::needs_confirmation(std::optional<duration> proof_age) const
{
    return failures_ == 0 && (!proof_age || *proof_age > share(confirmation_age));
}

duration proof_schedule::header_timeout() const
{
    return share(header_time);
}

} // namespace limpetlock::gateway
