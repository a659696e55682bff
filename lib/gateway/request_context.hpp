/// \file
/// State of one request while it is served.
#pragma once

#include "request_handler.hpp"

#include <limpetlock/gateway/event_framing.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

/// Limit of the attempts of one request, including those at endpoints that refuse or can't be reached.
inline constexpr std::size_t max_attempts = 5;

/// Least number of instances that an instance assumes, since a new one doesn't know the others yet. The
/// retries beyond the ratio are divided among them.
inline constexpr std::size_t min_fleet_size = 6;

/// Bytes of a stream in which an event with a new id has to come; beyond that it isn't an answer.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

/// Owns the stage results that a request passes to an endpoint, and returns them on release or destruction.
class held_results {
public:
    held_results() = default;
    held_results(result_returns& returns, std::vector<result_group> groups)
        : returns_(&returns), groups_(std::move(groups))
    {
    }
    held_results(const held_results&) = delete;
    held_results& operator=(const held_results&) = delete;
    ~held_results() { release(); }

    std::vector<std::string> handles() const
    {
        std::vector<std::string> out;
        for (const auto& it : groups_)
            out.insert(out.end(), it.handles.begin(), it.handles.end());
        return out;
    }

    void release()
    {
        for (auto& it : groups_)
            returns_->return_results(std::move(it));
        groups_.clear();
    }

    /// Moves the results to an object of their own, so that release() of this one has no effect.
    std::shared_ptr<held_results> transfer()
    {
        return std::make_shared<held_results>(*returns_, std::exchange(groups_, {}));
    }

    bool empty() const { return groups_.empty(); }

private:
    result_returns* returns_{nullptr};
    std::vector<result_group> groups_;
};

/// How one attempt at an endpoint ended.
enum class attempt_end : std::uint8_t {
    delivered,     ///< the answer was relayed, or the caller left
    not_sent,      ///< no byte reached the endpoint
    not_run,       ///< the endpoint states that it did not run the request
    inputs_gone,   ///< not run, since results of its stages no longer exist
    failed_answer, ///< a complete answer with an error status
    broken,        ///< sent, but no complete answer arrived
    timeout        ///< sent, but the deadline passed first
};

struct attempt_result {
    attempt_end end{attempt_end::not_sent};
    attempt_outcome outcome{attempt_outcome::cancelled};
    std::string reason;
    http::response answer;                    ///< of failed_answer
    std::shared_ptr<const void> answer_share; ///< counts its bytes among those of all requests
    int status{0};                            ///< of the endpoint's answer; 0 if no header arrived
    bool any_event{false};                    ///< a whole event of the answer arrived
    /// The connection ended when the endpoint had just begun an answer.
    bool lost_at_begin{false};
    /// The connection ended before any byte of an answer.
    bool lost_silently{false};
};

std::string_view to_string(attempt_end it);

/// An attempt that was sent. Its answer, if it has a usable one, waits to be relayed.
struct opened_attempt {
    std::unique_ptr<http::answer_reader> answer{}; ///< nullptr if the attempt has ended
    attempt_result ended{};                        ///< if there is no answer
    std::string begun{};                           ///< bytes of a stream that were read already
    time_point sent{};
};

/// Whether an endpoint may have begun to work on the request.
inline bool may_have_run(attempt_end it)
{
    return it != attempt_end::not_sent && it != attempt_end::not_run && it != attempt_end::inputs_gone;
}

/// The result of an attempt whose connection failed.
attempt_result failed_attempt(const http::call_error& error);

/// Id of the largest part of the prompt that other requests may share. Requests with the same part go to the
/// same engine, whose cache then saves the most work. The last of several parts is specific to the request
/// and never reused. 0 for a request without a prompt.
std::uint64_t prompt_affinity(const caller_request& it);

/// Ids of the parts of the prompt that other requests may share, that is all but the last.
std::vector<std::uint64_t> shared_parts(const caller_request& it);

/// Id of the last part of the prompt that other requests may share; 0 when there is none.
std::uint64_t prompt_session(const caller_request& it);

/// Tokens of a generation for each of its pieces, in units of prompt tokens. An output token counts as ten,
/// since each one takes a separate step of the engine.
double tokens_per_piece(const caller_request& it);

/// Records an attempt at an endpoint in the endpoint selector. An attempt that is destroyed without an
/// outcome counts as cancelled.
class request_handler::attempt_guard {
public:
    attempt_guard(endpoint_selector& selector, endpoint to, time_point now)
        : target(std::move(to)), selector_(selector)
    {
        selector_.begin_attempt(target.id, now);
    }
    attempt_guard(const attempt_guard&) = delete;
    attempt_guard& operator=(const attempt_guard&) = delete;
    ~attempt_guard() { conclude(attempt_outcome::cancelled, boot_clock::now()); }

    void conclude(attempt_outcome outcome, time_point now)
    {
        if (!std::exchange(open_, false))
            return;
        selector_.end_attempt(target.id, outcome, now);
    }

    const endpoint target;

private:
    endpoint_selector& selector_;
    bool open_{true};
};

struct request_handler::request_context {
    request_context(http::exchange& exchange, time_point now) : io(exchange), arrival(now) {}

    /// An answer that the gateway itself gives instead of an endpoint's.
    struct refusal_answer {
        int status{0};
        std::string reason;
        duration retry_after{0};
    };

    http::exchange& io;
    const time_point arrival;
    boost::asio::any_io_executor executor;
    caller_request request;
    std::shared_ptr<const routing_table> table;
    const route* matched_route{nullptr};
    std::optional<std::string> team;
    std::optional<duration> proof_age; ///< of the table, when the request arrived
    int priority{0};
    time_point deadline{};                  ///< latest time of the complete answer
    std::optional<send_slot> reserved_slot; ///< of the next attempt, found before the stages began
    std::string pool;
    selection_criteria endpoint_criteria;
    std::optional<estimated_request> estimated; ///< of the attempt, in pools that state their load
    stage_plan plan;
    /// Shared with the timer that releases them once the engine has fetched them.
    std::shared_ptr<held_results> inputs{std::make_shared<held_results>()};
    event_framing framing;
    std::size_t attempts{0};
    bool stages_rerun{false};
    std::uint32_t possible_executions{0}; ///< number of attempts in which the request may have run
    bool streaming{false};
    bool complete{false};
    bool caller_gone{false};
    int status{0};
    std::string endpoint_id;
    time_point stages_done{}; ///< when the stages ended
    time_point last_sent{};   ///< when the last attempt began
    time_point first_byte{};  ///< when the first bytes of the answer arrived
    refusal_answer refusal;
};

} // namespace limpetlock::gateway
