/// \file
/// Stand-ins for endpoints: members of stage pools, model engines and plain services, many in one process.
/// They inject faults and record every run.
#pragma once

#include "testkit/wire.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace limpetlock::testkit {

/// Speed and capacity of the endpoints of a pool without faults. The names of the fields are JSON keys.
struct pool_settings {
    double service_ms{10};      ///< median time of a stage or service call, or until an engine's first token
    double sigma{0};            ///< sigma of the lognormal service time; 0 makes it constant
    double token_ms{10};        ///< between tokens when the engine runs a single stream
    double slope{0.03};         ///< relative growth of both times for each further running call
    std::size_t concurrency{8}; ///< running calls; further ones queue
    std::size_t queue{32};      ///< queued calls; further ones get 503 overloaded
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pool_settings, service_ms, sigma, token_ms, slope,
                                                concurrency, queue)

/// Faults of one endpoint. The names of the fields are JSON keys. A field of type double other than `slow` is
/// the probability of the fault for each call, from 0 to 1.
struct fault_settings {
    double slow{1};               ///< factor on all service times
    bool down{false};             ///< the port refuses connections
    bool refuse{false};           ///< closes each connection on accept
    double fail{0};               ///< answers 500 without running the call
    double die_before{0};         ///< closes the connection without running the call
    double die_after{0};          ///< runs the call, then closes the connection without an answer
    double wrong_id{0};           ///< answers with another call's id and output
    std::int64_t cut_after{-1};   ///< closes a stream after so many tokens; negative is off
    std::int64_t stall_after{-1}; ///< stops sending after so many tokens; negative is off
    bool close_idle{false};       ///< closes a reused connection when the next request's first byte arrives
    bool leaving{false};          ///< answers new calls with 503 leaving
    std::int64_t load_lag_ms{0};  ///< age of the reported load
    std::int64_t times{0};        ///< clears all faults after so many have occurred; 0 for no limit
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(fault_settings, slow, down, refuse, fail, die_before,
                                                die_after, wrong_id, cut_after, stall_after, close_idle,
                                                leaving, load_lag_ms, times)

/// Returns `now` with the keys of a control call applied; {"clear":true} resets all other faults. Throws
/// std::invalid_argument for an unknown key.
fault_settings apply_fault(fault_settings now, const nlohmann::json& change);

/// One call that an endpoint ran.
struct run {
    std::int64_t number{0}; ///< counts the runs of the process, from 1
    std::string endpoint;
    std::string call_id;
    std::string key;          ///< idempotency key of a service call
    std::string call;         ///< stage name, "completion", or name of the service call
    std::string input;        ///< digest of the input
    std::int64_t start_ms{0}; ///< of boot_clock
    double duration_ms{0};
    std::int64_t first_token{0}; ///< position of the first token that an engine's run generates
    std::int64_t tokens{1};      ///< work units done: generated tokens of an engine's run, else 1
    bool done{false};            ///< the work was completed, whether or not the answer was sent
};

/// State shared by all endpoints of a process: the log of runs and the random generator.
struct host_state {
    explicit host_state(std::uint32_t seed) : random(seed) {}

    std::deque<run> runs; ///< the newest runs, in order of their numbers
    std::int64_t next_run_number{1};
    std::map<std::string, std::int64_t> completed_runs_by_key;
    boost::random::mt19937 random;
};

/// One endpoint: stage endpoint, model engine and plain service on one port, by path.
class endpoint {
public:
    endpoint(boost::asio::io_context& context, host_state& host, std::string name, std::string pool,
             std::uint16_t port, pool_settings settings);

    const std::string& name() const { return name_; }
    const std::string& pool() const { return pool_; }
    std::uint16_t port() const { return listener_.port(); }

    /// Applies a control call, see apply_fault(), which throws.
    void set_fault(const nlohmann::json& change);

    /// Counters of calls, runs and faults since the start.
    nlohmann::json totals() const;

private:
    enum class admission { granted, overloaded, caller_closed };
    struct load_sample {
        std::int64_t at_ms; ///< of boot_clock
        std::size_t running;
        std::size_t queued;
    };

    boost::asio::awaitable<void> handle(connection& it);
    boost::asio::awaitable<void> handle_call(connection& it);
    boost::asio::awaitable<void> run_call(connection& it, run record, const nlohmann::json& body);
    boost::asio::awaitable<void> run_completion(connection& it, run record, const nlohmann::json& body);

    /// Generates and sends the tokens; true when the run was completed.
    boost::asio::awaitable<bool> generate(connection& it, run& record, const nlohmann::json& body);

    /// Waits in the queue until the call may run.
    boost::asio::awaitable<admission> acquire_slot(connection& it);

    /// Hands the slot to the first queued call, or frees it.
    void release_slot();
    void record_run(run record, std::int64_t started_ms);

    /// Decides at random whether a fault occurs, and counts it.
    bool draw_fault(double share);

    /// Counts a fault that occurred against fault_settings::times.
    void count_fault();

    /// Closes the connection if `tokens_sent` is fault_settings::cut_after; true if so.
    bool cut_if_due(connection& it, std::int64_t tokens_sent);

    /// Factor on all service times from the number of running calls.
    double service_time_factor() const;
    double service_time_ms();
    nlohmann::json load() const;

    /// Records the load, for reports that lag.
    void sample_load();
    void activate_faults(const fault_settings& faults);

    host_state& host_;
    std::string name_;
    std::string pool_;
    pool_settings settings_;
    fault_settings faults_;
    std::size_t running_{0};
    std::deque<connection*> queue_;
    std::deque<load_sample> samples_;
    std::map<std::string, std::int64_t> counts_;
    double busy_ms_{0};
    std::int64_t leaving_since_ms_{0};
    listener listener_;
};

/// The endpoints of one process and its control port.
class endpoint_host {
public:
    endpoint_host(boost::asio::io_context& context, std::uint16_t control_port, std::uint32_t seed);

    endpoint& add(const std::string& name, const std::string& pool, std::uint16_t port,
                  pool_settings settings);
    std::uint16_t control_port() const { return listener_.port(); }

private:
    boost::asio::awaitable<void> handle(connection& it);
    int set_faults(const nlohmann::json& change, nlohmann::json& answer);

    boost::asio::io_context& context_;
    host_state state_;
    std::vector<std::unique_ptr<endpoint>> endpoints_;
    listener listener_;
};

/// A page of the log of runs: those numbered above `after`. An `endpoint_name` that is not empty selects the
/// runs of the endpoint of this name.
nlohmann::json runs_page(const host_state& host, std::int64_t after, const std::string& endpoint_name);

} // namespace limpetlock::testkit
