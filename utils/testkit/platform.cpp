#include "testkit/platform.hpp"

#include <limpetlock/support/time.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::testkit {

namespace net = boost::asio;
using nlohmann::json;

namespace {
constexpr std::int64_t max_wait_ms = 60'000;
constexpr std::int64_t lag_poll_interval_ms = 20;

std::int64_t now_ms()
{
    return to_ms(boot_clock::now());
}
} // namespace

platform::platform(net::io_context& context, std::uint16_t port)
    : listener_(context, port, [this](connection& it) { return handle(it); })
{
    list_versions_.push_back({0, json::array()});
}

std::int64_t platform::publish(json entry)
{
    entry["revision"] = entries_.size() + 1;
    if (!entry.contains("author"))
        entry["author"] = "operator";
    entries_.push_back(std::move(entry));
    wake_all();
    return static_cast<std::int64_t>(entries_.size());
}

void platform::change_instances(const json& change)
{
    json next = change.contains("instances") ? change["instances"] : list_versions_.back().instances;
    const auto by_name = [&](const json& name) {
        return std::find_if(next.begin(), next.end(), [&](const json& it) { return it["name"] == name; });
    };
    for (const auto& it : change.value("update", json::array())) {
        const auto at = by_name(it.at("name"));
        if (at == next.end())
            next.push_back(it);
        else
            at->update(it);
    }
    for (const auto& it : change.value("remove", json::array()))
        if (const auto at = by_name(it); at != next.end())
            next.erase(at);
    list_versions_.push_back({now_ms(), std::move(next)});
    wake_all();
}

void platform::wake_all()
{
    for (auto* it : waiting_)
        it->wake();
}

std::int64_t platform::visible_version() const
{
    auto version = static_cast<std::int64_t>(list_versions_.size());
    if (mode_ == "stale")
        version = std::min(version, stale_version_);
    while (version > 1 && list_versions_[version - 1].at_ms > now_ms() - list_lag_ms_)
        --version;
    return version;
}

bool platform::is_down(bool config) const
{
    return mode_ == "down" || (config && config_down_);
}

json platform::config_after(std::int64_t revision) const
{
    auto last = static_cast<std::int64_t>(entries_.size());
    if (mode_ == "stale")
        last = std::min(last, stale_revision_);
    json out = json::array();
    for (auto n = std::max<std::int64_t>(revision, 0); n < last; ++n)
        out.push_back(entries_[n]);
    return {{"revision", last}, {"entries", std::move(out)}};
}

json platform::instance_list() const
{
    const auto version = visible_version();
    return {{"version", version}, {"instances", list_versions_[version - 1].instances}};
}

net::awaitable<void> platform::serve_poll(connection& it, bool config)
{
    const auto after = it.query("after", 0);
    const auto until = now_ms() + std::clamp<std::int64_t>(it.query("wait_ms", 0), 0, max_wait_ms);
    ++call_counts_[config ? "config" : "instances"];
    if (delay_ms_ > 0)
        co_await it.sleep(static_cast<double>(delay_ms_));
    it.watch_for_close();
    json answer;
    waiting_.insert(&it);
    while (!it.closed() && !is_down(config)) {
        answer = config ? config_after(after) : instance_list();
        const bool changed =
            config ? !answer["entries"].empty() : answer["version"].get<std::int64_t>() > after;
        const auto left = until - now_ms();
        if (changed || left <= 0)
            break;
        co_await it.sleep(
            static_cast<double>(list_lag_ms_ > 0 ? std::min(left, lag_poll_interval_ms) : left));
    }
    waiting_.erase(&it);
    if (is_down(config)) {
        it.drop();
        co_return;
    }
    if (!it.closed())
        co_await it.respond(200, answer);
}

json platform::set_fault(const json& fault)
{
    mode_ = fault.value("mode", mode_);
    config_down_ = fault.value("config_down", config_down_);
    delay_ms_ = fault.value("delay_ms", delay_ms_);
    list_lag_ms_ = fault.value("instances_lag_ms", list_lag_ms_);
    stale_revision_ = fault.value("revision", static_cast<std::int64_t>(entries_.size()));
    stale_version_ =
        std::max<std::int64_t>(1, fault.value("version", static_cast<std::int64_t>(list_versions_.size())));
    wake_all();
    return {{"mode", mode_},
            {"config_down", config_down_},
            {"delay_ms", delay_ms_},
            {"instances_lag_ms", list_lag_ms_}};
}

net::awaitable<void> platform::handle_control(connection& it)
{
    const auto path = it.path();
    if (path == "/control/calls") {
        json counts = call_counts_;
        counts["waiting"] = waiting_.size();
        co_await it.respond(200, counts);
        co_return;
    }
    const auto body = parse_body(it);
    json answer = {{"error", "unknown control call or malformed body"}};
    int status = 400;
    try {
        if (path == "/control/publish" && body.is_object()) {
            answer = {{"revision", publish(body)}};
            status = 200;
        } else if (path == "/control/instances" && body.is_object()) {
            change_instances(body);
            answer = {{"version", list_versions_.size()}};
            status = 200;
        } else if (path == "/control/fault" && body.is_object()) {
            answer = set_fault(body);
            status = 200;
        }
    } catch (const json::exception& e) {
        answer = {{"error", e.what()}};
    }
    co_await it.respond(status, answer);
}

net::awaitable<void> platform::handle(connection& it)
{
    const auto path = it.path();
    if (path.starts_with("/control/")) {
        co_await handle_control(it);
        co_return;
    }
    if (is_down(path == "/v1/config")) {
        ++call_counts_["while_down"];
        it.drop();
        co_return;
    }
    if (path == "/v1/config" || path == "/v1/instances") {
        co_await serve_poll(it, path == "/v1/config");
        co_return;
    }
    const json unknown = {{"error", "not_found"}};
    co_await it.respond(404, unknown);
}

} // namespace limpetlock::testkit
