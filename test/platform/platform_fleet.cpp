#include "platform_fleet.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

namespace limpetlock::test {

namespace asio = boost::asio;

namespace {

constexpr int first_port = 18'000;
constexpr int ports_per_instance = 3;

// Offsets of the listeners within the ports of an instance.
constexpr int caller_listener = 0;
constexpr int readiness_listener = 1;
constexpr int peer_listener = 2;

constexpr std::chrono::milliseconds poll_interval{20};

/// Returns a loopback address for this test process, so that the fixed ports of test processes don't collide.
std::string unique_loopback_address()
{
    const auto pid = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 1 + (pid >> 14U) % 120, (pid >> 7U) % 128, 2 + pid % 128);
}

http::request to_request(const platform_call& it)
{
    const bool stream = it.path.starts_with("/stream/") || it.path.starts_with("/resumable/");
    http::request out{stream || !it.body.empty() ? "POST" : "GET", it.path, {}, it.body};
    if (stream && it.body.empty())
        out.body = "prompt of " + it.request_id;
    out.headers = {{"Host", platformkit::site::host},
                   {"Limpetlock-Request-Id", it.request_id},
                   {"Limpetlock-Deadline-Ms", fmt::to_string(it.deadline.count())}};
    if (!it.api_key.empty())
        out.headers.push_back({"Authorization", "Bearer " + it.api_key});
    if (!it.pieces.empty()) {
        out.headers.push_back({"Limpetlock-Pieces", it.pieces});
        out.headers.push_back({"Limpetlock-Piece-Key", "key-of-" + it.request_id});
    }
    if (!it.prefix_hashes.empty())
        out.headers.push_back({"Limpetlock-Prefix-Hash", it.prefix_hashes});
    return out;
}

} // namespace

platform_fleet::platform_fleet(std::size_t instances, platformkit::site_options options,
                               std::vector<std::string> flags)
    : address_(unique_loopback_address()), directory_(fmt::format("/tmp/limpetlock-platform-{}", getpid())),
      flags_(std::move(flags)), work_(io_.get_executor()), processes_(instances, -1)
{
    options.address = address_;
    std::filesystem::create_directories(directory_);
    site_ = std::make_unique<platformkit::site>(io_.get_executor(), options);
    client_ = std::make_unique<http::client>(io_.get_executor(), http::client_limits{});
    if (options.relays_store) {
        store_relay_ = std::make_unique<silent_relay>(io_.get_executor(), address_, site_->state.port());
        site_->store_port = store_relay_->port();
    }
    site_->publish();
    thread_ = std::thread([this] { io_.run(); });
    for (std::size_t n = 0; n < instances; ++n)
        start(n);
}

platform_fleet::~platform_fleet()
{
    for (const pid_t it : processes_)
        if (it > 0) {
            kill(it, SIGKILL);
            waitpid(it, nullptr, 0);
        }
    io_.stop();
    thread_.join();
    std::error_code ec;
    std::filesystem::remove_all(directory_, ec);
}

std::uint16_t platform_fleet::port(std::size_t instance, int listener) const
{
    return static_cast<std::uint16_t>(first_port + ports_per_instance * static_cast<int>(instance) +
                                      listener);
}

void platform_fleet::start(std::size_t instance)
{
    std::vector<std::uint16_t> seeds;
    for (std::size_t n = 0; n < std::min<std::size_t>(3, processes_.size()); ++n)
        seeds.push_back(port(n, peer_listener));
    const std::string file = fmt::format("{}/boot-{}.json", directory_, instance);
    std::ofstream(file) << site_->settings(
        fmt::format("instance-{}", instance), port(instance, caller_listener),
        port(instance, readiness_listener), port(instance, peer_listener), seeds);
    const std::string log = log_file(instance);
    std::vector<std::string> words{"limpetlock", "platform"};
    words.insert(words.end(), flags_.begin(), flags_.end());
    std::vector<char*> argv(words.size() + 1, nullptr);
    std::transform(words.begin(), words.end(), argv.begin(), [](std::string& it) { return it.data(); });
    const pid_t pid = fork();
    if (pid == 0) {
        const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        setenv("LIMPETLOCK_CONFIG", file.c_str(), 1);
        execv(LIMPETLOCK_BINARY, argv.data());
        _exit(127);
    }
    processes_[instance] = pid;
}

