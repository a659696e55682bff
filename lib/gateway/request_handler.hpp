/// \file
/// Serves the requests of callers.
#pragma once

#include "fleet.hpp"
#include "load_prober.hpp"
#include "permits.hpp"
#include "result_returns.hpp"
#include "stage_runner.hpp"
#include "store_reader.hpp"

#include <limpetlock/gateway/answer_times.hpp>
#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/load_aware_selector.hpp>
#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/gateway/prompt_quarantine.hpp>
#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/gateway/retry_share.hpp>
#include <limpetlock/gateway/second_attempts.hpp>
#include <limpetlock/gateway/settings.hpp>
#include <limpetlock/gateway/team_counters.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/http/server.hpp>
#include <limpetlock/support/metrics.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace limpetlock::gateway {

/// The objects that the handler uses. All of them have to outlive it.
struct handler_dependencies {
    const platform_codec& codec;
    const gateway_settings& settings;
    published_state& state;
    store_reader& reader;
    prompt_quarantine& quarantine;
    endpoint_selector& selector;
    endpoint_statements& statements;
    load_aware_selector& load_aware;
    load_prober& prober;
    permits& endpoint_permits;
    stage_runner& runner;
    result_returns& returns;
    fleet& peers;
    http::client& engine_client; ///< for streamed answers
    http::client& service_client;
    metrics::registry& metrics;
    team_counters& teams;
};

/// An endpoint to which a request may be sent, and when.
struct send_slot {
    endpoint to;
    time_point from{};
    time_point until{};
    bool cold{false}; ///< the permit is one for a cold endpoint
};

enum class attempt_end : std::uint8_t;
struct attempt_result;
struct opened_attempt;

/// When the results of the stages are released: once an idle engine has fetched them, or by the answer.
enum class input_release : std::uint8_t { after_fetch, by_answer };

/// Finds the route of a request, checks its key, runs its stages, forwards the request to an endpoint and
/// relays the answer to the caller.
class request_handler {
public:
    explicit request_handler(const handler_dependencies& dependencies);
    ~request_handler();
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;

    boost::asio::awaitable<void> serve(http::exchange& io);

    /// Refuses new requests from now on; requests in progress continue.
    void refuse_new_work() { refusing_new_work_ = true; }

    /// Refuses the requests whose stages aren't done, since the process ends before they can be served.
    void refuse_waiting_requests();

    /// Sets the time at which the requests that remain are cut. A request whose answer isn't expected to end
    /// by then is not sent to an endpoint any more.
    void set_end(time_point end) { ends_at_ = end; }

    /// Gives all requests without an answer their final one, since the process is about to end.
    void end_requests();

    std::size_t in_flight() const { return in_flight_; }

private:
    struct request_context;
    class attempt_guard;
    struct attempt_pair;

    /// Least time after which a refused request may come back.
    static constexpr duration min_retry_after{300};

    class timer_registration;
    class end_registration;
    class buffer_share;

    /// Returns whether the request may run. If not, it was refused, or its caller left.
    boost::asio::awaitable<bool> accept(request_context& it);
    /// Waits until the table is confirmed, if it may have been replaced unnoticed. Returns false if the
    /// caller left first.
    boost::asio::awaitable<bool> confirm_table(request_context& it);
    /// Decodes the request, finds its route and checks its key. Returns false if the request is refused.
    bool resolve(request_context& it);
    bool authorize(request_context& it);
    void record_proof_age(request_context& it);
    /// Sets the answer of a refused request; returns false.
    bool refuse(request_context& it, int status, std::string_view reason, duration retry_after);
    boost::asio::awaitable<void> run(request_context& it);
    void refuse_at_end(request_context& it);
    void refuse_after_exception(request_context& it, const std::exception_ptr& failure);
    boost::asio::awaitable<bool> prepare(request_context& it);
    boost::asio::awaitable<bool> run_stages(request_context& it);
    bool refuse_stages_in_advance(request_context& it, duration min_time);
    duration stage_retry_after(duration until_room);
    boost::asio::awaitable<stage_outcome> run_plan(request_context& it);
    boost::asio::awaitable<void> forward(request_context& it);
    /// Returns the endpoint for the next attempt, once it may be sent there. nullopt if there is none, or if
    /// those that are left have no permit in time; the request is refused then.
    boost::asio::awaitable<std::optional<endpoint>> select_endpoint(request_context& it);
    /// Finds an endpoint with a permit, or without a limit. A permit may begin later.
    boost::asio::awaitable<std::optional<send_slot>> find_send_slot(request_context& it);
    /// Selects an endpoint by the load that is known, or with `may_probe`, after a short wait for the load of
    /// a few endpoints.
    boost::asio::awaitable<std::optional<endpoint>> choose_endpoint(request_context& it, bool may_probe);
    void record_choice(const request_context& it, const load_aware_choice& choice,
                       const probe_outcome& probes);
    static request_profile profile_of(const request_context& it);
    /// The first event of an attempt, or its whole answer, arrived.
    void record_first_event(request_context& it);
    selection_criteria without_limited(const request_context& it) const;
    boost::asio::awaitable<bool> reserve_slot(request_context& it);
    /// Refuses the request if all endpoints that may serve it want no requests now. Returns whether it did.
    bool refuse_without_endpoint(request_context& it, duration retry_after);
    bool refuse_while_paused(request_context& it);
    bool is_pool_limited(const std::string& pool) const;
    static duration max_permit_wait(const request_context& it, time_point now);
    void refuse_without_permit(request_context& it, duration next_permit);
    /// What the end of an attempt says of its endpoint.
    attempt_outcome evidence_of(attempt_outcome outcome, time_point sent) const;
    boost::asio::awaitable<attempt_result> run_attempt(request_context& it, attempt_guard& to);
    /// Sends the request and reads the header of the answer. One that isn't a success is read whole.
    boost::asio::awaitable<opened_attempt> open_attempt(request_context& it, attempt_guard& to,
                                                        input_release release);
    boost::asio::awaitable<attempt_result> relay_answer(request_context& it, attempt_guard& to,
                                                        opened_attempt opened);
    void record_attempt(request_context& it, const endpoint& to, const attempt_result& last);

