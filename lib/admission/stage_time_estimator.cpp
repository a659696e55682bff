#include <limpetlock/admission/stage_time_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace limpetlock::admission {

stage_id stage_time_estimator::declare_stage(std::string_view name, double prior_ms)
{
    const auto it =
        std::find_if(stages_.begin(), stages_.end(), [&](const stage_record& s) { return s.name == name; });
    if (it != stages_.end()) {
        it->prior_ms = prior_ms;
        return static_cast<stage_id>(it - stages_.begin());
    }
    stages_.push_back({std::string(name), prior_ms, prior_ms, 0, 0, {}});
    return static_cast<stage_id>(stages_.size() - 1);
}

// The weight is 1 until stale_after has passed since the last measurement, then halves in each such period.
double stage_time_estimator::learned_weight(const stage_record& it, time_point now) const
{
    if (it.sample_weight == 0)
        return 0;
    const auto idle = now - it.last_sample;
    if (idle <= options_.stale_after)
        return 1;
    const auto periods =
        static_cast<double>(idle.count()) / static_cast<double>(options_.stale_after.count());
    return std::exp2(1 - periods);
}

void stage_time_estimator::record(stage_id stage, double took_ms, time_point now)
{
    auto& it = stages_.at(stage);
    const double learned = learned_weight(it, now);
    it.learned_mean_ms = it.prior_ms + learned * (it.learned_mean_ms - it.prior_ms);
    it.learned_variance_ms2 *= learned;
    it.sample_weight = learned * it.sample_weight + 1;
    const double weight = std::max(options_.smoothing, 1 / (options_.prior_samples + it.sample_weight));
    const double difference_ms = took_ms - it.learned_mean_ms;
    it.learned_mean_ms += weight * difference_ms;
    it.learned_variance_ms2 =
        (1 - weight) * (it.learned_variance_ms2 + weight * difference_ms * difference_ms);
    it.last_sample = std::max(it.last_sample, now);
}

double stage_time_estimator::mean_ms(stage_id stage, time_point now) const
{
    const auto& it = stages_.at(stage);
    return it.prior_ms + learned_weight(it, now) * (it.learned_mean_ms - it.prior_ms);
}

double stage_time_estimator::cost_ms(std::span<const stage_id> stages, time_point now) const
{
    double sum = 0;
    for (const auto id : stages)
        sum += mean_ms(id, now);
    return sum;
}

double stage_time_estimator::required_ms(std::span<const stage_id> stages, time_point now) const
{
    double variance_ms2 = 0;
    for (const auto id : stages)
        variance_ms2 += learned_weight(stages_.at(id), now) * stages_.at(id).learned_variance_ms2;
    return cost_ms(stages, now) + options_.margin_deviations * std::sqrt(variance_ms2);
}

} // namespace limpetlock::admission
