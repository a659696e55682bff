// Compares the selection by expected time with simpler policies on the same arrivals, without a network. The
// engines read prompts one after the other, at two long-term speeds and with slow periods.
#include <limpetlock/gateway/load_aware_selector.hpp>

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

using random_engine = boost::random::mt19937_64;

constexpr std::uint64_t seeds = 10;
constexpr double tokens_per_ms = 68;

time_point at(double ms)
{
    return time_point(duration(1'000'000 + static_cast<std::int64_t>(ms)));
}

enum class policy : std::uint8_t { home, least_in_flight, two_random, without_probes, probed };

constexpr std::array<const char*, 5> policy_names{"home by affinity", "least in flight", "two random",
                                                  "expected time, no probes", "expected time, probed"};

/// One kind of traffic and of engines.
struct scenario {
    const char* name;
    std::array<double, 4> speeds{0.55, 1.2, 1.2, 1.2};
    double slow_share{1.0 / 7};
    double slow_ms{600};
    double slow_factor{2.5};
    bool slow_together{false};
    std::size_t clump{1};    ///< requests that arrive at the same moment
    double popular_share{0}; ///< of the requests have the part whose home is a slow engine
    double lost_probes{0};   ///< share of the probes without an answer
    double rate_per_s{190};
};

struct outcome {
    double p50{0};
    double p95{0};
    double p99{0};
    double cached_share{0}; ///< of the shared tokens
    double probes{0};       ///< for each request
};

struct engine {
    double speed{1};
    std::vector<double> switches; ///< times at which a slow period begins or ends, in turn
    double free_at{0};
    std::vector<double> reads;   ///< ends of the reading of prompts
    std::vector<double> answers; ///< ends of the requests
    std::unordered_map<std::uint64_t, double> cache;

    bool slow_at(double ms) const
    {
        return (std::upper_bound(switches.begin(), switches.end(), ms) - switches.begin()) % 2 == 1;
    }

    double end_of(double begin, double work, double factor) const
    {
        for (double now = begin;;) {
            const double pace = speed / (slow_at(now) ? factor : 1);
            const auto next = std::upper_bound(switches.begin(), switches.end(), now);
            const double until = next == switches.end() ? now + 1e9 : *next;
            if (work <= (until - now) * pace)
                return now + work / pace;
            work -= (until - now) * pace;
            now = until;
        }
    }

    load_report report(double ms, double factor)
    {
        const auto past = [ms](double it) { return it <= ms; };
        std::erase_if(reads, past);
        std::erase_if(answers, past);
        const auto waiting = reads.empty() ? 0 : reads.size() - 1;
        return {static_cast<std::uint32_t>(answers.size() - waiting), static_cast<std::uint32_t>(waiting),
                128, slow_at(ms) ? 100 * factor : 100};
    }
};

std::vector<double> slow_periods(const scenario& it, double length_ms, random_engine& random)
{
    boost::random::exponential_distribution<double> slow(1 / it.slow_ms);
    boost::random::exponential_distribution<double> usual(it.slow_share / (1 - it.slow_share) / it.slow_ms);
    std::vector<double> out;
    for (double now = usual(random); now < length_ms; now = out.back() + usual(random)) {
        out.push_back(now);
        out.push_back(now + slow(random));
    }
    return out;
}

struct instance_state {
    explicit instance_state(std::uint64_t seed) : load_aware(selector, statements, seed) {}

    endpoint_statements statements{"n"};
    endpoint_selector selector{statements};
    load_aware_selector load_aware;
    std::map<std::string, std::uint32_t> reported; ///< requests at each engine by its last report
    std::map<std::string, std::uint32_t> in_flight;
};

/// An event of an answer: its first bytes, or its end.
struct answer_event {
    double ms;
    std::size_t instance;
    std::size_t engine;
    std::shared_ptr<estimated_request> estimated; ///< nullptr: the answer ends

    bool operator>(const answer_event& other) const { return ms > other.ms; }
};

