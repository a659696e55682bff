#include "claim_controller.hpp"

#include "notification.hpp"

#include <limpetlock/config/watchers.hpp>
#include <limpetlock/support/background.hpp>
#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/log.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::server {

using boost::asio::awaitable;

namespace {

/// Heartbeats per lease time, so that three lost ones in a row do not end a lease. A higher number costs each
/// owner bandwidth to all others.
constexpr int heartbeats_per_lease = 5;
constexpr duration min_heartbeat_interval{100};

/// Interval of the heartbeats while no configuration is in force, since the lease time is unknown.
constexpr duration unconfigured_interval{250};

constexpr duration expiry_interval{1'000};

/// Interval at which an instance exchanges the configuration's number and digest with the peers of
/// choose_config_report_peers(). Owners also exchange them with every heartbeat.
constexpr duration config_report_interval{1'000};

/// Largest fleet in which all instances exchange the configuration's number and digest with each other.
constexpr std::size_t max_full_mesh_instances = 12;
constexpr std::size_t watchers_per_domain = 2;

/// Time that one attempt of a claim request waits for the owner's reply.
constexpr duration claim_timeout{400};
constexpr duration retry_interval{60};
constexpr duration settle_retry_duration{8'000};
constexpr duration settle_timeout{500};
constexpr duration handover_pull_interval{250};
constexpr duration handover_pull_timeout{500};
/// How long a new process looks for the records of its predecessor.
constexpr duration handover_search_duration{10'000};
constexpr duration handover_send_timeout{1'500};

claims::claims_section to_settings(const config::version& version)
{
    const auto& section = version.document.claims();
    return {version.claims_number, section.owners, section.key_lifetime, section.lease,
            static_cast<std::size_t>(section.max_claims)};
}

/// Returns the instances to exchange the configuration's number and digest with. In a small fleet these are
/// all others. In a large one they are the watchers of the own failure domain and one watcher of another, so
/// that no instance receives heartbeats from the whole fleet.
std::vector<std::string> choose_config_report_peers(const std::vector<membership::entry_instance>& entries,
                                                    const std::string& self)
{
    std::vector<std::string> out;
    std::vector<config::instance> own_domain;
    std::vector<config::instance> others;
    const auto own =
        std::find_if(entries.begin(), entries.end(), [&](const auto& it) { return it.name == self; });
    for (const auto& it : entries) {
        const bool same = own != entries.end() && it.failure_domain == own->failure_domain;
        (same ? own_domain : others).push_back({it.name, it.failure_domain, it.leaving});
    }
    if (entries.size() <= max_full_mesh_instances) {
        for (const auto& it : entries)
            out.push_back(it.name);
    } else {
        out = config::choose_watchers(own_domain, watchers_per_domain);
        const auto other_watchers = config::choose_watchers(others, watchers_per_domain);
        if (!other_watchers.empty())
            out.push_back(other_watchers[hash64(self) % other_watchers.size()]);
    }
    std::erase(out, self);
    return out;
}

} // namespace

claim_controller::section_state::section_state(const std::string& name, std::int64_t incarnation,
                                               const claims::claims_section& section, time_point now)
    : map(section), lease(name, incarnation, section), witness(section, now),
      table(name, incarnation, section), collector(name, incarnation, map)
{
}

claim_controller::claim_controller(const boost::asio::any_io_executor& executor,
                                   const instance_settings& settings, std::int64_t incarnation,
                                   peer_controller& peers)
    : strand_(boost::asio::make_strand(executor)), name_(settings.name), own_address_(settings.caller),
      incarnation_(incarnation), peers_(peers), suspension_detector_(boot_clock::now(), claims::max_tick_gap)
{
}

void claim_controller::start(config_controller& configuration)
{
    configuration_ = &configuration;
    spawn_loop(strand_, "claim_heartbeat_loop", [this] { return heartbeat_loop(); });
    spawn_background(strand_, "claim_handover", import_handover());
}

void claim_controller::configure(const config::version& version)
{
    const time_point now = boot_clock::now();
    const auto section = to_settings(version);
    const std::lock_guard lock(mutex_);
    config_number_ = version.number;
    config_digest_ = version.digest();
    if (!state_) {
        state_ = std::make_unique<section_state>(name_, incarnation_, section, now);
        return;
    }
    if (state_->map.section() == section)
        return;
    if (const auto reason = claims::unsafe_change(state_->map.section(), section))
        log::warning("claims_section",
                     {{"number", fmt::to_string(section.claims_number)}, {"risk", *reason}});
    state_->map = claims::owner_map(section);
    state_->lease.reconfigure(section);
    state_->witness.reconfigure(section, now);
    state_->table.reconfigure(section, now);
}

void claim_controller::set_members(const std::shared_ptr<const membership::snapshot>& members)
{
    const std::lock_guard lock(mutex_);
    detect_replacement_locked(members->entry_instances);
    config_report_peers_ = choose_config_report_peers(members->entry_instances, name_);
    other_owners_.clear();
    if (!owns_claims_locked())
        return;
    other_owners_ = state_->map.section().owners;
    std::erase(other_owners_, name_);
}

void claim_controller::detect_replacement_locked(const std::vector<membership::entry_instance>& entries)
{
    const auto own =
        std::find_if(entries.begin(), entries.end(), [&](const auto& it) { return it.name == name_; });
    if (own == entries.end())
        return;
    if (own->port == own_address_.port && own->address == own_address_.host) {
        seen_in_list_ = true;
        return;
    }
    // A stale list may still show the predecessor of a new process. Only a change from this process's own
    // address to another one shows that it was replaced.
    if (!seen_in_list_ || !state_ || state_->lease.superseded())
        return;
    state_->lease.supersede();
    state_->witness.retire();
    log::warning("claims_superseded", {{"listed_address", fmt::format("{}:{}", own->address, own->port)}});
}

void claim_controller::record_suspension()
{
    const std::lock_guard lock(mutex_);
    suspension_detector_.tick(boot_clock::now());
}

void claim_controller::on_frame(const peer_identity& from)
{
    const std::lock_guard lock(mutex_);
    if (!state_)
        return;
    const bool before = state_->lease.superseded();
    state_->lease.record_incarnation(from.name, from.incarnation);
    if (!before && state_->lease.superseded()) {
        state_->witness.retire();
        log::warning("claims_superseded", {{"incarnation", fmt::to_string(from.incarnation)}});
    }
}

claims::heartbeat_ack claim_controller::on_heartbeat(const peer_identity& from,
                                                     const claims::heartbeat& message)
{
    configuration_->record_peer_report(from.name, message.config_number, message.config_digest);
    const std::lock_guard lock(mutex_);
    claims::heartbeat_ack out{message.sequence, message.sent_ms, false, config_number_, config_digest_};
    // Configurations with the same number but different content may name different owners, so a witness does
    // not support an owner whose configuration diverges.
    const bool diverged = message.config_number == config_number_ && message.config_digest != config_digest_;
    if (state_ && message.sequence > 0 && !diverged)
        out.supports =
            state_->witness.support(from.name, from.incarnation, message.claims_number, boot_clock::now());
    return out;
}

claims::claim_reply claim_controller::on_claim(const claims::claim_request& request)
{
    const time_point now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    if (!state_)
        return {claims::claim_verdict::unknown, "no configuration is in force at the owner", {}, 0};
    return state_->table.claim(request, state_->lease.state(now), now);
}

void claim_controller::on_settle(const claims::claim_settle& outcome)
{
    const std::lock_guard lock(mutex_);
    if (state_)
        state_->table.settle(outcome, boot_clock::now());
}

bool claim_controller::on_handover(const claims::handover& records)
{
    const std::lock_guard lock(mutex_);
    if (!state_ || stopping_)
        return false;
    // A witness that never supported the owner's lease, for example one that has just started, could not
    // confirm the records to the successor and must not keep them. confirm_predecessor() also ends the
    // support for this incarnation. Its table is sealed, so it does not need the support any more.
    if (state_->witness.confirm_predecessor(records.owner, records.incarnation + 1) != records.incarnation)
        return false;
    return keeper_.keep(records, state_->map.section().key_lifetime, boot_clock::now());
}

claims::handover claim_controller::on_handover_pull(const peer_identity& from, const std::string& owner)
{
    const std::lock_guard lock(mutex_);
    if (!state_ || from.name != owner)
        return {owner, 0, false, 0, {}};
    return keeper_.answer_pull(state_->witness, owner, from.incarnation, boot_clock::now());
}

void claim_controller::choose_targets_locked(std::vector<std::string>& targets, time_point now)
{
    targets = other_owners_;
    if (now < next_config_report_)
        return;
    next_config_report_ = now + config_report_interval;
    for (const auto& it : config_report_peers_)
        if (std::find(targets.begin(), targets.end(), it) == targets.end())
            targets.push_back(it);
}

claims::heartbeat claim_controller::next_heartbeat(std::vector<std::string>& targets, duration& interval)
{
    const time_point now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    suspension_detector_.tick(now);
    interval = unconfigured_interval;
    choose_targets_locked(targets, now);
    if (!state_)
        return {0, to_ms(now), 0, {}, 0, stopping_};
    const auto& section = state_->map.section();
    interval = std::max(min_heartbeat_interval, section.lease_time / heartbeats_per_lease);
    claims::heartbeat out{0, to_ms(now), config_number_, config_digest_, section.claims_number, stopping_};
    if (owns_claims_locked()) {
        out.sequence = state_->lease.start_round(now);
        const bool supports = state_->witness.support(name_, incarnation_, section.claims_number, now);
        state_->lease.record_ack(name_, incarnation_, {out.sequence, out.sent_ms, supports, 0, {}}, now);
        state_->witness.update_own_lease(state_->lease.state(now), now);
    }
    if (now - last_expiry_ >= expiry_interval) {
        last_expiry_ = now;
        state_->table.expire(now);
        keeper_.expire(now);
    }
    return out;
}

awaitable<void> claim_controller::heartbeat_loop()
{
    while (!stopped_) {
        std::vector<std::string> targets;
        duration interval{};
        const auto message = next_heartbeat(targets, interval);
        for (auto& it : targets)
            spawn_background(strand_, "claim_heartbeat", exchange_heartbeat(std::move(it), message));
        co_await sleep_for(interval);
    }
}

awaitable<void> claim_controller::exchange_heartbeat(std::string to, claims::heartbeat message)
{
    duration reply_timeout = unconfigured_interval;
    {
        const std::lock_guard lock(mutex_);
        if (state_)
            reply_timeout = state_->map.section().lease_time;
    }
    const auto reply = co_await peers_.send_heartbeat(to, message, boot_clock::now() + reply_timeout);
    if (!reply)
        co_return;
    configuration_->record_peer_report(reply->from.name, reply->value.config_number,
                                       reply->value.config_digest);
    const time_point now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    if (!state_ || message.sequence == 0)
        co_return;
    state_->lease.record_ack(reply->from.name, reply->from.incarnation, reply->value, now);
    state_->witness.update_own_lease(state_->lease.state(now), now);
}

bool claim_controller::owns_claims_locked() const
{
    return state_ && state_->map.contains(name_);
}

/// Collects the records that the predecessor handed over, and imports them once the lease is held.
awaitable<void> claim_controller::import_handover()
{
    const time_point deadline = boot_clock::now() + handover_search_duration;
    while (!stopped_ && boot_clock::now() < deadline) {
        co_await sleep_for(handover_pull_interval);
        std::vector<std::string> witnesses;
        std::optional<claims::handover> found;
        {
            const time_point now = boot_clock::now();
            const std::lock_guard lock(mutex_);
            if (!owns_claims_locked())
                continue;
            found = state_->collector.accepted();
            if (!found)
                witnesses = state_->map.section().owners;
            else if (const auto n = state_->table.import_records(*found, state_->lease.state(now), now)) {
                log::info("claims_imported", {{"records", fmt::to_string(*n)},
                                              {"predecessor", fmt::to_string(found->incarnation)}});
                co_return;
            } else if (state_->table.last_error().code != claims::table_errc::no_lease) {
                log::warning("claims_not_imported", {{"reason", state_->table.last_error().reason}});
                co_return;
            }
        }
        for (const auto& it : witnesses) {
            if (it == name_)
                continue;
            const auto reply =
                co_await peers_.pull_handover(it, name_, boot_clock::now() + handover_pull_timeout);
            const std::lock_guard lock(mutex_);
            if (reply)
                state_->collector.record_reply(it, *reply);
        }
    }
}

std::string claim_controller::owner_of(const std::string& team, const std::string& key) const
{
    const std::lock_guard lock(mutex_);
    return state_ ? std::string(state_->map.owner(team, key)) : std::string();
}

awaitable<std::optional<claims::claim_reply>>
claim_controller::request_claim_once(std::string owner, claims::claim_request request, time_point deadline)
{
    if (owner == name_)
        co_return on_claim(request);
    const time_point reply_deadline = std::min(deadline, boot_clock::now() + claim_timeout);
    co_return co_await peers_.send_claim_request(std::move(owner), std::move(request), reply_deadline);
}

awaitable<std::optional<claims::claim_reply>> claim_controller::request_claim(claims::claim_request request,
                                                                              time_point deadline)
{
    std::optional<claims::claim_reply> last;
    while (boot_clock::now() < deadline) {
        // Repeating the request of one attempt is safe: the owner grants each attempt once, and the holder of
        // the grant dispatches the call once.
        std::string owner = owner_of(request.team, request.key);
        auto reply = co_await request_claim_once(std::move(owner), request, deadline);
        if (reply)
            last = reply;
        if (reply && reply->verdict != claims::claim_verdict::in_progress)
            co_return reply;
        co_await sleep_for(retry_interval);
    }
    co_return last;
}

awaitable<void> claim_controller::settle(claims::claim_settle outcome)
{
    const time_point deadline = boot_clock::now() + settle_retry_duration;
    while (boot_clock::now() < deadline) {
        std::string owner = owner_of(outcome.team, outcome.key);
        if (owner == name_) {
            on_settle(outcome);
            co_return;
        }
        if (co_await peers_.send_settlement(std::move(owner), outcome, boot_clock::now() + settle_timeout))
            co_return;
        co_await sleep_for(retry_interval);
    }
}

bool claim_controller::first_attempt_assertion_holds(bool asserted, time_point read_at,
                                                     time_point requested_at) const
{
    const std::lock_guard lock(mutex_);
    if (!state_)
        return false;
    return claims::first_attempt_assertion_holds(asserted, read_at, requested_at,
                                                 suspension_detector_.last_resumed(requested_at),
                                                 state_->map.section().lease_time);
}

std::int64_t claim_controller::claims_number() const
{
    const std::lock_guard lock(mutex_);
    return state_ ? state_->map.section().claims_number : 0;
}

awaitable<bool> claim_controller::hand_over()
{
    claims::handover records;
    std::vector<std::string> keepers;
    {
        const time_point now = boot_clock::now();
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        if (!owns_claims_locked())
            co_return true;
        state_->table.seal(state_->lease.state(now), now);
        records = state_->table.export_records(now);
        keepers = state_->map.section().owners;
    }
    if (!records.sealed)
        co_return true;
    // Start at a position that depends on the name, so that instances that stop at the same time send their
    // records to different owners.
    std::rotate(keepers.begin(),
                keepers.begin() + static_cast<std::ptrdiff_t>(hash64(name_) % keepers.size()), keepers.end());
    for (const auto& it : keepers) {
        if (it == name_)
            continue;
        if (co_await peers_.hand_over(it, records, boot_clock::now() + handover_send_timeout)) {
            log::info("claims_handed_over",
                      {{"keeper", it}, {"records", fmt::to_string(records.records.size())}});
            co_return true;
        }
    }
    log::warning("claims_not_handed_over", {{"records", fmt::to_string(records.records.size())}});
    co_return false;
}

claim_status claim_controller::status() const
{
    const time_point now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    claim_status out;
    if (!state_)
        return out;
    const auto lease = state_->lease.state(now);
    out.is_owner = owns_claims_locked();
    out.lease_held = lease.held(now);
    out.held_for = lease.held_for(now);
    out.superseded = state_->lease.superseded();
    out.sealed = state_->table.sealed();
    out.records = state_->table.size();
    out.witness_entries = state_->witness.entries();
    out.kept_handovers = keeper_.size();
    out.handover_reason = state_->collector.reason();
    out.counters = state_->table.counters();
    return out;
}

} // namespace limpetlock::server
