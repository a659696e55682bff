#include <limpetlock/lifecycle/stop_sequence.hpp>

#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

using namespace limpetlock;
using lifecycle::stop_sequence;

namespace {

/// Runs a script of the lines "signal MS", "step MS IN_FLIGHT no|yes" and "restart". Returns the script with
/// the state and the actions after each step.
std::string run(const std::string& script)
{
    stop_sequence it({duration{3000}, duration{20'000}, duration{2000}});
    std::istringstream in(script);
    std::string text;
    std::string out;
    while (std::getline(in, text)) {
        if (text.rfind("  -> ", 0) == 0)
            continue;
        out += text + "\n";
        std::istringstream line(text);
        std::string verb;
        std::int64_t ms = 0;
        std::size_t in_flight = 0;
        std::string handed_over;
        line >> verb >> ms >> in_flight >> handed_over;
        const time_point now{duration{ms}};
        if (verb == "restart")
            it = stop_sequence({duration{3000}, duration{20'000}, duration{2000}});
        if (verb == "signal")
            it.record_signal(now);
        if (verb != "step")
            continue;
        const auto actions = it.step(now, in_flight, handed_over == "yes");
        out += "  -> " + std::string(to_string(it.state()));
        for (const auto action : actions)
            out += " " + std::string(to_string(action));
        if (it.cut_request_count() > 0)
            out += " cut=" + std::to_string(it.cut_request_count()) + " by " + std::string(it.cut_reason());
        out += "\n";
    }
    return out;
}

} // namespace

// Guards against a stop that cuts a request without a second signal or the stop timeout, that refuses
// requests while the load balancer still sends them, or that seals the claim table while a request is in
// flight.
Test(stop_sequence, golden_sessions)
{
    const std::string path = std::string(LIMPETLOCK_GOLDEN_DIR) + "/stops.txt";
    std::ifstream in(path);
    const std::string expected{std::istreambuf_iterator<char>(in), {}};
    cr_assert_not(expected.empty());
    const auto actual = run(expected);
    if (std::getenv("LIMPETLOCK_REWRITE_GOLDEN") != nullptr)
        std::ofstream(path) << actual;
    else
        cr_assert_str_eq(actual.c_str(), expected.c_str(), "%s", actual.c_str());
}

// Guards against a controller that sleeps past a change of state, or that keeps waiting after the stop.
Test(stop_sequence, next_step_is_the_end_of_the_present_wait)
{
    stop_sequence it({duration{3000}, duration{20'000}, duration{2000}});
    cr_assert_not(it.next_step_time().has_value());
    it.record_signal(time_point{duration{100}});
    it.step(time_point{duration{100}}, 5, false);
    cr_assert(it.accepts_work());
    cr_assert(it.next_step_time() == time_point{duration{3100}});
    it.step(time_point{duration{3100}}, 5, false);
    cr_assert_not(it.accepts_work());
    cr_assert(it.next_step_time() == time_point{duration{20'100}});
    it.step(time_point{duration{4000}}, 0, false);
    cr_assert(it.next_step_time() == time_point{duration{6000}});
    it.step(time_point{duration{6000}}, 0, false);
    cr_assert_not(it.next_step_time().has_value());
}
