#include "admin.hpp"

#include "metrics_page.hpp"

#include <limpetlock/support/untrusted_json.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <string_view>

namespace limpetlock::server {

using boost::asio::awaitable;
using nlohmann::json;

namespace {

std::string to_text(const json& it)
{
    return it.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

json config_json(const components& parts)
{
    const auto version = parts.in_force.load();
    json out{
        {"number", version ? version->number : 0},    {"claims_number", version ? version->claims_number : 0},
        {"digest", version ? version->digest() : ""}, {"revision", parts.configuration.revision()},
        {"ready", parts.configuration.ready()},       {"diverged", parts.configuration.diverged()}};
    json outcomes = json::array();
    for (const auto& it : parts.configuration.outcomes())
        outcomes.push_back({{"result", config::to_string(it.result)},
                            {"revision", it.revision},
                            {"author", it.author},
                            {"base", it.base},
                            {"number", it.number},
                            {"reason", it.reason}});
    out["outcomes"] = std::move(outcomes);
    const auto counters = parts.configuration.counters();
    out["counters"] = {{"reads", counters.reads},
                       {"read_failures", counters.read_failures},
                       {"stale_revisions", counters.stale_revisions},
                       {"stale_numbers", counters.stale_numbers},
                       {"pulls", counters.pulls},
                       {"pull_failures", counters.pull_failures},
                       {"divergences", counters.divergences},
                       {"pauses", counters.pauses}};
    return out;
}

json claims_json(const claim_status& it)
{
    const auto& n = it.counters;
    return {{"owner", it.is_owner},
            {"lease_held", it.lease_held},
            {"held_ms", it.held_for.count()},
            {"superseded", it.superseded},
            {"sealed", it.sealed},
            {"records", it.records},
            {"witness_entries", it.witness_entries},
            {"kept_handovers", it.kept_handovers},
            {"succession", it.handover_reason},
            {"counters",
             {{"granted", n.granted},
              {"answered", n.answered},
              {"in_progress", n.in_progress},
              {"unknown", n.unknown},
              {"refused", n.refused},
              {"key_reused", n.key_reused},
              {"refused_full", n.refused_full},
              {"refused_lease", n.refused_lease},
              {"settled", n.settled},
              {"settle_ignored", n.settle_ignored},
              {"expired_grants", n.expired_grants},
              {"expired_records", n.expired_records},
              {"imported", n.imported}}}};
}

json members_json(const components& parts)
{
    json entries = json::array();
    for (const auto& it : parts.members.load()->entry_instances)
        entries.push_back({{"name", it.name},
                           {"address", fmt::format("{}:{}", it.address, it.port)},
                           {"failure_domain", it.failure_domain},
                           {"leaving", it.leaving},
                           {"incarnation", it.incarnation}});
    json endpoints = json::array();
    for (const auto& it : parts.table.rows()) {
        endpoints.push_back({{"pool", it.pool},
                             {"name", it.name},
                             {"state", membership::to_string(it.state)},
                             {"in_flight", it.in_flight},
                             {"limit", it.limit}});
        if (it.reported_calls)
            endpoints.back()["reported_load"] = *it.reported_calls;
    }
    for (const auto& it : parts.membership.unroutable())
        endpoints.push_back(
            {{"pool", it.pool}, {"name", it.name}, {"state", membership::to_string(it.state)}});
    const auto counts = parts.membership.counts();
    return {{"list_version", parts.membership.list_version()},
            {"entries", std::move(entries)},
            {"endpoints", std::move(endpoints)},
            {"counters",
             {{"ejections", counts.ejections},
              {"ejections_capped", counts.ejections_capped},
              {"returns", counts.reinstatements},
              {"timer_gaps", counts.timer_gaps},
              {"lists_ignored", counts.lists_ignored},
              {"list_failures", parts.membership.list_failures()},
              {"load_polls", parts.membership.load_polls()},
              {"stale_evidence", counts.stale_evidence},
              {"stale_frames", counts.stale_frames}}}};
}

json queues_json(const components& parts)
{
    json out = json::array();
    for (const auto& it : parts.admission.rows())
        out.push_back({{"pool", it.pool},
                       {"waiting", it.waiting},
                       {"waiting_by_rank", it.waiting_by_rank},
                       {"served_ms_by_rank", it.served_ms},
                       {"capacity", it.capacity},
                       {"occupied", it.occupied}});
    return out;
}

json costs_json(const components& parts)
{
    json out = json::object();
    for (const auto& [stage, cost] : parts.costs.all())
        for (std::size_t n = 0; n < cost_kind_count; ++n)
            out[stage][std::string(to_string(static_cast<cost_kind>(n)))] = {{"ms", cost.milliseconds[n]},
                                                                             {"calls", cost.calls[n]}};
    return out;
}

json peers_json(const components& parts)
{
    const auto n = parts.peers.counters();
    return {{"frames_received", n.frames_received},
            {"frames_sent", n.frames_sent},
            {"bytes_received", n.bytes_received},
            {"bytes_sent", n.bytes_sent},
            {"malformed", n.malformed},
            {"old_incarnation", n.old_incarnation},
            {"late_replies", n.late_replies}};
}

http::response config_answer(const components& parts)
{
    const auto version = parts.in_force.load();
    if (!version)
        return http::json_response(503, to_text({{"reason", "no configuration is in force"}}));
    json out = config_json(parts);
    out["document"] = parse_untrusted_json(version->document.redacted_text());
    return http::json_response(200, to_text(out));
}

/// Answers a dry run of a patch. The body of the request is {"base":N,"patch":{...}}.
http::response check_patch(const components& parts, const std::string& body)
{
    const auto object = parse_untrusted_json(body);
    if (!object.is_object() || !object.contains("base") || !object["base"].is_number_integer() ||
        !object.contains("patch"))
        return to_response(
            {errc::bad_request, "the body must be {\"base\":N,\"patch\":{...}}", execution::no}, "");
    const auto result = parts.configuration.check(object["base"].get<std::int64_t>(), object["patch"].dump());
    return http::json_response(200, to_text({{"result", config::to_string(result.result)},
                                             {"number", result.number},
                                             {"reason", result.reason},
                                             {"changes", result.changes}}));
}

http::response ready_answer(const components& parts)
{
    const bool ready = is_ready(parts);
    return http::json_response(
        ready ? 200 : 503,
        to_text({{"ready", ready}, {"stop_state", lifecycle::to_string(parts.stop_state())}}));
}

http::response live_answer(const components&)
{
    return http::json_response(200, "{\"live\":true}\n");
}

http::response state_answer(const components& parts)
{
    return http::json_response(200, dump_state(parts));
}

/// A GET request that needs no parameters.
struct route {
    std::string_view target;
    http::response (*answer)(const components&);
};

constexpr std::array routes{
    route{"/healthz", live_answer},
    route{"/readyz", ready_answer},
    route{"/admin/v1/state", state_answer},
    route{"/admin/v1/config", config_answer},
};

http::response make_answer(components& parts, const http::request& message)
{
    if (message.method == "GET" && message.target == "/metrics")
        return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, render_metrics(parts)};
    if (message.method == "POST" && message.target == "/admin/v1/config/check")
        return check_patch(parts, message.body);
    for (const auto& it : routes)
        if (message.method == "GET" && message.target == it.target)
            return it.answer(parts);
    return to_response({errc::not_found, "no such path", execution::no}, "");
}

} // namespace

bool is_ready(const components& parts)
{
    return parts.configuration.ready() && parts.membership.list_version() > 0 &&
           parts.stop_state() == lifecycle::stop_state::running;
}

std::string dump_state(const components& parts)
{
    const auto& answers = parts.runner.counters();
    json out{{"instance", parts.settings.name},
             {"failure_domain", parts.settings.failure_domain},
             {"incarnation", parts.incarnation},
             {"version", LIMPETLOCK_VERSION},
             {"uptime_ms", (boot_clock::now() - parts.started).count()},
             {"ready", is_ready(parts)},
             {"stop_state", lifecycle::to_string(parts.stop_state())},
             {"requests_in_flight", parts.in_flight.load()}};
    out["config"] = config_json(parts);
    out["members"] = members_json(parts);
    out["queues"] = queues_json(parts);
    out["claims"] = claims_json(parts.claims.status());
    out["stage_costs"] = costs_json(parts);
    out["retry_tokens"] = parts.table.retry_tokens();
    out["peers"] = peers_json(parts);
    out["answers"] = {{"wrong_call", answers.wrong_call.load()},
                      {"malformed", answers.malformed.load()},
                      {"resumed_streams", answers.resumed_streams.load()},
                      {"duplicate_tokens", answers.duplicate_tokens.load()}};
    return to_text(out);
}

awaitable<void> serve_admin(components& parts, http::exchange& io)
{
    http::response answer = make_answer(parts, io.message());
    co_await io.respond(std::move(answer));
}

} // namespace limpetlock::server
