/// \file
/// Load tool: sends seeded open-loop arrivals to the system or directly to endpoints and checks every answer.
/// See docs/stand-ins.md. Exits with code 1 after a violation and with code 2 if the run itself failed.

#include "driver.hpp"
#include "testkit/report.hpp"
#include "testkit/strict_json.hpp"

#include <limpetlock/support/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/core.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>
#include <stdexcept>

DEFINE_string(scenario, "", "scenario file (JSON)");
DEFINE_string(deployment, "", "configuration document of the deployment (JSON)");
DEFINE_string(set, "", "JSON file of utils/local-set: instances, endpoints and endpoint controls");
DEFINE_string(instances, "", "HOST:PORT,... of the instances; overrides --set");
DEFINE_string(endpoint_control, "", "HOST:PORT,... of endpoint control ports; overrides --set");
DEFINE_bool(direct, false, "call the endpoints of --set directly instead of the instances");
DEFINE_bool(strict_cuts, false, "count a stream without an end as a broken promise");
DEFINE_double(skew, 0, "unevenness of the balancer: weight of instance n is 1/(n+1)^skew");
DEFINE_double(scale, 1, "factor on all rates and bursts");
DEFINE_uint32(seed, 0, "seed instead of the scenario's; 0 keeps it");
DEFINE_string(run_id, "", "part of every input and key; default from the clock");
DEFINE_int64(grace_ms, 1000, "how long after its deadline an answer is waited for");
DEFINE_int64(settle_ms, 1000, "wait before the records of the endpoints are read");
DEFINE_string(arrivals_out, "", "write the arrivals to this file (JSON lines)");
DEFINE_string(replay, "", "read the arrivals from this file instead of the scenario");
DEFINE_string(results, "", "write a JSON line for each request to this file");
DEFINE_string(summary, "", "write the summary (JSON) to this file");

namespace {

using limpetlock::http::address;
using limpetlock::loadgen::driver;
using limpetlock::loadgen::target;
using limpetlock::testkit::arrival;
using limpetlock::testkit::read_json;
using limpetlock::testkit::request_result;
using nlohmann::json;

address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("expected HOST:PORT, got " + text);
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

std::vector<address> parse_list(const std::string& flag, const json& from_set)
{
    std::vector<address> out;
    std::istringstream list(flag);
    for (std::string it; std::getline(list, it, ',');)
        out.push_back(parse_address(it));
    if (flag.empty())
        for (const auto& it : from_set)
            out.push_back(parse_address(it));
    return out;
}

target make_target(const json& set)
{
    target out;
    out.instances = parse_list(FLAGS_instances, set.value("instances", json::array()));
    for (const auto& it : set.value("endpoints", json::array()))
        out.pools[it.at("pool")].push_back({it.at("address"), it.at("port")});
    out.direct = FLAGS_direct;
    out.skew = FLAGS_skew;
    out.grace_ms = FLAGS_grace_ms;
    if (out.direct ? out.pools.empty() : out.instances.empty())
        throw std::invalid_argument("no instances or endpoints given");
    return out;
}

std::vector<arrival> load_arrivals(const json& deployment)
{
    namespace testkit = limpetlock::testkit;
    auto run_id = FLAGS_run_id;
    if (run_id.empty())
        run_id = fmt::format("r{:x}", std::chrono::system_clock::now().time_since_epoch().count());
    std::vector<arrival> out;
    if (FLAGS_replay.empty()) {
        auto from = testkit::parse_scenario(read_json(FLAGS_scenario), deployment);
        if (FLAGS_seed != 0)
            from.seed = FLAGS_seed;
        return testkit::make_arrivals(from, deployment, run_id, FLAGS_scale);
    }
    std::ifstream in(FLAGS_replay);
    for (std::string line; std::getline(in, line);) {
        auto it = testkit::parse_strict<arrival>(json::parse(line));
        it.input_id = fmt::format("{}-{}", run_id, it.number);
        out.push_back(it);
    }
    return out;
}

std::ofstream open_file(const std::string& path)
{
    std::ofstream out(path);
    if (!out)
        throw std::runtime_error("can't write " + path);
    return out;
}

/// Reads the runs of all endpoint processes; `after` has the number of the last run to skip for each control
/// port.
boost::asio::awaitable<std::vector<json>> read_runs(driver& it, std::vector<address> controls,
                                                    const std::vector<std::int64_t>& after)
{
    std::vector<json> out;
    for (std::size_t n = 0; n < controls.size(); ++n) {
        auto next = after[n];
        for (bool more = true; more;) {
            const std::string path = fmt::format("/control/runs?after={}", next);
            auto page = co_await it.get(controls[n], path);
            if (page.is_discarded())
                throw std::runtime_error("can't read the records of an endpoint process");
            if (page.at("dropped").get<std::int64_t>() > next)
                throw std::runtime_error("an endpoint process has dropped records of this run");
            for (auto& run : page.at("runs"))
                out.push_back(std::move(run));
            next = page.at("next");
            more = next < page.at("newest").get<std::int64_t>();
        }
    }
    co_return out;
}

/// Number of the newest run of each endpoint process.
boost::asio::awaitable<std::vector<std::int64_t>> newest_runs(driver& it, std::vector<address> controls)
{
    std::vector<std::int64_t> out;
    const std::string path = "/control/runs?after=1000000000000"; // above every number, for an empty page
    for (const auto& control : controls) {
        const auto page = co_await it.get(control, path);
        if (page.is_discarded())
            throw std::runtime_error("can't reach a control port");
        out.push_back(page.at("newest"));
    }
    co_return out;
}

boost::asio::awaitable<std::vector<json>> drive(driver& it, std::vector<request_result>& results,
                                                const std::vector<address>& controls)
{
    const auto after = co_await newest_runs(it, controls);
    co_await it.run(results);
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(FLAGS_settle_ms));
    co_await timer.async_wait(boost::asio::use_awaitable);
    co_return co_await read_runs(it, controls, after);
}

