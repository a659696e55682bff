/// \file
/// Stand-in for the platform or for a set of endpoints, for tests. See docs/stand-ins.md.

#include "testkit/endpoint.hpp"
#include "testkit/platform.hpp"
#include "testkit/strict_json.hpp"

#include <limpetlock/support/log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/core.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <sstream>
#include <stdexcept>

DEFINE_string(mode, "endpoint", "platform or endpoint");
DEFINE_int32(port, 0, "port of the platform, or control port of the endpoints; 0 picks a free one");
DEFINE_string(endpoints, "", "POOL:COUNT,... for mode endpoint");
DEFINE_string(pools, "{}", "JSON object of pool settings by pool name, or @FILE");
DEFINE_string(name_prefix, "", "put before the name of each endpoint, so that several processes differ");
DEFINE_uint32(seed, 1, "seed of service times and fault shares");
DEFINE_string(config, "", "platform: file with a document, published as revision 1 and number 1");
DEFINE_string(instances, "", "platform: file with the instance list, {\"instances\":[...]}");

namespace {

using limpetlock::testkit::endpoint_host;
using limpetlock::testkit::parse_strict;
using limpetlock::testkit::platform;
using limpetlock::testkit::pool_settings;
using limpetlock::testkit::read_json;
using nlohmann::json;

void print_line(const std::string& line)
{
    std::fputs((line + "\n").c_str(), stdout);
    std::fflush(stdout);
}

void run_until_signal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
}

void run_platform(boost::asio::io_context& context)
{
    platform it(context, static_cast<std::uint16_t>(FLAGS_port));
    if (!FLAGS_config.empty())
        it.publish({{"kind", "document"}, {"base", 0}, {"number", 1}, {"document", read_json(FLAGS_config)}});
    if (!FLAGS_instances.empty())
        it.change_instances(read_json(FLAGS_instances));
    print_line(fmt::format("ready port={}", it.port()));
    run_until_signal(context);
}

void run_endpoints(boost::asio::io_context& context)
{
    const json pools =
        FLAGS_pools.starts_with('@') ? read_json(FLAGS_pools.substr(1)) : json::parse(FLAGS_pools);
    endpoint_host host(context, static_cast<std::uint16_t>(FLAGS_port), FLAGS_seed);
    std::istringstream list(FLAGS_endpoints);
    for (std::string item; std::getline(list, item, ',');) {
        const auto colon = item.find(':');
        const auto pool = item.substr(0, colon);
        const int count = colon == std::string::npos ? 1 : std::stoi(item.substr(colon + 1));
        const auto settings = parse_strict<pool_settings>(pools.value(pool, json::object()));
        for (int n = 1; n <= count; ++n) {
            const auto& it = host.add(fmt::format("{}{}-{}", FLAGS_name_prefix, pool, n), pool, 0, settings);
            print_line(fmt::format("endpoint name={} pool={} port={}", it.name(), it.pool(), it.port()));
        }
    }
    print_line(fmt::format("ready port={}", host.control_port()));
    run_until_signal(context);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    try {
        if (FLAGS_mode == "platform")
            run_platform(context);
        else if (FLAGS_mode == "endpoint")
            run_endpoints(context);
        else
            throw std::invalid_argument("--mode is platform or endpoint");
    } catch (const std::exception& e) {
        limpetlock::log::error("standin_failed", {{"reason", e.what()}});
        return 1;
    }
    return 0;
}
