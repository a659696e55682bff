#include <limpetlock/routing/expected_time.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace limpetlock::routing {

namespace {

/// Beyond fresh_report_age the weight of a report falls by the factor e in this time. Slow periods last about
/// 600 ms, and queues of a few requests empty sooner.
constexpr double report_decay_ms = 250;

/// Weights of one sample in the moving averages.
constexpr double load_weight = 0.05;
constexpr double tokens_weight = 0.05;
constexpr double speed_weight = 0.25;

/// Weight of a speed that was measured without a fresh report. The queue that the request met isn't known
/// then, and most of the difference is the queue's.
constexpr double uncertain_speed_weight = 0.05;

/// Step of the learning of a pool's times, as a part of the error.
constexpr double model_step = 0.05;

/// Errors beyond this, or beyond the estimate itself, count as this much, so that single answers that were
/// delayed for other reasons don't distort the times.
constexpr double min_error_bound_ms = 50;

/// The speed of an endpoint tends to 1 with this time constant, so that an endpoint that isn't used for its
/// low speed is tried again.
constexpr double speed_decay_ms = 600'000;

/// Bounds of what is learned or stated.
constexpr double max_log_speed = 1.4; // a factor of 4
constexpr double min_time_factor = 0.1;
constexpr double max_time_factor = 20;
constexpr double max_tokens = 10'000'000;
constexpr double max_measured_ms = 120'000;
constexpr std::array<double, 3> min_times{0, 0.1, 0};
constexpr std::array<double, 3> max_times{1'000, 1'000, 100};

double bounded_factor(double it)
{
    return std::clamp(it, min_time_factor, max_time_factor);
}

double weight_of(duration age)
{
    const auto beyond = static_cast<double>((age - time_estimator::fresh_report_age).count());
    return beyond <= 0 ? 1 : std::exp(-beyond / report_decay_ms);
}

std::array<double, 3> inputs_of(const time_estimate& it)
{
    return {it.requests, it.tokens / 1'000, it.running};
}

double product(const std::array<double, 3>& a, const std::array<double, 3>& b)
{
    return a[0] * b[0] + a[1] * b[1] + a[2] * b[2];
}

} // namespace

double request_work::tokens_to_read() const
{
    return std::clamp(prompt_tokens - cached_tokens, 0.0, max_tokens);
}

void time_estimator::retain(const std::set<std::string, std::less<>>& endpoints,
                            const std::set<std::string, std::less<>>& pools)
{
    std::erase_if(pools_, [&](const auto& it) { return !pools.contains(it.first); });
    std::erase_if(speeds_, [&](const auto& it) { return !endpoints.contains(it.first); });
    reports_.retain(endpoints);
}

void time_estimator::record_report(const std::string& pool, const std::string& endpoint,
                                   const stated_load& load, time_point as_of)
{
    stated_load bounded = load;
    if (bounded.time_factor)
        bounded.time_factor = bounded_factor(*bounded.time_factor);
    if (!reports_.record(endpoint, bounded, as_of))
        return;
    auto& it = pools_[pool];
    it.mean_running += load_weight * (load.running - it.mean_running);
    it.mean_waiting += load_weight * (load.waiting - it.mean_waiting);
    if (load.time_factor)
        it.stated_at = std::max(as_of, it.stated_at.value_or(as_of));
}

bool time_estimator::states_time_factor(std::string_view pool, time_point now) const
{
    const auto it = pools_.find(pool);
    return it != pools_.end() && it->second.stated_at && now - *it->second.stated_at < statement_lifetime;
}

bool time_estimator::has_fresh_report(std::string_view endpoint, time_point now) const
{
    const auto age = reports_.age(endpoint, now);
    return age && *age <= fresh_report_age;
}

double time_estimator::speed_of(std::string_view endpoint, time_point now) const
{
    const auto it = speeds_.find(endpoint);
    if (it == speeds_.end())
        return 1;
    const auto age = static_cast<double>(std::max(duration{0}, now - it->second.at).count());
    return std::exp(it->second.log_speed * std::exp(-age / speed_decay_ms));
}

time_estimate time_estimator::expected_time(std::string_view pool, std::string_view endpoint,
                                            const request_work& work, time_point now) const
{
    static const pool_model unknown;
    const auto found = pools_.find(pool);
    const pool_model& model = found == pools_.end() ? unknown : found->second;
    time_estimate out;
    double waiting = model.mean_waiting;
    out.running = model.mean_running;
    time_point counted_from{};
    if (const auto* const report = reports_.find(endpoint)) {
        out.report_age = reports_.age(endpoint, now);
        const double weight = weight_of(*out.report_age);
        waiting += weight * (report->load.waiting - waiting);
        out.running += weight * (report->load.running - out.running);
        const double usual = report->usual_time_factor;
        out.time_factor = bounded_factor(usual + weight * (report->load.time_factor.value_or(usual) - usual));
        counted_from = report->as_of;
    }
    const auto own = reports_.requests_since(endpoint, counted_from, now);
    out.requests = 1 + waiting + static_cast<double>(own.count);
    out.tokens = std::min(max_tokens, work.tokens_to_read() + waiting * model.mean_tokens + own.tokens);
    out.speed = speed_of(endpoint, now);
    out.ms = product(model.times, inputs_of(out)) * out.speed * out.time_factor;
    return out;
}

void time_estimator::begin_request(const std::string& pool, const std::string& endpoint,
                                   std::uint64_t request, const request_work& work, time_point now)
{
    auto& it = pools_[pool];
    it.mean_tokens += tokens_weight * (work.tokens_to_read() - it.mean_tokens);
    reports_.begin_request(endpoint, request, work.tokens_to_read(), now);
}

void time_estimator::end_request(std::string_view endpoint, std::uint64_t request)
{
    reports_.end_request(endpoint, request);
}

/// The times of the pool are learned by normalized least mean squares, which needs no history.
void time_estimator::record_time(const std::string& pool, const std::string& endpoint,
                                 const time_estimate& estimate, duration measured, time_point now)
{
    const double ms = std::clamp(static_cast<double>(measured.count()), 1.0, max_measured_ms);
    const bool fresh = estimate.report_age && *estimate.report_age <= fresh_report_age;
    auto& model = pools_[pool];
    const auto inputs = inputs_of(estimate);
    const double usual = std::max(1.0, product(model.times, inputs));

    const double known = std::log(speed_of(endpoint, now));
    const double ratio = std::log(ms / (usual * estimate.time_factor));
    const double weight = fresh ? speed_weight : uncertain_speed_weight;
    const double sample = std::clamp(ratio, -max_log_speed, max_log_speed);
    speeds_[endpoint] = {known + weight * (sample - known), now};

    const double bound = std::max(min_error_bound_ms, usual);
    const double error = std::clamp(ms / (std::exp(known) * estimate.time_factor) - usual, -bound, bound);
    const double step = model_step * (fresh ? 1 : uncertain_speed_weight / speed_weight) * error /
                        (1 + product(inputs, inputs));
    for (std::size_t n = 0; n < inputs.size(); ++n)
        model.times[n] = std::clamp(model.times[n] + step * inputs[n], min_times[n], max_times[n]);
}

} // namespace limpetlock::routing
