/// \file
/// State of one request while it is served.
#pragma once

#include "request_handler.hpp"

#include <limpetlock/gateway/event_framing.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

/// Results of stages that wait for the engine; given back when they are no longer needed.
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
            returns_->give_back(std::move(it));
        groups_.clear();
    }

private:
    result_returns* returns_{nullptr};
    std::vector<result_group> groups_;
};

/// How one sending to an endpoint ended.
enum class send_end : std::uint8_t {
    delivered,     ///< the caller has the answer
    not_sent,      ///< no byte reached the endpoint
    not_run,       ///< the endpoint states that it did not run the request
    inputs_gone,   ///< not run, since results of its stages no longer exist
    failed_answer, ///< a whole answer that tells a failure
    broken,        ///< sent, and no whole answer came
    timeout        ///< sent, and the time is up
};

struct send_result {
    send_end how{send_end::not_sent};
    attempt_outcome outcome{attempt_outcome::cancelled};
    std::string reason;
    http::response answer; ///< of failed_answer
};

std::string_view to_string(send_end it);

/// Whether an endpoint may have begun to work on the request.
inline bool may_have_run(send_end it)
{
    return it != send_end::not_sent && it != send_end::not_run && it != send_end::inputs_gone;
}

/// The end of a sending whose connection failed.
send_result failed_send(const http::call_error& error);

/// The part of a prompt whose reuse saves most: requests with the same part go to the same engine. The last
/// one of several parts is the request's own and never reused. 0 for a request without a prompt.
std::uint64_t affinity_of(const caller_request& it);

/// The last part of a prompt that other requests may share; 0 when there is none.
std::uint64_t session_of(const caller_request& it);

/// Size of a generation for each of its pieces, in prompt tokens. An output token counts for ten: it takes a
/// step of the engine of its own.
double worth_of(const caller_request& it);

struct request_handler::job {
    job(http::exchange& exchange, time_point now) : io(exchange), arrival(now) {}

    struct own_answer {
        int status{0};
        std::string reason;
        duration retry_after{0};
    };

    http::exchange& io;
    const time_point arrival;
    boost::asio::any_io_executor executor;
    caller_request request;
    std::shared_ptr<const routing_table> table;
    const route* way{nullptr};
    std::optional<std::string> team;
    std::optional<duration> proof_age;
    int priority{0};
    time_point deadline{}; ///< of the final answer
    std::string pool;
    selection_criteria wish;
    stage_plan work;
    std::shared_ptr<held_results> inputs{std::make_shared<held_results>()};
    event_framing framing;
    std::size_t sendings{0};
    bool stages_rerun{false};
    std::uint32_t runs{0}; ///< sendings after which the request may have run
    bool streaming{false};
    bool complete{false};
    bool caller_gone{false};
    int status{0};
    std::string endpoint_id;
    time_point stages_done{};
    time_point first_byte{};
    own_answer refusal;
};

} // namespace limpetlock::gateway
