/// \file
/// Draws the few endpoints that are compared for a request, and picks the one with the least expected time.
#pragma once

#include <limpetlock/routing/expected_time.hpp>

#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace limpetlock::routing {

/// An endpoint that may be drawn for a request.
struct drawable_endpoint {
    std::string endpoint;
    std::string domain; ///< failure domain

    friend bool operator==(const drawable_endpoint&, const drawable_endpoint&) = default;
};

/// Most endpoints that are compared for one request.
inline constexpr std::size_t max_candidates = 4;

/// The first of the homes is always drawn, then one of the other homes, then others at random. All are in the
/// `domain` except one at most, unless there would be no second candidate otherwise.
std::vector<drawable_endpoint> draw_candidates(const std::vector<drawable_endpoint>& homes,
                                               const std::vector<drawable_endpoint>& others,
                                               const std::string& domain, std::minstd_rand& random);

/// A candidate with its estimate. `cost_ms` adds what the request costs besides, such as another domain.
struct rated_candidate {
    std::string endpoint;
    time_estimate estimate;
    double cost_ms{0};

    friend bool operator==(const rated_candidate&, const rated_candidate&) = default;
};

/// Indexes of the rated candidates.
struct ranking {
    std::size_t winner{0};
    std::optional<std::size_t> runner_up;

    friend bool operator==(const ranking&, const ranking&) = default;
};

/// Picks the candidate with the least cost. The first one is the usual endpoint: a candidate without a fresh
/// report has to be clearly better. Candidates whose costs hardly differ are told apart at random, so that
/// instances that see the same reports don't all pick the same one; if the first one has no fresh report, it
/// wins. `rated` must not be empty.
ranking pick_candidate(const std::vector<rated_candidate>& rated, std::minstd_rand& random);

} // namespace limpetlock::routing
