/// \file
/// Strategies that choose the endpoint of a call.
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

/// The engine and the Boost distributions give the same values on every platform.
using random_engine = boost::random::mt19937_64;

struct candidate {
    std::uint64_t id{0};             ///< stable for one endpoint, for example a hash of its name
    std::uint32_t failure_domain{0}; ///< any number that is equal for endpoints of one domain
    bool probing{false};             ///< takes one call at a time, and only repeatable ones
    const endpoint_stats* stats{nullptr};
};

struct choice_context {
    std::uint64_t prefix_hash{0};              ///< hash of the prompt prefix; 0 when there is none
    std::span<const std::uint64_t> tried;      ///< ids that this call has been sent to
    std::optional<std::uint32_t> avoid_domain; ///< a retry prefers another failure domain than this one
    bool repeatable{true};
};

/// Chooses an index into the candidates; nullopt when none may be used. Endpoints under their limit come
/// first.
class chooser {
public:
    virtual ~chooser() = default;
    virtual std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                              const choice_context& context, random_engine& random,
                                              time_point now) = 0;

protected:
    chooser() = default;
    chooser(const chooser&) = default;
    chooser& operator=(const chooser&) = default;
};

/// The lower relative load of two random endpoints.
std::unique_ptr<chooser> make_two_choices();

/// Rendezvous hashing on the prompt prefix among the endpoints whose load is at most `bound` times the mean.
/// A call without a prefix is chosen like two random choices.
std::unique_ptr<chooser> make_prefix_affinity(double max_load_ratio = 1.25);

/// Baselines for comparison.
std::unique_ptr<chooser> make_round_robin();
std::unique_ptr<chooser> make_least_reported();

/// By name: two_choices, prefix_affinity, round_robin, least_reported; nullptr for another name.
std::unique_ptr<chooser> make_chooser(std::string_view name);

} // namespace limpetlock::routing
