#include "permits.hpp"

#include <limpetlock/support/log.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::gateway {

using boost::asio::awaitable;

namespace {

/// The responsible instance answers within this time, or another one becomes responsible.
constexpr duration request_timeout{250};

/// How long the endpoint is avoided when the responsible instance didn't answer.
constexpr duration unanswered_wait{300};

/// Longest wait that a reply is believed: the interval of permits at the lowest rate.
constexpr duration max_stated_wait{10'000};

constexpr const char* metric_name = "limpetlock_permits_total";
constexpr const char* metric_help = "requests for permits to send to an endpoint with a limit";

void log_permit(const permit_request& asked, const std::string& issuer, std::string_view outcome,
                const permit& given)
{
    log::info("permit", {{"endpoint", asked.endpoint},
                         {"issuer", issuer},
                         {"outcome", std::string(outcome)},
                         {"limit", fmt::format("{:g}", asked.max_rate)},
                         {"cold", asked.cold ? "yes" : "no"},
                         {"max_wait_ms", fmt::to_string(asked.max_wait.count())},
                         {"wait_ms", fmt::to_string(given.wait.count())}});
}

} // namespace

permits::permits(fleet& peers, const endpoint_statements& statements, permit_issuer& issuer,
                 metrics::registry& metrics)
    : fleet_(peers), statements_(statements), issuer_(issuer),
      granted_(metrics.get_counter(metric_name, metric_help, {{"outcome", "granted"}})),
      denied_(metrics.get_counter(metric_name, metric_help, {{"outcome", "denied"}})),
      unanswered_(metrics.get_counter(metric_name, metric_help, {{"outcome", "unanswered"}}))
{
}

permit permits::answer(const permit_request& it, time_point now)
{
    // This instance may know a newer limit than the one that asks.
    permit_request known = it;
    const auto own = statements_.limit_of(it.endpoint, now);
    if (own) {
        // The one that asks may know of a coldness that hasn't come here yet.
        known.max_rate = it.cold && !own->cold ? std::min(own->max_rate, it.max_rate) : own->max_rate;
        known.max_saved = std::min(own->max_saved, it.max_saved);
        known.cold = known.cold || own->cold;
    }
    permit out = issuer_.request(known, now);
    out.lifetime = known.cold ? cold_permit_lifetime : endpoint_statements::permit_lifetime;
    return out;
}

awaitable<permit> permits::acquire(permit_request it)
{
    const time_point now = boot_clock::now();
    const permit_request asked = it;
    const auto live = fleet_.view().live_instances(now, true);
    const auto ranked = by_responsibility("limit/" + it.endpoint, live);
    permit out;
    const std::string issuer = ranked.empty() ? fleet_.view().own().name : ranked.front().name;
    if (ranked.empty() || ranked.front().name == fleet_.view().own().name) {
        out = answer(it, now);
    } else {
        wire::frame message;
        wire::permit_request_message body;
        body.endpoint = it.endpoint;
        body.max_rate = it.max_rate;
        body.max_wait_ms = it.max_wait.count();
        body.team = it.team;
        body.max_saved = it.max_saved;
        body.cold = it.cold;
        message.__set_permit_request(body);
        std::string responsible = issuer;
        const auto answered =
            co_await fleet_.call(std::move(responsible), std::move(message), now + request_timeout);
        const auto& reply = answered.reply;
        if (!reply || !reply->__isset.permit_reply) {
            unanswered_.add();
            out.wait = unanswered_wait;
            log_permit(asked, issuer, "unanswered", out);
            co_return out;
        }
        out = {reply->permit_reply.granted, duration(std::max<std::int64_t>(0, reply->permit_reply.wait_ms)),
               duration(std::max<std::int64_t>(0, reply->permit_reply.lifetime_ms))};
        // A permit later than asked for isn't of use, and no peer makes a request wait beyond its own bound.
        if (out.granted && out.wait > asked.max_wait)
            out.granted = false;
        out.wait = std::min(out.wait, max_stated_wait);
    }
    (out.granted ? granted_ : denied_).add();
    log_permit(asked, issuer, out.granted ? "granted" : "denied", out);
    co_return out;
}

} // namespace limpetlock::gateway
