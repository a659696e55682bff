#include <limpetlock/routing/endpoint_stats.hpp>

#include <algorithm>
#include <cmath>

namespace limpetlock::routing {

namespace {
// Weight of one latency sample. It is small because the latency of single calls varies by several times at
// the same load.
constexpr double ratio_weight = 0.1;

// Weight of one load report. Most of the calls that a report counts have ended when it arrives, so a single
// report says little about the present load. The mean over some seconds identifies endpoints that are slower
// or that other instances load more.
constexpr double report_weight = 0.1;

// Bounds the growth of the latency baseline by the first sample after a time without calls.
constexpr double max_drift_s = 10;
} // namespace

limit_options scaled_limits(double endpoint_concurrency, std::size_t instances)
{
    const double share = endpoint_concurrency / static_cast<double>(std::max<std::size_t>(1, instances));
    limit_options it;
    it.initial = share;
    it.minimum = std::min(0.25, share / 8);
    it.maximum = endpoint_concurrency;
    it.increase = std::min(0.25, share / 8);
    return it;
}

endpoint_stats::endpoint_stats(limit_options options) : options_(options), limit_(options.initial) {}

void endpoint_stats::set_options(const limit_options& options)
{
    options_ = options;
    limit_ = std::clamp(limit_, options.minimum, options.maximum);
}

// Fills the history up to `now` with the present count. Must be called before the count changes.
void endpoint_stats::record_history(time_point now)
{
    const auto slot = to_ms(now) / slot_ms;
    const auto count = static_cast<std::uint16_t>(std::min<std::uint32_t>(in_flight_, UINT16_MAX));
    const auto first = std::max(last_slot_, slot - static_cast<std::int64_t>(history_slots));
    for (auto n = first; n < slot; ++n)
        history_[static_cast<std::size_t>(n) % history_slots] = count;
    last_slot_ = std::max(last_slot_, slot);
}

std::uint32_t endpoint_stats::in_flight_at(time_point t) const
{
    const auto slot = to_ms(t) / slot_ms;
    if (slot >= last_slot_)
        return in_flight_;
    if (slot < 0 || last_slot_ - slot >= static_cast<std::int64_t>(history_slots))
        return 0;
    return history_[static_cast<std::size_t>(slot) % history_slots];
}

void endpoint_stats::record_start(time_point now)
{
    record_history(now);
    ++in_flight_;
}

void endpoint_stats::record_finish(time_point now, outcome result, double took_ms, double expected_ms)
{
    adjust_limit(now, result, took_ms / std::max(1.0, expected_ms));
    record_history(now);
    if (in_flight_ > 0)
        --in_flight_;
}

void endpoint_stats::adjust_limit(time_point now, outcome result, double ratio)
{
    if (result == outcome::overloaded)
        return decrease_limit(now, options_.overload_decrease);
    if (result != outcome::success)
        return;
    recent_ratio_ = recent_ratio_ == 0 ? ratio : recent_ratio_ + ratio_weight * (ratio - recent_ratio_);
    const auto elapsed_s = static_cast<double>((now - last_sample_).count()) / 1000;
    const auto drifted =
        baseline_ratio_ * (1 + options_.baseline_drift_per_s * std::min(elapsed_s, max_drift_s));
    baseline_ratio_ = baseline_ratio_ == 0 ? recent_ratio_ : std::min(drifted, recent_ratio_);
    last_sample_ = now;
    if (recent_ratio_ > options_.latency_tolerance * baseline_ratio_)
        return decrease_limit(now, options_.latency_decrease);
    // A success at low concurrency gives no evidence for a higher limit.
    if (in_flight_ * 2 >= limit_)
        limit_ = std::min(options_.maximum, limit_ + options_.increase / std::max(limit_, 1.0));
}

void endpoint_stats::decrease_limit(time_point now, double factor)
{
    if (last_decrease_ != time_point{} && now - last_decrease_ < options_.decrease_interval)
        return;
    last_decrease_ = now;
    limit_ = std::max(options_.minimum, limit_ * factor);
}

void endpoint_stats::record_report(const load_report& report, time_point now)
{
    const auto measured = now - report.age;
    if (reported_calls_ >= 0 && measured < report_time_)
        return;
    const bool first = reported_calls_ < 0 || now - report_time_ > report_lifetime;
    report_time_ = measured;
    reported_calls_ = static_cast<double>(report.running) + report.queued;
    const double others = std::max(0.0, reported_calls_ - in_flight_at(measured));
    other_calls_ = first ? others : other_calls_ + report_weight * (others - other_calls_);
    if (report.age > report_lifetime)
        return;
    // Calls should wait here and not at the endpoint: the endpoint serves its queue by priority alone, so the
    // minimum shares of the ranks hold only for requests that wait here.
    if (report.queued > options_.queued_tolerance * report.running)
        return decrease_limit(now, options_.queued_decrease);
    // With hundreds of instances, each one has too few calls at an endpoint to raise a low limit by their
    // results.
    if (report.queued == 0)
        limit_ = std::max(limit_, std::min(options_.initial, limit_ + options_.increase));
}

double endpoint_stats::load(time_point now) const
{
    const bool fresh = reported_calls_ >= 0 && now - report_time_ <= report_lifetime;
    return in_flight_ + (fresh ? other_calls_ : 0);
}

std::optional<double> endpoint_stats::reported_calls() const
{
    if (reported_calls_ < 0)
        return std::nullopt;
    return reported_calls_;
}

} // namespace limpetlock::routing
