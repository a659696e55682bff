#include "service_handler.hpp"

#include "notification.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/scope_exit.hpp>
#include <limpetlock/support/untrusted_json.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

/// Time in ms for which an answer is still awaited after the caller got the response "unknown". A late answer
/// settles the key, so that the caller's next attempt gets it.
constexpr duration late_answer_timeout{10'000};

/// Maximum number of endpoints to which one claimed call is sent. A call is sent to the next endpoint only if
/// the one before has not run it.
constexpr int max_dispatches = 8;

/// Error for a kind of response without an answer.
struct refusal_entry {
    claims::response_kind kind;
    errc code;
    execution ran;
};

constexpr std::array refusals{
    refusal_entry{claims::response_kind::not_run, errc::not_run, execution::no},
    refusal_entry{claims::response_kind::unknown, errc::outcome_unknown, execution::unknown},
    refusal_entry{claims::response_kind::in_progress, errc::in_progress, execution::unknown},
    refusal_entry{claims::response_kind::key_reused, errc::key_reused, execution::unknown},
};

request_error to_error(const claims::caller_response& it)
{
    for (const auto& entry : refusals)
        if (entry.kind == it.kind)
            return {entry.code, it.reason, entry.ran};
    return {errc::internal, it.reason, execution::unknown};
}

http::response to_answer(const std::string& request_id, const std::string& result)
{
    nlohmann::json out{{"request_id", request_id}};
    out["result"] = parse_untrusted_json(result);
    return http::json_response(200, out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// A caller's attempt at a call that isn't repeatable. It outlives the request if the answer is late.
struct claimed_call {
    claimed_call(claims::claim_request claim_request, time_point requested_at,
                 std::shared_ptr<notification> it)
        : holder(std::move(claim_request), requested_at), finished(std::move(it))
    {
    }

    claims::holder holder;
    stage_task task;
    std::string key;
    std::shared_ptr<notification> finished; // notified when the calls to endpoints have ended
    std::optional<admission_permit> permit; // held until then
};

class service_handler : public request_filter {
public:
    service_handler(admission_controller& admission, stage_runner& runner, claim_controller& claims,
                    endpoint_table& table, http::client& client)
        : admission_(admission), runner_(runner), claims_(claims), table_(table), client_(client)
    {
    }

    awaitable<bool> apply(request_context& it) override
    {
        if (it.call == nullptr)
            co_return true;
        if (it.call->repeatable)
            co_await run_repeatable(it);
        else
            co_await run_claimed(it);
        co_return false;
    }

private:
    stage_task make_task(const request_context& it, const request_profile& profile) const
    {
        stage_task out;
        out.label = it.name;
        out.call_base = fmt::format("{}-{}", it.request_id, it.call_name);
        out.pool = it.service->pool;
        out.stage = it.call_name;
        out.input = it.body;
        out.expected_ms = admission_.expected_ms(profile.stages->front());
        out.timeout = it.call->timeout;
        out.deadline = it.deadline;
        return out;
    }

    awaitable<std::optional<admission_permit>>
    admit(request_context& it, const std::shared_ptr<const request_profile>& profile, request_error& error)
    {
        error = {errc::not_run, "the configuration is changing", execution::no};
        if (!profile)
            co_return std::nullopt;
        co_return co_await admission_.admit(profile, it.team, static_cast<admission::rank>(it.priority),
                                            it.deadline, error);
    }

    awaitable<void> run_repeatable(request_context& it)
    {
        const auto profile = admission_.profile(it.name);
        request_error error;
        auto permit = co_await admit(it, profile, error);
        if (!permit) {
            co_await respond_with_error(it, std::move(error));
            co_return;
        }
        const time_point started = boot_clock::now();
        const stage_task task = make_task(it, *profile);
        const auto result = co_await runner_.run_service(task, error);
        record_time(*permit, *profile, started, result.has_value());
        if (!result) {
            co_await respond_with_error(it, std::move(error));
            co_return;
        }
        http::response answer = to_answer(it.request_id, *result);
        co_await it.io.respond(std::move(answer));
    }

    void record_time(admission_permit& permit, const request_profile& profile, time_point started,
                     bool succeeded)
    {
        const auto took_ms = static_cast<double>((boot_clock::now() - started).count());
        permit.add_cost_ms(took_ms);
        if (succeeded)
            admission_.record_stage_time(profile.stages->front(), took_ms);
    }

    claims::claim_request make_claim_request(const request_context& it, time_point now) const
    {
        const std::string digest = digest128(fmt::format("{}\n{}", it.name, it.body));
        const bool first = claims_.first_attempt_assertion_holds(it.first_attempt_asserted, it.arrival, now);
        return {it.team, it.key, digest, it.request_id, first, claims_.claims_number()};
    }

    awaitable<void> run_claimed(request_context& it)
    {
        const time_point requested_at = boot_clock::now();
        const auto executor = co_await boost::asio::this_coro::executor;
        const auto claimed = std::make_shared<claimed_call>(
            make_claim_request(it, requested_at), requested_at, std::make_shared<notification>(executor));
        claims::claim_request claim_request = claimed->holder.request();
        const auto reply = co_await claims_.request_claim(std::move(claim_request), it.deadline);
        if (reply)
            claimed->holder.record_reply(*reply);
        if (claimed->holder.may_dispatch(boot_clock::now()))
            co_await dispatch(it, claimed);
        const auto response = claimed->holder.finish();
        if (reply)
            settle(claimed);
        else
            spawn_settlement(*claimed, claimed->holder.withdrawal());
        if (response.kind != claims::response_kind::answer) {
            request_error error = to_error(response);
            co_await respond_with_error(it, std::move(error));
            co_return;
        }
        http::response answer = to_answer(it.request_id, response.answer);
        co_await it.io.respond(std::move(answer));
    }

    /// Runs the call in a separate coroutine and waits for it until the timeout of the call.
    awaitable<void> dispatch(request_context& it, const std::shared_ptr<claimed_call>& claimed)
    {
        const auto profile = admission_.profile(it.name);
        request_error error;
        claimed->permit = co_await admit(it, profile, error);
        if (!claimed->permit)
            co_return;
        claimed->task = make_task(it, *profile);
        claimed->key = it.key;
        const auto executor = co_await boost::asio::this_coro::executor;
        spawn_background(executor, "claimed_call", call_endpoints(claimed, profile));
        co_await claimed->finished->wait(boot_clock::now() + it.call->timeout);
    }

    awaitable<void> call_endpoints(std::shared_ptr<claimed_call> claimed,
                                   std::shared_ptr<const request_profile> profile)
    {
        // Holds after an unexpected error too: the caller's request waits for it.
        const scope_exit finish([&claimed] {
            claimed->permit.reset();
            claimed->finished->notify();
        });
        const time_point started = boot_clock::now();
        endpoint_criteria criteria{claimed->task.pool, 0, false, {}, {}};
        bool answered = false;
        for (int n = 0; n < max_dispatches; ++n) {
            auto slot = table_.acquire(criteria, boot_clock::now());
            if (!slot || !claimed->holder.begin_dispatch(boot_clock::now()))
                break;
            const auto result = co_await run_attempt(*claimed, *slot, n);
            answered = result == claims::call_result::answered;
            if (answered || result == claims::call_result::broken)
                break;
            criteria.tried_ids.push_back(slot->endpoint().id);
        }
        record_time(*claimed->permit, *profile, started, answered);
        claimed->permit.reset();
        claimed->finished->notify();
        // If the caller got its response before the answer came, this corrects the settlement that was sent
        // then.
        settle(claimed);
    }

    awaitable<claims::call_result> run_attempt(claimed_call& claimed, call_slot& slot, int number)
    {
        const std::string call_id = fmt::format("{}-{}", claimed.task.call_base, number);
        http::call_error transport;
        const http::address to{slot.endpoint().address, slot.endpoint().port};
        const service_call call{call_id, claimed.task.stage, claimed.key, claimed.task.input};
        const http::request message = to_request(call);
        const time_point call_deadline = boot_clock::now() + claimed.task.timeout + late_answer_timeout;
        const auto reply =
            co_await client_.call(to, message, call_deadline, http::connection_policy::fresh, transport);
        endpoint_answer answer;
        if (reply)
            answer = read_service_answer(*reply, call_id);
        const auto result = to_call_result(answer, transport);
        runner_.finish_attempt(slot, claimed.task, answer.kind, transport,
                               result == claims::call_result::answered ? cost_kind::useful
                                                                       : cost_kind::abandoned);
        claimed.holder.record_result(result, answer.value);
        co_return result;
    }

    static claims::call_result to_call_result(const endpoint_answer& answer,
                                              const http::call_error& transport)
    {
        if (answer.kind == answer_kind::ok)
            return claims::call_result::answered;
        if (answer.kind == answer_kind::leaving || answer.kind == answer_kind::overloaded)
            return claims::call_result::refused;
        const bool failed = transport.code != http::errc::none;
        return failed && !transport.sent ? claims::call_result::not_sent : claims::call_result::broken;
    }

    void settle(const std::shared_ptr<claimed_call>& claimed)
    {
        if (auto outcome = claimed->holder.settlement())
            spawn_settlement(*claimed, std::move(*outcome));
    }

    void spawn_settlement(const claimed_call& claimed, claims::claim_settle outcome)
    {
        spawn_background(claimed.finished->executor(), "claim_settlement",
                         claims_.settle(std::move(outcome)));
    }

    admission_controller& admission_;
    stage_runner& runner_;
    claim_controller& claims_;
    endpoint_table& table_;
    http::client& client_;
};

} // namespace

std::unique_ptr<request_filter> make_service_handler(admission_controller& admission, stage_runner& runner,
                                                     claim_controller& claims, endpoint_table& table,
                                                     http::client& client)
{
    return std::make_unique<service_handler>(admission, runner, claims, table, client);
}

} // namespace limpetlock::server
