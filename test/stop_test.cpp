#include "fleet/fleet.hpp"
#include "fleet/load.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <testkit/outputs.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace limpetlock;
using limpetlock::test::fleet;
using limpetlock::test::steady_load;
using nlohmann::json;

namespace {

constexpr int exit_code_requests_cut = 4;
constexpr std::int64_t tokens = 120;
constexpr duration exit_timeout{50'000};

/// Half of the fleet's balancer lag. A balancer within its lag may send a call this long after the instance
/// reported ready.
constexpr duration max_readiness_age{150};

std::string prompt_of(const std::string& input)
{
    std::string out = input;
    for (const char* stage : {"encode", "retrieve", "rerank"})
        out = testkit::stage_output(stage, out);
    return out;
}

bool is_correct(const test::streamed_answer& it, const std::string& prompt)
{
    const auto length = testkit::generation_length(prompt, tokens);
    if (!it.done || static_cast<std::int64_t>(it.tokens.size()) != length)
        return false;
    for (std::int64_t n = 0; n < length; ++n)
        if (it.tokens[static_cast<std::size_t>(n)] != testkit::token_text(prompt, n))
            return false;
    return true;
}

struct call_counts {
    std::atomic<int> correct{0};
    std::atomic<int> wrong{0};
    std::atomic<int> cut{0};
    std::atomic<int> refused_while_ready{0};
    std::atomic<int> last_number{0}; ///< Number of the last call.
};

/// Sends a stream or a short call to an instance if it reports ready, as a balancer does, and counts the
/// outcome.
void call_while_ready(const fleet& it, std::size_t instance, bool streamed, call_counts& out)
{
    constexpr duration pause_between_calls{20};
    std::this_thread::sleep_for(pause_between_calls);
    const time_point asked = boot_clock::now();
    if (!it.ready(instance) || boot_clock::now() - asked > max_readiness_age)
        return;
    const int number = ++out.last_number;
    if (streamed) {
        const std::string input = fmt::format("stream {}", number);
        const auto got = it.stream_async(instance, "stock-answer", input, tokens).get();
        if (is_correct(got, prompt_of(input)))
            ++out.correct;
        else if (got.done)
            ++out.wrong;
        else if (got.status != 200 && got.status != 0)
            ++out.refused_while_ready;
        else
            ++out.cut;
        return;
    }
    const json body{{"plant", number}};
    const auto got = it.post(instance, "/v1/services/plant-feed/stock", body);
    if (got.status == 200 && got.json()["result"] == testkit::service_result("stock", body))
        ++out.correct;
    else if (got.status == 200)
        ++out.wrong;
    else if (got.status == 0)
        ++out.cut;
    else
        ++out.refused_while_ready;
}

} // namespace

// Guards against a rolling restart that cuts streams, refuses calls that a balancer still sends, or ends a
// process with an exit code other than 0.
Test(stop, cuts_nothing_in_a_rolling_restart)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.endpoint_fault({{"pool", "model"}, {"slow", 5}});
    call_counts calls;
    steady_load load(it.size() * 2,
                     [&](std::size_t n) { call_while_ready(it, n % it.size(), n < it.size(), calls); });
    cr_assert(it.wait_until([&] { return calls.correct > 50; }));
    for (std::size_t n = 0; n < it.size(); ++n) {
        it.terminate(n);
        const auto code = it.wait_exit(n, exit_timeout);
        cr_assert(code.has_value(), "%s doesn't end", it.name(n).c_str());
        cr_assert_eq(*code, 0, "%s ends with %d", it.name(n).c_str(), *code);
        it.start(n);
        cr_assert(it.wait_until([&] { return it.ready(n); }, duration{30'000}));
    }
    load.stop();
    fmt::print("rolling restart: {} correct, {} cut, {} wrong, {} refused while ready\n",
               calls.correct.load(), calls.cut.load(), calls.wrong.load(), calls.refused_while_ready.load());
    cr_assert_eq(calls.cut, 0);
    cr_assert_eq(calls.wrong, 0);
    cr_assert_eq(calls.refused_while_ready, 0);
}

// Guards against a second signal without effect, and against an exit code that doesn't report the cut
// requests.
Test(stop, cuts_at_the_second_signal)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.endpoint_fault({{"pool", "model"}, {"slow", 10}});
    auto stream = it.stream_async(0, "stock-answer", "a long answer", tokens);
    cr_assert(it.wait_until([&] { return it.state(0).value("requests_in_flight", 0) == 1; }));
    it.terminate(0);
    cr_assert(it.wait_until([&] { return it.state(0).value("stop_state", "") == "draining"; }));
    cr_assert_eq(it.state(0).value("requests_in_flight", 0), 1);
    it.terminate(0);
    const auto code = it.wait_exit(0, exit_timeout);
    cr_assert(code.has_value());
    cr_assert_eq(*code, exit_code_requests_cut, "%d", *code);
    cr_assert(!stream.get().done);
}
