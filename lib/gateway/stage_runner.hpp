/// \file
/// Runs the stages of a request in the order of their dependencies, each as a task at the instance that is
/// responsible for the pool of the stage.
#pragma once

#include "fleet.hpp"
#include "result_returns.hpp"
#include "stage_scheduler.hpp"

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/gateway/reply_waits.hpp>
#include <limpetlock/gateway/stage_shards.hpp>
#include <limpetlock/support/metrics.hpp>

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
    std::uint32_t run{0}; ///< counts the runs for the same request, whose tasks are different ones
    std::vector<stage_spec> stages;
    std::vector<std::uint32_t> pieces; ///< number of pieces of each stage; a stage with 0 is skipped
    std::string key;                   ///< for the pieces of stages without dependencies
    time_point deadline{};             ///< last time at which the results are of use
    time_point objective_time{}; ///< the request meets its latency objective if all stages are done by then
    std::string domain;          ///< failure domain of the endpoint that is expected to fetch the results
    int priority{0};             ///< 0 is the most urgent
    double tokens_per_piece{0};  ///< tokens of the request divided by its pieces; 0 if unknown
    std::string team;            ///< whose request it is; empty if unknown
    bool admitted{false};        ///< the stages were admitted before; see chain_admission.hpp
};

/// How the stages of a request ended. `unavailable` means that no instance ran a task, `failed` that a piece
/// failed for another reason than its deadline, `refused` that the stages have no room in time.
enum class stage_status : std::uint8_t { done, late, unavailable, failed, refused };

std::string_view to_string(stage_status it);

struct stage_outcome {
    stage_status status{stage_status::failed};
    std::vector<result_group> inputs; ///< results that no other stage takes; the request itself needs them
    std::string reason;
    duration retry_after{0}; ///< of refused stages: time until they may have room
};

/// Runs the stages of all requests of this instance.
class stage_runner {
public:
    stage_runner(boost::asio::any_io_executor executor, fleet& peers, stage_scheduler& local,
                 result_returns& returns, metrics::registry& metrics, bool moves_to_domains);

    /// Replaces the numbers of stage endpoints.
    void set_layout(stage_layout it);

    /// Runs the stages of a plan. If the returned coroutine is destroyed before its end, its open tasks are
    /// cancelled and its results are returned (see result_returns). The caller has to return the inputs of
    /// the outcome.
    boost::asio::awaitable<stage_outcome> run(stage_plan plan, std::shared_ptr<const routing_table> table);

    /// Expected time of the stages of a request if no other pieces wait.
    static duration minimum_time(const stage_plan& plan, const routing_table& table);

    /// Expected time of the stages behind the pieces that go before them, by the last replies of the
    /// responsible instances. Pools without a fresh reply count as empty.
    duration expected_time(const stage_plan& plan, const routing_table& table, time_point now) const;

    /// Expected time until the pools of the request have done the pieces that wait there now, by the last
    /// replies of the responsible instances. Pools without a recent reply count as empty.
    duration backlog(const stage_plan& plan, time_point now) const;

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
    void record_backlogs(const pool_key& key, stage_task_result& from, time_point now);
    boost::asio::awaitable<void> cancel_at(std::string instance, std::string request_id, std::uint32_t stage,
                                           std::uint32_t run);
    void cancel_tasks(run_state& state);
    stage_group choose_group(const stage_plan& plan, time_point now) const;
    std::optional<duration> known_backlog(const stage_plan& plan, const stage_group& group,
                                          time_point now) const;
    std::vector<std::string> responsible_instances(const stage_group& group, time_point now);

    struct backlog_report {
        duration length{0};
        time_point at{};
    };

    boost::asio::any_io_executor executor_;
    fleet& fleet_;
    stage_scheduler& scheduler_;
    result_returns& returns_;
    metrics::registry& metrics_;
    /// A task for which a failure domain has no endpoint goes to the queue of another domain, not to that of
    /// all.
    bool moves_to_domains_;
    stage_layout layout_;
    std::map<pool_key, backlog_report> backlogs_;
    reply_waits waits_;
    stage_duties duties_;
    std::uint64_t duties_version_{0}; ///< of the view for which duties_ was computed
    time_point duties_checked_at_{};

    /// Outlines of all pools of a group, from one reply.
    struct group_report {
        std::map<std::string, std::vector<backlog_point>> pools;
        time_point at{};
    };
    std::map<pool_key, group_report> group_reports_; ///< by group, as a key without the pool
};

} // namespace limpetlock::gateway
