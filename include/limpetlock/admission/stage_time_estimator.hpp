/// \file
/// Learns how long the stages of pipelines take. The configured cost is the prior.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::admission {

using stage_id = std::uint32_t;

struct stage_time_estimator_options {
    double prior_samples{8}; ///< how many measurements the configured cost counts for
    double smoothing{0.05};  ///< lowest weight of a new measurement
    duration stale_after{
        2000}; ///< without measurements, the estimate goes back to the prior with this half-life
    double margin_deviations{2}; ///< standard deviations added to the mean by remaining_ms

    friend bool operator==(const stage_time_estimator_options&,
                           const stage_time_estimator_options&) = default;
};

/// Exponentially weighted mean and variance per stage. An estimate without new measurements decays to its
/// prior: otherwise an estimate learned in an outage would refuse every request, and nothing would correct
/// it.
class stage_time_estimator {
public:
    explicit stage_time_estimator(stage_time_estimator_options options = {}) : options_(options) {}

    /// Returns the id of a stage. A second declaration of the name only changes the prior.
    stage_id declare_stage(std::string_view name, double prior_ms);

    void record(stage_id stage, double took_ms, time_point now);

    double mean_ms(stage_id stage, time_point now) const;

    /// Sum of the means, for the cost of a request.
    double cost_ms(std::span<const stage_id> stages, time_point now) const;

    /// Time that the stages need, with the margin of options.deviations.
    double required_ms(std::span<const stage_id> stages, time_point now) const;

private:
    struct stage_record {
        std::string name;
        double prior_ms{0};
        double learned_mean_ms{0};
        double learned_variance_ms2{0};
        double sample_weight{0};
        time_point last_sample{};
    };

    double learned_weight(const stage_record& it, time_point now) const;

    stage_time_estimator_options options_;
    std::vector<stage_record> stages_;
};

} // namespace limpetlock::admission
