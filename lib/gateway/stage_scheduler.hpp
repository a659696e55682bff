/// \file
/// Runs the stage tasks of the pools that this instance is responsible for.
#pragma once

#include <limpetlock/gateway/delivered_results.hpp>
#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/loop_monitor.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>
#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/gateway/settings.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>
#include <limpetlock/gateway/stage_shards.hpp>
#include <limpetlock/gateway/team_counters.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/support/metrics.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

class result_releaser;

/// State and results of a stage task.
struct stage_task_result {
    enum class task_status : std::uint8_t {
        done,
        in_progress,
        refused,
        no_endpoints, ///< the group has no endpoint of the pool that accepts work
        cancelled     ///< no instance asked for the task for a while, or it was withdrawn
    };

    task_status status{task_status::refused};
    std::vector<piece_result> pieces; ///< in the order of the task's pieces
    std::string reason;
    duration backlog{0}; ///< time that the pool needs for the pieces that wait now
    /// Set if the stages of the request have no room at any instance; time until they may have.
    std::optional<duration> retry_after;
    /// Outlines of the work that waits for the pools of the group; pools without waiting work are missing.
    std::map<std::string, std::vector<backlog_point>> backlogs;
};

/// A stage pool, or the part of it in one failure domain or in one shard of a domain.
struct pool_key {
    std::string domain; ///< failure domain; empty for the whole pool
    std::string pool;
    std::uint32_t shard{0};
    std::uint32_t shards{1}; ///< number of shards of the domain; 1 if it isn't divided

    stage_group group() const { return {domain, shard, shards}; }

    friend auto operator<=>(const pool_key&, const pool_key&) = default; // NOLINT(modernize-use-nullptr)
};

pool_key key_of(const stage_group& group, std::string pool);

/// Queues the pieces of stage tasks from all instances, groups them into batches and calls the endpoints.
class stage_scheduler {
public:
    /// Called with the inputs of a task once the endpoints have fetched them.
    using inputs_fetched_handler = std::function<void(const std::vector<result_group>&)>;

    stage_scheduler(boost::asio::any_io_executor executor, const platform_codec& codec, http::client& client,
                    result_releaser& releaser, endpoint_statements& statements, permit_issuer& issuer,
                    metrics::registry& metrics, team_counters& teams, loop_monitor& monitor,
                    stage_capacity_settings settings, inputs_fetched_handler on_inputs_fetched);
    ~stage_scheduler();
    stage_scheduler(const stage_scheduler&) = delete;
    stage_scheduler& operator=(const stage_scheduler&) = delete;

    /// Replaces the routing table and the endpoints, and dispatches the calls that they allow.
    void configure(std::shared_ptr<const routing_table> table, std::vector<endpoint> endpoints);

    /// Submits a task and waits up to `max_wait` for its results. A task without inputs is refused at once
    /// if the stages of its request can't be done in time (see chain_admission.hpp). A task that is already
    /// open isn't submitted again. When the result says in_progress, the caller has to call again with the
    /// same task: one that isn't requested for a while is dropped, and its results are released.
    boost::asio::awaitable<stage_task_result> run(pool_key key, stage_task task, duration max_wait);

    /// Waits up to `max_wait` for the results of a task that is open already, or was completed a short time
    /// ago. Returns nullopt for another one.
    boost::asio::awaitable<std::optional<stage_task_result>> poll(std::string request_id, std::uint32_t stage,
                                                                  std::uint32_t run, duration max_wait);

    /// Drops a task and releases its results.
    void cancel(const std::string& request_id, std::uint32_t stage, std::uint32_t run);

    /// Requests that the producers drop these results, and counts their storage as free.
    void release(const std::vector<std::string>& handles);

    /// Stage calls in flight at the endpoints of each failure domain.
    const std::map<std::string, std::uint64_t>& in_flight_by_domain() const { return in_flight_by_domain_; }

    /// Number of tasks that lack results.
    std::size_t open_task_count() const;

