/// \file
/// Stand-ins of the endpoints: stage pools, model engines and plain services, many in one process, with
/// faults and a record of every run.
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

/// How the endpoints of a pool behave when nothing is wrong.
struct pool_settings {
    double service_ms{10};      ///< stage or service call; time to the first token of an engine
    double sigma{0};            ///< of the lognormal service time around that median; 0 is fixed
    double token_ms{10};        ///< between tokens of one stream alone
    double slope{0.03};         ///< growth of both times for each further running call
    std::size_t concurrency{8}; ///< calls at work; further ones queue
    std::size_t queue{32};      ///< calls beyond this get 503 overloaded
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pool_settings, service_ms, sigma, token_ms, slope,
                                                concurrency, queue)

/// Faults of one endpoint. Shares are probabilities per call from 0 to 1; counts of tokens are off below 0.
struct fault_settings {
    double slow{1};
    bool down{false};     ///< the port refuses connections
    bool refuse{false};   ///< closes each connection on accept
    double fail{0};       ///< 500, not run
    double die_before{0}; ///< closes without running
    double die_after{0};  ///< runs, then closes without the answer
    double wrong_id{0};   ///< answers with another call's id and output
    std::int64_t cut_after{-1};
    std::int64_t stall_after{-1};
    bool close_idle{false}; ///< closes kept connections under the next request's first byte
    bool leaving{false};    ///< 503 leaving for new work
    std::int64_t load_lag_ms{0};
    std::int64_t times{0}; ///< fire so often, then clear all faults; 0 is without end
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(fault_settings, slow, down, refuse, fail, die_before,
                                                die_after, wrong_id, cut_after, stall_after, close_idle,
                                                leaving, load_lag_ms, times)

/// Applies the keys of a control call; {"clear":true} starts from no fault. Unknown keys throw
/// std::invalid_argument.
fault_settings apply_fault(fault_settings now, const nlohmann::json& change);

struct run {
    std::int64_t number{0};
    std::string endpoint;
    std::string call_id;
    std::string key;   ///< of a service call
    std::string call;  ///< stage name, "completion", or name of the service call
    std::string input; ///< digest
    std::int64_t start_ms{0};
    double duration_ms{0};
    std::int64_t first_token{0}; ///< first token of an engine's run
    std::int64_t tokens{1};      ///< work units done: tokens of an engine's run, else 1
    bool done{false};            ///< the work was done to its end, whether or not the answer got out
};

/// What all endpoints of a process share: the log of runs and the random generator.
struct host_state {
    explicit host_state(std::uint32_t seed) : random(seed) {}

    std::deque<run> runs;
    std::int64_t next_run_number{1};
    std::map<std::string, std::int64_t> completed_runs_by_key;
    boost::random::mt19937 random;
};

class endpoint {
public:
    endpoint(boost::asio::io_context& context, host_state& host, std::string name, std::string pool,
             std::uint16_t port, pool_settings settings);

    const std::string& name() const { return name_; }
    const std::string& pool() const { return pool_; }
    std::uint16_t port() const { return listener_.port(); }

    void set_fault(const nlohmann::json& change);
    nlohmann::json totals() const;

private:
    enum class admission { yes, overloaded, closed };
    struct load_sample {
        std::int64_t at_ms;
        std::size_t running;
        std::size_t queued;
    };

    boost::asio::awaitable<void> handle(connection& it);
    boost::asio::awaitable<void> handle_call(connection& it);
    boost::asio::awaitable<void> run_call(connection& it, run record, const nlohmann::json& body);
    boost::asio::awaitable<void> run_completion(connection& it, run record, const nlohmann::json& body);
    boost::asio::awaitable<bool> generate(connection& it, run& record, const nlohmann::json& body);
    boost::asio::awaitable<admission> acquire_slot(connection& it);
    void release_slot();
    void record_run(run record, std::int64_t started);
    bool draw_fault(double share);
    void count_fault();
    bool cut_if_due(connection& it, std::int64_t tokens_sent);
    double load_factor() const;
    double service_time_ms();
    nlohmann::json load() const;
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
    std::int64_t leaving_since_{0};
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

/// A page of the log of runs; only one endpoint's when its name is given.
nlohmann::json runs_page(const host_state& host, std::int64_t after, const std::string& only);

} // namespace limpetlock::testkit
