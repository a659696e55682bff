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
        if (dependencies_.statements.limit_of(other.id, boot_clock::now()))
            out.tried.push_back(other.id);
    return out;
}

awaitable<std::optional<send_slot>> request_handler::find_send_slot(request_context& it)
{
    auto& selector = dependencies_.selector;
    duration next_permit = duration::max();
    for (std::size_t n = 0; n < max_permit_requests; ++n) {
        auto to = co_await choose_endpoint(it, n == 0);
        const time_point now = boot_clock::now();
        duration max_wait{0};
        if (!to) {
            to = selector.next_held_back(it.endpoint_criteria, now);
            max_wait = max_permit_wait(it, now);
        }
        if (!to) {
            refuse_while_paused(it);
            co_return std::nullopt;
        }
        const auto limit = dependencies_.statements.limit_of(to->id, now);
        if (!limit)
            co_return send_slot{*to, now, time_point::max()};
        permit_request body{to->id,           limit->max_rate, max_wait, it.team.value_or(""),
                            limit->max_saved, limit->cold};
        const permit given = co_await dependencies_.endpoint_permits.acquire(std::move(body));
        const time_point answered = boot_clock::now();
        if (given.granted) {
            duration lifetime = limit->lifetime;
            if (given.lifetime > duration{0})
                lifetime = std::min(lifetime, given.lifetime);
            // The issuer decided after `now`, so this ends no later than its own count.
            co_return send_slot{*to, answered + given.wait, now + given.wait + lifetime,
                                limit->cold || lifetime <= cold_permit_lifetime};
        }
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
        const time_point then = boot_clock::now();
        const bool paused = dependencies_.statements.paused_until(slot->to.id, then).has_value();
        const bool became_cold = !slot->cold && dependencies_.statements.is_cold(slot->to.id, then);
        if (then <= slot->until && !paused && !became_cold &&
            dependencies_.selector.accepts_work(slot->to.id))
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
        const auto limit = dependencies_.statements.limit_of(endpoint.id, now);
        if (!limit || named++ >= max_logged_limits)
            continue;
        const auto* const stated = dependencies_.statements.find(endpoint.id);
        text += fmt::format("{}{}:{:g}@{}/{}ms", text.empty() ? "" : ",", endpoint.id, limit->max_rate,
                            limit->cold ? std::string("cold") : stated->reporter,
                            stated == nullptr ? 0 : (now - stated->at).count());
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
