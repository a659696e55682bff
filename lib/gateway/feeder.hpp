/// \file
/// Runs the stage pools that this instance is responsible for: takes orders of all instances, forms batches
/// and calls the endpoints.
#pragma once

#include <limpetlock/gateway/dialect.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>
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

/// What became of an order.
struct order_result {
    enum class status : std::uint8_t { done, in_progress, refused };

    status how{status::refused};
    std::vector<piece_result> pieces; ///< in the order of the order's pieces
    std::string reason;
    duration backlog{0}; ///< time that the pool needs for what waits now
};

/// A stage pool, or the part of it in one failure domain.
struct pool_key {
    std::string group; ///< failure domain; empty for the whole pool
    std::string pool;

    friend auto operator<=>(const pool_key&, const pool_key&) = default; // NOLINT(modernize-use-nullptr)
};

class feeder {
public:
    /// Takes the inputs of an order when the endpoint has fetched them.
    using used_inputs = std::function<void(const std::vector<result_group>&)>;

    feeder(boost::asio::any_io_executor executor, const dialect& names, http::client& client,
           result_releaser& releaser, metrics::registry& metrics, used_inputs on_used);
    ~feeder();
    feeder(const feeder&) = delete;
    feeder& operator=(const feeder&) = delete;

    /// Takes the stage pools of a table and the endpoints that serve them.
    void configure(std::shared_ptr<const routing_table> table, std::vector<endpoint> endpoints);

    /// Submits an order, or joins it when it was submitted before, and waits up to `patience` for its
    /// results. The results of an order that nobody asks for again are released.
    boost::asio::awaitable<order_result> run(pool_key where, stage_task order, duration patience);

    void cancel(const std::string& request_id, std::uint32_t stage);

    /// Releases results at their makers, and their room with them.
    void release(const std::vector<std::string>& handles);

    /// Orders that are not done.
    std::size_t open_orders() const;

private:
    struct open_order;
    struct pool_state;
    using order_key = std::pair<std::string, std::uint32_t>;

    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> make_call(pool_key where, stage_dispatch call);
    boost::asio::awaitable<void> give_inputs_back(std::vector<std::shared_ptr<open_order>> orders);
    std::vector<std::shared_ptr<open_order>> note_started(const stage_dispatch& call);
    pool_state* find_pool(const pool_key& where);
    void configure(const pool_key& where, pool_state& state);
    task_filter hold_filter(const std::string& group, time_point now) const;
    void pump(const pool_key& where);
    void pump_group(const std::string& group);
    void take_results(pool_state& at, stage_dispatch& call, const std::vector<piece_result>& results);
    void requeue(pool_state& at, const std::vector<queued_piece>& pieces, std::string_view reason);
    void put_back(pool_state& at, const std::string& endpoint_id, queued_piece piece, time_point now);
    void settle(const queued_piece& piece, piece_result result);
    void note_results(const pool_key& where, const stage_dispatch& call,
                      const std::vector<piece_result>& results, time_point now);
    bool forget_result(const std::string& handle);
    void expire(time_point now);

    boost::asio::any_io_executor executor_;
    const dialect& names_;
    http::client& client_;
    result_releaser& releaser_;
    used_inputs on_used_;
    metrics::counter& calls_;
    metrics::counter& pieces_;
    metrics::counter& repeated_;
    std::shared_ptr<const routing_table> table_;
    std::vector<endpoint> endpoints_;
    std::map<pool_key, std::unique_ptr<pool_state>> pools_;
    std::map<order_key, std::shared_ptr<open_order>> orders_;

    /// A result that occupies room at its maker.
    struct kept_result {
        pool_key where;
        std::string endpoint_id;
        std::uint64_t bytes{0};
        time_point expires{};
    };
    std::map<std::string, kept_result, std::less<>> kept_;
};

} // namespace limpetlock::gateway
