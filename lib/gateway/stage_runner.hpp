/// \file
/// Runs the stages of one request in the order of their needs, through the instances that are responsible
/// for the pools.
#pragma once

#include "feeder.hpp"
#include "fleet.hpp"
#include "result_returns.hpp"

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

struct stage_plan {
    std::string request_id;
    std::vector<stage_spec> stages;
    std::vector<std::uint32_t> pieces; ///< of each stage
    std::string key;
    time_point deadline{};
    time_point objective_time{}; ///< all stages done by this time let the request meet its objective
    std::string domain;
    int priority{0};
    double tokens_per_piece{0}; ///< tokens of the request for each of its pieces; 0 when unknown
};

enum class stage_status : std::uint8_t { done, late, unavailable, failed };

std::string_view to_string(stage_status it);

struct stage_outcome {
    stage_status how{stage_status::failed};
    std::vector<result_group> inputs; ///< results that the request itself needs
    std::string reason;
};

class stage_runner {
public:
    stage_runner(boost::asio::any_io_executor executor, fleet& peers, feeder& local, result_returns& returns,
                 const endpoint_selector& book);

    /// Whoever gives up the returned coroutine cancels what it has ordered. The caller gives the inputs back.
    boost::asio::awaitable<stage_outcome> run(stage_plan plan, std::shared_ptr<const routing_table> table);

    /// Expected time of the stages of a request when nothing waits.
    static duration minimum_time(const stage_plan& plan, const routing_table& table);

    /// Expected time until the pools of the request have worked off what waits there now, as far as it is
    /// known.
    duration backlog(const stage_plan& plan, const routing_table& table, time_point now) const;

private:
    struct run_state;
    class run_guard;

    static boost::asio::awaitable<void> run_stage(stage_runner& self, std::shared_ptr<run_state> state,
                                                  std::size_t index);
    boost::asio::awaitable<order_result> run_task(std::shared_ptr<run_state> state, std::size_t index,
                                                  stage_task task);
    boost::asio::awaitable<std::optional<order_result>>
    run_task_at(std::shared_ptr<run_state> state, std::string name, pool_key where, stage_task task);
    void record_backlog(const pool_key& where, duration backlog, time_point now);
    boost::asio::awaitable<void> cancel_at(std::string name, std::string request_id, std::uint32_t stage);
    void cancel_tasks(run_state& state);
    std::string scheduling_group(const stage_plan& plan, const routing_table& table) const;

    struct backlog_report {
        duration length{0};
        time_point at{};
    };

    boost::asio::any_io_executor executor_;
    fleet& fleet_;
    feeder& feeder_;
    result_returns& returns_;
    const endpoint_selector& book_;
    std::map<pool_key, backlog_report> backlogs_;
};

} // namespace limpetlock::gateway
