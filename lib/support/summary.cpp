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

/// Up to this number of values, the quantiles are computed from the values themselves. The estimator has 2k+3
/// markers for k quantiles, and its results are of no use before each marker holds a value.
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

/// An infinity or NaN would make all later estimates useless, so it is dropped.
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
