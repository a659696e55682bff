/// \file
/// Runs the stages of a request in the order of their dependencies, each as a task at the instance that is
/// responsible for the pool of the stage.
#pragma once

#include "fleet.hpp"
#include "result_returns.hpp"
#include "stage_scheduler.hpp"

#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/model.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::gateway {

/// All stages of one request.
struct stage_plan {
    std::string request_id;
    std::vector<stage_spec> stages;
    std::vector<std::uint32_t> pieces; ///< number of pieces of each stage; a stage with 0 is skipped
    std::string key;                   ///< for the pieces of stages without dependencies
    time_point deadline{};             ///< last time at which the results are of use
    time_point objective_time{}; ///< the request meets its latency objective if all stages are done by then
    std::string domain;          ///< failure domain of the endpoint that is expected to fetch the results
    int priority{0};             ///< 0 is the most urgent
    double tokens_per_piece{0};  ///< tokens of the request divided by its pieces; 0 if unknown
};

/// How the stages of a request ended. `unavailable` means that no instance ran a task, `failed` that a piece
/// failed for another reason than its deadline.
enum class stage_status : std::uint8_t { done, late, unavailable, failed };

std::string_view to_string(stage_status it);

struct stage_outcome {
    stage_status status{stage_status::failed};
    std::vector<result_group> inputs; ///< results that no other stage takes; the request itself needs them
    std::string reason;
};

/// Runs the stages of all requests of this instance.
class stage_runner {
public:
    stage_runner(boost::asio::any_io_executor executor, fleet& peers, stage_scheduler& local,
                 result_returns& returns, const endpoint_selector& selector, bool moves_to_domains);

    /// Runs the stages of a plan. If the returned coroutine is destroyed before its end, its open tasks are
    /// cancelled and its results are returned (see result_returns). The caller has to return the inputs of
    /// the outcome.
    boost::asio::awaitable<stage_outcome> run(stage_plan plan, std::shared_ptr<const routing_table> table);

    /// Expected time of the stages of a request if no other pieces wait.
    static duration minimum_time(const stage_plan& plan, const routing_table& table);

    /// Expected time until the pools of the request have done the pieces that wait there now, by the last
    /// replies of the responsible instances. Pools without a recent reply count as empty.
    duration backlog(const stage_plan& plan, const routing_table& table, time_point now) const;

private:
    struct run_state;
    class run_guard;

    static boost::asio::awaitable<void> run_stage(stage_runner& self, std::shared_ptr<run_state> state,
                                                  std::size_t index);
    boost::asio::awaitable<stage_task_result> run_task(std::shared_ptr<run_state> state, std::size_t index,
                                                       stage_task task);
    boost::asio::awaitable<std::optional<stage_task_result>>
    run_task_at(std::shared_ptr<run_state> state, std::string instance, pool_key key, stage_task task);
    void record_backlog(const pool_key& key, duration backlog, time_point now);
    boost::asio::awaitable<void> cancel_at(std::string instance, std::string request_id, std::uint32_t stage);
    void cancel_tasks(run_state& state);
    std::string scheduling_group(const stage_plan& plan, const routing_table& table) const;
    std::string next_group(const std::string& pool, const std::string& request_id,
                           const std::vector<std::string>& refused_in) const;

    struct backlog_report {
        duration length{0};
        time_point at{};
    };

    boost::asio::any_io_executor executor_;
    fleet& fleet_;
    stage_scheduler& scheduler_;
    result_returns& returns_;
    const endpoint_selector& selector_;
    bool moves_to_domains_; ///< a refused task goes to the queue of another domain, not to that of all
    std::map<pool_key, backlog_report> backlogs_;
};

} // namespace limpetlock::gateway
