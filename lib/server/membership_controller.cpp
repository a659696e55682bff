#include "membership_controller.hpp"

#include "endpoint_protocol.hpp"
#include "notification.hpp"
#include "platform_protocol.hpp"

#include <limpetlock/support/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

constexpr duration list_wait{10'000};
constexpr duration list_timeout{2'000};
constexpr duration list_floor{200};
constexpr duration list_back_off_first{200};
constexpr duration list_back_off_last{2'000};
constexpr duration tick_interval{200};
constexpr duration load_interval{1'000};
constexpr duration load_timeout{500};

/// Polls per instance and second. It bounds the control traffic at the planned size, where one instance sees
/// 1,700 endpoints; only endpoints that took a call since the last poll are asked.
constexpr std::size_t load_polls_per_interval = 16;

/// Evidence is repeated to peers for as long as the list may lag behind it without a peer having heard.
constexpr duration evidence_lifetime{30'000};

} // namespace

membership_controller::membership_controller(const boost::asio::any_io_executor& executor,
                                             const instance_settings& settings, http::client& client,
                                             endpoint_table& table,
                                             snapshot_cell<membership::snapshot>& members)
    : strand_(boost::asio::make_strand(executor)), settings_(settings), client_(client), table_(table),
      members_(members)
{
}

void membership_controller::start(callbacks calls)
{
    callbacks_ = std::move(calls);
    boost::asio::co_spawn(strand_, watch_list(), boost::asio::detached);
    boost::asio::co_spawn(strand_, tick_loop(), boost::asio::detached);
    boost::asio::co_spawn(strand_, poll_loads(), boost::asio::detached);
}

void membership_controller::configure(const config::limit_settings& limits)
{
    const std::lock_guard lock(mutex_);
    membership::view_options options;
    options.ejection_max_share = limits.ejection_max_share;
    view_.configure(options);
}

void membership_controller::succeeded(std::uint64_t id, time_point started)
{
    {
        const std::lock_guard lock(mutex_);
        view_.record_success(id, started, boot_clock::now());
    }
    publish();
}

void membership_controller::failed(std::uint64_t id, membership::call_failure how, time_point started)
{
    {
        const std::lock_guard lock(mutex_);
        view_.record_failure(id, how, started, boot_clock::now());
    }
    publish();
}

void membership_controller::answered_leaving(std::uint64_t id)
{
    const time_point now = boot_clock::now();
    std::optional<membership::leaving_evidence> fresh;
    {
        const std::lock_guard lock(mutex_);
        fresh = view_.record_leaving(id, now);
        if (fresh)
            remember(*fresh, now);
    }
    if (!fresh)
        return;
    log::info("endpoint_leaving", {{"pool", fresh->pool}, {"endpoint", fresh->name}, {"source", "endpoint"}});
    publish();
    boost::asio::post(strand_, [this, it = *fresh] { callbacks_.on_leaving(it); });
}

void membership_controller::peer_reported(const membership::leaving_evidence& evidence)
{
    const time_point now = boot_clock::now();
    {
        const std::lock_guard lock(mutex_);
        if (!view_.record_peer_evidence(evidence, now))
            return;
        remember(evidence, now);
    }
    log::info("endpoint_leaving", {{"pool", evidence.pool}, {"endpoint", evidence.name}, {"source", "peer"}});
    publish();
}

bool membership_controller::heard(const std::string& name, std::int64_t incarnation)
{
    bool current = false;
    {
        const std::lock_guard lock(mutex_);
        current = view_.record_contact(name, incarnation, boot_clock::now());
    }
    publish();
    return current;
}

void membership_controller::remember(const membership::leaving_evidence& evidence, time_point now)
{
    std::erase_if(evidence_, [&](const remembered& it) { return now - it.at > evidence_lifetime; });
    evidence_.push_back({evidence, now});
}

std::vector<membership::leaving_evidence> membership_controller::recent_evidence() const
{
    const time_point now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    std::vector<membership::leaving_evidence> out;
    for (const auto& it : evidence_)
        if (now - it.at <= evidence_lifetime)
            out.push_back(it.evidence);
    return out;
}

membership::view::counters membership_controller::counts() const
{
    const std::lock_guard lock(mutex_);
    return view_.counts();
}

std::int64_t membership_controller::list_version() const
{
    const std::lock_guard lock(mutex_);
    return view_.list_version();
}

/// Stores a changed snapshot on the strand, since storing waits for readers and must not hold up a request.
void membership_controller::publish()
{
    std::shared_ptr<const membership::snapshot> it;
    {
        const std::lock_guard lock(mutex_);
        it = view_.current_snapshot();
        if (it == published_)
            return;
        published_ = it;
    }
    boost::asio::post(strand_, [this] {
        std::shared_ptr<const membership::snapshot> latest;
        {
            const std::lock_guard lock(mutex_);
            latest = view_.current_snapshot();
        }
        table_.follow(latest);
        members_.store(latest);
        callbacks_.on_members(latest);
    });
}

bool membership_controller::apply_list(const membership::instance_list& list, const std::string& text,
                                       const std::string& source)
{
    {
        const std::lock_guard lock(mutex_);
        if (list.version == view_.list_version() || !view_.apply(list, boot_clock::now()))
            return false;
        list_text_ = text;
        listed_ = list.instances;
    }
    log::info("instance_list", {{"version", fmt::to_string(list.version)},
                                {"instances", fmt::to_string(list.instances.size())},
                                {"source", source}});
    publish();
    return true;
}

std::vector<membership_controller::endpoint_state> membership_controller::unroutable() const
{
    const std::lock_guard lock(mutex_);
    std::vector<endpoint_state> out;
    for (const auto& it : listed_) {
        const auto status = view_.state(it.pool, it.name);
        if (status == membership::endpoint_state::leaving || status == membership::endpoint_state::ejected)
            out.push_back({it.pool, it.name, *status});
    }
    return out;
}

std::string membership_controller::list_text() const
{
    const std::lock_guard lock(mutex_);
    return list_text_;
}

void membership_controller::adopt_list(const std::string& text, const std::string& peer)
{
    std::string reason;
    const auto list = read_instance_list(text, reason);
    if (!list) {
        log::warning("instance_list_refused", {{"peer", peer}, {"reason", reason}});
        return;
    }
    if (list_version() <= 0)
        apply_list(*list, text, peer);
}

awaitable<bool> membership_controller::read_list()
{
    const std::int64_t version = list_version();
    const http::address platform{settings_.platform.host, settings_.platform.port};
    http::call_error error;
    const http::request request{"GET", instance_list_target(version, list_wait), {}, {}};
    const auto reply = co_await client_.call(platform, request, boot_clock::now() + list_wait + list_timeout,
                                             http::connection_policy::pooled, error);
    std::string reason = error.reason;
    std::optional<membership::instance_list> list;
    if (reply && reply->status == 200)
        list = read_instance_list(reply->body, reason);
    else if (reply)
        reason = fmt::format("status {}", reply->status);
    if (!list) {
        if (list_failures_++ == 0)
            log::warning("instance_list_unavailable", {{"reason", reason}});
        co_return false;
    }
    apply_list(*list, reply->body, "platform");
    co_return true;
}

awaitable<void> membership_controller::watch_list()
{
    duration back_off = list_back_off_first;
    while (!stopped_) {
        if (co_await read_list()) {
            back_off = list_back_off_first;
            co_await sleep_for(list_floor);
            continue;
        }
        co_await sleep_for(back_off);
        back_off = std::min(back_off * 2, list_back_off_last);
    }
}

awaitable<void> membership_controller::tick_loop()
{
    while (!stopped_) {
        co_await sleep_for(tick_interval);
        bool gap = false;
        {
            const std::lock_guard lock(mutex_);
            gap = view_.tick(boot_clock::now());
        }
        if (gap) {
            log::warning("timer_gap", {{"action", "suspicions dropped"}});
            callbacks_.on_timer_gap();
        }
        publish();
    }
}

awaitable<void> membership_controller::poll_load(membership::endpoint it)
{
    ++load_polls_;
    const http::address to{it.address, it.port};
    http::call_error error;
    const http::request request = load_request();
    const auto reply = co_await client_.call(to, request, boot_clock::now() + load_timeout,
                                             http::connection_policy::pooled, error);
    if (!reply)
        co_return;
    if (const auto report = read_load(*reply))
        table_.reported(it.id, *report, boot_clock::now());
}

awaitable<void> membership_controller::poll_loads()
{
    while (!stopped_) {
        co_await sleep_for(load_interval);
        for (auto& it : table_.take_recently_used(load_polls_per_interval))
            boost::asio::co_spawn(strand_, poll_load(std::move(it)), boost::asio::detached);
    }
}

} // namespace limpetlock::server
