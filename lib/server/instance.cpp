#include "admin.hpp"
#include "components.hpp"
#include "notification.hpp"
#include "pipeline_handler.hpp"
#include "request_filters.hpp"
#include "service_handler.hpp"

#include <limpetlock/http/server.hpp>
#include <limpetlock/server/instance.hpp>
#include <limpetlock/support/background.hpp>
#include <limpetlock/support/log.hpp>

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

constexpr duration stop_step_interval{50};
constexpr duration usage_interval{500};
constexpr duration evidence_interval{1'000};
/// Time that a message to a peer waits for its reply.
constexpr duration message_timeout{500};

/// Time between the close of the listeners and the end of the process, so that the bytes of the last answer
/// are sent.
constexpr duration close_delay{100};

/// Number of instances that receive usage and evidence in each round. It is fixed, so that the cost of these
/// messages per instance does not grow with the fleet.
constexpr std::size_t gossip_fanout = 8;

std::int64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Counts one request as in flight during its lifetime.
class in_flight_guard {
public:
    explicit in_flight_guard(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    ~in_flight_guard() { --count_; }

private:
    std::atomic<std::size_t>& count_;
};

} // namespace

struct instance::impl {
    explicit impl(instance_settings settings)
        : parts(std::move(settings), wall_clock_ms()), signals(parts.io, SIGTERM, SIGINT)
    {
        make_filters();
        make_peer_handlers();
        open_listeners();
    }

    void make_filters()
    {
        filters.push_back(
            make_accept_filter([this] { return parts.accepts_work(); }, parts.in_force, parts.claims));
        filters.push_back(make_authenticate_filter(parts.claims));
        filters.push_back(make_resolve_filter(parts.claims));
        filters.push_back(make_pipeline_handler(parts.admission, parts.runner));
        filters.push_back(
            make_service_handler(parts.admission, parts.runner, parts.claims, parts.table, parts.client));
    }

    static std::optional<http::tls_files> tls_files_of(const instance_settings& it)
    {
        if (it.tls_certificate.empty())
            return std::nullopt;
        return http::tls_files{it.tls_certificate, it.tls_key};
    }

    void open_listeners()
    {
        const auto& it = parts.settings;
        admin = std::make_unique<http::server>(
            parts.io.get_executor(), it.admin.host, it.admin.port, http::server_limits{},
            [this](http::exchange& io) -> awaitable<void> { co_await serve_admin(parts, io); });
        caller = std::make_unique<http::server>(
            parts.io.get_executor(), it.caller.host, it.caller.port, http::server_limits{},
            [this](http::exchange& io) -> awaitable<void> { co_await serve_caller(io); }, tls_files_of(it));
    }

    awaitable<void> serve_caller(http::exchange& io)
    {
        const in_flight_guard guard(parts.in_flight);
        // The request id contains the instance name, because two instances may start in the same millisecond
        // and have the same incarnation. A claim owner takes two requests with the same id for one attempt
        // and would grant both.
        request_context it(
            io, fmt::format("{}-{}-{}", parts.settings.name, parts.incarnation, ++last_request_number),
            boot_clock::now());
        for (const auto& filter : filters)
            if (!co_await filter->apply(it))
                break;
        parts.requests.record_request(it, boot_clock::now() - it.arrival);
    }

    void make_peer_handlers()
    {
        peer_handlers out;
        out.on_frame = [this](const peer_identity& from) {
            parts.membership.record_contact(from.name, from.incarnation);
            parts.claims.on_frame(from);
        };
        out.on_heartbeat = [this](const peer_identity& from, const claims::heartbeat& it) {
            return parts.claims.on_heartbeat(from, it);
        };
        out.on_claim = [this](const peer_identity&, const claims::claim_request& it) {
            return parts.claims.on_claim(it);
        };
        out.on_settle = [this](const peer_identity&, const claims::claim_settle& it) {
            parts.claims.on_settle(it);
        };
        out.on_config_pull = [this](std::int64_t after) { return newer_version(after); };
        out.on_evidence = [this](const std::vector<membership::leaving_evidence>& items) {
            for (const auto& it : items)
                parts.membership.record_peer_evidence(it);
        };
        out.on_usage = [this](const std::vector<pool_usage>& items) {
            parts.admission.add_peer_usage(items);
        };
        out.on_handover = [this](const claims::handover& it) { return parts.claims.on_handover(it); };
        out.on_handover_pull = [this](const peer_identity& from, const std::string& owner) {
            return parts.claims.on_handover_pull(from, owner);
        };
        out.on_list_pull = [this] { return parts.membership.list_text(); };
        out.on_unlisted_peer = [this](const peer_identity& from) {
            if (!pulling_list.exchange(true))
                spawn("list_pull", pull_list(from.name));
        };
        handlers = std::move(out);
    }

    awaitable<void> pull_list(std::string from)
    {
        const time_point deadline = boot_clock::now() + message_timeout;
        const auto text = co_await parts.peers.pull_list(from, deadline);
        if (text)
            parts.membership.adopt_list(*text, from);
        pulling_list = false;
    }

    /// Returns the version in force if its number is larger than `after`.
    std::optional<config::peer_version> newer_version(std::int64_t after) const
    {
        const auto version = parts.in_force.load();
        if (!version || version->number <= after)
            return std::nullopt;
        return config::to_peer_version(*version);
    }

    void start()
    {
        parts.peers.start(std::move(handlers));
        membership_controller::callbacks calls;
        calls.on_members_changed = [this](const std::shared_ptr<const membership::snapshot>& it) {
            members_changed(it);
        };
        calls.on_endpoint_leaving = [this](const membership::leaving_evidence& it) { gossip_evidence({it}); };
        calls.on_timer_gap = [this] { parts.claims.record_suspension(); };
        parts.membership.start(std::move(calls));
        parts.claims.start(parts.configuration);
        parts.configuration.start(
            [this](const std::shared_ptr<const config::version>& it) { config_changed(*it); });
        parts.admission.start();
        spawn_loop(parts.io.get_executor(), "usage_loop", [this] { return usage_loop(); });
        spawn_loop(parts.io.get_executor(), "evidence_loop", [this] { return evidence_loop(); });
        signals.async_wait([this](const boost::system::error_code& ec, int) { on_signal(ec); });
    }

    void spawn(std::string_view name, awaitable<void> work)
    {
        spawn_background(parts.io.get_executor(), name, std::move(work));
    }

    void members_changed(const std::shared_ptr<const membership::snapshot>& it)
    {
        parts.peers.set_members(it);
        parts.configuration.set_members(it);
        parts.claims.set_members(it);
        if (const auto version = parts.in_force.load())
            parts.table.configure(version->document.limits(),
                                  std::max<std::size_t>(1, it->entry_instances.size()));
    }

    void config_changed(const config::version& it)
    {
        const auto members = parts.members.load();
        parts.table.configure(it.document.limits(),
                              std::max<std::size_t>(1, members->entry_instances.size()));
        parts.membership.configure(it.document.limits());
        parts.admission.configure(it.document);
        parts.claims.configure(it);
        parts.claims.set_members(members);
        log::info("config_in_force", {{"number", fmt::to_string(it.number)}, {"digest", it.digest()}});
    }

    /// Returns up to gossip_fanout other instances, in turn over the rounds.
    std::vector<std::string> gossip_targets()
    {
        std::vector<std::string> names;
        const auto members = parts.members.load();
        for (const auto& it : members->entry_instances)
            if (it.name != parts.settings.name)
                names.push_back(it.name);
        if (names.size() <= gossip_fanout)
            return names;
        std::vector<std::string> out;
        for (std::size_t n = 0; n < gossip_fanout; ++n)
            out.push_back(names[(gossip_round * gossip_fanout + n) % names.size()]);
        ++gossip_round;
        return out;
    }

    void gossip_evidence(const std::vector<membership::leaving_evidence>& items)
    {
        if (items.empty())
            return;
        for (auto& to : gossip_targets())
            spawn("evidence", send_evidence(std::move(to), items));
    }

    awaitable<void> send_evidence(std::string to, std::vector<membership::leaving_evidence> items)
    {
        co_await parts.peers.send_evidence(std::move(to), std::move(items),
                                           boot_clock::now() + message_timeout);
    }

    awaitable<void> send_usage(std::string to, std::vector<pool_usage> items)
    {
        co_await parts.peers.send_usage(std::move(to), std::move(items), boot_clock::now() + message_timeout);
    }

    awaitable<void> evidence_loop()
    {
        while (!stopped) {
            co_await sleep_for(evidence_interval);
            gossip_evidence(parts.membership.recent_evidence());
        }
    }

    awaitable<void> usage_loop()
    {
        while (!stopped) {
            co_await sleep_for(usage_interval);
            const auto usage = parts.admission.extract_usage();
            if (usage.empty())
                continue;
            for (auto& to : gossip_targets())
                spawn("usage", send_usage(std::move(to), usage));
        }
    }

    void on_signal(const boost::system::error_code& ec)
    {
        if (ec)
            return;
        bool first = false;
        {
            const std::lock_guard lock(parts.stop_mutex);
            first = parts.stop.state() == lifecycle::stop_state::running;
            parts.stop.record_signal(boot_clock::now());
        }
        if (first)
            spawn_loop(parts.io.get_executor(), "stop_loop", [this] { return stop_loop(); });
        signals.async_wait([this](const boost::system::error_code& next, int) { on_signal(next); });
    }

    awaitable<void> stop_loop()
    {
        while (!stopped) {
            std::vector<lifecycle::stop_action> actions;
            {
                const std::lock_guard lock(parts.stop_mutex);
                actions = parts.stop.step(boot_clock::now(), parts.in_flight, handed_over);
            }
            for (const auto it : actions) {
                log::info("stop", {{"action", std::string(lifecycle::to_string(it))},
                                   {"in_flight", fmt::to_string(parts.in_flight.load())}});
                co_await execute(it);
            }
            co_await sleep_for(stop_step_interval);
        }
    }

    awaitable<void> execute(lifecycle::stop_action it)
    {
        using lifecycle::stop_action;
        if (it == stop_action::cut_requests) {
            const std::lock_guard lock(parts.stop_mutex);
            log::warning("requests_cut", {{"count", fmt::to_string(parts.stop.cut_request_count())},
                                          {"reason", std::string(parts.stop.cut_reason())}});
        }
        if (it == stop_action::seal_and_send) {
            co_await parts.claims.hand_over();
            handed_over = true;
        }
        if (it == stop_action::close) {
            caller->stop_accepting();
            co_await sleep_for(close_delay);
            stopped = true;
            parts.io.stop();
        }
    }

    lifecycle::exit_reason run()
    {
        start();
        log::info("started", {{"instance", parts.settings.name},
                              {"failure_domain", parts.settings.failure_domain},
                              {"incarnation", fmt::to_string(parts.incarnation)},
                              {"caller_port", fmt::to_string(caller->port())},
                              {"admin_port", fmt::to_string(admin->port())}});
        std::vector<std::thread> threads;
        for (std::int64_t n = 1; n < parts.settings.threads; ++n)
            threads.emplace_back([this] { parts.io.run(); });
        parts.io.run();
        for (auto& it : threads)
            it.join();
        log::info("stopped", {{"requests_cut", fmt::to_string(parts.stop.cut_request_count())}});
        return has_cut_requests() ? lifecycle::exit_reason::requests_cut : lifecycle::exit_reason::graceful;
    }

    bool has_cut_requests()
    {
        const std::lock_guard lock(parts.stop_mutex);
        return parts.stop.cut_request_count() > 0;
    }

    components parts;
    std::vector<std::unique_ptr<request_filter>> filters;
    peer_handlers handlers;
    std::unique_ptr<http::server> admin;
    std::unique_ptr<http::server> caller;
    boost::asio::signal_set signals;
    std::atomic<std::uint64_t> last_request_number{0};
    std::atomic<std::size_t> gossip_round{0};
    std::atomic<bool> handed_over{false};
    std::atomic<bool> stopped{false};
    std::atomic<bool> pulling_list{false};
};

instance::instance(instance_settings settings) : impl_(std::make_unique<impl>(std::move(settings))) {}

// Coroutines of requests that were cut still refer to the components, and no order of destruction is safe for
// all of them. The process ends after this, so the components are leaked.
instance::~instance()
{
    static std::vector<impl*> leaked;
    if (impl_->has_cut_requests())
        leaked.push_back(impl_.release());
}

lifecycle::exit_reason instance::run()
{
    return impl_->run();
}

} // namespace limpetlock::server
