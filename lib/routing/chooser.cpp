#include <limpetlock/routing/chooser.hpp>

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace limpetlock::routing {

namespace {

using pick = std::optional<std::size_t>;

// How well an endpoint suits a call, best first. An endpoint at its limit in another failure domain comes
// before nothing at all: the gate bounds the sum, and the limit of one endpoint may be passed by a call in a
// burst.
enum class fit : std::uint8_t { good, same_domain, full, unusable };

fit fit_of(const candidate& it, const choice_context& context)
{
    if (std::find(context.tried.begin(), context.tried.end(), it.id) != context.tried.end())
        return fit::unusable;
    if (it.probing && (!context.repeatable || it.stats->in_flight() > 0))
        return fit::unusable;
    if (!it.stats->below_limit())
        return fit::full;
    if (context.avoid_domain == it.failure_domain)
        return fit::same_domain;
    return fit::good;
}

std::size_t random_index(std::size_t size, random_engine& random)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

pick better(std::span<const candidate> all, pick a, pick b, time_point now)
{
    if (!a || !b)
        return a ? a : b;
    return all[*b].stats->relative_load(now) < all[*a].stats->relative_load(now) ? b : a;
}

// Best of the endpoints with the best fit; `better_than` compares two of them. The start is random, so that
// equal endpoints are not always taken in list order.
template <typename Compare>
pick scan(std::span<const candidate> all, const choice_context& context, std::size_t start,
          Compare better_than)
{
    pick best;
    fit best_fit = fit::unusable;
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto it = (start + n) % all.size();
        const auto suits = fit_of(all[it], context);
        if (suits > best_fit || suits == fit::unusable)
            continue;
        if (suits < best_fit || better_than(it, *best)) {
            best = it;
            best_fit = suits;
        }
    }
    return best;
}

class two_choices final : public chooser {
public:
    pick choose(std::span<const candidate> all, const choice_context& context, random_engine& random,
                time_point now) override
    {
        if (all.empty())
            return std::nullopt;
        // Endpoints that don't suit the call are drawn again a few times before all of them are looked at.
        constexpr int draws = 8;
        pick first;
        for (int n = 0; n < draws; ++n) {
            const auto it = random_index(all.size(), random);
            if (it == first || fit_of(all[it], context) != fit::good)
                continue;
            if (first)
                return better(all, first, it, now);
            first = it;
        }
        if (first)
            return first;
        return scan(all, context, random_index(all.size(), random), [&](std::size_t a, std::size_t b) {
            return all[a].stats->relative_load(now) < all[b].stats->relative_load(now);
        });
    }
};

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    // Finalizer of splitmix64: the ids and the prefix are hashes already, and only their combination must be
    // spread.
    std::uint64_t z = a ^ (b + 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

class prefix_affinity final : public chooser {
public:
    explicit prefix_affinity(double bound) : bound_(bound) {}

    pick choose(std::span<const candidate> all, const choice_context& context, random_engine& random,
                time_point now) override
    {
        if (context.prefix == 0 || all.empty())
            return fallback_.choose(all, context, random, now);
        double sum = 1;
        for (const auto& it : all)
            sum += it.stats->load(now);
        const double most = std::max(1.0, bound_ * sum / static_cast<double>(all.size()));
        pick best;
        std::uint64_t best_score = 0;
        for (std::size_t n = 0; n < all.size(); ++n) {
            const auto score = mix(context.prefix, all[n].id);
            if (best && score <= best_score)
                continue;
            if (all[n].stats->load(now) >= most || fit_of(all[n], context) != fit::good)
                continue;
            best = n;
            best_score = score;
        }
        return best ? best : fallback_.choose(all, context, random, now);
    }

private:
    double bound_;
    two_choices fallback_;
};

class round_robin final : public chooser {
public:
    pick choose(std::span<const candidate> all, const choice_context& context, random_engine& random,
                time_point now) override
    {
        static_cast<void>(random);
        static_cast<void>(now);
        for (std::size_t n = 0; n < all.size(); ++n) {
            const auto it = next_++ % all.size();
            if (fit_of(all[it], context) != fit::unusable)
                return it;
        }
        return std::nullopt;
    }

private:
    std::size_t next_{0};
};

class least_reported final : public chooser {
public:
    pick choose(std::span<const candidate> all, const choice_context& context, random_engine& random,
                time_point now) override
    {
        static_cast<void>(random);
        static_cast<void>(now);
        pick best;
        for (std::size_t n = 0; n < all.size(); ++n) {
            if (fit_of(all[n], context) == fit::unusable)
                continue;
            if (!best || report(all[n]) < report(all[*best]))
                best = n;
        }
        return best;
    }

private:
    static double report(const candidate& it) { return it.stats->reported_calls().value_or(0); }
};

} // namespace

std::unique_ptr<chooser> make_two_choices()
{
    return std::make_unique<two_choices>();
}

std::unique_ptr<chooser> make_prefix_affinity(double bound)
{
    return std::make_unique<prefix_affinity>(bound);
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
