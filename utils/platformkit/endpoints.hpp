/// \file
/// Stand-ins for the platform's endpoints: model engines, members of stage pools and plain services. Each
/// records the requests that it ran and fails on demand.
#pragma once

#include <limpetlock/http/server.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::platformkit {

/// How an endpoint ends a request.
enum class behaviour : std::uint8_t {
    normal,
    refuse,            ///< refuses and states that the request did not run
    fail,              ///< answers with an error of its own
    cut_answer,        ///< closes the connection in the middle of the answer
    hang,              ///< never answers
    wrong_id,          ///< answers with the id of another request
    old_refusal,       ///< runs the request, and writes a refusal of another request
    without_signature, ///< answers without its signature
    wrong_endpoint,    ///< refuses as another endpoint that now has the address
    endless_body,      ///< answers with bytes without a line end, until the caller closes the connection
    endless_events     ///< answers with events that hold nothing, until the caller closes the connection
};

/// How much of the answer an engine writes before it crashes.
enum class crash_moment : std::uint8_t { before_answer, inside_first_event, after_first_event };

/// How an endpoint answers its health path.
enum class health_behaviour : std::uint8_t {
    normal,
    hang,    ///< never answers
    other_id ///< answers with the id of another endpoint, and the load of one that is slow and busy
};

/// One request that an endpoint began to run.
struct run_record {
    std::string request_id;
    std::string tenant;
    std::string target;
    std::string body;
    std::string inputs;
    std::string resume_after;
    std::string authorization;
    std::string priority;
    std::string prompt;          ///< parts of the prompt as stated in the request
    std::int64_t deadline_ms{0}; ///< as stated in the request
    bool finished{false};        ///< false while it runs, and for good if the caller closed the connection
};

/// Identity, capacity and delays of an endpoint.
struct endpoint_options {
    std::string id;
    std::string pool;
    std::string domain{"a"}; ///< failure domain
    std::uint32_t slots{8};
    std::chrono::milliseconds service_time{5}; ///< before the answer starts
    std::size_t events{0}; ///< events of a streamed answer; 0 for an answer that is not streamed
    std::chrono::milliseconds event_gap{0};
    std::size_t event_bytes{55}; ///< data of one event
};

/// Times at which an endpoint received requests, refused ones included, and what it states of itself in its
/// answers.
class request_limit {
public:
    /// From now on all answers state that the endpoint leaves.
    void state_leaving() { leaving_ = true; }

    /// From now on refusals have this Retry-After, as the platform writes it. An empty text states none.
    void state_retry_after(std::string seconds) { retry_after_ = std::move(seconds); }

    /// From now on answers state this limit, as the platform writes it. An empty text states none.
    void state(std::string rate) { rate_ = std::move(rate); }

    void record_arrival() { arrivals_.push_back(std::chrono::steady_clock::now()); }
    const std::vector<std::chrono::steady_clock::time_point>& arrivals() const { return arrivals_; }

    /// Adds the headers of an answer with this status.
    void add_to(http::header_list& headers, int status) const;

private:
    bool leaving_{false};
    std::string retry_after_;
    std::string rate_;
    std::vector<std::chrono::steady_clock::time_point> arrivals_;
};

/// A model engine (if endpoint_options::events is above 0) or a plain service.
class service_endpoint {
public:
    service_endpoint(boost::asio::any_io_executor executor, const std::string& address,
                     endpoint_options options);

    const endpoint_options& options() const { return options_; }
    std::uint16_t port() const { return port_; }
    const std::string& address() const { return address_; }

    /// The next `count` requests end in the given way, later ones normally.
    void behave(behaviour how, std::size_t count)
    {
        behaviour_ = how;
        behaviours_left_ = count;
    }

    /// From now on the endpoint crashes when it begins to answer a request whose prompt has the part (its id
    /// in hexadecimal): all connections are cut, and new ones refused for `downtime`. An empty id turns this
    /// off.
    void crash_on(std::string part, std::chrono::milliseconds downtime,
                  crash_moment moment = crash_moment::inside_first_event)
    {
        deadly_part_ = std::move(part);
        downtime_ = downtime;
        crash_moment_ = moment;
    }

    /// Called after the restart that follows a crash.
    void on_restart(std::function<void()> action) { on_restart_ = std::move(action); }

    /// From now on every n-th request fails, in each of several ways in turn; 0 turns this off.
    void fail_every(std::size_t n) { fail_every_ = n; }

