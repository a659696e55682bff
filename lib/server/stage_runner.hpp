/// \file
/// Runs one stage of a pipeline, or one repeatable service call, with retries within the retry budget and the
/// deadline. No other layer retries.
#pragma once

#include "admission_controller.hpp"
#include "endpoint_observer.hpp"
#include "endpoint_protocol.hpp"
#include "endpoint_table.hpp"
#include "request_error.hpp"
#include "stage_costs.hpp"

#include <limpetlock/config/document.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace limpetlock::server {

/// One stage, or one service call, of one request.
struct stage_task {
    std::string label;     ///< pipeline and stage, or service and call, joined by '/'; names the retry budget
    std::string call_base; ///< request id, with the incarnation, and stage; each attempt appends its number
    std::string pool;
    std::string stage; ///< or the name of the service call
    std::string model; ///< empty unless the stage is a generation
    std::string input; ///< input or prompt; JSON text for a service call
    std::int64_t max_tokens{0};
    int priority{1}; ///< at the engines; 0 is the highest
    double expected_ms{1};
    duration timeout{}; ///< in ms, of one attempt; of each token of a generation
    time_point deadline{};
};

/// Receives the tokens of a generation in order, each once. Returns false to cancel the generation, for
/// example because the caller is gone.
using token_sink =
    std::function<boost::asio::awaitable<bool>(std::int64_t position, const std::string& text)>;

/// Counters of answers and tokens that were dropped, and of streams that were resumed.
struct answer_counters {
    std::atomic<std::uint64_t> wrong_call{0}; ///< answers to another call
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> resumed_streams{0};  ///< broken streams that another attempt continued
    std::atomic<std::uint64_t> duplicate_tokens{0}; ///< tokens that were already delivered, and dropped
};

/// Runs stage tasks at the endpoints of their pools.
class stage_runner {
public:
    /// All arguments must outlive the runner.
    stage_runner(http::client& client, endpoint_table& table, endpoint_observer& observer,
                 admission_controller& admission, stage_costs& costs)
        : client_(client), table_(table), observer_(observer), admission_(admission), costs_(costs)
    {
    }

    /// Runs a stage and returns its output, or returns nullopt and sets `error`.
    boost::asio::awaitable<std::optional<std::string>> run_stage(const stage_task& task,
                                                                 request_error& error);

    /// Runs a repeatable service call and returns its result as JSON text, or returns nullopt and sets
    /// `error`.
    boost::asio::awaitable<std::optional<std::string>> run_service(const stage_task& task,
                                                                   request_error& error);

    /// Streams a generation to the sink. Returns the number of tokens, or returns nullopt and sets `error`.
    /// A stream that breaks is resumed at another endpoint after the last token that the sink accepted.
    boost::asio::awaitable<std::optional<std::int64_t>>
    generate(const stage_task& task, const token_sink& sink, request_error& error);

    const answer_counters& counters() const { return counters_; }

    /// Reports the result of an attempt to the observer, the admission controller and the statistics of the
    /// endpoint, and adds its time to the stage costs.
    void finish_attempt(call_slot& slot, const stage_task& task, answer_kind kind,
                        const http::call_error& transport, cost_kind cost);

private:
    struct attempt_state;
    struct stream_progress;
    using request_encoder = http::request (*)(const stage_task&, const std::string& call_id, time_point now);
    using answer_decoder = endpoint_answer (*)(const http::response&, std::string_view call_id);

    /// Runs a task whose answer is a single message.
    boost::asio::awaitable<std::optional<std::string>> run(const stage_task& task, request_encoder encode,
                                                           answer_decoder decode, request_error& error);

    /// Makes one attempt at a generation.
    boost::asio::awaitable<endpoint_answer> stream_attempt(call_slot& slot, const stage_task& task,
                                                           const std::string& call_id, const token_sink& sink,
                                                           http::connection_policy reuse_policy,
                                                           stream_progress& progress,
                                                           http::call_error& transport);

    /// Checks that an event belongs to the call and leaves no gap after the tokens before `position`.
    endpoint_answer check_token(const generation_event& event, std::int64_t position);

    /// Returns whether another attempt may follow, and counts it. A retry is charged to the retry budget.
    bool begin_retry(const stage_task& task, answer_kind kind, const http::call_error& transport,
                     attempt_state& attempts);

    http::client& client_;
    endpoint_table& table_;
    endpoint_observer& observer_;
    admission_controller& admission_;
    stage_costs& costs_;
    answer_counters counters_;
};

} // namespace limpetlock::server
