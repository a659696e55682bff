#include "testkit/endpoint.hpp"

#include <fmt/format.h>

#include <set>
#include <stdexcept>

namespace limpetlock::testkit {

namespace net = boost::asio;
using nlohmann::json;

namespace {
constexpr std::int64_t page_size = 10'000;

/// Copies the keys that a structure has; any other key is an error.
struct reader {
    const json& from;
    std::set<std::string> known;

    template <typename T>
    void get(const char* key, T& into)
    {
        known.insert(key);
        if (from.contains(key))
            from.at(key).get_to(into);
    }

    void check() const
    {
        for (const auto& it : from.items())
            if (!known.contains(it.key()))
                throw std::invalid_argument(fmt::format("unknown key \"{}\"", it.key()));
    }
};
} // namespace

pool_settings parse_pool(const json& settings)
{
    pool_settings out;
    reader r{settings, {}};
    r.get("service_ms", out.service_ms);
    r.get("sigma", out.sigma);
    r.get("token_ms", out.token_ms);
    r.get("slope", out.slope);
    r.get("concurrency", out.concurrency);
    r.get("queue", out.queue);
    r.check();
    return out;
}

fault_settings apply_fault(fault_settings now, const json& change)
{
    if (!change.is_object())
        throw std::invalid_argument("a fault is a JSON object");
    if (change.value("clear", false))
        now = {};
    reader r{change, {"clear", "endpoint", "pool", "all"}};
    r.get("slow", now.slow);
    r.get("down", now.down);
    r.get("refuse", now.refuse);
    r.get("fail", now.fail);
    r.get("die_before", now.die_before);
    r.get("die_after", now.die_after);
    r.get("wrong_id", now.wrong_id);
    r.get("cut_after", now.cut_after);
    r.get("stall_after", now.stall_after);
    r.get("close_idle", now.close_idle);
    r.get("leaving", now.leaving);
    r.get("load_lag_ms", now.load_lag_ms);
    r.get("times", now.times);
    r.check();
    return now;
}

json runs_page(const host_state& host, std::int64_t after, const std::string& only)
{
    json out = {{"runs", json::array()}, {"keys", json::object()}};
    std::int64_t next = after;
    std::int64_t left = page_size;
    const auto oldest = host.next_number - static_cast<std::int64_t>(host.runs.size());
    for (auto n = std::max(after + 1, oldest); n < host.next_number && left > 0; ++n) {
        const auto& it = host.runs[n - oldest];
        next = it.number;
        if (!only.empty() && it.endpoint != only)
            continue;
        --left;
        out["runs"].push_back({{"n", it.number},
                               {"endpoint", it.endpoint},
                               {"call_id", it.call_id},
                               {"key", it.key},
                               {"call", it.call},
                               {"input", it.input},
                               {"at_ms", it.at_ms},
                               {"ms", it.ms},
                               {"from", it.from},
                               {"tokens", it.tokens},
                               {"done", it.done}});
        if (!it.key.empty() && host.by_key.contains(it.key))
            out["keys"][it.key] = host.by_key.at(it.key);
    }
    out["next"] = next;
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
