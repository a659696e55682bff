#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000'000 + ms));
}

endpoint endpoint_of(const std::string& id, std::int64_t started_ms = 1)
{
    endpoint out;
    out.id = id;
    out.pool = "pool";
    out.address = {"host-" + id, 80};
    out.started_ms = started_ms;
    return out;
}

answer_metadata answer_with(std::optional<double> max_rate)
{
    answer_metadata out;
    out.max_rate = max_rate;
    return out;
}

// The platform's rule: at most one and a half times what the limit allows in 4 s, and 5 requests more.
constexpr std::int64_t rule_window_ms = 4'000;

double allowed_by_rule(double rate)
{
    return 1.5 * rate * 4 + 5;
}

std::size_t worst_window(std::vector<std::int64_t> sent)
{
    std::sort(sent.begin(), sent.end());
    std::size_t out = 0;
    for (auto it = sent.begin(); it != sent.end(); ++it)
        out = std::max(out,
                       static_cast<std::size_t>(std::upper_bound(it, sent.end(), *it + rule_window_ms) - it));
    return out;
}

/// Demand and faults of a simulated fleet.
struct fleet_options {
    std::size_t instances{6};
    double rate{1};
    double demand_factor{1.5}; ///< demand divided by the limit, or requests a second for a limit of 0
    std::int64_t silence_begin{20'000};
    std::int64_t silence_end{40'000};
    std::int64_t change_interval{0}; ///< another instance becomes responsible this often; 0: never
    std::int64_t max_delay{0};       ///< a permitted request is sent up to this much later
};

struct fleet_result {
    std::size_t worst{0}; ///< most requests in 4 s
    double use{0};        ///< part of the limit that was used, without the silence
};

/// Plays 60 s of requests to one endpoint with a limit. An instance that was denied asks again no sooner than
/// it was told, and sends its request elsewhere.
fleet_result play(const fleet_options& options, std::uint32_t seed)
{
    constexpr std::int64_t length = 60'000;
    std::minstd_rand random(seed);
    std::map<std::int64_t, permit_issuer> issuers;
    std::vector<std::int64_t> held_until(options.instances, 0);
    std::vector<std::int64_t> sent;
    bool silent = true;
    const double demand = options.rate > 0 ? options.rate * options.demand_factor : options.demand_factor;
    std::exponential_distribution<double> gap(demand / 1'000);
    const auto ask = [&](std::size_t n, std::int64_t now) {
        if (held_until[n] > now)
            return;
        const std::int64_t term = options.change_interval > 0 ? now / options.change_interval : 0;
        const permit given = issuers[term].request({"e", options.rate, duration{0}, "team"}, at(now));
        if (given.granted)
            sent.push_back(now + static_cast<std::int64_t>(
                                     random() % static_cast<std::uint64_t>(options.max_delay + 1)));
        else
            held_until[n] = now + given.wait.count();
    };
    for (double next = gap(random); next < length; next += gap(random)) {
        const auto now = static_cast<std::int64_t>(next);
        if (now < options.silence_begin || now >= options.silence_end)
            ask(random() % options.instances, now);
        // All instances at once end the silence.
        if (now >= options.silence_end && std::exchange(silent, false))
            for (std::size_t n = 0; n < options.instances; ++n)
                ask(n, now);
    }
    fleet_result out;
    out.worst = worst_window(sent);
    const double seconds =
        static_cast<double>(length - (options.silence_end - options.silence_begin)) / 1'000;
    out.use = static_cast<double>(sent.size()) / (std::max(0.001, options.rate) * seconds);
    return out;
}

} // namespace

// Guards against a limit that all instances together exceed, in a steady flow and in a burst after a silence,
// and against one that they don't use, in fleets of the users' sizes.
Test(limit, fleet_keeps_the_limit_of_an_endpoint_and_uses_it)
{
    constexpr double min_use = 0.8;
    for (const std::size_t instances : {6UL, 24UL, 70UL, 90UL})
        for (const double rate : {0.0, 0.3, 1.0, 1.4, 10.0, 200.0})
            for (std::uint32_t seed = 1; seed <= 10; ++seed) {
                fleet_options options;
                options.instances = instances;
                options.rate = rate;
                options.demand_factor = 3;
                const auto out = play(options, seed);
                cr_expect_leq(static_cast<double>(out.worst), allowed_by_rule(rate), "%zu: %zu at %f",
                              instances, out.worst, rate);
                if (rate >= 1)
                    cr_expect_geq(out.use, min_use, "%zu: %f at %f", instances, out.use, rate);
            }
}

// Guards against an endpoint that gets the limit twice when another instance becomes responsible, and against
// permitted requests that come late and with others.
Test(limit, limit_holds_when_other_instances_become_responsible_and_requests_come_late)
{
    for (const double rate : {0.0, 1.0, 1.4, 10.0, 200.0})
        for (const std::int64_t change_interval : {300, 1'000, 5'000})
            for (std::uint32_t seed = 1; seed <= 10; ++seed) {
                fleet_options options;
                options.rate = rate;
                options.demand_factor = 5;
                options.change_interval = change_interval;
                options.max_delay = 2'000;
                const auto out = play(options, seed);
                cr_expect_leq(static_cast<double>(out.worst), allowed_by_rule(rate), "%zu at %f", out.worst,
                              rate);
            }
}

// Guards against urgent requests and small teams that get nothing from a pool that takes less than the
// traffic.
Test(limit, requests_that_can_wait_longer_and_small_teams_get_permits_first)
{
    permit_issuer issuer;
    std::minstd_rand random(1);
    std::map<std::string, std::pair<int, int>> by_team; // requests and grants
    int urgent = 0;
    int urgent_granted = 0;
    for (std::int64_t now = 0; now < 120'000; now += 20) {
        // 50 requests a second for 10 permits: the large team sends nine of ten, one in eight is urgent.
        const std::string team = random() % 10 == 0 ? "small" : "large";
        const bool is_urgent = random() % 8 == 0;
        const permit given = issuer.request({"e", 10, duration(is_urgent ? 1'000 : 200), team}, at(now));
        ++by_team[team].first;
        by_team[team].second += given.granted ? 1 : 0;
        if (is_urgent && team == "small") {
            ++urgent;
            urgent_granted += given.granted ? 1 : 0;
        }
    }
    const auto share = [&](const std::string& team) {
        return static_cast<double>(by_team[team].second) / by_team[team].first;
    };
    cr_expect_gt(share("small"), 0.6, "%f", share("small"));
    cr_expect_gt(share("small"), 2 * share("large"), "%f and %f", share("small"), share("large"));
    cr_expect_gt(static_cast<double>(urgent_granted) / urgent, 0.9);
}

// Guards against a limit that ends too early, by an answer that was on its way when it was stated or that
// isn't the endpoint's own, and against one that never ends.
Test(limit, limit_ends_with_an_answer_to_a_later_request_without_one)
{
    endpoint_statements limits("one");
    limits.set_endpoints({endpoint_of("e")});
    limits.record_answer("e", answer_with(1.4), true, at(0), at(100));
    cr_assert_not_null(limits.find("e"));
    cr_expect_eq(limits.find("e")->max_rate.value_or(0), 1.4);
    limits.record_answer("e", answer_with(std::nullopt), true, at(50), at(200));
    cr_expect_not_null(limits.find("e"), "a stream that had begun earlier");
    limits.record_answer("e", answer_with(std::nullopt), false, at(150), at(200));
    cr_expect_not_null(limits.find("e"), "not the endpoint's own answer");
    answer_metadata malformed;
    malformed.malformed_max_rate = true;
    limits.record_answer("e", malformed, true, at(150), at(200));
    answer_metadata wrong;
    wrong.wrong_endpoint = true;
    limits.record_answer("e", wrong, true, at(150), at(200));
    cr_expect_not_null(limits.find("e"));
    limits.record_answer("e", answer_with(0), true, at(150), at(200));
    cr_expect_eq(limits.find("e")->max_rate.value_or(-1), 0);
    limits.record_answer("e", answer_with(std::nullopt), true, at(250), at(300));
    cr_expect_null(limits.find("e"));
}

// Guards against a limit that outlives the endpoint that stated it, and against one of an endpoint whose
// process has restarted.
Test(limit, limit_is_forgotten_with_its_endpoint)
{
    endpoint_statements limits("one");
    limits.set_endpoints({endpoint_of("e"), endpoint_of("f")});
    limits.record_answer("e", answer_with(1), true, at(0), at(100));
    limits.record_answer("f", answer_with(1), true, at(0), at(100));
    limits.record_answer("g", answer_with(1), true, at(0), at(100));
    cr_expect_eq(limits.count(), 2);
    cr_expect_eq(limits.endpoint_at({"host-f", 80}), "f");
    limits.set_endpoints({endpoint_of("e", 2)});
    cr_expect_eq(limits.count(), 0);
    limit_statement old{"e", 1, 1.0, "two", at(200)};
    limits.merge(old, at(300));
    cr_expect_eq(limits.count(), 0, "of the process before");
}

// Guards against instances that were not told themselves and don't keep the limit, and against an end that
// an older statement undoes.
Test(limit, statements_spread_to_peers_and_the_newest_holds)
{
    endpoint_statements one("one");
    endpoint_statements two("two");
    std::vector<endpoint> all;
    for (int n = 0; n < 60; ++n)
        all.push_back(endpoint_of("e" + std::to_string(n)));
    one.set_endpoints(all);
    two.set_endpoints(all);
    for (const auto& it : all)
        one.record_answer(it.id, answer_with(2), true, at(0), at(100));
    const auto version = two.version();
    for (int n = 0; n < 3; ++n)
        for (const auto& it : one.statements_for_peers(at(200), 24))
            two.merge(it, at(200));
    cr_expect_eq(two.count(), all.size());
    cr_expect_gt(two.version(), version);
    two.record_answer("e0", answer_with(std::nullopt), true, at(300), at(400));
    for (int n = 0; n < 3; ++n) {
        for (const auto& it : one.statements_for_peers(at(400), 24))
            two.merge(it, at(400));
        for (const auto& it : two.statements_for_peers(at(400), 24))
            one.merge(it, at(400));
    }
    cr_expect_null(two.find("e0"));
    cr_expect_null(one.find("e0"));
    cr_expect_eq(one.count(), all.size() - 1);
}
