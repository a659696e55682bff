#include <limpetlock/support/metrics_types.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cmath>
#include <mutex>

namespace limpetlock::metrics {

namespace {

namespace acc = boost::accumulators;

using estimator = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

/// The estimator has 2k+3 markers for k quantiles and says nothing useful before each holds a value. Up to
/// this count the quantiles are computed from the values themselves.
constexpr std::size_t max_exact_values = 16;

} // namespace

struct summary::impl {
    impl() : quantiles(acc::tag::extended_p_square::probabilities = probabilities) {}

    mutable std::mutex mutex;
    estimator quantiles;
    std::array<double, max_exact_values> first_values{};
    std::uint64_t count{0};
    double sum{0};
};

summary::summary() : impl_(std::make_unique<impl>()) {}

summary::~summary() = default;

/// A value that is not finite would spoil the estimates for good, so it is dropped.
void summary::observe(double value)
{
    if (!std::isfinite(value))
        return;
    const std::lock_guard lock(impl_->mutex);
    if (impl_->count < max_exact_values)
        impl_->first_values[impl_->count] = value;
    ++impl_->count;
    impl_->sum += value;
    impl_->quantiles(value);
}

summary::snapshot summary::read() const
{
    const std::lock_guard lock(impl_->mutex);
    snapshot result{impl_->count, impl_->sum, {}};
    if (result.count > max_exact_values) {
        const auto estimates = acc::extended_p_square(impl_->quantiles);
        std::copy(estimates.begin(), estimates.end(), result.quantiles.begin());
        return result;
    }
    auto sorted = impl_->first_values;
    const auto n = static_cast<std::size_t>(result.count);
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(n));
    for (std::size_t k = 0; n > 0 && k < probabilities.size(); ++k) {
        const auto rank = static_cast<std::size_t>(std::ceil(probabilities[k] * static_cast<double>(n)));
        result.quantiles[k] = sorted[rank - 1];
    }
    return result;
}

} // namespace limpetlock::metrics
