/// \file
/// Estimates how long the stages of pipelines take, with the configured cost as the prior.
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
    double prior_samples{8}; ///< weight of the configured cost, as a number of measurements
    double smoothing{0.05};  ///< minimum weight of a new measurement in the moving averages
    /// Time in ms without measurements after which an estimate starts to return to the prior. It is also the
    /// half-life of that decay.
    duration stale_after{2000};
    double margin_deviations{2}; ///< standard deviations that required_ms() adds to the mean

    friend bool operator==(const stage_time_estimator_options&,
                           const stage_time_estimator_options&) = default;
};

/// Exponentially weighted mean and variance of the time of each stage. Without new measurements, an estimate
/// decays to its prior. Otherwise an estimate that was learned in an outage would cause every request to be
/// refused, and no request would run to correct it. Not thread-safe.
class stage_time_estimator {
public:
    explicit stage_time_estimator(stage_time_estimator_options options = {}) : options_(options) {}

    /// Adds a stage and returns its id. For a name that is already declared, only the prior changes.
    stage_id declare_stage(std::string_view name, double prior_ms);

    /// Records the measured time of a stage.
    void record(stage_id stage, double took_ms, time_point now);

    /// Expected time of a stage.
    double mean_ms(stage_id stage, time_point now) const;

    /// Expected cost of a request: the sum of the expected times of its stages.
    double cost_ms(std::span<const stage_id> stages, time_point now) const;

    /// Time that the stages need, including a margin of margin_deviations standard deviations.
    double required_ms(std::span<const stage_id> stages, time_point now) const;

private:
    struct stage_record {
        std::string name;
        double prior_ms{0};
        double learned_mean_ms{0};
        double learned_variance_ms2{0};
        double sample_weight{0}; // number of measurements, less what has decayed
        time_point last_sample{};
    };

    /// Weight of the learned values against the prior, from 0 to 1.
    double learned_weight(const stage_record& it, time_point now) const;

    stage_time_estimator_options options_;
    std::vector<stage_record> stages_;
};

} // namespace limpetlock::admission
