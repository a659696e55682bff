#include "testkit/endpoint.hpp"
#include "testkit/strict_json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace limpetlock::testkit {

namespace net = boost::asio;
using nlohmann::json;

namespace {
constexpr std::int64_t max_page_runs = 5'000;
} // namespace

fault_settings apply_fault(fault_settings now, const json& change)
{
    json merged = change.value("clear", false) ? fault_settings{} : now;
    merged.update(change);
    for (const auto* it : {"clear", "endpoint", "pool", "all"})
        merged.erase(it);
    return parse_strict<fault_settings>(merged);
}

json runs_page(const host_state& host, std::int64_t after, const std::string& endpoint_name)
{
    json out = {{"runs", json::array()}, {"keys", json::object()}};
    std::int64_t next = after;
    std::int64_t left = max_page_runs;
    const auto oldest = host.next_run_number - static_cast<std::int64_t>(host.runs.size());
    for (auto n = std::max(after + 1, oldest); n < host.next_run_number && left > 0; ++n) {
        const auto& it = host.runs[n - oldest];
        next = it.number;
        if (!endpoint_name.empty() && it.endpoint != endpoint_name)
            continue;
        --left;
        out["runs"].push_back({{"n", it.number},
                               {"endpoint", it.endpoint},
                               {"call_id", it.call_id},
                               {"key", it.key},
                               {"call", it.call},
                               {"input", it.input},
                               {"at_ms", it.start_ms},
                               {"ms", it.duration_ms},
                               {"from", it.first_token},
                               {"tokens", it.tokens},
                               {"done", it.done}});
        if (!it.key.empty() && host.completed_runs_by_key.contains(it.key))
            out["keys"][it.key] = host.completed_runs_by_key.at(it.key);
    }
    out["next"] = next;
    out["newest"] = host.next_run_number - 1;
    out["dropped"] = oldest - 1;
    return out;
}

endpoint_host::endpoint_host(net::io_context& context, std::uint16_t control_port, std::uint32_t seed)
    : context_(context), state_(seed),
      listener_(context, control_port, [this](connection& it) { return handle(it); })
{
}

endpoint& endpoint_host::add(const std::string& name, const std::string& pool, std::uint16_t port,
                             pool_settings settings)
{
    endpoints_.push_back(std::make_unique<endpoint>(context_, state_, name, pool, port, settings));
    return *endpoints_.back();
}

int endpoint_host::set_faults(const json& change, json& answer)
{
    try {
        const auto name = change.value("endpoint", "");
        const auto pool = change.value("pool", "");
        const bool all = change.value("all", false);
        json touched = json::array();
        for (const auto& it : endpoints_) {
            if (!all && it->name() != name && it->pool() != pool)
                continue;
            it->set_fault(change);
            touched.push_back(it->name());
        }
        answer = {{"endpoints", touched}};
        return touched.empty() ? 404 : 200;
    } catch (const std::exception& e) {
        answer = {{"error", e.what()}};
        return 400;
    }
}

net::awaitable<void> endpoint_host::handle(connection& it)
{
    const auto path = it.path();
    json answer = {{"error", "not_found"}};
    int status = 404;
    if (path == "/control/fault") {
        status = set_faults(parse_body(it), answer);
    } else if (path == "/control/runs") {
        answer = runs_page(state_, it.query("after", 0), "");
        for (const auto& each : endpoints_)
            answer["totals"][each->name()] = each->totals();
        status = 200;
    }
    co_await it.respond(status, answer);
}

} // namespace limpetlock::testkit
