#include <limpetlock/gateway/second_attempts.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;
using verdict = second_attempt_verdict;

namespace {

const time_point start{duration(1'000'000)};
const time_class reads{"lookup", 0};
const std::string pool = "plain";

second_attempt_settings settings_with(double share)
{
    second_attempt_settings out;
    out.share = share;
    return out;
}

hedged_request read_request()
{
    hedged_request out;
    out.repeatable = true;
    out.max_attempts = 2;
    return out;
}

hedging_situation situation(duration elapsed)
{
    hedging_situation out;
    out.other = "other";
    out.elapsed = elapsed;
    return out;
}

/// Requests at a steady rate to the endpoints of one pool in turn, in simulated time.
class simulation {
public:
    /// The time that an endpoint takes for a request that reaches it now.
    using service_time = std::function<duration(std::size_t endpoint, time_point now)>;

    simulation(double share, service_time time) : it_(settings_with(share)), time_(std::move(time)) {}

    void run(duration length)
    {
        const time_point end = start + length;
        for (time_point now = start; now < end; now += interval) {
            finish(now);
            begin(now);
        }
        finish(end + duration(60'000));
    }

    /// Share of the requests that began in a time and were answered within `limit`.
    double answered_within(duration limit, time_point from) const
    {
        double all = 0;
        double within = 0;
        for (const auto& [at, took] : answers_)
            if (at >= from) {
                ++all;
                within += took <= limit ? 1 : 0;
            }
        return within / all;
    }

    std::size_t sent_since(time_point from) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent_.begin(), sent_.end(), [from](time_point at) { return at >= from; }));
    }

    static constexpr std::size_t endpoints = 40;
    static constexpr duration interval{10};

private:
    static std::string name(std::size_t endpoint) { return "e" + std::to_string(endpoint); }

    void finish(time_point now)
    {
        while (!ends_.empty() && ends_.begin()->first <= now) {
            const auto at = ends_.begin()->first;
            const auto action = std::move(ends_.begin()->second);
            ends_.erase(ends_.begin());
            action(at);
        }
    }

    void begin(time_point now)
    {
        const std::size_t first = number_++ % endpoints;
        it_.record_first_request(pool, now);
        budget_.record_first_attempt(now);
        const duration took = time_(first, now);
        const auto delay = it_.delay(reads, now);
        if (!delay || took <= *delay) {
            end(now, first, took, true);
            return;
        }
        ends_.emplace(now + *delay, [=, this](time_point at) { hedge(now, at, first, took); });
    }

    void hedge(time_point began, time_point now, std::size_t first, duration took)
    {
        const std::size_t second = (first + 1) % endpoints;
        auto known = situation(now - began);
        known.other = name(second);
        if (it_.decide(read_request(), reads, known, now) != verdict::send ||
            it_.acquire(pool, budget_, 1, now) != verdict::send) {
            end(began, first, took, true);
            return;
        }
        sent_.push_back(now);
        const duration other = now - began + time_(second, now);
        end(began, first, std::min(took, other), took <= other);
    }

    void end(time_point began, std::size_t first, duration answered, bool answered_by_first)
    {
        answers_.emplace_back(began, answered);
        ends_.emplace(began + answered, [=, this](time_point at) {
            it_.record_time(reads, name(first), answered, answered_by_first, at);
        });
    }

    second_attempts it_;
    service_time time_;
    retry_share budget_{retry_share_options{}};
    std::size_t number_{0};
    std::multimap<time_point, std::function<void(time_point)>> ends_;
    std::vector<std::pair<time_point, duration>> answers_;
    std::vector<time_point> sent_;
};

} // namespace