    /// From now on load reports have this fourth figure: the time that work takes, in percent of the usual.
    void state_time_percent(int percent) { time_percent_ = percent; }

    void behave_when_checked(health_behaviour how) { health_behaviour_ = how; }

    /// Number of requests of the health path.
    std::size_t health_checks() const { return health_checks_; }

    const std::vector<run_record>& runs() const { return runs_; }

    request_limit limit;

    /// Bytes of endless answers that were sent.
    std::size_t endless_bytes() const { return endless_bytes_; }

    /// Number of requests that run at present.
    std::size_t running_requests() const { return running_requests_; }

    /// From now on the endpoint is another process, which is cold for this long. Its entry has to be
    /// published again.
    void restart_cold(std::chrono::milliseconds length)
    {
        ++started_ms_;
        cold_until_ = std::chrono::steady_clock::now() + length;
    }

    /// The endpoint's next entry in the store; each has a higher sequence number.
    std::string entry(const std::string& state = "ready");

private:
    boost::asio::awaitable<void> serve(http::exchange& io);
    boost::asio::awaitable<void> answer_health_check(http::exchange& io);
    std::string load_report() const;
    behaviour next_behaviour();
    boost::asio::awaitable<void> answer_request(http::exchange& io, std::size_t run, behaviour how);
    boost::asio::awaitable<void> stream_events(http::exchange& io, std::size_t run, behaviour how,
                                               http::header_list headers);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds length);
    void listen(std::uint16_t port);
    boost::asio::awaitable<void> crash();
    /// Writes the text again and again until the caller closes the connection.
    boost::asio::awaitable<void> write_endlessly(http::exchange& io, std::string text);

    boost::asio::any_io_executor executor_;
    std::string address_;
    endpoint_options options_;
    std::uint16_t port_{0};
    std::chrono::steady_clock::time_point cold_until_{};
    std::int64_t started_ms_{1'700'000'000'000};
    std::uint64_t entries_written_{0};
    std::string deadly_part_;
    std::chrono::milliseconds downtime_{0};
    crash_moment crash_moment_{crash_moment::inside_first_event};
    std::function<void()> on_restart_;
    behaviour behaviour_{behaviour::normal};
    std::size_t behaviours_left_{0};
    std::size_t fail_every_{0};
    std::size_t served_{0};
    std::size_t endless_bytes_{0};
    std::size_t running_requests_{0};
    std::optional<int> time_percent_;
    health_behaviour health_behaviour_{health_behaviour::normal};
    std::size_t health_checks_{0};
    std::vector<run_record> runs_;
    std::unique_ptr<http::server> server_;
};

/// One stage call that an endpoint ran.
struct stage_record {
    std::size_t pieces{0};
    std::set<std::string> request_ids;
    std::set<std::string> inputs; ///< handles of the results that the pieces take as input
};

/// A member of a stage pool. It runs one call at a time; each takes the same time.
class stage_endpoint {
public:
    stage_endpoint(boost::asio::any_io_executor executor, const std::string& address,
                   endpoint_options options, std::size_t max_batch_pieces, std::size_t result_capacity);

    std::uint16_t port() const { return server_->port(); }
    const endpoint_options& options() const { return options_; }
    void behave(behaviour how, std::size_t count)
    {
        behaviour_ = how;
        behaviours_left_ = count;
    }
    const std::vector<stage_record>& calls() const { return calls_; }

    /// Counts stage calls and releases.
    request_limit limit;

    /// Number of results that were not released.
    std::size_t held_results() const { return held_results_.size(); }
    std::string entry(const std::string& state = "ready");

private:
    boost::asio::awaitable<void> serve(http::exchange& io);
    boost::asio::awaitable<void> run_call(http::exchange& io);
    http::response release(const std::string& body);

    boost::asio::any_io_executor executor_;
    std::string address_;
    endpoint_options options_;
    std::size_t max_batch_pieces_;
    std::size_t result_capacity_;
    behaviour behaviour_{behaviour::normal};
    std::size_t behaviours_left_{0};
    bool busy_{false};
    std::uint64_t handles_issued_{0};
    std::uint64_t entries_written_{0};
    std::set<std::string> held_results_;
    std::vector<stage_record> calls_;
    std::unique_ptr<http::server> server_;
};

} // namespace limpetlock::platformkit
