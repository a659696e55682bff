#include "config_controller.hpp"

#include "notification.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/log.hpp>

#include <fmt/format.h>

#include <utility>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

/// Time after the end of the service's wait at which a read without an answer is cancelled.
constexpr duration read_timeout_margin{1'500};
constexpr duration pull_timeout{1'500};
constexpr duration min_decision_interval{5};

} // namespace

config_controller::config_controller(const boost::asio::any_io_executor& executor,
                                     const instance_settings& settings, std::int64_t incarnation,
                                     http::client& client, peer_controller& peers,
                                     snapshot_cell<config::version>& in_force)
    : strand_(boost::asio::make_strand(executor)), settings_(settings), client_(client), peers_(peers),
      in_force_(in_force), timer_(strand_),
      sync_({}, settings.name, static_cast<std::uint64_t>(incarnation), boot_clock::now())
{
}

void config_controller::start(change_handler on_change)
{
    on_change_ = std::move(on_change);
    spawn_loop(strand_, "config_decision_loop", [this] { return decide_loop(); });
}

awaitable<void> config_controller::decide_loop()
{
    while (!stopped_) {
        config::decision next;
        {
            const std::lock_guard lock(mutex_);
            next = sync_.decide(boot_clock::now());
        }
        if (next.ready && !ready_.exchange(true))
            log::info("config_ready", {{"number", fmt::to_string(fold_.number())}});
        if (next.new_divergence)
            log::error("config_divergence", {{"number", fmt::to_string(next.new_divergence->number)},
                                             {"peer", next.new_divergence->peer},
                                             {"digest", next.new_divergence->digest},
                                             {"peer_digest", next.new_divergence->peer_digest}});
        if (next.read)
            spawn_background(strand_, "config_read", read(*next.read));
        if (next.pull)
            spawn_background(strand_, "config_pull", pull(*next.pull));
        timer_.expires_after(std::max(min_decision_interval, next.next_call_time - boot_clock::now()));
        co_await timer_.async_wait(as_tuple_awaitable);
    }
}

awaitable<void> config_controller::read(config::read_command command)
{
    const http::request request{"GET", config::make_service_target(command.after, command.wait), {}, {}};
    const http::address platform{settings_.platform.host, settings_.platform.port};
    http::call_error transport;
    const auto reply =
        co_await client_.call(platform, request, boot_clock::now() + command.wait + read_timeout_margin,
                              http::connection_policy::pooled, transport);
    error_slot<config::errc> last;
    std::optional<config::service_reply> parsed;
    if (reply && reply->status == 200)
        parsed = config::parse_service_reply(reply->body, last);
    if (parsed) {
        apply_reply(command, *parsed);
    } else {
        const std::lock_guard lock(mutex_);
        sync_.record_read_failure(command.id, boot_clock::now());
    }
    publish_if_changed();
    request_decision();
}

void config_controller::apply_reply(const config::read_command& command, const config::service_reply& reply)
{
    const time_point now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    for (const auto& it : fold_.apply(reply))
        log_outcome(it);
    const auto version = fold_.in_force();
    sync_.set_position({fold_.number(), version ? version->digest() : std::string(), fold_.revision()}, now);
    sync_.record_read_answer(command.id, reply.revision, reply.entries.size(), now);
}

awaitable<void> config_controller::pull(config::pull_command command)
{
    auto version =
        co_await peers_.pull_config(command.peer, command.after_number, boot_clock::now() + pull_timeout);
    {
        const time_point now = boot_clock::now();
        const std::lock_guard lock(mutex_);
        if (version) {
            const auto outcome = fold_.adopt(*version, command.peer);
            log_outcome(outcome);
            const auto in_force = fold_.in_force();
            sync_.set_position(
                {fold_.number(), in_force ? in_force->digest() : std::string(), fold_.revision()}, now);
            sync_.record_pull_answer(command.id, now);
        } else {
            sync_.record_pull_failure(command.id, now);
        }
    }
    publish_if_changed();
    request_decision();
}

void config_controller::log_outcome(const config::outcome& it)
{
    if (it.result == config::verdict::ignored)
        return;
    const bool accepted = it.result == config::verdict::accepted;
    log::line(accepted ? log::level::info : log::level::warning, "config_entry",
              {{"result", std::string(config::to_string(it.result))},
               {"revision", fmt::to_string(it.revision)},
               {"author", it.author},
               {"base", fmt::to_string(it.base)},
               {"number", fmt::to_string(it.number)},
               {"reason", it.reason}});
}

void config_controller::publish_if_changed()
{
    const auto version = fold_.in_force();
    if (!version || version == in_force_.load())
        return;
    in_force_.store(version);
    on_change_(version);
}

void config_controller::record_peer_report(std::string peer, std::int64_t number, std::string digest)
{
    boost::asio::post(strand_, [this, peer = std::move(peer), number, digest = std::move(digest)] {
        const bool differs = number != fold_.number();
        {
            const std::lock_guard lock(mutex_);
            sync_.record_peer_report(peer, number, digest, boot_clock::now());
        }
        if (differs || !ready_)
            request_decision();
    });
}

void config_controller::set_members(const std::shared_ptr<const membership::snapshot>& members)
{
    std::vector<config::instance> instances;
    for (const auto& it : members->entry_instances)
        instances.push_back({it.name, it.failure_domain, it.leaving});
    boost::asio::post(strand_, [this, instances = std::move(instances)] {
        const std::lock_guard lock(mutex_);
        sync_.set_instances(instances, boot_clock::now());
        request_decision();
    });
}

bool config_controller::diverged() const
{
    const std::lock_guard lock(mutex_);
    return sync_.diverged(boot_clock::now());
}

config::check_result config_controller::check(std::int64_t base, std::string_view patch) const
{
    const std::lock_guard lock(mutex_);
    return fold_.check(base, patch);
}

std::deque<config::outcome> config_controller::outcomes() const
{
    const std::lock_guard lock(mutex_);
    return fold_.outcomes();
}

config::sync_counters config_controller::counters() const
{
    const std::lock_guard lock(mutex_);
    return sync_.counters();
}

std::int64_t config_controller::count(config::verdict it) const
{
    const std::lock_guard lock(mutex_);
    return fold_.count(it);
}

std::int64_t config_controller::revision() const
{
    const std::lock_guard lock(mutex_);
    return fold_.revision();
}

} // namespace limpetlock::server
