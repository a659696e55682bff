// Simulations of the selection of endpoints under high load, without a network. Each compares the policy with
// the former and the simplest one on the same arrivals.
#include <limpetlock/gateway/endpoint_selector.hpp>

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <criterion/criterion.h>

#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <set>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

using random_engine = boost::random::mt19937_64;

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

enum class placement : std::uint8_t { least_loaded, one_engine_per_part, few_engines_per_part };

struct engine_load {
    std::size_t instances{70};
    std::size_t engines{140};
    std::size_t slots{12};
    double arrivals_per_s{300};
    double service_ms{900};
    std::size_t parts{40};
    std::size_t sessions_per_part{60};
    std::int64_t length_ms{30'000};
};

struct engine_outcome {
    double delayed{0};         ///< share of requests that found no free slot
    double prefilled_parts{0}; ///< engines that had to prefill a part, on average over the parts
};

/// Simulates requests of many sessions at many instances. An instance knows of engines only its own requests
/// and the load reported with their answers. The popularity of the parts follows a power law.
engine_outcome simulate(const engine_load& load, placement how, std::uint64_t seed)
{
    random_engine random(seed);
    std::vector<endpoint> engines;
    for (std::size_t n = 0; n < load.engines; ++n) {
        endpoint it;
        it.id = "e" + std::to_string(n);
        it.pool = "p";
        it.domain = "a";
        it.slots = static_cast<std::uint32_t>(load.slots);
        it.started_ms = 1;
        engines.push_back(it);
    }
    std::vector<endpoint_selector> books(load.instances);
    for (auto& it : books)
        it.set_endpoints(engines, at(0));
    std::vector<double> weights;
    for (std::size_t n = 0; n < load.parts; ++n)
        weights.push_back(1 / static_cast<double>(n + 1));
    boost::random::discrete_distribution<std::size_t, double> part(weights);
    boost::random::exponential_distribution<double> gap(load.arrivals_per_s / 1000);
    boost::random::exponential_distribution<double> service(1 / load.service_ms);
    boost::random::uniform_int_distribution<std::size_t> session(1, load.sessions_per_part);
    boost::random::uniform_int_distribution<std::size_t> instance(0, load.instances - 1);

    struct ending {
        std::int64_t at_ms;
        std::size_t instance;
        std::string engine;
        bool operator>(const ending& other) const { return at_ms > other.at_ms; }
    };
    std::priority_queue<ending, std::vector<ending>, std::greater<>> endings;
    std::map<std::string, std::size_t> running;
    std::set<std::pair<std::string, std::size_t>> read;
    std::size_t requests = 0;
    std::size_t delayed = 0;
    for (double now = gap(random); now < static_cast<double>(load.length_ms); now += gap(random)) {
        const auto ms = static_cast<std::int64_t>(now);
        for (; !endings.empty() && endings.top().at_ms <= ms; endings.pop()) {
            const auto& it = endings.top();
            const auto still = static_cast<std::uint32_t>(--running[it.engine]);
            books[it.instance].end_attempt(it.engine, attempt_outcome::answered, at(it.at_ms));
            books[it.instance].record_load(it.engine, {std::min<std::uint32_t>(still, 12), 0, 12},
                                           at(it.at_ms));
        }
        selection_criteria criteria;
        criteria.pool = "p";
        const std::size_t wanted = part(random) + 1;
        const std::size_t own = wanted * 1000 + session(random);
        if (how != placement::least_loaded)
            criteria.affinity_hash = wanted;
        if (how == placement::few_engines_per_part)
            criteria.session_hash = own;
        const std::size_t from = instance(random);
        const auto to = books[from].select(criteria, at(ms));
        cr_assert(to.has_value());
        books[from].begin_attempt(to->id, at(ms));
        ++requests;
        delayed += ++running[to->id] > load.slots ? 1 : 0;
        read.emplace(to->id, wanted);
        endings.push({ms + static_cast<std::int64_t>(service(random)), from, to->id});
    }
    return {static_cast<double>(delayed) / static_cast<double>(requests),
            static_cast<double>(read.size()) / static_cast<double>(load.parts)};
}

} // namespace

// Guards against an overloaded engine beside idle ones: a quarter of the requests of many small instances
// begin with the same part of a prompt, which a single engine can't serve.
Test(placement, a_popular_part_does_not_overload_its_engine)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const engine_load load;
        const auto few = simulate(load, placement::few_engines_per_part, seed);
        const auto one = simulate(load, placement::one_engine_per_part, seed);
        const auto any = simulate(load, placement::least_loaded, seed);
        cr_expect_lt(few.delayed, 0.05, "seed %lu: %.3f", seed, few.delayed);
        cr_expect_lt(few.delayed, one.delayed / 2, "seed %lu: former policy %.3f", seed, one.delayed);
        cr_expect_lt(few.prefilled_parts, any.prefilled_parts / 4, "seed %lu: simplest policy %.1f", seed,
                     any.prefilled_parts);
    }
}

Test(placement, a_session_keeps_its_engine)
{
    endpoint_selector it;
    std::vector<endpoint> all;
    for (int n = 0; n < 64; ++n) {
        endpoint one;
        one.id = "e" + std::to_string(n);
        one.pool = "p";
        one.slots = 4;
        all.push_back(one);
    }
    it.set_endpoints(all, at(0));
    std::set<std::string> used;
    for (std::uint64_t session = 1; session <= 100; ++session) {
        const auto id = it.select({"p", 7, "a", {}, session}, at(0))->id;
        cr_expect_eq(it.select({"p", 7, "a", {}, session}, at(500))->id, id);
        used.insert(id);
    }
    cr_expect_gt(used.size(), 1);
    cr_expect_leq(used.size(), 8, "one for every eight engines");
}