int run()
{
    const auto deployment = read_json(FLAGS_deployment);
    const auto set = FLAGS_set.empty() ? json::object() : read_json(FLAGS_set);
    const auto arrivals = load_arrivals(deployment);
    if (arrivals.empty())
        throw std::runtime_error("no arrivals");
    if (!FLAGS_arrivals_out.empty()) {
        auto out = open_file(FLAGS_arrivals_out);
        for (const auto& it : arrivals)
            out << json(it).dump() << '\n';
    }
    std::vector<request_result> results(arrivals.size());
    for (std::size_t n = 0; n < arrivals.size(); ++n)
        results[n].request = arrivals[n];

    boost::asio::io_context context(1);
    driver it(context, make_target(set), deployment);
    const auto controls = parse_list(FLAGS_endpoint_control, set.value("endpoint_controls", json::array()));
    std::vector<json> runs;
    std::exception_ptr failed;
    boost::asio::co_spawn(context, drive(it, results, controls),
                          [&](std::exception_ptr e, std::vector<json> got) {
                              failed = std::move(e);
                              runs = std::move(got);
                              context.stop();
                          });
    context.run();
    if (failed)
        std::rethrow_exception(failed);

    const auto evaluated =
        limpetlock::testkit::evaluate(results, deployment, runs, !controls.empty(), FLAGS_strict_cuts);
    const double seconds = std::max(1.0, arrivals.back().at_ms / 1000);
    const auto summary = limpetlock::testkit::summarize(results, evaluated, deployment, seconds);
    if (!FLAGS_results.empty()) {
        auto out = open_file(FLAGS_results);
        for (const auto& each : results)
            out << limpetlock::testkit::to_json_line(each).dump() << '\n';
    }
    if (!FLAGS_summary.empty())
        open_file(FLAGS_summary) << summary.dump(1) << '\n';
    std::fputs(limpetlock::testkit::to_table(summary).c_str(), stdout);
    return evaluated.violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return run();
    } catch (const std::exception& e) {
        limpetlock::log::error("loadgen_failed", {{"reason", e.what()}});
        return 2;
    }
}