// Guards against a request that must not run twice and gets a second attempt, and against one beyond the
// attempts of its route or of a kind that is off.
Test(second_attempts, only_repeatable_requests_have_one)
{
    const auto on = settings_with(0.1);
    for (const bool repeatable : {false, true})
        for (const bool stream : {false, true})
            for (const bool resumable : {false, true}) {
                hedged_request it = read_request();
                it.repeatable = repeatable;
                it.stream = stream;
                it.resumable = resumable;
                const bool may = stream ? resumable : repeatable;
                cr_expect_eq(may_have_second_attempt(it, on), may ? verdict::send : verdict::not_repeatable);
                cr_expect_neq(may_have_second_attempt(it, {}), verdict::send);
                it.answer_begun = true;
                cr_expect_eq(may_have_second_attempt(it, on), verdict::not_repeatable);
            }
    auto read = read_request();
    read.possible_executions = 1;
    cr_expect_eq(may_have_second_attempt(read, on), verdict::attempts_used_up);
    auto streams_only = on;
    streams_only.reads = false;
    cr_expect_eq(may_have_second_attempt(read_request(), streams_only), verdict::kind_off);
}

// Guards against settings that exceed what the operator may set, or that are taken as something else.
Test(second_attempts, invalid_settings_are_rejected)
{
    std::string reason;
    const auto make = [&reason](double share, std::int64_t delay, std::string_view kinds) {
        reason.clear();
        return make_second_attempt_settings(share, delay, kinds, reason);
    };
    cr_assert(make(0, 50, "read,stream"));
    cr_expect(*make(0, 50, "read,stream") == second_attempt_settings{});
    const auto streams = make(0.2, 0, "stream");
    cr_assert(streams);
    cr_expect(streams->streams && !streams->reads);
    for (const double share : {-0.01, 0.21, std::nan(""), std::numeric_limits<double>::infinity()}) {
        cr_expect_not(make(share, 50, "read"));
        cr_expect_neq(reason.find("--second_attempt_share"), std::string::npos);
    }
    for (const std::int64_t ms : {std::int64_t{-1}, std::numeric_limits<std::int64_t>::max()}) {
        cr_expect_not(make(0.1, ms, "read"));
        cr_expect_neq(reason.find("--second_attempt_min_delay_ms"), std::string::npos);
    }
    for (const auto* const kinds : {"", "write", "read,", ",read", "read stream"}) {
        cr_expect_not(make(0.1, 50, kinds), "'%s'", kinds);
        cr_expect_neq(reason.find("--second_attempt_kinds"), std::string::npos);
    }
}

