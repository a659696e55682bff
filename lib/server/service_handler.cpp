#include "service_handler.hpp"

#include "notification.hpp"

#include <limpetlock/support/hash.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

/// How long an answer is still awaited after the caller was told "unknown". It settles the key, so that the
/// caller's next attempt gets the answer.
constexpr duration late_answer_patience{10'000};

/// Endpoints that one attempt may try after others said that they did not run the call.
constexpr int max_dispatches = 8;

struct tell_entry {
    claims::response_kind what;
    errc code;
    execution ran;
};

constexpr std::array refusals{
    tell_entry{claims::response_kind::not_run, errc::not_run, execution::no},
    tell_entry{claims::response_kind::unknown, errc::outcome_unknown, execution::unknown},
    tell_entry{claims::response_kind::in_progress, errc::in_progress, execution::unknown},
    tell_entry{claims::response_kind::key_reused, errc::key_reused, execution::unknown},
};

request_error to_error(const claims::caller_response& it)
{
    for (const auto& entry : refusals)
        if (entry.what == it.kind)
            return {entry.code, it.reason, entry.ran};
    return {errc::internal, it.reason, execution::unknown};
}

http::response to_answer(const std::string& request_id, const std::string& result)
{
    nlohmann::json out{{"request_id", request_id}};
    out["result"] = nlohmann::json::parse(result, nullptr, false);
    return http::json_response(200, out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// One attempt at a non-idempotent call. It outlives the request when an answer is late.
struct booking {
    booking(claims::claim_request ask, time_point asked_at, std::shared_ptr<notification> it)
        : holder(std::move(ask), asked_at), finished(std::move(it))
    {
    }

    claims::holder holder;
    stage_work work;
    std::string key;
    std::shared_ptr<notification> finished;
    std::optional<admission_permit> permit;
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
    stage_work work_of(const request_context& it, const work_profile& profile) const
    {
        stage_work out;
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
    admit(request_context& it, const std::shared_ptr<const work_profile>& profile, request_error& error)
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
            co_await refuse(it, std::move(error));
            co_return;
        }
        const time_point started = boot_clock::now();
        const stage_work work = work_of(it, *profile);
        const auto result = co_await runner_.run_service(work, error);
        record(*permit, *profile, started, result.has_value());
        if (!result) {
            co_await refuse(it, std::move(error));
            co_return;
        }
        http::response answer = to_answer(it.request_id, *result);
        co_await it.io.respond(std::move(answer));
    }

    void record(admission_permit& permit, const work_profile& profile, time_point started, bool ok)
    {
        const auto took = static_cast<double>((boot_clock::now() - started).count());
        permit.add_cost(took);
        if (ok)
            admission_.record_stage(profile.stages->front(), took);
    }

    claims::claim_request make_ask(const request_context& it, time_point now) const
    {
        const std::string digest = digest128(fmt::format("{}\n{}", it.name, it.body));
        const bool first = claims_.first_attempt_counts(it.first_attempt_asserted, it.arrival, now);
        return {it.team, it.key, digest, it.request_id, first, claims_.claims_number()};
    }

    awaitable<void> run_claimed(request_context& it)
    {
        const time_point asked_at = boot_clock::now();
        const auto executor = co_await boost::asio::this_coro::executor;
        const auto own = std::make_shared<booking>(make_ask(it, asked_at), asked_at,
                                                   std::make_shared<notification>(executor));
        claims::claim_request ask = own->holder.request();
        const auto reply = co_await claims_.ask(std::move(ask), it.deadline);
        if (reply)
            own->holder.record_reply(*reply);
        if (own->holder.may_dispatch(boot_clock::now()))
            co_await dispatch(it, own);
        const auto decision = own->holder.finish();
        if (reply)
            settle(own);
        else
            spawn_settlement(*own, own->holder.withdrawal());
        if (decision.kind != claims::response_kind::answer) {
            request_error error = to_error(decision);
            co_await refuse(it, std::move(error));
            co_return;
        }
        http::response answer = to_answer(it.request_id, decision.answer);
        co_await it.io.respond(std::move(answer));
    }

    /// Runs the call in a coroutine of its own and waits for it until the call's timeout.
    awaitable<void> dispatch(request_context& it, const std::shared_ptr<booking>& own)
    {
        const auto profile = admission_.profile(it.name);
        request_error error;
        own->permit = co_await admit(it, profile, error);
        if (!own->permit)
            co_return;
        own->work = work_of(it, *profile);
        own->key = it.key;
        const auto executor = co_await boost::asio::this_coro::executor;
        boost::asio::co_spawn(executor, call_endpoints(own, profile), boost::asio::detached);
        co_await own->finished->wait(boot_clock::now() + it.call->timeout);
    }

    awaitable<void> call_endpoints(std::shared_ptr<booking> own, std::shared_ptr<const work_profile> profile)
    {
        const time_point started = boot_clock::now();
        choice wanted{own->work.pool, 0, false, {}, {}};
        bool answered = false;
        for (int n = 0; n < max_dispatches; ++n) {
            auto slot = table_.acquire(wanted, boot_clock::now());
            if (!slot || !own->holder.begin_dispatch(boot_clock::now()))
                break;
            const auto result = co_await call_once(*own, *slot, n);
            answered = result == claims::call_result::answered;
            if (answered || result == claims::call_result::broken)
                break;
            wanted.tried.push_back(slot->endpoint().id);
        }
        record(*own->permit, *profile, started, answered);
        own->permit.reset();
        own->finished->notify();
        // When the caller was told before the answer came, the settlement of that time is corrected now.
        settle(own);
    }

    awaitable<claims::call_result> call_once(booking& own, call_slot& slot, int number)
    {
        const std::string call_id = fmt::format("{}-{}", own.work.call_base, number);
        http::call_error transport;
        const http::address to{slot.endpoint().address, slot.endpoint().port};
        const service_call call{call_id, own.work.stage, own.key, own.work.input};
        const http::request message = to_request(call);
        const time_point give_up = boot_clock::now() + own.work.timeout + late_answer_patience;
        const auto reply =
            co_await client_.call(to, message, give_up, http::connection_policy::fresh, transport);
        endpoint_answer answer;
        if (reply)
            answer = read_service_answer(*reply, call_id);
        const auto result = result_of(answer, transport);
        runner_.conclude(slot, own.work, answer.kind, transport,
                         result == claims::call_result::answered ? spent::useful : spent::abandoned);
        own.holder.record_result(result, answer.value);
        co_return result;
    }

    static claims::call_result result_of(const endpoint_answer& answer, const http::call_error& transport)
    {
        if (answer.kind == answer_kind::ok)
            return claims::call_result::answered;
        if (answer.kind == answer_kind::leaving || answer.kind == answer_kind::overloaded)
            return claims::call_result::refused;
        const bool failed = transport.code != http::errc::none;
        return failed && !transport.sent ? claims::call_result::not_sent : claims::call_result::broken;
    }

    void settle(const std::shared_ptr<booking>& own)
    {
        if (auto outcome = own->holder.settlement())
            spawn_settlement(*own, std::move(*outcome));
    }

    void spawn_settlement(const booking& own, claims::claim_settle outcome)
    {
        boost::asio::co_spawn(own.finished->executor(), claims_.settle(std::move(outcome)),
                              boost::asio::detached);
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
