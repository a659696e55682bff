#include <limpetlock/routing/chooser.hpp>

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace limpetlock::routing {

namespace {

using optional_index = std::optional<std::size_t>;

// Suitability of an endpoint for a call, best first. An endpoint at its concurrency limit is used rather than
// none: the gate bounds the sum over the pool, and in a burst a call may exceed the limit of one endpoint.
enum class suitability : std::uint8_t { good, same_domain, full, unusable };

suitability suitability_of(const candidate& it, const choice_context& context)
{
    if (std::find(context.tried.begin(), context.tried.end(), it.id) != context.tried.end())
        return suitability::unusable;
    if (it.probing && (!context.repeatable || it.stats->in_flight() > 0))
        return suitability::unusable;
    if (!it.stats->below_limit())
        return suitability::full;
    if (context.avoid_domain == it.failure_domain)
        return suitability::same_domain;
    return suitability::good;
}

std::size_t random_index(std::size_t size, random_engine& random)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

optional_index less_loaded(std::span<const candidate> candidates, optional_index a, optional_index b,
                           time_point now)
{
    if (!a || !b)
        return a ? a : b;
    return candidates[*b].stats->relative_load(now) < candidates[*a].stats->relative_load(now) ? b : a;
}

// Finds the best endpoint among those with the best suitability; `is_better` compares two of them. Callers
// pass a random `start`, so that the first of several equal endpoints isn't always chosen.
template <typename Compare>
optional_index find_best(std::span<const candidate> candidates, const choice_context& context,
                         std::size_t start, Compare is_better)
{
    optional_index best;
    suitability best_suitability = suitability::unusable;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto it = (start + n) % candidates.size();
        const auto current = suitability_of(candidates[it], context);
        if (current > best_suitability || current == suitability::unusable)
            continue;
        if (current < best_suitability || is_better(it, *best)) {
            best = it;
            best_suitability = current;
        }
    }
    return best;
}

class two_choices final : public chooser {
public:
    optional_index choose(std::span<const candidate> candidates, const choice_context& context,
                          random_engine& random, time_point now) override
    {
        if (candidates.empty())
            return std::nullopt;
        // Redraws a few times if an endpoint doesn't suit the call, and then falls back to a full scan.
        constexpr int max_draws = 8;
        optional_index first;
        for (int n = 0; n < max_draws; ++n) {
            const auto it = random_index(candidates.size(), random);
            if (it == first || suitability_of(candidates[it], context) != suitability::good)
                continue;
            if (first)
                return less_loaded(candidates, first, it, now);
            first = it;
        }
        if (first)
            return first;
        return find_best(
            candidates, context, random_index(candidates.size(), random), [&](std::size_t a, std::size_t b) {
                return candidates[a].stats->relative_load(now) < candidates[b].stats->relative_load(now);
            });
    }
};

std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b)
{
    // Finalizer of splitmix64. Both inputs are hashes already; only their combination must be well
    // distributed.
    std::uint64_t z = a ^ (b + 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

class prefix_affinity final : public chooser {
public:
    explicit prefix_affinity(double max_load_ratio) : max_load_ratio_(max_load_ratio) {}

    optional_index choose(std::span<const candidate> candidates, const choice_context& context,
                          random_engine& random, time_point now) override
    {
        if (context.prefix_hash == 0 || candidates.empty())
            return fallback_.choose(candidates, context, random, now);
        double sum = 1;
        for (const auto& it : candidates)
            sum += it.stats->load(now);
        const double max_load = std::max(1.0, max_load_ratio_ * sum / static_cast<double>(candidates.size()));
        optional_index best;
        std::uint64_t best_score = 0;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            const auto score = combine_hashes(context.prefix_hash, candidates[n].id);
            if (best && score <= best_score)
                continue;
            if (candidates[n].stats->load(now) >= max_load ||
                suitability_of(candidates[n], context) != suitability::good)
                continue;
            best = n;
            best_score = score;
        }
        return best ? best : fallback_.choose(candidates, context, random, now);
    }

private:
    double max_load_ratio_;
    two_choices fallback_;
};

class round_robin final : public chooser {
public:
    optional_index choose(std::span<const candidate> candidates, const choice_context& context,
                          random_engine& random, time_point now) override
    {
        static_cast<void>(random);
        static_cast<void>(now);
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            const auto it = next_++ % candidates.size();
            if (suitability_of(candidates[it], context) != suitability::unusable)
                return it;
        }
        return std::nullopt;
    }

private:
    std::size_t next_{0};
};

class least_reported final : public chooser {
public:
    optional_index choose(std::span<const candidate> candidates, const choice_context& context,
                          random_engine& random, time_point now) override
    {
        static_cast<void>(random);
        static_cast<void>(now);
        optional_index best;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (suitability_of(candidates[n], context) == suitability::unusable)
                continue;
            if (!best || reported_calls_of(candidates[n]) < reported_calls_of(candidates[*best]))
                best = n;
        }
        return best;
    }

private:
    static double reported_calls_of(const candidate& it) { return it.stats->reported_calls().value_or(0); }
};

} // namespace

std::unique_ptr<chooser> make_two_choices()
{
    return std::make_unique<two_choices>();
}

std::unique_ptr<chooser> make_prefix_affinity(double max_load_ratio)
{
    return std::make_unique<prefix_affinity>(max_load_ratio);
}

std::unique_ptr<chooser> make_round_robin()
{
    return std::make_unique<round_robin>();
}

std::unique_ptr<chooser> make_least_reported()
{
    return std::make_unique<least_reported>();
}

std::unique_ptr<chooser> make_chooser(std::string_view name)
{
    if (name == "two_choices")
        return make_two_choices();
    if (name == "prefix_affinity")
        return make_prefix_affinity();
    if (name == "round_robin")
        return make_round_robin();
    if (name == "least_reported")
        return make_least_reported();
    return nullptr;
}

} // namespace limpetlock::routing
