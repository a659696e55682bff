#include <limpetlock/admission/estimator.hpp>

#include <algorithm>
#include <cmath>

namespace limpetlock::admission {

stage_id estimator::declare(std::string_view name, double prior_ms)
{
    const auto it =
        std::find_if(stages_.begin(), stages_.end(), [&](const stage_record& s) { return s.name == name; });
    if (it != stages_.end()) {
        it->prior = prior_ms;
        return static_cast<stage_id>(it - stages_.begin());
    }
    stages_.push_back({std::string(name), prior_ms, prior_ms, 0, 0, {}});
    return static_cast<stage_id>(stages_.size() - 1);
}

// The part of the learned estimate that still counts: one until stale_after, then halved for each such time.
double estimator::trust(const stage_record& it, time_point now) const
{
    if (it.samples == 0)
        return 0;
    const auto idle = now - it.last;
    if (idle <= options_.stale_after)
        return 1;
    const auto periods =
        static_cast<double>(idle.count()) / static_cast<double>(options_.stale_after.count());
    return std::exp2(1 - periods);
}

void estimator::record(stage_id stage, double took_ms, time_point now)
{
    auto& it = stages_.at(stage);
    const double kept = trust(it, now);
    it.mean = it.prior + kept * (it.mean - it.prior);
    it.variance *= kept;
    it.samples = kept * it.samples + 1;
    const double weight = std::max(options_.smoothing, 1 / (options_.prior_samples + it.samples));
    const double difference_ms = took_ms - it.mean;
    it.mean += weight * difference_ms;
    it.variance = (1 - weight) * (it.variance + weight * difference_ms * difference_ms);
    it.last = std::max(it.last, now);
}

double estimator::mean_ms(stage_id stage, time_point now) const
{
    const auto& it = stages_.at(stage);
    return it.prior + trust(it, now) * (it.mean - it.prior);
}

double estimator::cost_ms(std::span<const stage_id> stages, time_point now) const
{
    double sum = 0;
    for (const auto id : stages)
        sum += mean_ms(id, now);
    return sum;
}

double estimator::remaining_ms(std::span<const stage_id> stages, time_point now) const
{
    double variance = 0;
    for (const auto id : stages)
        variance += trust(stages_.at(id), now) * stages_.at(id).variance;
    return cost_ms(stages, now) + options_.deviations * std::sqrt(variance);
}

} // namespace limpetlock::admission
