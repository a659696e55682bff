#include "fleet.hpp"
#include "load_prober.hpp"
#include "permits.hpp"
#include "request_handler.hpp"
#include "result_releaser.hpp"
#include "result_returns.hpp"
#include "stage_runner.hpp"
#include "stage_scheduler.hpp"
#include "store_reader.hpp"

#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/instance.hpp>
#include <limpetlock/gateway/load_aware_selector.hpp>
#include <limpetlock/gateway/loop_monitor.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>
#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/lifecycle/stop_sequence.hpp>
#include <limpetlock/support/background.hpp>
#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/metrics.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr duration stop_step_interval{50};

/// Upper bound of announce_time. The platform checks readiness once a second and stops sending new
/// connections after two failed checks.
constexpr duration max_announce_time{2'600};

/// Part of the time between stop signal and kill that is kept for the process to exit.
constexpr duration stop_reserve{500};

/// Time before the end of a stop at which requests that still wait for their stages are refused.
constexpr duration final_refusal_time{300};

/// Time for the bytes of the last answer to be sent before the process ends.
constexpr duration close_delay{100};

/// With strict_key_revocation, the instance reports that it is not ready once the age of its table's proof
/// exceeds key_revocation_time minus this margin, or if it has no proof.
constexpr duration proof_readiness_margin{300};

/// Number of instances that watch the store at the same time. With three, one may fail and another one be cut
/// off.
constexpr std::size_t watching_instances = 3;

/// Interval of the checks of the settings file, which may change without a signal.
constexpr duration settings_interval{2'000};

/// The bodies of requests may have this part of the memory. A body takes up to three times its size: its
/// string grows by doubling, and it is copied when the request is sent on.
constexpr std::size_t memory_per_body_bytes = 8;

/// Makes the random choices of instances differ.
constexpr std::uint64_t load_aware_seed = 3;

constexpr duration connect_timeout{350};
constexpr std::size_t idle_connections = 8;

http::client_limits endpoint_limits()
{
    http::client_limits out;
    out.body_bytes = std::size_t{8} * 1024 * 1024;
    out.total_body_bytes = std::size_t{16} * 1024 * 1024;
    out.max_idle_per_address = idle_connections;
    out.idle_timeout = duration(1'500);
    out.connect_timeout = connect_timeout;
    out.accept_close_delimited = true;
    return out;
}

/// Endpoints of plain services limit the connections of all instances together and reset those beyond the
/// limit. Each instance therefore keeps at most one idle connection to an endpoint.
http::client_limits service_limits()
{
    auto out = endpoint_limits();
    out.max_idle_per_address = 1;
    out.idle_timeout = duration(1'000);
    return out;
}

lifecycle::stop_settings stop_settings_of(const operating_bounds& bounds)
{
    lifecycle::stop_settings out;
    out.stop_timeout = bounds.stop_time - stop_reserve;
    out.announce_time = std::min(max_announce_time, out.stop_timeout / 3);
    out.handover_timeout = duration(0);
    return out;
}

/// A time of a peer's message; an absurd one must not overflow the time that it is added to.
duration bounded_time(std::int64_t ms)
{
    constexpr std::int64_t max_ms = std::int64_t{24} * 3'600'000;
    return duration(std::clamp(ms, -max_ms, max_ms));
}

/// Returns an empty chain for one that isn't well formed.
std::vector<chain_stage> to_chain(const std::vector<wire::chain_stage_message>& from)
{
    std::vector<chain_stage> out;
    for (const auto& it : from) {
        chain_stage stage{it.pool,
                          static_cast<std::uint32_t>(it.stage),
                          static_cast<std::uint32_t>(it.pieces),
                          bounded_time(it.time_to_end_ms),
                          {}};
        stage.after.assign(it.after.begin(), it.after.end());
        out.push_back(std::move(stage));
    }
    if (!is_valid(out))
        out.clear();
    return out;
}

std::vector<wire::pool_backlog_message>
to_message(const std::map<std::string, std::vector<backlog_point>>& from, time_point now)
{
    std::vector<wire::pool_backlog_message> out;
    for (const auto& [pool, points] : from) {
        wire::pool_backlog_message message;
        message.pool = pool;
        for (const auto& it : points) {
            message.key_ms.push_back((it.order_key - now).count());
            message.before_ms.push_back(it.before.count());
        }
        out.push_back(std::move(message));
    }
    return out;
}

std::int64_t random_run_id()
{
    std::random_device source;
    return static_cast<std::int64_t>((static_cast<std::uint64_t>(source()) << 31) ^ source());
}

} // namespace

struct instance::impl {
    impl(gateway_settings its_settings, std::unique_ptr<platform_codec> its_codec, settings_loader its_reload)
        : settings(std::move(its_settings)), codec(std::move(its_codec)), reload(std::move(its_reload)),
          statements(settings.name), selector(statements),
          load_aware(selector, statements, hash64(settings.name, load_aware_seed)),
          state(*codec, callbacks()), endpoint_client(io.get_executor(), endpoint_limits()),
          service_client(io.get_executor(), service_limits()),
          prober(io.get_executor(), endpoint_client, *codec, statements, load_aware, metrics),
          reader(io.get_executor(), settings, *codec, state, metrics, [this] { return reader_role(); }),
          releaser(io.get_executor(), *codec, endpoint_client, statements, state.evacuation_orders(), issuer,
                   metrics),
          scheduler(io.get_executor(), *codec, endpoint_client, releaser, statements, issuer, metrics, teams,
                    monitor, settings.stages,
                    [this](const std::vector<result_group>& used) { return_results(used); }),
          peers(io.get_executor(), settings, random_run_id(), state, quarantine, statements, monitor, metrics,
                peer_handlers()),
          endpoint_permits(peers, statements, issuer, metrics),
          returns(io.get_executor(), peers, scheduler, releaser),
          runner(io.get_executor(), peers, scheduler, returns, metrics,
                 settings.bounds.evacuation_time.has_value()),
          handler({*codec, settings, state, reader, quarantine, selector, statements, load_aware, prober,
                   endpoint_permits, runner, returns, peers, endpoint_client, service_client, metrics,
                   teams}),
          stop(stop_settings_of(settings.bounds)), signals(io, SIGTERM, SIGINT), hangups(io, SIGHUP)
    {
        // Posted, because the handler is called in the middle of attempts and stage calls.
        statements.set_leaving_handler([this] { asio::post(io, [this] { apply_endpoints(); }); });
        open_listeners();
    }

    published_state::callbacks callbacks()
    {
        published_state::callbacks out;
        out.on_table = [this](const std::shared_ptr<const routing_table>& it) {
            set_cold_pools(*it);
            scheduler.configure(it, endpoints);
            runner.set_layout(stage_layout(*it, endpoints));
            set_caller_limits(it->limits);
        };
        out.on_endpoints = [this](const std::vector<endpoint>& it) {
            listed = it;
            quarantine.set_endpoints(it, boot_clock::now());
            statements.set_endpoints(it);
            apply_endpoints();
        };
        if (settings.bounds.cold)
            out.on_entries = [this](const std::vector<endpoint>& written) {
                const time_point now = boot_clock::now();
                for (const auto& it : written)
                    statements.record_entry(it, now);
            };
        if (settings.bounds.evacuation_time)
            out.on_evacuations = [this](const evacuation_changes& it) {
                begin_returns(it);
                apply_endpoints();
            };
        return out;
    }

    /// Sets the terms for the cold endpoints of each pool.
    void set_cold_pools(const routing_table& table)
    {
        std::map<std::string, pool_coldness, std::less<>> pools;
        if (settings.bounds.cold)
            for (const auto& [name, it] : table.pools)
                if (it.cold_rate > 0)
                    pools.emplace(name, pool_coldness{it.cold_time,
                                                      cold_terms_for(it.cold_rate, *settings.bounds.cold)});
        statements.set_cold_pools(std::move(pools));
    }

    /// Lets the endpoints of failure domains whose evacuation has ended return gradually.
    void begin_returns(const evacuation_changes& changes)
    {
        const time_point now = boot_clock::now();
        for (const auto& order : changes.ended)
            for (const auto& it : listed)
                if (it.domain == order.domain) {
                    statements.record_return(it, now);
                    statements.record_idleness(it, now);
                }
    }

    /// Requests and stage calls in flight at the endpoints of evacuated failure domains.
    std::uint64_t count_in_flight_evacuated() const
    {
        std::uint64_t out = 0;
        const auto add = [this, &out](const std::map<std::string, std::uint64_t>& by_domain) {
            for (const auto& [domain, n] : by_domain)
                if (state.evacuation_orders().contains(domain))
                    out += n;
        };
        add(selector.in_flight_by_domain());
        add(scheduler.in_flight_by_domain());
        return out;
    }

    /// Gives the list, with the orders of the operators and what the endpoints state of themselves, to all
    /// that select endpoints.
    void apply_endpoints()
    {
        endpoints = listed;
        state.evacuation_orders().mark(endpoints);
        statements.mark_leaving(endpoints);
        selector.set_endpoints(endpoints, boot_clock::now());
        load_aware.set_endpoints(endpoints);
        if (const auto table = state.table()) {
            scheduler.configure(table, endpoints);
            runner.set_layout(stage_layout(*table, endpoints));
        }
    }

    /// Only a few instances watch the store; the others receive the changes from their peers.
    store_reader::role reader_role()
    {
        const time_point now = boot_clock::now();
        const auto live = peers.view().live_instances(now, true);
        const auto ranked = by_responsibility("watch", live);
        const auto end =
            ranked.begin() + static_cast<std::ptrdiff_t>(std::min(watching_instances, ranked.size()));
        const bool watches =
            std::any_of(ranked.begin(), end, [this](const member& it) { return it.name == settings.name; });
        return {watches, live.size()};
    }

    fleet::handlers peer_handlers()
    {
        fleet::handlers out;
        out.on_stage_task = [this](wire::stage_order_message it) {
            return it.poll ? poll_task(std::move(it)) : run_task(std::move(it));
        };
        out.on_stage_cancel = [this](const wire::stage_cancel_message& it) {
            scheduler.cancel(it.request_id, static_cast<std::uint32_t>(it.stage),
                             static_cast<std::uint32_t>(it.run));
        };
        out.on_result_release = [this](const wire::stage_release_message& it) {
            scheduler.release(it.handles);
        };
        out.on_permit_request = [this](const permit_request& it) {
            return endpoint_permits.answer(it, boot_clock::now());
        };
        out.on_late_loop = [this](const loop_report& it) { report_late_loop(it); };
        return out;
    }

    void report_late_loop(const loop_report& it)
    {
        metrics
            .get_counter("limpetlock_event_loop_late_seconds_total",
                         "seconds with a timer that was handled over 100 ms late")
            .add();
        std::string work;
        for (std::size_t n = 0; n < work_kind_count; ++n) {
            const std::string kind(to_string(static_cast<work_kind>(n)));
            work += fmt::format("{}{}:{}", work.empty() ? "" : ",", kind, it.work[n].count());
            metrics
                .get_counter("limpetlock_late_loop_work_microseconds_total",
                             "time of scheduling work in seconds with a late timer, by its kind",
                             {{"kind", kind}})
                .add(static_cast<std::uint64_t>(it.work[n].count()));
        }
        log::warning("event_loop_late", {{"max_late_ms", fmt::to_string(it.max_lateness.count())},
                                         {"period_ms", fmt::to_string(it.period.count())},
                                         {"work_us", work},
                                         {"waiting_pieces", fmt::to_string(scheduler.waiting_piece_count())},
                                         {"open_tasks", fmt::to_string(scheduler.open_task_count())},
                                         {"requests", fmt::to_string(handler.in_flight())}});
    }

    static wire::stage_result_message to_message(const stage_task_result& it)
    {
        wire::stage_result_message out;
        out.status = static_cast<std::int32_t>(it.status);
        out.reason = it.reason;
        out.backlog_ms = it.backlog.count();
        out.accepts_polls = true;
        if (it.retry_after)
            out.__set_retry_after_ms(it.retry_after->count());
        if (!it.backlogs.empty())
            out.__set_backlogs(limpetlock::gateway::to_message(it.backlogs, boot_clock::now()));
        for (const auto& piece : it.pieces) {
            wire::piece_result_message message;
            message.handle = piece.handle;
            message.failure = static_cast<std::int32_t>(piece.failure);
            out.pieces.push_back(std::move(message));
        }
        return out;
    }

    /// Asks for a stage task of another instance, which this one has from an earlier message.
    awaitable<wire::stage_result_message> poll_task(wire::stage_order_message it)
    {
        const auto result = co_await scheduler.poll(it.request_id, static_cast<std::uint32_t>(it.stage),
                                                    static_cast<std::uint32_t>(it.run), reply_wait_of(it));
        wire::stage_result_message out;
        if (result)
            out = to_message(*result);
        else
            out.status = fleet::unknown_task_status;
        co_return out;
    }

    /// Runs a stage task of another instance. The times in its message are relative to its arrival here.
    awaitable<wire::stage_result_message> run_task(wire::stage_order_message it)
    {
        const time_point now = boot_clock::now();
        const duration max_wait = reply_wait_of(it);
        stage_task task;
        task.request_id = it.request_id;
        task.run = static_cast<std::uint32_t>(it.run);
        task.stage = static_cast<std::uint32_t>(it.stage);
        task.pieces.assign(it.pieces.begin(), it.pieces.end());
        task.key = it.key;
        for (auto& group : it.inputs)
            task.inputs.push_back({std::move(group.place), std::move(group.handles)});
        task.deadline = now + bounded_time(it.time_left_ms);
        task.objective_time = now + bounded_time(it.slack_ms);
        task.domain = it.domain;
        task.result_bytes = static_cast<std::uint64_t>(std::max<std::int64_t>(0, it.result_bytes));
        task.priority = it.priority;
        task.tokens_per_piece = it.worth;
        task.next_pools = it.next_pools;
        task.transfer_bytes = static_cast<std::uint64_t>(std::max<std::int64_t>(0, it.transfer_bytes));
        task.chain = to_chain(it.chain);
        task.admitted = it.admitted;
        task.team = it.team;
        // An instance with a slightly different list uses the number of shards of the sender.
        const auto shards = static_cast<std::uint32_t>(std::clamp<std::int32_t>(it.shards, 1, max_shards));
        const auto shard = static_cast<std::uint32_t>(std::max(0, it.shard)) % shards;
        pool_key key{it.group, it.pool, shard, shards};
        const auto result = co_await scheduler.run(std::move(key), std::move(task), max_wait);
        co_return to_message(result);
    }

    void return_results(const std::vector<result_group>& used)
    {
        for (const auto& it : used)
            returns.return_results(it);
    }

    http::server_limits to_server_limits(const caller_limits& it) const
    {
        http::server_limits out;
        if (settings.memory_bytes)
            out.total_body_bytes = *settings.memory_bytes / memory_per_body_bytes;
        out.header_bytes = it.header_bytes;
        out.body_bytes = it.body_bytes;
        out.header_timeout = it.header_timeout;
        out.idle_timeout = it.idle_timeout;
        return out;
    }

    void set_caller_limits(const caller_limits& it)
    {
        if (caller)
            caller->set_limits(to_server_limits(it));
    }

    void open_listeners()
    {
        caller = std::make_unique<http::server>(
            io.get_executor(), settings.caller_address.host, settings.caller_address.port,
            to_server_limits({}),
            [this](http::exchange& it) -> awaitable<void> { co_await handler.serve(it); });
        ready = std::make_unique<http::server>(
            io.get_executor(), settings.readiness_address.host, settings.readiness_address.port,
            http::server_limits{},
            [this](http::exchange& it) -> awaitable<void> { co_await serve_ready(it); });
        metrics_page = std::make_unique<http::server>(
            io.get_executor(), settings.metrics_address.host, settings.metrics_address.port,
            http::server_limits{},
            [this](http::exchange& it) -> awaitable<void> { co_await serve_metrics(it); });
    }

    /// Reason why the instance isn't ready; empty when it is.
    std::string not_ready_reason(time_point now) const
    {
        if (stop.state() != lifecycle::stop_state::running)
            return "stopping";
        if (!state.table())
            return "no configuration";
        if (state.entries().revision() == state_revision{})
            return "no list of endpoints";
        const auto age = state.proof_age(now);
        const auto& bounds = settings.bounds;
        if (bounds.strict_key_revocation &&
            (!age || *age + proof_readiness_margin > bounds.key_revocation_time))
            return "configuration not proven";
        return {};
    }

    awaitable<void> serve_ready(http::exchange& it)
    {
        http::response answer;
        if (codec->is_readiness_check(it.message())) {
            const std::string reason = not_ready_reason(boot_clock::now());
            log_readiness(reason);
            answer =
                http::json_response(reason.empty() ? 200 : 503, reason.empty() ? "{}" : "{\"ready\":false}");
        } else {
            answer = http::json_response(404, "{\"error\":\"no such page\"}");
        }
        co_await it.respond(std::move(answer));
    }

    awaitable<void> serve_metrics(http::exchange& it)
    {
        http::response answer = http::json_response(404, "{\"error\":\"no such page\"}");
        if (it.message().target == "/metrics") {
            dropped_lines.set(static_cast<std::int64_t>(log::dropped_line_count()));
            background_failures.set(static_cast<std::int64_t>(background_failure_count()));
            limits_in_force.set(static_cast<std::int64_t>(statements.count()));
            leaving_endpoints.set(static_cast<std::int64_t>(statements.leaving_count()));
            cold_endpoints.set(static_cast<std::int64_t>(statements.count_cold(boot_clock::now())));
            evacuations_in_force.set(static_cast<std::int64_t>(state.evacuation_orders().count()));
            in_flight_evacuated.set(static_cast<std::int64_t>(count_in_flight_evacuated()));
            answer = {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.render()};
        }
        co_await it.respond(std::move(answer));
    }

    void log_readiness(const std::string& reason)
    {
        if (reason == last_readiness)
            return;
        log::info("readiness",
                  {{"ready", reason.empty() ? "yes" : "no"}, {"reason", reason.empty() ? "-" : reason}});
        last_readiness = reason;
    }

    void watch_signals()
    {
        signals.async_wait([this](const boost::system::error_code& ec, int) {
            if (ec)
                return;
            const bool first = stop.state() == lifecycle::stop_state::running;
            stop.record_signal(boot_clock::now());
            if (first) {
                handler.set_end(boot_clock::now() + stop_settings_of(settings.bounds).stop_timeout);
                spawn_loop(io.get_executor(), "stop_loop", [this] { return stop_loop(); });
                spawn_background(io.get_executor(), "final_refusal", refuse_waiting_at_end());
            }
            watch_signals();
        });
    }

    void watch_hangups()
    {
        hangups.async_wait([this](const boost::system::error_code& ec, int) {
            if (ec)
                return;
            reload_settings(true);
            watch_hangups();
        });
    }

    /// Reads the settings again. Only the seeds may change while the process runs; addresses and bounds stay.
    /// Without a signal (`asked` is false), only a change is logged.
    void reload_settings(bool asked)
    {
        std::string reason;
        const auto next = reload(reason);
        const bool changed = next && next->seeds != settings.seeds;
        if (changed)
            settings.seeds = next->seeds;
        if (asked || changed)
            log::info("settings_reloaded", {{"ok", next ? "yes" : "no"},
                                            {"seeds", fmt::to_string(settings.seeds.size())},
                                            {"changed", changed ? "yes" : "no"},
                                            {"reason", reason.empty() ? "-" : reason}});
    }

    awaitable<void> settings_loop()
    {
        for (;;) {
            co_await sleep_for(settings_interval);
            reload_settings(false);
        }
    }

    awaitable<void> refuse_waiting_at_end()
    {
        co_await sleep_for(stop_settings_of(settings.bounds).stop_timeout - final_refusal_time);
        handler.refuse_waiting_requests();
    }

    awaitable<void> stop_loop()
    {
        for (;;) {
            for (const auto it :
                 stop.step(boot_clock::now(), handler.in_flight() + scheduler.open_task_count(), true)) {
                log::info("stop", {{"action", std::string(lifecycle::to_string(it))},
                                   {"in_flight", fmt::to_string(handler.in_flight())},
                                   {"orders", fmt::to_string(scheduler.open_task_count())}});
                co_await perform(it);
            }
            co_await sleep_for(stop_step_interval);
        }
    }

    awaitable<void> perform(lifecycle::stop_action it)
    {
        using lifecycle::stop_action;
        if (it == stop_action::announce)
            peers.announce_stop();
        if (it == stop_action::refuse_new_work) {
            handler.refuse_new_work();
            caller->stop_accepting();
        }
        if (it == stop_action::cut_requests)
            handler.end_requests();
        if (it != stop_action::close)
            co_return;
        co_await sleep_for(close_delay);
        io.stop();
    }

    lifecycle::exit_reason run()
    {
        reader.start();
        peers.start();
        watch_signals();
        watch_hangups();
        spawn_loop(io.get_executor(), "settings_loop", [this] { return settings_loop(); });
        log::info("started", {{"instance", settings.name},
                              {"failure_domain", settings.domain},
                              {"caller", fmt::format("{}:{}", settings.caller_address.host,
                                                     settings.caller_address.port)},
                              {"seeds", fmt::to_string(settings.seeds.size())}});
        io.run();
        log::info("stopped", {{"requests_cut", fmt::to_string(stop.cut_request_count())}});
        return stop.cut_request_count() > 0 ? lifecycle::exit_reason::requests_cut
                                            : lifecycle::exit_reason::graceful;
    }

    /// Time after which a stage task of another instance is answered, done or not.
    static duration reply_wait_of(const wire::stage_order_message& it)
    {
        return it.__isset.max_wait_ms ? std::clamp(duration(it.max_wait_ms), min_reply_wait, max_reply_wait)
                                      : default_reply_wait;
    }

    static constexpr duration min_reply_wait{100};
    static constexpr duration max_reply_wait{1'500}; ///< shorter than tasks are kept that nobody asks for
    static constexpr duration default_reply_wait{500};

    gateway_settings settings;
    std::unique_ptr<platform_codec> codec;
    settings_loader reload;
    asio::io_context io{1};
    metrics::registry metrics;
    team_counters teams{metrics};
    loop_monitor monitor{boot_clock::now(), fleet::duty_tick};
    metrics::gauge& dropped_lines{
        metrics.get_gauge("limpetlock_log_lines_dropped", "log lines that standard output did not take")};
    metrics::gauge& background_failures{
        metrics.get_gauge("limpetlock_background_failures", "background work that ended with an exception")};
    metrics::gauge& limits_in_force{metrics.get_gauge(
        "limpetlock_endpoint_limits", "endpoints that limit the rate of requests, as far as known here")};
    metrics::gauge& leaving_endpoints{metrics.get_gauge(
        "limpetlock_endpoints_stating_leaving", "endpoints that stated in an answer that they leave")};
    metrics::gauge& cold_endpoints{metrics.get_gauge(
        "limpetlock_endpoints_cold", "endpoints that get few requests because they are cold")};
    metrics::gauge& evacuations_in_force{metrics.get_gauge(
        "limpetlock_evacuations", "orders in force to send nothing more to a failure domain")};
    metrics::gauge& in_flight_evacuated{
        metrics.get_gauge("limpetlock_evacuated_in_flight",
                          "requests and stage calls in flight at endpoints of evacuated failure domains")};
    std::vector<endpoint> listed;    ///< as the store lists them
    std::vector<endpoint> endpoints; ///< with the evacuated ones and those that leave by their own statement
    endpoint_statements statements;
    endpoint_selector selector;
    load_aware_selector load_aware;
    permit_issuer issuer;
    prompt_quarantine quarantine;
    published_state state;
    http::client endpoint_client;
    http::client service_client;
    load_prober prober;
    store_reader reader;
    result_releaser releaser;
    stage_scheduler scheduler;
    fleet peers;
    permits endpoint_permits;
    result_returns returns;
    stage_runner runner;
    request_handler handler;
    std::unique_ptr<http::server> caller;
    std::unique_ptr<http::server> ready;
    std::unique_ptr<http::server> metrics_page;
    lifecycle::stop_sequence stop;
    asio::signal_set signals;
    asio::signal_set hangups;
    std::string last_readiness{"starting"};
};

instance::instance(gateway_settings settings, std::unique_ptr<platform_codec> codec, settings_loader reload)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(codec), std::move(reload)))
{
}

// Suspended coroutines still refer to the members, so no order of destruction is safe. The object is kept in
// a static list instead, since the process ends next.
instance::~instance()
{
    static std::vector<impl*> kept;
    kept.push_back(impl_.release());
}

lifecycle::exit_reason instance::run()
{
    return impl_->run();
}

} // namespace limpetlock::gateway
