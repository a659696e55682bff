/// \file
/// Load balancing strategies that choose the endpoint of a call.
#pragma once

#include <limpetlock/routing/endpoint_stats.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace limpetlock::routing {

/// With the Boost distributions, this engine produces the same sequence on every platform.
using random_engine = boost::random::mt19937_64;

/// An endpoint that a call can be sent to.
struct candidate {
    std::uint64_t id{0};                  ///< stable for one endpoint, for example a hash of its name
    std::uint32_t failure_domain{0};      ///< number that all endpoints of one failure domain share
    bool probing{false};                  ///< accepts one call at a time, and only repeatable calls
    const endpoint_stats* stats{nullptr}; ///< must not be null when choose() is called
};

/// Properties of a call that its endpoint must suit.
struct choice_context {
    std::uint64_t prefix_hash{0};         ///< hash of the prompt prefix; 0 if the call has none
    std::span<const std::uint64_t> tried; ///< ids of the endpoints of earlier attempts, which are excluded
    std::optional<std::uint32_t> avoid_domain; ///< domain of the failed attempt; others are preferred
    bool repeatable{true};                     ///< false if the call must not run twice
};

/// Interface of a load balancing strategy.
class chooser {
public:
    virtual ~chooser() = default;
    /// Returns an index into `candidates`, or nullopt if the call must not be sent to any of them.
    virtual std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                              const choice_context& context, random_engine& random,
                                              time_point now) = 0;

protected:
    chooser() = default;
    chooser(const chooser&) = default;
    chooser& operator=(const chooser&) = default;
};

/// Power of two random choices: draws two endpoints and chooses the one with the lower relative load.
/// Endpoints below their concurrency limit are preferred.
std::unique_ptr<chooser> make_two_choices();

/// Rendezvous hashing on the prompt prefix among the endpoints whose load is below `max_load_ratio` times the
/// mean load. Calls without a prefix, and calls for which no suitable endpoint is below that bound, use two
/// random choices.
std::unique_ptr<chooser> make_prefix_affinity(double max_load_ratio = 1.25);

/// Chooses the endpoints in turn, regardless of their load. Baseline for benchmarks.
std::unique_ptr<chooser> make_round_robin();

/// Chooses the endpoint with the lowest number of calls in its last load report. Baseline for benchmarks.
std::unique_ptr<chooser> make_least_reported();

/// Creates a strategy by its name: two_choices, prefix_affinity, round_robin or least_reported. Returns
/// nullptr for any other name.
std::unique_ptr<chooser> make_chooser(std::string_view name);

} // namespace limpetlock::routing