    /// Runs an attempt, and a second one at another endpoint if the answer is slow. The first usable answer
    /// is relayed. Returns and records the end of the attempts.
    boost::asio::awaitable<attempt_result> run_attempts(request_context& it, attempt_guard& to);
    boost::asio::awaitable<void> run_first(request_context& it, attempt_pair& pair);
    boost::asio::awaitable<void> run_second(request_context& it, attempt_pair& pair);
    boost::asio::awaitable<opened_attempt> open_usable(request_context& it, attempt_guard& to,
                                                       input_release release);
    /// Decides on the second attempt. Returns its endpoint, or nullopt if there is no second attempt.
    std::optional<endpoint> choose_second(request_context& it, const attempt_pair& pair, time_point now);
    hedged_request hedged_request_of(const request_context& it) const;
    hedging_situation situation_of(const request_context& it, const attempt_pair& pair,
                                   const std::optional<endpoint>& other, time_point now);
    void log_second(const request_context& it, const attempt_pair& pair, const hedging_situation& known,
                    second_attempt_verdict verdict);
    void record_first_time(const attempt_pair& pair, const opened_attempt& ended);
    /// Records the attempt that isn't relayed: one that failed before, or one that is cancelled now.
    void record_loser(request_context& it, attempt_pair& pair);
    /// Returns and records the more decisive of two failed attempts, after the other.
    attempt_result record_failures(request_context& it, attempt_pair& pair);
    void count_second(std::string_view outcome);
    void count_second_suppressed(second_attempt_verdict why);
    boost::asio::awaitable<attempt_result> relay_whole(request_context& it, http::answer_reader& from,
                                                       bool keep_answer);
    boost::asio::awaitable<attempt_result> relay_stream(request_context& it, http::answer_reader& from,
                                                        std::string begun);
    boost::asio::awaitable<bool> rerun_stages(request_context& it);
    /// Whether the request may be sent to an engine, by the parts of its prompt. Sets the refusal if not.
    bool passes_quarantine(request_context& it);
    void record_prompt_evidence(const request_context& it, const endpoint& to, const attempt_result& last);
    bool may_retry(request_context& it, const attempt_result& last);
    /// Whether the answer is expected to end before this process does.
    bool can_end(const request_context& it, time_point now) const;
    void refuse_after_attempts(request_context& it, const attempt_result& last);
    boost::asio::awaitable<void> answer_refusal(request_context& it);
    void log_end(const request_context& it);
    void count_end(const request_context& it, time_point now);
    retry_share& retry_share_of(const std::string& pool);
    std::size_t fleet_size(time_point now) const;
    duration retry_after(const request_context& it, time_point now);
    std::string pick_pool(const route& it);

    handler_dependencies dependencies_;
    std::map<std::string, retry_share, std::less<>> retry_shares_;
    std::minstd_rand random_;
    second_attempts second_attempts_;
    std::size_t in_flight_{0};
    std::size_t buffered_bytes_{0}; ///< of the answers that are read whole
    bool refusing_new_work_{false};
    answer_times answer_times_;
    std::optional<time_point> ends_at_; ///< set by a planned stop
    /// Timers that end the requests, and the exchanges of these.
    std::map<boost::asio::steady_timer*, http::exchange*> end_timers_;
    bool stages_refused_{false};                        ///< no stages run any more
    std::set<boost::asio::steady_timer*> stage_timers_; ///< deadline timers of the requests whose stages run
    metrics::counter& repeats_;
    metrics::counter& callers_gone_;
    metrics::counter& quarantined_;
    metrics::counter& engines_lost_;
    metrics::counter& limited_;
    metrics::counter& paused_;
    metrics::counter& evacuated_;
    std::uint64_t choices_{0}; ///< by load reports
    metrics::counter& usual_choices_;
    metrics::counter& other_choices_;
    metrics::summary& report_ages_;
    metrics::summary& estimate_ratios_;
    metrics::counter& confirmations_;
    metrics::counter& unproven_tables_;
    metrics::summary& proof_ages_;
};

} // namespace limpetlock::gateway
