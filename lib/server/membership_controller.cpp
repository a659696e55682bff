#include "membership_controller.hpp"

#include "endpoint_protocol.hpp"
#include "notification.hpp"
#include "platform_protocol.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/log.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

/// How long the platform holds a request for the list while it has no newer version.
constexpr duration list_wait{10'000};
/// Time after the end of list_wait at which a read without an answer counts as failed.
constexpr duration list_timeout{2'000};
constexpr duration min_list_interval{200};
constexpr duration initial_list_back_off{200};
constexpr duration max_list_back_off{2'000};
constexpr duration tick_interval{200};
constexpr duration load_interval{1'000};
constexpr duration load_timeout{500};

/// Endpoints that this instance polls in each load_interval. The bound limits the control traffic in the
/// planned deployment, where one instance sees 1,700 endpoints. Only endpoints that received a call since
/// their last poll are polled.
constexpr std::size_t load_polls_per_interval = 16;

/// How long evidence is repeated to the peers. The platform's list may take this long to show the endpoint as
/// leaving, and a peer that missed the first message would send calls to it until then.
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
    spawn_loop(strand_, "endpoint_list_loop", [this] { return watch_list(); });
    spawn_loop(strand_, "membership_tick_loop", [this] { return tick_loop(); });
    spawn_loop(strand_, "load_poll_loop", [this] { return poll_loads(); });
}

void membership_controller::configure(const config::limit_settings& limits)
{
    const std::lock_guard lock(mutex_);
    membership::view_options options;
    options.ejection_max_share = limits.ejection_max_share;
    view_.configure(options);
}

void membership_controller::record_success(std::uint64_t id, time_point started)
{
    {
        const std::lock_guard lock(mutex_);
        view_.record_success(id, started, boot_clock::now());
    }
    publish();
}

void membership_controller::record_failure(std::uint64_t id, membership::call_failure failure,
                                           time_point started)
{
    {
        const std::lock_guard lock(mutex_);
        view_.record_failure(id, failure, started, boot_clock::now());
    }
    publish();
}

void membership_controller::record_leaving(std::uint64_t id)
{
    const time_point now = boot_clock::now();
    std::optional<membership::leaving_evidence> fresh;
    {
        const std::lock_guard lock(mutex_);
        fresh = view_.record_leaving(id, now);
        if (fresh)
            record_evidence(*fresh, now);
    }
    if (!fresh)
        return;
    log::info("endpoint_leaving", {{"pool", fresh->pool}, {"endpoint", fresh->name}, {"source", "endpoint"}});
    publish();
    boost::asio::post(strand_, [this, it = *fresh] { callbacks_.on_endpoint_leaving(it); });
}

void membership_controller::record_peer_evidence(const membership::leaving_evidence& evidence)
{
    const time_point now = boot_clock::now();
    {
        const std::lock_guard lock(mutex_);
        if (!view_.record_peer_evidence(evidence, now))
            return;
        record_evidence(evidence, now);
    }
    log::info("endpoint_leaving", {{"pool", evidence.pool}, {"endpoint", evidence.name}, {"source", "peer"}});
    publish();
}

bool membership_controller::record_contact(const std::string& name, std::int64_t incarnation)
{
    bool current = false;
    {
        const std::lock_guard lock(mutex_);
        current = view_.record_contact(name, incarnation, boot_clock::now());
    }
    publish();
    return current;
}

void membership_controller::record_evidence(const membership::leaving_evidence& evidence, time_point now)
{
    std::erase_if(recent_evidence_,
                  [&](const received_evidence& it) { return now - it.received_at > evidence_lifetime; });
    recent_evidence_.push_back({evidence, now});
}

std::vector<membership::leaving_evidence> membership_controller::recent_evidence() const
{
    const time_point now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    std::vector<membership::leaving_evidence> out;
    for (const auto& it : recent_evidence_)
        if (now - it.received_at <= evidence_lifetime)
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

/// Publishes a changed snapshot. snapshot_cell::store() blocks until readers have finished, so it runs on the
/// strand and does not delay a request on the caller's thread.
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
        table_.set_members(latest);
        members_.store(latest);
        callbacks_.on_members_changed(latest);
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
        listed_instances_ = list.instances;
    }
    log::info("instance_list", {{"version", fmt::to_string(list.version)},
                                {"instances", fmt::to_string(list.instances.size())},
                                {"source", source}});
    publish();
    return true;
}

std::vector<membership_controller::unroutable_endpoint> membership_controller::unroutable() const
{
    const std::lock_guard lock(mutex_);
    std::vector<unroutable_endpoint> out;
    for (const auto& it : listed_instances_) {
        const auto state = view_.state(it.pool, it.name);
        if (state == membership::endpoint_state::leaving || state == membership::endpoint_state::ejected)
            out.push_back({it.pool, it.name, *state});
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
    duration back_off = initial_list_back_off;
    while (!stopped_) {
        if (co_await read_list()) {
            back_off = initial_list_back_off;
            co_await sleep_for(min_list_interval);
            continue;
        }
        co_await sleep_for(back_off);
        back_off = std::min(back_off * 2, max_list_back_off);
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
        table_.record_load(it.id, *report, boot_clock::now());
}

awaitable<void> membership_controller::poll_loads()
{
    while (!stopped_) {
        co_await sleep_for(load_interval);
        for (auto& it : table_.pop_recently_used(load_polls_per_interval))
            spawn_background(strand_, "load_poll", poll_load(std::move(it)));
    }
}

} // namespace limpetlock::server
