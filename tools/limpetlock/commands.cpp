#include "commands.hpp"

#include "platform/platform.hpp"

#include <limpetlock/config/document.hpp>
#include <limpetlock/gateway/instance.hpp>
#include <limpetlock/gateway/second_attempts.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/server/instance.hpp>
#include <limpetlock/server/settings.hpp>
#include <limpetlock/support/crash_report.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <charconv>
#include <exception>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

DEFINE_string(settings, "", "settings file of the instance");
DEFINE_string(config, "", "configuration document to check");
DEFINE_string(admin, "127.0.0.1:9080", "admin listener of a running instance, IP:PORT");
DEFINE_double(second_attempt_share, 0,
              "most second attempts against slow answers, as a share of first requests, 0 to 0.2; 0: off");
DEFINE_bool(stage_admission, false,
            "refuse requests whose stages can't all be done in time before the first one");
DEFINE_bool(team_turns, false, "let teams take turns while one of them floods a stage pool");
DEFINE_int64(second_attempt_min_delay_ms, 50, "least time before a second attempt, in milliseconds");
DEFINE_string(second_attempt_kinds, "read,stream", "requests that may have a second attempt: read, stream");

namespace limpetlock::tool {

namespace {

constexpr duration state_timeout{5'000};

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

void print_errors(const std::vector<std::string>& errors)
{
    for (const auto& it : errors)
        fmt::print(stderr, "limpetlock: {}\n", it);
}

/// Returns false and prints an error if the flag has no value.
bool require_flag(const char* name, const std::string& value)
{
    if (!value.empty())
        return true;
    fmt::print(stderr, "limpetlock: --{} is required\n", name);
    return false;
}

std::optional<http::address> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc{} || last != end || port == 0)
        return std::nullopt;
    return http::address{text.substr(0, colon), port};
}

bool check_document(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        fmt::print(stderr, "limpetlock: {}: can't be read\n", path);
        return false;
    }
    error_slot<config::errc> last;
    if (!config::document::parse(*text, last)) {
        fmt::print(stderr, "limpetlock: {}: {}\n", path, last.last().reason);
        return false;
    }
    fmt::print("{}: valid\n", path);
    return true;
}

bool check_settings(const std::string& path)
{
    std::vector<std::string> errors;
    if (!server::read_settings(path, errors)) {
        print_errors(errors);
        return false;
    }
    fmt::print("{}: valid\n", path);
    return true;
}

/// Creates an instance and runs it until it stops.
template <typename Make>
exit_code run_instance(const Make& make)
{
    try {
        auto it = make();
        return it.run() == lifecycle::exit_reason::requests_cut ? exit_code::requests_cut
                                                                : exit_code::success;
    } catch (const std::exception& it) {
        fmt::print(stderr, "limpetlock: {}\n", it.what());
        return exit_code::failure;
    }
}

} // namespace

exit_code serve()
{
    if (!require_flag("settings", FLAGS_settings))
        return exit_code::wrong_usage;
    std::vector<std::string> errors;
    const auto settings = server::read_settings(FLAGS_settings, errors);
    if (!settings) {
        print_errors(errors);
        return exit_code::invalid_input;
    }
    return run_instance([&] { return server::instance(*settings); });
}

exit_code serve_platform()
{
    std::string reason;
    auto settings = platform::load_settings(reason);
    const auto second_attempts = gateway::make_second_attempt_settings(
        FLAGS_second_attempt_share, FLAGS_second_attempt_min_delay_ms, FLAGS_second_attempt_kinds, reason);
    if (settings && second_attempts) {
        settings->second_attempts = *second_attempts;
        settings->stages = {FLAGS_stage_admission, FLAGS_team_turns};
    }
    if (!settings || !second_attempts) {
        fmt::print(stderr, "limpetlock: {}\n", reason);
        return exit_code::invalid_input;
    }
    log::install_crash_report();
    return run_instance(
        [&] { return gateway::instance(*settings, platform::make_codec(), platform::load_settings); });
}

exit_code check()
{
    if (FLAGS_settings.empty() && FLAGS_config.empty()) {
        fmt::print(stderr, "limpetlock: check needs --settings, --config or both\n");
        return exit_code::wrong_usage;
    }
    const bool settings_valid = FLAGS_settings.empty() || check_settings(FLAGS_settings);
    const bool config_valid = FLAGS_config.empty() || check_document(FLAGS_config);
    return settings_valid && config_valid ? exit_code::success : exit_code::invalid_input;
}

exit_code state()
{
    const auto address = parse_address(FLAGS_admin);
    if (!address) {
        fmt::print(stderr, "limpetlock: --admin must be IP:PORT\n");
        return exit_code::wrong_usage;
    }
    boost::asio::io_context io;
    http::client client(io.get_executor(), {});
    http::call_error error;
    const http::request request{"GET", "/admin/v1/state", {}, {}};
    auto reply = boost::asio::co_spawn(io,
                                       client.call(*address, request, boot_clock::now() + state_timeout,
                                                   http::connection_policy::fresh, error),
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

exit_code example()
{
    fmt::print("{}", server::example_settings());
    return exit_code::success;
}

exit_code version()
{
    fmt::print("limpetlock {}\n", LIMPETLOCK_VERSION);
    return exit_code::success;
}

} // namespace limpetlock::tool