// Guards against slow answers that stay slow although another endpoint would answer at once, and against a
// delay that falls from one second attempt to the next since the times of the slow ones are never seen.
Test(second_attempts, one_slow_endpoint)
{
    const auto times = [](std::size_t endpoint, time_point now) {
        const duration usual(100 + to_ms(now) / 10 * 37 % 200);
        return endpoint == 7 && now > start + duration(10'000) ? duration(2'000) : usual;
    };
    simulation without(0, times);
    without.run(duration(60'000));
    simulation with(0.2, times);
    with.run(duration(60'000));
    const time_point from = start + duration(12'000);
    cr_expect_lt(without.answered_within(duration(700), from), 0.98);
    cr_expect_gt(with.answered_within(duration(700), from), 0.995);
    const double share = static_cast<double>(with.sent_since(from)) / 4'800;
    cr_expect_leq(share, 0.06, "second attempts for %f of the requests", share);
}

// Guards against second attempts that load endpoints which are all slow together.
Test(second_attempts, all_slow)
{
    const time_point slow_from = start + duration(20'000);
    simulation it(0.2, [slow_from](std::size_t endpoint, time_point now) {
        const duration usual(30 + static_cast<std::int64_t>(endpoint % 5) * 5);
        return now < slow_from ? usual : 20 * usual;
    });
    it.run(duration(60'000));
    cr_expect_eq(it.sent_since(start) - it.sent_since(slow_from - duration(200)), 0U);
    cr_expect_leq(it.sent_since(start), 200U);
    cr_expect_eq(it.sent_since(slow_from + duration(3'000)), 0U);
}

// Guards against more second attempts than the operator allows, and against retries and second attempts that
// exceed the retry budget together.
Test(second_attempts, share_used_up_and_budget_shared_with_retries)
{
    second_attempts it(settings_with(0.05));
    retry_share budget{retry_share_options{}};
    time_point now = start;
    for (int n = 0; n < 100; ++n) {
        it.record_first_request(pool, now);
        budget.record_first_attempt(now);
    }
    int sent = 0;
    for (int n = 0; n < 20; ++n)
        sent += it.acquire(pool, budget, 6, now) == verdict::send ? 1 : 0;
    cr_expect_eq(sent, 5);
    cr_expect_eq(it.acquire(pool, budget, 6, now), verdict::share_used_up);
    cr_expect_eq(it.acquire("other", budget, 6, now), verdict::share_used_up);
    int retries = 0;
    while (budget.try_acquire_retry(6, now))
        ++retries;
    cr_expect_eq(retries, 5);
    now += duration(5'000);
    for (int n = 0; n < 100; ++n)
        it.record_first_request(pool, now);
    cr_expect_eq(it.acquire(pool, budget, 6, now), verdict::budget_used_up);
    cr_expect_eq(it.acquire(pool, budget, 6, now + duration(6'000)), verdict::budget_used_up);
    for (int n = 0; n < 20; ++n)
        budget.record_first_attempt(now + duration(6'000));
    cr_expect_eq(it.acquire(pool, budget, 6, now + duration(6'000)), verdict::send);
}

// Guards against second attempts that can't help or must not be sent, and against a delay from too few or old
// times, below the least delay, or of requests of another size.
Test(second_attempts, reasons_of_suppression)
{
    second_attempts it(settings_with(0.1));
    const auto record = [&it](const std::string& endpoint, int n, duration took) {
        for (int k = 0; k < n; ++k)
            it.record_time(reads, endpoint, took, true, start);
    };
    record("fast", static_cast<int>(recent_times::min_samples) - 1, duration(100));
    cr_expect_eq(it.decide(read_request(), reads, situation(duration(150)), start), verdict::too_few_samples);
    record("fast", 180, duration(100));
    cr_expect_eq(it.delay(reads, start)->count(), 100);
    cr_expect_not(it.delay({"lookup", size_class(4'000)}, start));
    cr_expect_not(it.delay(reads, start + recent_times::window));

    const auto usual = situation(duration(150));
    cr_expect_eq(it.decide(read_request(), reads, usual, start), verdict::send);
    std::map<verdict, hedging_situation> cases;
    cases[verdict::stopping] = usual;
    cases[verdict::stopping].stopping = true;
    cases[verdict::suspected_part] = usual;
    cases[verdict::suspected_part].suspected_part = true;
    cases[verdict::no_better_endpoint] = usual;
    cases[verdict::no_better_endpoint].other.reset();
    cases[verdict::requests_waiting] = usual;
    cases[verdict::requests_waiting].other_waiting = true;
    for (const auto& [expected, known] : cases)
        cr_expect_eq(it.decide(read_request(), reads, known, start), expected, "%s",
                     std::string(to_string(expected)).c_str());
    auto crowded = usual;
    crowded.reporting_endpoints = 5;
    crowded.waiting_endpoints = 3;
    cr_expect_eq(it.decide(read_request(), reads, crowded, start), verdict::requests_waiting);
    crowded.waiting_endpoints = 2;
    cr_expect_eq(it.decide(read_request(), reads, crowded, start), verdict::send);
    auto failing = usual;
    failing.other_backed_off = true;
    cr_expect_eq(it.decide(read_request(), reads, failing, start), verdict::no_better_endpoint);
    auto late = usual;
    late.time_left = duration(90);
    cr_expect_eq(it.decide(read_request(), reads, late, start), verdict::no_better_endpoint);
    auto released = read_request();
    released.inputs_released = true;
    cr_expect_eq(it.decide(released, reads, usual, start), verdict::inputs_released);

    // The other endpoint has been slower than what the first one is expected to need still.
    record("other", 5, duration(400));
    cr_expect_eq(it.decide(read_request(), reads, usual, start), verdict::no_better_endpoint);

    second_attempts quick(settings_with(0.1));
    for (int n = 0; n < 30; ++n)
        quick.record_time(reads, "fast", duration(2), true, start);
    cr_expect_eq(quick.delay(reads, start)->count(), 50);
}
