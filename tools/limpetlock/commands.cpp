#include "commands.hpp"

#include <limpetlock/config/document.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/server/instance.hpp>
#include <limpetlock/support/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <exception>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

DEFINE_string(settings, "", "settings file of the instance");
DEFINE_string(config, "", "configuration document to check");
DEFINE_string(admin, "127.0.0.1:9080", "admin listener of a running instance, IP:PORT");

namespace limpetlock::tool {

namespace {

constexpr duration state_timeout{5'000};

server::listen_address read_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

server::instance_settings read_settings(const std::string& path)
{
    boost::property_tree::ptree tree;
    boost::property_tree::ini_parser::read_ini(path, tree);
    server::instance_settings out;
    out.name = tree.get<std::string>("instance.name");
    out.failure_domain = tree.get<std::string>("instance.failure_domain");
    out.caller = read_address(tree.get<std::string>("caller.listen"));
    out.admin = read_address(tree.get<std::string>("admin.listen"));
    out.peer = read_address(tree.get<std::string>("peer.listen"));
    out.platform = read_address(tree.get<std::string>("platform.address"));
    out.balancer_lag = duration{tree.get<std::int64_t>("stop.balancer_lag_ms", out.balancer_lag.count())};
    return out;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace

exit_code serve()
{
    std::optional<server::instance_settings> settings;
    try {
        settings = read_settings(FLAGS_settings);
    } catch (const std::exception& it) {
        fmt::print(stderr, "limpetlock: {}: {}\n", FLAGS_settings, it.what());
        return exit_code::invalid_input;
    }
    log::set_level(settings->log_level);
    try {
        server::instance it(*settings);
        return it.run() == server::exit_reason::cut ? exit_code::requests_cut : exit_code::success;
    } catch (const std::exception& it) {
        fmt::print(stderr, "limpetlock: {}\n", it.what());
        return exit_code::failure;
    }
}

exit_code check()
{
    const auto text = read_file(FLAGS_config);
    if (!text) {
        fmt::print(stderr, "limpetlock: {}: can't be read\n", FLAGS_config);
        return exit_code::invalid_input;
    }
    error_slot<config::errc> last;
    if (!config::document::parse(*text, last)) {
        fmt::print(stderr, "limpetlock: {}: {}\n", FLAGS_config, last.last().reason);
        return exit_code::invalid_input;
    }
    fmt::print("{}: valid\n", FLAGS_config);
    return exit_code::success;
}

exit_code state()
{
    const auto address = read_address(FLAGS_admin);
    boost::asio::io_context io;
    http::client client(io.get_executor(), {});
    http::call_error error;
    auto reply = boost::asio::co_spawn(io,
                                       client.call({address.host, address.port}, {"GET", "/admin/v1/state", {}, {}},
                                                   boot_clock::now() + state_timeout, http::reuse::fresh, error),
                                       boost::asio::use_future);
    io.run();
    const auto answer = reply.get();
    if (!answer || answer->status != 200) {
        fmt::print(stderr, "limpetlock: {}: {}\n", FLAGS_admin,
                   answer ? fmt::format("status {}", answer->status) : error.reason);
        return exit_code::failure;
    }
    fmt::print("{}", answer->body);
    return exit_code::success;
}

exit_code example() { return exit_code::success; }

exit_code version()
{
    fmt::print("limpetlock {}\n", LIMPETLOCK_VERSION);
    return exit_code::success;
}

} // namespace limpetlock::tool
