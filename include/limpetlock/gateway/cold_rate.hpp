/// \file
/// The rate of requests to an endpoint that is still cold after its start.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <optional>

namespace limpetlock::gateway {

/// How far all instances together may exceed what a cold endpoint tolerates: in any second it gets at most
/// `factor` times that rate and `extra` requests more.
struct cold_bound {
    double factor{0};
    double extra{0};

    friend bool operator==(const cold_bound&, const cold_bound&) = default;
};

/// Terms on which one issuer gives permits for a cold endpoint.
struct cold_terms {
    double max_rate{0};  ///< permits a second
    double max_saved{0}; ///< permits that accumulate at most

    friend bool operator==(const cold_terms&, const cold_terms&) = default;
};

/// A permit for a cold endpoint can be used for this long after its time. It must be far below the second in
/// which requests are counted, and above the time of an exchange with the issuer.
inline constexpr duration cold_permit_lifetime{250};

/// Time from the use of a permit until the request was sent: a new connection to another failure domain takes
/// 3 ms, on a loaded instance up to this.
inline constexpr duration cold_sending_time{100};

/// Issuers that give permits for the same endpoint at the same time: those of two groups of instances that
/// don't reach each other, or a new one beside one that was paused.
inline constexpr int max_cold_issuers = 2;

/// The terms for an endpoint that tolerates `rate` requests a second while it is cold. nullopt if no terms
/// keep the bound; the endpoint gets nothing while it is cold then.
std::optional<cold_terms> cold_terms_for(double rate, const cold_bound& bound);

} // namespace limpetlock::gateway
