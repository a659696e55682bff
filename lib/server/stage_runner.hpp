/// \file
/// Runs one stage of a pipeline, or one repeatable service call, with retries inside its budget and its
/// deadline. This is the only layer that retries.
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

/// One stage of one request.
struct stage_work {
    std::string label;     ///< pipeline and stage, or service and call; names the retry budget
    std::string call_base; ///< incarnation, request and stage; each attempt appends its number
    std::string pool;
    std::string stage;
    std::string model;
    std::string input; ///< input or prompt; JSON text for a service call
    std::int64_t max_tokens{0};
    int priority{1};
    double expected_ms{1};
    duration timeout{};
    time_point deadline{};
};

/// Receives the tokens of a generation in order, each once; false when the caller is gone.
using token_sink =
    std::function<boost::asio::awaitable<bool>(std::int64_t position, const std::string& text)>;

/// Counters of answers that were dropped or repaired.
struct answer_counters {
    std::atomic<std::uint64_t> wrong_call{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> resumed_streams{0};
    std::atomic<std::uint64_t> duplicate_tokens{0};
};

class stage_runner {
public:
    stage_runner(http::client& client, endpoint_table& table, endpoint_observer& observer,
                 admission_controller& admission, stage_costs& costs)
        : client_(client), table_(table), observer_(observer), admission_(admission), costs_(costs)
    {
    }

    /// Output of a stage. nullopt leaves the reason in `error`.
    boost::asio::awaitable<std::optional<std::string>> run_stage(const stage_work& work,
                                                                 request_error& error);

    /// Result of a repeatable service call, as JSON text.
    boost::asio::awaitable<std::optional<std::string>> run_service(const stage_work& work,
                                                                   request_error& error);

    /// Streams a generation; the number of tokens, or nullopt with the reason in `error`. A stream that
    /// breaks is resumed at another endpoint after the last token that the sink took.
    boost::asio::awaitable<std::optional<std::int64_t>>
    generate(const stage_work& work, const token_sink& sink, request_error& error);

    const answer_counters& counters() const { return counters_; }

    /// Reports an answer to the observer and the statistics of the endpoint, and accounts its cost.
    void conclude(call_slot& slot, const stage_work& work, answer_kind kind,
                  const http::call_error& transport, spent cost);

private:
    struct attempts;
    struct progress;
    using request_maker = http::request (*)(const stage_work&, const std::string& call_id, time_point now);
    using answer_reader = endpoint_answer (*)(const http::response&, std::string_view call_id);

    boost::asio::awaitable<std::optional<std::string>> run(const stage_work& work, request_maker make,
                                                           answer_reader read, request_error& error);
    boost::asio::awaitable<endpoint_answer> stream_once(call_slot& slot, const stage_work& work,
                                                        const std::string& call_id, const token_sink& sink,
                                                        http::connection_policy policy, progress& done,
                                                        http::call_error& transport);
    endpoint_answer check_token(const generation_event& event, std::int64_t position);
    bool may_retry(const stage_work& work, answer_kind kind, const http::call_error& transport,
                   attempts& tries);

    http::client& client_;
    endpoint_table& table_;
    endpoint_observer& observer_;
    admission_controller& admission_;
    stage_costs& costs_;
    answer_counters counters_;
};

} // namespace limpetlock::server
