#include "request_context.hpp"
#include "request_handler.hpp"

#include <limpetlock/support/log.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

namespace limpetlock::gateway {

using boost::asio::awaitable;

namespace {

/// Most permits that one request asks for before it takes an endpoint without a limit or is refused.
constexpr std::size_t max_permit_requests = 3;

/// A permit can be used for this long. Requests that come late by up to this time don't make the endpoint
/// exceed its limit within the window in which the platform counts.
constexpr duration permit_lifetime{2'000};

/// Part of the latency objective, and of the time until the deadline, for which a request of the most urgent
/// priority waits for a permit. Less urgent requests wait for less, so they leave the permits of the near
/// future to more urgent ones.
constexpr int objective_divisor = 2;
constexpr int deadline_divisor = 4;

/// An endpoint is left out of the selection for this long at most, since its limit may end meanwhile.
constexpr duration max_hold{1'000};

/// Endpoints that a log line names.
constexpr std::size_t max_logged_limits = 8;

} // namespace

duration request_handler::max_permit_wait(const request_context& it, time_point now)
{
    const duration left = std::max(duration{0}, it.deadline - now) / deadline_divisor;
    const duration objective = it.matched_route->objective / objective_divisor;
    const duration longest = objective > duration{0} ? std::min(left, objective) : left;
    return longest / (1 + std::max(0, it.priority));
}

bool request_handler::is_pool_limited(const std::string& pool) const
{
    const auto all = dependencies_.selector.available_endpoints(pool);
    return !all.empty() && std::all_of(all.begin(), all.end(), [this](const endpoint& it) {
        return dependencies_.statements.find(it.id) != nullptr;
    });
}

/// The criteria of the request without the endpoints that need a permit.
selection_criteria request_handler::without_limited(const request_context& it) const
{
    auto out = it.endpoint_criteria;
    for (const auto& other : dependencies_.selector.available_endpoints(it.pool))
        if (dependencies_.statements.find(other.id) != nullptr)
            out.tried.push_back(other.id);
    return out;
}

awaitable<std::optional<send_slot>> request_handler::find_send_slot(request_context& it)
{
    auto& selector = dependencies_.selector;
    duration next_permit = duration::max();
    for (std::size_t n = 0; n < max_permit_requests; ++n) {
        const time_point now = boot_clock::now();
        auto to = selector.select(it.endpoint_criteria, now);
        duration max_wait{0};
        if (!to) {
            to = selector.next_held_back(it.endpoint_criteria, now);
            max_wait = max_permit_wait(it, now);
        }
        if (!to) {
            refuse_while_paused(it);
            co_return std::nullopt;
        }
        const auto* const limit = dependencies_.statements.find(to->id);
        if (limit == nullptr)
            co_return send_slot{*to, now, time_point::max()};
        permit_request body{to->id, *limit->max_rate, max_wait, it.team.value_or("")};
        const permit given = co_await dependencies_.endpoint_permits.acquire(std::move(body));
        const time_point answered = boot_clock::now();
        if (given.granted)
            co_return send_slot{*to, answered + given.wait, answered + given.wait + permit_lifetime};
        selector.hold_back(to->id, answered + std::min(given.wait, max_hold));
        next_permit = std::min(next_permit, given.wait);
    }
    if (auto to = selector.select(without_limited(it), boot_clock::now()))
        co_return send_slot{*to, boot_clock::now(), time_point::max()};
    refuse_without_permit(it, next_permit);
    co_return std::nullopt;
}

awaitable<std::optional<endpoint>> request_handler::select_endpoint(request_context& it)
{
    auto slot = std::exchange(it.reserved_slot, std::nullopt);
    for (;;) {
        if (!slot)
            slot = co_await find_send_slot(it);
        if (!slot)
            co_return std::nullopt;
        const time_point now = boot_clock::now();
        if (slot->from > now)
            co_await sleep_for(slot->from - now);
        const bool paused = dependencies_.statements.paused_until(slot->to.id, boot_clock::now()).has_value();
        if (boot_clock::now() <= slot->until && !paused && dependencies_.selector.accepts_work(slot->to.id))
            co_return slot->to;
        slot.reset();
    }
}

/// Gets the permit before the stages run if the whole pool is limited, so that a request that no endpoint
/// will take is refused at once and costs no stage work.
awaitable<bool> request_handler::reserve_slot(request_context& it)
{
    if (!is_pool_limited(it.pool))
        co_return true;
    it.reserved_slot = co_await find_send_slot(it);
    if (!it.reserved_slot && it.refusal.status == 0)
        refuse(it, 503, "no endpoint", min_retry_after);
    co_return it.reserved_slot.has_value();
}

bool request_handler::refuse_while_paused(request_context& it)
{
    const time_point now = boot_clock::now();
    const auto& selector = dependencies_.selector;
    const auto next = selector.next_pause_end(it.endpoint_criteria, now);
    if (!next || dependencies_.selector.select(it.endpoint_criteria, now) ||
        selector.next_held_back(it.endpoint_criteria, now))
        return false;
    const auto jitter = static_cast<std::int64_t>(random_() % 300);
    const duration retry_after = std::max(min_retry_after, *next - now) + duration(jitter);
    paused_.add();
    log::info("request_paused", {{"request", it.request.id},
                                 {"pool", it.pool},
                                 {"attempts", fmt::to_string(it.attempts)},
                                 {"retry_after_ms", fmt::to_string(retry_after.count())}});
    if (it.possible_executions == 0)
        refuse(it, 503, "the endpoints take no requests for a while", retry_after);
    return true;
}

/// Refuses a request for which no endpoint has a permit in time, unless it may have run.
void request_handler::refuse_without_permit(request_context& it, duration next_permit)
{
    const time_point now = boot_clock::now();
    std::string text;
    std::size_t named = 0;
    for (const auto& endpoint : dependencies_.selector.available_endpoints(it.pool)) {
        const auto* const limit = dependencies_.statements.find(endpoint.id);
        if (limit != nullptr && named++ < max_logged_limits)
            text += fmt::format("{}{}:{:g}@{}/{}ms", text.empty() ? "" : ",", endpoint.id, *limit->max_rate,
                                limit->reporter, (now - limit->at).count());
    }
    const auto jitter = static_cast<std::int64_t>(random_() % 300);
    const duration retry_after = std::max(min_retry_after, next_permit) + duration(jitter);
    limited_.add();
    log::info("request_limited", {{"request", it.request.id},
                                  {"pool", it.pool},
                                  {"limits", text},
                                  {"attempts", fmt::to_string(it.attempts)},
                                  {"max_wait_ms", fmt::to_string(max_permit_wait(it, now).count())},
                                  {"retry_after_ms", fmt::to_string(retry_after.count())}});
    if (it.possible_executions == 0)
        refuse(it, 503, "the endpoints take no more requests", retry_after);
}

} // namespace limpetlock::gateway