    /// Number of pieces that wait for an endpoint.
    std::size_t waiting_piece_count() const;

private:
    struct open_task;
    struct pool_state;
    using task_key = stage_task_id;
    static task_key id_of(const stage_task& it) { return {it.request_id, it.stage, it.run}; }

    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> make_call(pool_key key, stage_dispatch call);
    boost::asio::awaitable<void> release_inputs_after_fetch(std::vector<std::shared_ptr<open_task>> tasks);
    bool fetches_inputs_soon(const pool_key& key, const std::string& endpoint_id, time_point now) const;
    void release_inputs(const std::vector<std::shared_ptr<open_task>>& tasks);
    std::vector<std::shared_ptr<open_task>> record_started(const stage_dispatch& call);
    pool_state* find_pool(const pool_key& key);
    void configure(const pool_key& key, pool_state& state);
    task_filter congestion_filter(const stage_group& group, time_point now) const;
    void remove_idle_pools(time_point now);
    metrics::gauge& avoided_gauge(const pool_key& key);
    /// Profiles of the pools of a group at one moment. They include the pieces of later stages of the tasks
    /// that are open, but not those of deferred tasks.
    struct group_profiles {
        time_point at{};
        std::size_t waiting_pieces{0};
        std::map<std::string, backlog_profile> pools;
        std::map<std::string, std::vector<backlog_point>> outlines; ///< of the pools with waiting pieces
    };
    group_profiles& profiles_of(const pool_key& group, time_point now);
    void add_stage(const pool_key& group, const stage_task& task, const chain_stage& later,
                   group_profiles& to, time_point now) const;
    order_item order_item_of(const pool_key& group, const stage_task& task, const chain_stage& later,
                             time_point now) const;
    std::optional<stage_task_result> repeat_reply(const task_key& id, const pool_key& key, time_point now);
    std::optional<stage_task_result> refusal_of(const pool_key& key, const stage_task& task, time_point now);
    std::map<std::string, std::vector<backlog_point>> outlines_of(const pool_key& group, time_point now);
    void set_backlog(stage_task_result& out, const pool_key& key, time_point now);
    void end_task(open_task& it, piece_failure failure);
    void dispatch_calls(const pool_key& key);
    void hold_back_by_statements(const pool_key& key, time_point now);
    void end_evacuated_tasks(const pool_key& key);
    bool return_unsent(const pool_key& key, stage_dispatch& call);
    void dispatch_group(const stage_group& group);
    void process_results(pool_state& at, stage_dispatch& call, const std::vector<piece_result>& results);
    void requeue(pool_state& at, const std::vector<queued_piece>& pieces, std::string_view reason);
    void requeue_without_room(pool_state& at, const std::string& endpoint_id, queued_piece piece,
                              time_point now);
    void complete_piece(const queued_piece& piece, piece_result result);
    void record_results(const pool_key& key, const stage_dispatch& call,
                        const std::vector<piece_result>& results, time_point now);
    bool remove_result(const std::string& handle);
    void count_used(const stage_dispatch& call, const batch_options& options);
    void count_vacancy(const std::string& pool, const batch_vacancy& vacancy);
    void expire(time_point now);
    void log_avoided_endpoints(time_point now);

    boost::asio::any_io_executor executor_;
    const platform_codec& codec_;
    http::client& client_;
    result_releaser& releaser_;
    endpoint_statements& statements_;
    permit_issuer& issuer_;
    inputs_fetched_handler on_inputs_fetched_;
    metrics::registry& metrics_;
    metrics::counter& calls_;
    metrics::counter& pieces_;
    metrics::counter& repeated_pieces_;
    metrics::counter& evacuated_tasks_;
    metrics::counter& repeated_replies_;
    team_counters& teams_;
    loop_monitor& monitor_;
    const stage_capacity_settings settings_;
    std::shared_ptr<const routing_table> table_;
    std::vector<endpoint> endpoints_;
    std::map<pool_key, std::unique_ptr<pool_state>> pools_;
    std::map<task_key, std::shared_ptr<open_task>> open_tasks_;
    delivered_results delivered_;
    std::map<pool_key, group_profiles> group_profiles_; ///< by group; see group_of

    /// A result that occupies storage at its producer until it is released or expires.
    struct stored_result {
        pool_key pool;
        std::string endpoint_id;
        std::uint64_t bytes{0};
        time_point expires{};
    };
    std::map<std::string, stored_result, std::less<>> stored_results_;
    std::map<std::string, std::uint64_t> in_flight_by_domain_; ///< without the domains that have none
    time_point avoided_logged_at_{};
    time_point idle_checked_at_{};
    time_point last_tick_{boot_clock::now()};
};

} // namespace limpetlock::gateway
