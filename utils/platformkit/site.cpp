#include "site.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::platformkit {

using nlohmann::json;

namespace {

json stage_pool(const std::string& name, const site_options& it)
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConns", 500},
            {"pieces",
             {{"slots", 1},
              {"queue", 2},
              {"batch", it.max_batch_pieces},
              {"callMs", static_cast<double>(it.stage_call_time.count())},
              {"itemMs", 0.5},
              {"headroomMb", static_cast<double>(it.result_capacity) * 0.01},
              {"handleS", 4.0},
              {"linkMbps", 10000}}}};
}

json make_config(const site_options& it)
{
    const json stages = json::array({{{"service", "first"}, {"after", json::array()}, {"bytes", 8000}},
                                     {{"service", "second"}, {"after", {0}}, {"bytes", 8000}}});
    json stream{{"name", "stream"},   {"host", site::host}, {"prefix", "/stream/"}, {"kind", "stream"},
                {"timeoutMs", 5000},  {"goalMs", 1000},     {"priority", 0},        {"service", "engine"},
                {"attempts", 1},      {"stages", stages},   {"public", false},      {"sticky", true},
                {"resumable", false}, {"gapGoalMs", 400}};
    json resumable = stream;
    resumable["name"] = "resumable";
    resumable["prefix"] = "/resumable/";
    resumable["resumable"] = true;
    resumable["attempts"] = 2;
    resumable["stages"] = json::array();
    json lookup{{"name", "lookup"}, {"host", site::host}, {"prefix", "/lookup/"}, {"kind", "idempotent"},
                {"timeoutMs", 800}, {"goalMs", 100},      {"priority", 1},        {"service", "plain"},
                {"attempts", 2},    {"public", false}};
    json booking = lookup;
    booking["name"] = "booking";
    booking["prefix"] = "/booking/";
    booking["kind"] = "non_idempotent";
    booking["attempts"] = 1;
    json open = lookup;
    open["name"] = "open";
    open["prefix"] = "/open/";
    open["public"] = true;
    const json engine{{"name", "engine"},         {"healthPath", "/healthz"},
                      {"maxConns", 500},          {"coldS", 20},
                      {"coldPerS", it.cold_rate}, {"engine", {{"slots", 8}, {"kvTokens", 100000}}}};
    return {{"version", 1},
            {"routes", {stream, resumable, lookup, booking, open}},
            {"services",
             {engine,
              {{"name", "plain"}, {"healthPath", "/healthz"}, {"maxConns", 48}},
              stage_pool("first", it),
              stage_pool("second", it)}},
            {"limits",
             {{"headerBytes", 16384},
              {"bodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", json::array({{{"name", site::team}, {"apiKeys", {site::key}}}})}};
}

} // namespace

site::site(const boost::asio::any_io_executor& executor, site_options its_options)
    : options(std::move(its_options)), state(executor, options.address), config(make_config(options))
{
    const auto make = [this](const std::string& pool, std::size_t n) {
        endpoint_options out;
        out.id = fmt::format("i-{}-{}", pool, n);
        out.pool = pool;
        out.domain = options.domains[n % options.domains.size()];
        return out;
    };
    for (std::size_t n = 0; n < options.engines; ++n) {
        auto it = make("engine", n);
        it.events = options.events;
        it.event_gap = options.event_gap;
        it.service_time = options.engine_time;
        engines.push_back(std::make_unique<service_endpoint>(executor, options.address, std::move(it)));
    }
    for (std::size_t n = 0; n < options.plain; ++n)
        plain.push_back(std::make_unique<service_endpoint>(executor, options.address, make("plain", n)));
    for (std::size_t n = 0; n < options.stage_endpoints; ++n) {
        auto first = make("first", n);
        auto second = make("second", n);
        first.service_time = second.service_time = options.stage_call_time;
        first_stage.push_back(std::make_unique<stage_endpoint>(
            executor, options.address, std::move(first), options.max_batch_pieces, options.result_capacity));
        second_stage.push_back(std::make_unique<stage_endpoint>(
            executor, options.address, std::move(second), options.max_batch_pieces, options.result_capacity));
    }
}

void site::publish_config()
{
    config["version"] = config["version"].get<int>() + 1;
    state.put("op/config", config.dump());
}

void site::publish()
{
    config["version"] = config["version"].get<int>() + 1;
    write_again();
}

void site::write_again()
{
    state.put("op/config", config.dump());
    const auto list = [this](const auto& endpoints) {
        for (const auto& it : endpoints)
            state.put("servers/" + it->options().id, it->entry());
    };
    list(engines);
    list(plain);
    list(first_stage);
    list(second_stage);
}

std::size_t site::count_arrivals(const std::string& domain, std::chrono::steady_clock::time_point since) const
{
    std::size_t out = 0;
    const auto add = [&](const auto& endpoints) {
        for (const auto& it : endpoints)
            if (it->options().domain == domain)
                out += static_cast<std::size_t>(
                    std::count_if(it->limit.arrivals().begin(), it->limit.arrivals().end(),
                                  [since](const auto& arrival) { return arrival >= since; }));
    };
    add(engines);
    add(plain);
    add(first_stage);
    add(second_stage);
    return out;
}

std::string site::settings(const std::string& name, std::uint16_t caller, std::uint16_t ready,
                           std::uint16_t peer, const std::vector<std::uint16_t>& seeds) const
{
    const auto at = [this](std::uint16_t port) { return fmt::format("{}:{}", options.address, port); };
    const std::uint16_t first_port = store_port != 0 ? store_port : state.port();
    json list = json::array();
    for (const auto it : seeds)
        list.push_back(at(it));
    json out{{"node", name},
             {"zone", "a"},
             {"listen", {{"front", at(caller)}, {"ready", at(ready)}, {"control", at(peer)}}},
             {"seeds", list},
             {"limits", {{"cpuShare", 0.25}, {"cores", 1}}},
             {"bounds",
              {{"contactMs", 3000},
               {"drainMs", 2000},
               {"graceS", 8},
               {"configMs", 2000},
               {"strictRevoke", true},
               {"revokeMs", 5000},
               {"budgetRatio", 0.2},
               {"budgetWindowS", 10},
               {"budgetExtra", options.retry_extra},
               {"recoverS", 12}}},
             {"provider",
              {{"addr", at(name == options.second_store_user ? state.second_port() : first_port)},
               {"readsPerS", 2000}}}};
    if (options.follows_evacuations)
        out["bounds"]["evacMs"] = 5000;
    if (options.cold_rate > 0) {
        out["bounds"]["coldOver"] = 1.5;
        out["bounds"]["coldSlack"] = 5;
    }
    return out.dump();
}

} // namespace limpetlock::platformkit