void platform_fleet::signal(std::size_t instance, int signal_number)
{
    kill(processes_[instance], signal_number);
    if (signal_number == SIGKILL) {
        waitpid(processes_[instance], nullptr, 0);
        processes_[instance] = -1;
    }
}

std::string platform_fleet::log_file(std::size_t instance) const
{
    return fmt::format("{}/instance-{}.log", directory_, instance);
}

std::vector<std::string> platform_fleet::log_lines(std::size_t instance, std::string_view text) const
{
    std::vector<std::string> out;
    std::ifstream file(log_file(instance));
    for (std::string line; std::getline(file, line);)
        if (line.find(text) != std::string::npos)
            out.push_back(std::move(line));
    return out;
}

std::size_t platform_fleet::peak_memory_kb(std::size_t instance) const
{
    std::ifstream file(fmt::format("/proc/{}/status", processes_[instance]));
    for (std::string line; std::getline(file, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(6));
    return 0;
}

int platform_fleet::wait_exit(std::size_t instance, std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < until) {
        int status = 0;
        if (waitpid(processes_[instance], &status, WNOHANG) > 0) {
            processes_[instance] = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return -1;
}

void platform_fleet::with_site(const std::function<void(platformkit::site&)>& action)
{
    std::promise<void> done;
    asio::post(io_, [&] {
        action(*site_);
        done.set_value();
    });
    done.get_future().wait();
}

std::size_t platform_fleet::silence_store_connections()
{
    std::size_t out = 0;
    with_site([&](platformkit::site&) { out = store_relay_->silence(); });
    return out;
}

bool platform_fleet::wait_until(const std::function<bool(platformkit::site&)>& condition,
                                std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    bool holds = false;
    do {
        with_site([&](platformkit::site& it) { holds = condition(it); });
        if (!holds)
            std::this_thread::sleep_for(poll_interval);
    } while (!holds && std::chrono::steady_clock::now() < until);
    return holds;
}

bool platform_fleet::is_ready(std::size_t instance)
{
    http::call_error error;
    const http::address to{address_, port(instance, readiness_listener)};
    http::request message{"GET", "/v1/readyz", {}, {}};
    auto reply = asio::co_spawn(io_,
                                client_->call(to, std::move(message), boot_clock::now() + duration(300),
                                              http::connection_policy::fresh, error),
                                asio::use_future);
    const auto answer = reply.get();
    return answer && answer->status == 200;
}

bool platform_fleet::wait_ready(std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    for (std::size_t n = 0; n < processes_.size(); ++n)
        while (!is_ready(n)) {
            if (std::chrono::steady_clock::now() >= until)
                return false;
            std::this_thread::sleep_for(poll_interval);
        }
    return true;
}

asio::awaitable<platform_answer> platform_fleet::call_instance(std::size_t instance, platform_call call)
{
    platform_answer out;
    const http::address to{address_, port(instance, caller_listener)};
    const time_point deadline = boot_clock::now() + duration(call.deadline.count() + 1'000);
    http::call_error error;
    http::request message = to_request(call);
    http::answer_filter any;
    const auto answer = co_await client_->open_answer(to, std::move(message), deadline,
                                                      http::connection_policy::fresh, error, std::move(any));
    if (!answer)
        co_return out;
    out.status = answer->status();
    out.headers = answer->headers();
    bool more = true;
    while (more) {
        const auto bytes = co_await answer->read(deadline);
        more = bytes.has_value();
        if (more)
            out.body += *bytes;
    }
    out.complete = answer->error().code == http::errc::none;
    co_return out;
}

std::future<platform_answer> platform_fleet::send(std::size_t instance, platform_call call)
{
    if (call.disconnect_after.count() == 0)
        return asio::co_spawn(io_, call_instance(instance, std::move(call)), asio::use_future);
    return asio::co_spawn(io_, call_and_disconnect(instance, std::move(call)), asio::use_future);
}

asio::awaitable<platform_answer> platform_fleet::call_and_disconnect(std::size_t instance, platform_call call)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(io_, call.disconnect_after);
    auto first = co_await (call_instance(instance, std::move(call)) || timer.async_wait(asio::use_awaitable));
    if (first.index() == 0)
        co_return std::move(std::get<0>(first));
    platform_answer none;
    co_return none;
}

} // namespace limpetlock::test
