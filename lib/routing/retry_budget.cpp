#include <limpetlock/routing/retry_budget.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>

namespace limpetlock::routing {

retry_budget::retry_budget(retry_options options) : options_(options), tokens_(options.token_capacity) {}

void retry_budget::set_options(const retry_options& options)
{
    options_ = options;
    tokens_ = std::min(tokens_, options.token_capacity);
}

void retry_budget::record_first_attempt()
{
    hedge_tokens_ = std::min(options_.token_capacity, hedge_tokens_ + options_.hedge_share);
}

void retry_budget::record_first_success()
{
    tokens_ = std::min(options_.token_capacity, tokens_ + options_.retry_share);
}

bool retry_budget::try_acquire_retry()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

bool retry_budget::try_acquire_hedge()
{
    if (hedge_tokens_ < 1 || !try_acquire_retry())
        return false;
    hedge_tokens_ -= 1;
    return true;
}

namespace acc = boost::accumulators;

class hedge_delay::impl {
public:
    using quantile_set =
        acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

    impl(double quantile_to_track, duration length)
        : quantile(quantile_to_track), window_length(length), current_window(make()), previous_window(make())
    {
    }

    // Starts a new window. A window with too few measurements is extended, so that a stage with few calls
    // keeps its quantile.
    void rotate(time_point now)
    {
        if (now - window_start < window_length || acc::count(current_window) < min_samples)
            return;
        previous_window = current_window;
        current_window = make();
        window_start = now;
    }

    quantile_set make() const { return quantile_set(acc::quantile_probability = quantile); }

    double quantile;
    duration window_length;
    quantile_set current_window;
    quantile_set previous_window;
    time_point window_start{};
};

hedge_delay::hedge_delay(double quantile, duration window_length)
    : impl_(std::make_unique<impl>(quantile, window_length))
{
}

hedge_delay::~hedge_delay() = default;

void hedge_delay::record(duration took, time_point now)
{
    impl_->rotate(now);
    impl_->current_window(static_cast<double>(took.count()));
}

std::optional<duration> hedge_delay::current() const
{
    const auto& newest = impl_->current_window;
    const auto& it = acc::count(newest) >= min_samples ? newest : impl_->previous_window;
    if (acc::count(it) < min_samples)
        return std::nullopt;
    return duration(static_cast<std::int64_t>(acc::p_square_quantile(it)) + 1);
}

} // namespace limpetlock::routing
