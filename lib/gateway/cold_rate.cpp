#include <limpetlock/gateway/cold_rate.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>

#include <algorithm>
#include <cmath>

namespace limpetlock::gateway {

/// The requests that are sent within a second have permits whose time lies in that second or at most the
/// lifetime and the sending time before it. One issuer has at most max_saved + max_rate x that time of them.
std::optional<cold_terms> cold_terms_for(double rate, const cold_bound& bound)
{
    constexpr double seconds =
        static_cast<double>((duration{1'000} + cold_permit_lifetime + cold_sending_time).count()) / 1'000;
    const double allowed = (rate * bound.factor + bound.extra) / max_cold_issuers;
    if (!std::isfinite(allowed) || !(rate > 0))
        return std::nullopt;
    cold_terms out;
    out.max_saved = std::clamp(allowed - rate * seconds, 1.0, permit_issuer::max_saved);
    out.max_rate = std::min(rate, (allowed - out.max_saved) / seconds);
    // The issuer gives no fewer permits than that.
    if (out.max_rate < permit_issuer::min_rate)
        return std::nullopt;
    return out;
}

} // namespace limpetlock::gateway
