#include "fleet/fleet.hpp"
#include "fleet/load.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <testkit/outputs.hpp>

#include <atomic>
#include <string>
#include <thread>

using namespace limpetlock;
using limpetlock::test::fleet;
using limpetlock::test::steady_load;
using nlohmann::json;

namespace {

constexpr const char* pool = "plant-feed";

/// Target P5: a leaving endpoint gets no new work later than this after the first sign that it leaves.
constexpr duration leaving_target{3'000};

constexpr std::size_t callers_per_instance = 2;
constexpr duration pause_between_calls{10};

test::fleet_options larger_pool()
{
    test::fleet_options out;
    out.endpoints[pool] = 4;
    return out;
}

struct call_counts {
    std::atomic<int> correct{0};
    std::atomic<int> wrong{0};
    std::atomic<int> other_answers{0}; ///< Refusals, errors and missing answers.
};

/// Calls the pool through an instance and checks the result, which depends only on the request.
void call_and_count(const fleet& it, std::size_t instance, call_counts& out)
{
    static std::atomic<int> last_number{0};
    const json body{{"plant", ++last_number}};
    const auto got = it.post(instance, "/v1/services/plant-feed/stock", body);
    if (got.status != 200)
        ++out.other_answers;
    else if (got.json()["result"] == testkit::service_result("stock", body))
        ++out.correct;
    else
        ++out.wrong;
    std::this_thread::sleep_for(pause_between_calls);
}

std::int64_t endpoint_total(const fleet& it, const std::string& endpoint, const char* count)
{
    return it.endpoint_totals(endpoint).value(count, std::int64_t{0});
}

/// Returns the state of an endpoint that an instance reports, or an empty string without an answer. An
/// instance that sends an endpoint nothing doesn't list it; its state is then "absent".
std::string endpoint_state_at(const fleet& it, std::size_t instance, const std::string& endpoint)
{
    const json page = it.state(instance);
    if (!page.is_object())
        return {};
    for (const auto& row : page["members"]["endpoints"])
        if (row["name"] == endpoint)
            return row["state"];
    return "absent";
}

/// Returns whether all instances report the endpoint as live, or none if `expected_live` is false.
bool all_report_live(const fleet& it, const std::string& endpoint, bool expected_live)
{
    for (std::size_t n = 0; n < it.size(); ++n) {
        const std::string state = endpoint_state_at(it, n, endpoint);
        if (state.empty() || (state == "live") != expected_live)
            return false;
    }
    return true;
}

/// Marks an endpoint as leaving under load, and checks that it gets no new calls after the target.
void mark_leaving_under_load(const fleet& it, const json& leaving_list_entry)
{
    const std::string leaving = it.endpoint_names(pool).front();
    call_counts calls;
    steady_load load(it.size() * callers_per_instance,
                     [&](std::size_t n) { call_and_count(it, n % it.size(), calls); });
    cr_assert(it.wait_until([&] { return calls.correct > 200; }));
    cr_assert_gt(endpoint_total(it, leaving, "runs"), 0);
    it.endpoint_fault({{"endpoint", leaving}, {"leaving", true}});
    if (!leaving_list_entry.is_null())
        it.change_instances({{"update", json::array({leaving_list_entry})}});
    cr_assert(it.wait_until([&] { return endpoint_total(it, leaving, "refused_leaving") > 0; }));
    it.wait_until([] { return false; }, leaving_target);
    const auto refused_in_time = endpoint_total(it, leaving, "refused_leaving");
    const int correct = calls.correct;
    cr_assert(it.wait_until([&] { return calls.correct > correct + 1000; }));
    load.stop();
    const auto refused = endpoint_total(it, leaving, "refused_leaving");
    fmt::print("leaving endpoint: {} refused calls, the last {} ms after it began to leave\n", refused,
               endpoint_total(it, leaving, "last_call_after_leaving_ms"));
    cr_assert_eq(refused, refused_in_time, "%ld calls in 3 s, %ld in all", refused_in_time, refused);
    cr_assert_eq(calls.wrong, 0);
    cr_assert_eq(calls.other_answers, 0, "%d callers got no answer", calls.other_answers.load());
}

} // namespace

// Guards against new work for a leaving endpoint while the instance list is stale and still lists it as live.
Test(leaving, gets_no_new_work_with_a_stale_list)
{
    fleet it(larger_pool());
    cr_assert(it.wait_ready());
    it.platform_fault({{"mode", "stale"}});
    mark_leaving_under_load(it, nullptr);
}

// Guards against new work for a leaving endpoint while the instance list shows the change 30 s late.
Test(leaving, gets_no_new_work_with_a_list_that_lags)
{
    fleet it(larger_pool());
    cr_assert(it.wait_ready());
    it.platform_fault({{"instances_lag_ms", 30'000}});
    mark_leaving_under_load(it, {{"name", it.endpoint_names(pool).front()}, {"state", "leaving"}});
}

// Guards against an instance that resumes after a pause longer than the timeout of its calls, takes the
// expired calls for failures of the endpoints, and ejects the endpoints.
Test(leaving, ejects_no_endpoint_when_a_frozen_instance_wakes)
{
    constexpr std::size_t frozen = 1;
    constexpr duration pause{4'000};
    fleet it(larger_pool());
    cr_assert(it.wait_ready());
    it.endpoint_fault({{"pool", pool}, {"slow", 40}});
    call_counts calls;
    steady_load load(16, [&](std::size_t) { call_and_count(it, frozen, calls); });
    cr_assert(it.wait_until([&] { return calls.correct > 50; }));
    const auto ejections = [&] {
        return it.state(frozen)["members"]["counters"].value("ejections", std::int64_t{-1});
    };
    const auto before = ejections();
    it.freeze(frozen);
    it.wait_until([] { return false; }, pause);
    it.thaw(frozen);
    const int correct = calls.correct;
    cr_assert(it.wait_until([&] { return calls.correct > correct + 200; }));
    load.stop();
    cr_assert_eq(ejections(), before, "%ld ejections before, %ld after", before, ejections());
    for (const auto& name : it.endpoint_names(pool))
        cr_assert_eq(endpoint_state_at(it, frozen, name), "live");
    cr_assert_eq(calls.wrong, 0);
}

// Guards against calls to a dead endpoint, and against an endpoint that gets no calls after its return.
Test(leaving, sends_nothing_to_a_dead_endpoint_until_it_returns)
{
    fleet it(larger_pool());
    cr_assert(it.wait_ready());
    const std::string dead = it.endpoint_names(pool).front();
    call_counts calls;
    steady_load load(it.size() * callers_per_instance,
                     [&](std::size_t n) { call_and_count(it, n % it.size(), calls); });
    cr_assert(it.wait_until([&] { return calls.correct > 200; }));
    it.endpoint_fault({{"endpoint", dead}, {"down", true}, {"refuse", true}});
    cr_assert(it.wait_until([&] { return all_report_live(it, dead, false); }));
    const int correct = calls.correct;
    const int other_answers = calls.other_answers;
    cr_assert(it.wait_until([&] { return calls.correct > correct + 1000; }));
    cr_assert_eq(calls.other_answers, other_answers, "%d callers got no answer",
                 calls.other_answers - other_answers);
    const auto runs = endpoint_total(it, dead, "runs");
    it.endpoint_fault({{"endpoint", dead}, {"clear", true}});
    cr_assert(it.wait_until([&] { return all_report_live(it, dead, true); }, duration{40'000}));
    cr_assert(it.wait_until([&] { return endpoint_total(it, dead, "runs") > runs + 50; }));
    load.stop();
    cr_assert_eq(calls.wrong, 0);
}
