/// \file
/// Serves the requests of callers: finds the route, checks the key, runs the stages and passes the request on
/// to an endpoint and its answer back.
#pragma once

#include "fleet.hpp"
#include "result_returns.hpp"
#include "stage_runner.hpp"

#include <limpetlock/gateway/dialect.hpp>
#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/gateway/retry_share.hpp>
#include <limpetlock/gateway/settings.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/http/server.hpp>
#include <limpetlock/support/metrics.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace limpetlock::gateway {

/// What the handler works with; everything outlives it.
struct handler_parts {
    const dialect& names;
    const gateway_settings& settings;
    published_state& state;
    endpoint_selector& book;
    stage_runner& chain;
    result_returns& returns;
    fleet& peers;
    http::client& engines; ///< for streams, on a new connection each
    http::client& services;
    metrics::registry& metrics;
};

enum class send_end : std::uint8_t;
struct send_result;

class request_handler {
public:
    explicit request_handler(const handler_parts& parts);
    ~request_handler();
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;

    boost::asio::awaitable<void> serve(http::exchange& io);

    /// New requests are refused from now on; those in progress go on.
    void refuse_new_work() { refusing_ = true; }

    /// Requests whose stages aren't done are refused: the process ends before they could be served.
    void refuse_waiting();

    std::size_t in_flight() const { return in_flight_; }

private:
    struct job;
    class sending;
    class registration;

    bool resolve(job& it);
    bool authorize(job& it);
    bool refuse(job& it, int status, std::string_view reason, duration retry_after);
    boost::asio::awaitable<void> run(job& it);
    boost::asio::awaitable<bool> prepare(job& it);
    boost::asio::awaitable<bool> run_stages(job& it);
    boost::asio::awaitable<stage_outcome> run_chain(job& it);
    boost::asio::awaitable<void> forward(job& it);
    boost::asio::awaitable<send_result> send_once(job& it, sending& to);
    boost::asio::awaitable<send_result> relay_whole(job& it, http::answer_reader& from, bool keep_errors);
    boost::asio::awaitable<send_result> relay_stream(job& it, http::answer_reader& from);
    boost::asio::awaitable<bool> remake_inputs(job& it);
    bool may_send_again(job& it, const send_result& last);
    void conclude(job& it, const send_result& last);
    boost::asio::awaitable<void> answer_refusal(job& it);
    void log_end(const job& it);
    void count_end(const job& it, time_point now);
    retry_share& share_of(const std::string& pool);
    duration retry_after(const job& it, time_point now);
    std::string pick_pool(const route& it);

    handler_parts parts_;
    std::map<std::string, retry_share, std::less<>> shares_;
    std::minstd_rand random_;
    std::size_t in_flight_{0};
    bool refusing_{false};
    bool ending_{false};                                ///< no stages are run any more
    std::set<boost::asio::steady_timer*> stage_limits_; ///< of the requests whose stages run
    metrics::counter& repeats_;
    metrics::counter& given_up_;
};

} // namespace limpetlock::gateway
