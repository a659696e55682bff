/// \file
/// Runs real gateway processes against a stand-in platform within the test process.
#pragma once

#include "platformkit/site.hpp"
#include "silent_relay.hpp"

#include <limpetlock/http/client.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <sys/types.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace limpetlock::test {

/// The answer to one call, as far as it came.
struct platform_answer {
    int status{0}; ///< HTTP status, or 0 if no header came.
    http::header_list headers;
    std::string body;
    bool complete{false}; ///< The answer came to its end.

    std::string header(std::string_view name) const
    {
        return std::string(http::find_header(headers, name).value_or(""));
    }
};

/// A call of a test. An empty api_key, pieces or prefix_hashes sends no header.
struct platform_call {
    std::string path;
    std::string request_id;
    std::string api_key{platformkit::site::key};
    std::string pieces;
    std::string prefix_hashes;
    std::string body;                          ///< Sent with POST instead of the default for the path.
    std::chrono::milliseconds deadline{5'000}; ///< Time from the start of the call to the deadline.
    /// Time until the caller disconnects; 0 for never.
    std::chrono::milliseconds disconnect_after{0};
};

/// Gateway processes and the stand-in site that they serve. The site runs on a thread of its own.
class platform_fleet {
public:
    /// `flags` are passed to all instances.
    explicit platform_fleet(std::size_t instances, platformkit::site_options options = {},
                            std::vector<std::string> flags = {});
    ~platform_fleet();
    platform_fleet(const platform_fleet&) = delete;
    platform_fleet& operator=(const platform_fleet&) = delete;

    /// Runs a function on the site's thread and waits for its end.
    void with_site(const std::function<void(platformkit::site&)>& action);

    /// The open connections of the instances to the store go silent; new ones work. Returns their number.
    /// Requires site_options::relays_store.
    std::size_t silence_store_connections();

    /// Waits until all instances are ready. Returns false after the timeout.
    bool wait_ready(std::chrono::milliseconds timeout = std::chrono::seconds(5));
    bool is_ready(std::size_t instance);

    /// Sends a call in the background.
    std::future<platform_answer> send(std::size_t instance, platform_call call);
    /// Sends a call and waits for its answer.
    platform_answer send_and_wait(std::size_t instance, platform_call call)
    {
        return send(instance, std::move(call)).get();
    }

    void start(std::size_t instance);
    void signal(std::size_t instance, int signal_number);

    /// The log lines of an instance so far that contain a text.
    std::vector<std::string> log_lines(std::size_t instance, std::string_view text) const;

    /// The most memory that the process has used, in kB.
    std::size_t peak_memory_kb(std::size_t instance) const;

    /// Waits until a process ends. Returns its exit code, or -1 after a signal or the timeout.
    int wait_exit(std::size_t instance, std::chrono::milliseconds timeout);

    /// Waits until a condition of the site holds. Returns false after the timeout.
    bool wait_until(const std::function<bool(platformkit::site&)>& condition,
                    std::chrono::milliseconds timeout = std::chrono::seconds(3));

private:
    boost::asio::awaitable<platform_answer> call_instance(std::size_t instance, platform_call call);
    boost::asio::awaitable<platform_answer> call_and_disconnect(std::size_t instance, platform_call call);
    /// Returns the port of a listener, where `listener` is one of the offsets in the source file.
    std::uint16_t port(std::size_t instance, int listener) const;
    std::string log_file(std::size_t instance) const;

    std::string address_;
    std::string directory_;
    std::vector<std::string> flags_;
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<platformkit::site> site_;
    std::unique_ptr<silent_relay> store_relay_;
    std::unique_ptr<http::client> client_;
    std::vector<pid_t> processes_;
    std::thread thread_;
};

} // namespace limpetlock::test