class simulation {
public:
    simulation(const scenario& it, policy how, std::uint64_t seed) : it_(it), how_(how), random_(seed)
    {
        const auto together = slow_periods(it_, length_ms, random_);
        for (std::size_t n = 0; n < engine_count; ++n) {
            engines_.push_back({it_.speeds[n % 4], {}, 0, {}, {}, {}});
            engines_.back().switches = it_.slow_together ? together : slow_periods(it_, length_ms, random_);
            endpoint one;
            one.id = "e" + std::to_string(n);
            one.pool = "p";
            one.domain = "a";
            one.slots = 128;
            listed_.push_back(one);
            index_[one.id] = n;
        }
        for (std::size_t n = 0; n < instance_count; ++n) {
            instances_.push_back(std::make_unique<instance_state>(seed * 1'000 + n));
            instances_.back()->selector.set_endpoints(listed_, at(0));
        }
        for (popular_ = 1'000; it_.speeds[index_.at(home_of(popular_)) % 4] >= 1;)
            ++popular_;
    }

    outcome run()
    {
        std::vector<double> weights;
        for (std::size_t n = 0; n < 300; ++n)
            weights.push_back(1 / std::sqrt(static_cast<double>(n + 1)));
        boost::random::discrete_distribution<std::size_t, double> part(weights);
        boost::random::exponential_distribution<double> gap(it_.rate_per_s / 1'000 /
                                                            static_cast<double>(it_.clump));
        for (double now = gap(random_); now < length_ms; now += gap(random_))
            for (std::size_t n = 0; n < it_.clump; ++n) {
                deliver_until(now);
                const bool popular = chance(it_.popular_share);
                serve(now, popular ? popular_ : part(random_) + 1, chance(0.6), now > warm_up_ms);
            }
        std::sort(waits_.begin(), waits_.end());
        const auto quantile = [this](double q) {
            return waits_[static_cast<std::size_t>(q * static_cast<double>(waits_.size()))];
        };
        return {quantile(0.5), quantile(0.95), quantile(0.99), cached_ / shared_, probes_ / requests_};
    }

private:
    static constexpr std::size_t engine_count = 60;
    static constexpr std::size_t instance_count = 64;
    static constexpr double length_ms = 40'000;
    static constexpr double warm_up_ms = 15'000;
    static constexpr double cache_ms = 30'000;
    static constexpr double probe_ms = 4;

    bool chance(double share)
    {
        return boost::random::uniform_int_distribution<int>(0, 9'999)(random_) < share * 10'000;
    }

    std::string home_of(std::uint64_t part) const
    {
        return instances_.front()->selector.select({"p", part, "a", {}, part, {}}, at(0))->id;
    }

    void deliver_until(double ms)
    {
        for (; !events_.empty() && events_.top().ms <= ms; events_.pop()) {
            const auto& it = events_.top();
            auto& at_instance = *instances_[it.instance];
            const auto& from = listed_[it.engine];
            if (it.estimated) {
                const auto report = engines_[it.engine].report(it.ms, it_.slow_factor);
                at_instance.load_aware.record_load(from, report, at(it.ms));
                at_instance.selector.record_load(from.id, report, at(it.ms));
                at_instance.reported[from.id] = report.running + report.waiting;
                it.estimated->record_first_event(at(it.ms));
            } else {
                at_instance.selector.end_attempt(from.id, attempt_outcome::answered, at(it.ms));
                --at_instance.in_flight[from.id];
            }
        }
    }

    std::size_t choose(double& now, instance_state& from, const request_profile& profile)
    {
        if (how_ == policy::two_random) {
            boost::random::uniform_int_distribution<std::size_t> any(0, engine_count - 1);
            const std::size_t a = any(random_);
            const std::size_t b = any(random_);
            const auto load = [&](std::size_t n) {
                return std::max(from.in_flight[listed_[n].id], from.reported[listed_[n].id]);
            };
            return load(b) < load(a) ? b : a;
        }
        auto criteria = profile.criteria;
        if (how_ == policy::least_in_flight)
            criteria.affinity_hash = 0;
        std::vector<drawn_endpoint> drawn;
        if (how_ == policy::without_probes || how_ == policy::probed)
            drawn = from.load_aware.draw(profile, at(now));
        bool waited = false;
        for (const auto& one : drawn) {
            if (how_ != policy::probed || !one.needs_probe)
                continue;
            ++probes_;
            waited = true;
            if (!chance(it_.lost_probes))
                from.load_aware.record_load(
                    one.to, engines_[index_.at(one.to.id)].report(now + probe_ms / 2, it_.slow_factor),
                    at(now));
        }
        if (waited)
            now += it_.lost_probes > 0 ? 3 * probe_ms : probe_ms;
        if (const auto it = from.load_aware.pick(profile, drawn, at(now)))
            return index_.at(it->to.id);
        return index_.at(from.selector.select(criteria, at(now))->id);
    }

    void serve(double arrival, std::uint64_t part, bool large, bool measured)
    {
        const std::uint32_t shared_tokens = large ? 5'382 : 1'000;
        const std::uint32_t own_tokens = large ? 6'610 : 800;
        request_profile profile;
        profile.prompt = {{part, shared_tokens}, {random_(), own_tokens}};
        profile.prompt_tokens = shared_tokens + own_tokens;
        profile.affinity_part = part;
        profile.criteria = {"p", part, "a", {}, part, {}};
        const auto n = boost::random::uniform_int_distribution<std::size_t>(0, instance_count - 1)(random_);
        auto& from = *instances_[n];
        double now = arrival;
        const std::size_t to = choose(now, from, profile);
        auto& engine = engines_[to];
        const auto cached = engine.cache.find(part);
        const bool hit = cached != engine.cache.end() && now - cached->second < cache_ms;
        engine.report(now, 1); // drops what has ended
        const double work = (own_tokens + (hit ? 0 : shared_tokens)) / tokens_per_ms;
        engine.free_at = engine.end_of(std::max(now, engine.free_at), work, it_.slow_factor);
        const double first = engine.free_at + 2;
        const double end = first + boost::random::exponential_distribution<double>(1.0 / 2'000)(random_);
        engine.reads.push_back(engine.free_at);
        engine.answers.push_back(end);
        engine.cache[part] = engine.free_at;
        from.selector.begin_attempt(listed_[to].id, at(now));
        ++from.in_flight[listed_[to].id];
        events_.push({first, n, to,
                      std::make_shared<estimated_request>(from.load_aware, listed_[to], profile, at(now))});
        events_.push({end, n, to, nullptr});
        ++requests_;
        shared_ += shared_tokens;
        cached_ += hit ? shared_tokens : 0;
        if (measured && large)
            waits_.push_back(first - arrival);
    }

    const scenario it_;
    const policy how_;
    random_engine random_;
    std::vector<engine> engines_;
    std::vector<endpoint> listed_;
    std::map<std::string, std::size_t> index_;
    std::vector<std::unique_ptr<instance_state>> instances_;
    std::uint64_t popular_{0};
    std::priority_queue<answer_event, std::vector<answer_event>, std::greater<>> events_;
    std::vector<double> waits_;
    double requests_{0};
    double probes_{0};
    double shared_{0};
    double cached_{0};
};

/// Runs a scenario with all policies over all seeds, prints a table of the means, and returns them.
std::array<outcome, 5> compare(const scenario& it)
{
    std::array<outcome, 5> out;
    std::printf("%s\n  %-26s %6s %6s %6s %7s %7s\n", it.name, "time to first event (ms)", "p50", "p95", "p99",
                "cached", "probes");
    for (std::size_t how = 0; how < out.size(); ++how) {
        auto& mean = out[how];
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto one = simulation(it, static_cast<policy>(how), seed).run();
            mean.p50 += one.p50 / seeds;
            mean.p95 += one.p95 / seeds;
            mean.p99 += one.p99 / seeds;
            mean.cached_share += one.cached_share / seeds;
            mean.probes += one.probes / seeds;
        }
        std::printf("  %-26s %6.0f %6.0f %6.0f %7.2f %7.2f\n", policy_names[how], mean.p50, mean.p95,
                    mean.p99, mean.cached_share, mean.probes);
    }
    return out;
}

const outcome& of(const std::array<outcome, 5>& all, policy it)
{
    return all[static_cast<std::size_t>(it)];
}

/// Checks that probes cut the slow tail, cost a bounded number of calls, and keep the use of the caches.
void check_better(const std::array<outcome, 5>& all)
{
    const auto& it = of(all, policy::probed);
    cr_expect_lt(it.p95, 0.85 * of(all, policy::home).p95);
    cr_expect_lt(it.p99, 0.75 * of(all, policy::home).p99);
    cr_expect_lt(it.p95, of(all, policy::without_probes).p95);
    cr_expect_lt(it.p95, 0.6 * of(all, policy::least_in_flight).p95);
    cr_expect_lt(it.p95, 0.6 * of(all, policy::two_random).p95);
    cr_expect_leq(it.probes, routing::max_candidates);
    cr_expect_gt(it.cached_share, 0.7);
}

} // namespace

// Guards against affinity that keeps requests at an engine of less than half the speed of others.
Test(expected_time, engines_of_two_speeds)
{
    scenario it{"engines_of_two_speeds"};
    it.slow_share = 0.001;
    check_better(compare(it));
}

// Guards against requests that wait at an engine in a slow period, which lasts too short for an instance to
// learn of it by its own answers.
Test(expected_time, noisy_neighbours)
{
    const auto all = compare(scenario{"noisy_neighbours"});
    check_better(all);
    cr_expect_lt(of(all, policy::probed).p95, 0.8 * of(all, policy::without_probes).p95);
}

// Guards against a queue at one slow engine whose cache has the part that a twentieth of the requests share.
Test(expected_time, popular_part_on_slow_engine)
{
    scenario it{"popular_part_on_slow_engine"};
    it.popular_share = 0.05;
    check_better(compare(it));
}

// Guards against requests of many instances that all go to the engine that looked best at the same moment.
Test(expected_time, clumped_arrivals)
{
    scenario it{"clumped_arrivals"};
    it.clump = 20;
    check_better(compare(it));
}

// Guards against requests that leave the engines that have their prompts when that doesn't help.
Test(expected_time, all_engines_slow_at_once)
{
    scenario it{"all_engines_slow_at_once"};
    it.slow_together = true;
    check_better(compare(it));
}

// Guards against a choice that is worse than by affinity alone when no probe is answered, although it waits
// for the longest time.
Test(expected_time, report_lost)
{
    scenario it{"report_lost"};
    it.lost_probes = 1;
    const auto all = compare(it);
    cr_expect_lt(of(all, policy::probed).p95, of(all, policy::home).p95);
    cr_expect_lt(of(all, policy::probed).p99, of(all, policy::home).p99);
    cr_expect_lt(of(all, policy::probed).p50, of(all, policy::home).p50 + 20);
}
