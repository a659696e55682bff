#include "fleet.hpp"

#include <limpetlock/gateway/peer_silence.hpp>
#include <limpetlock/gateway/state_packing.hpp>
#include <limpetlock/support/background.hpp>
#include <limpetlock/support/compression.hpp>
#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/scope_exit.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr duration ping_interval{300};
constexpr duration ping_timeout{700};

/// Interval of the checks for a new revision; see spread_loop.
constexpr duration spread_interval{60};

/// Longest time between two rounds of spread_loop in a process that was not suspended: ten intervals.
constexpr duration max_tick_gap{600};

constexpr duration pull_timeout{1'000};

/// Number of ticks between two checks of the bytes that wait for the network.
constexpr std::size_t ticks_per_link_check = 3;

/// In a fleet up to full_mesh_size every instance pings every other one in each round; in a larger fleet it
/// pings pings_per_round of them.
constexpr std::size_t full_mesh_size = 8;
constexpr std::size_t pings_per_round = 3;

/// Number of other instances whose entries one ping or pong carries.
constexpr std::size_t members_per_message = 12;
constexpr std::size_t members_per_brief_message = 3;

/// Values of this size and more are compressed for peers: a large table would take the links of small
/// instances for longer than a pull may last.
constexpr std::size_t min_compressed_bytes = 4'096;

/// Entries are packed into one compressed text if their values have this size together. A list of 3,000
/// endpoints has 0.8 MB, which takes over half a second on a link of 10 Mbit/s.
constexpr std::size_t min_packed_bytes = 16'384;

/// An instance answers this many pulls of a large state within the interval. The others find another peer
/// with their next pings, so that one peer isn't asked by a whole fleet that starts.
constexpr std::size_t min_large_push_bytes = 65'536;
constexpr std::size_t large_pushes_per_interval = 2;
constexpr duration large_push_interval{300};

/// Bound of a decompressed value. The store's values have up to 1 MB.
constexpr std::size_t max_value_bytes = std::size_t{4} * 1024 * 1024;

/// A seed that isn't the address of a known instance is pinged once in this many rounds.
constexpr std::uint64_t rounds_between_seed_pings = 3;

/// Parts of prompts whose evidence one ping or pong carries.
constexpr std::size_t suspects_per_message = 64;

/// Endpoints that leave by their own statement that one ping or pong carries.
constexpr std::size_t leavings_per_message = 24;

/// Limits of endpoints that one ping or pong carries.
constexpr std::size_t limits_per_message = 24;

/// Cold endpoints that one ping or pong carries.
constexpr std::size_t cold_per_message = 24;

const char* const seed_prefix = "seed/";

/// An age as a peer states it. Anything beyond a day is as old, and must not overflow the time.
duration age_from_peer(std::int64_t ms)
{
    constexpr std::int64_t max_ms = std::int64_t{24} * 3'600'000;
    return duration(std::clamp<std::int64_t>(ms, 0, max_ms));
}

wire::member_message to_message(const member& it, duration age)
{
    wire::member_message out;
    out.name = it.name;
    out.host = it.address.host;
    out.port = it.address.port;
    out.domain = it.domain;
    out.capacity = static_cast<std::int32_t>(it.capacity);
    out.life = it.run_id;
    out.age_ms = age.count();
    out.stopping = it.stopping;
    out.overloaded = it.overloaded;
    return out;
}

member_report from_message(const wire::member_message& it)
{
    member_report out;
    out.info = {it.name,      {it.host, static_cast<std::uint16_t>(it.port)},
                it.domain,    it.capacity,
                it.life,      it.stopping,
                it.overloaded};
    out.age = age_from_peer(it.age_ms);
    return out;
}

std::vector<wire::part_evidence_message> to_messages(const std::vector<part_evidence>& list, time_point now)
{
    std::vector<wire::part_evidence_message> out;
    for (const auto& it : list) {
        wire::part_evidence_message message;
        message.part = static_cast<std::int64_t>(it.part);
        message.answer_age_ms = it.answered ? std::max<std::int64_t>(0, (now - *it.answered).count()) : -1;
        for (const auto& crash : it.crashes) {
            wire::crash_sighting_message sighting;
            sighting.endpoint = crash.endpoint;
            sighting.started_ms = crash.started_ms;
            sighting.reporter = crash.reporter;
            sighting.age_ms = std::max<std::int64_t>(0, (now - crash.at).count());
            if (crash.silent)
                sighting.__set_silent(true);
            message.crashes.push_back(std::move(sighting));
        }
        out.push_back(std::move(message));
    }
    return out;
}

part_evidence from_message(const wire::part_evidence_message& it, time_point now)
{
    part_evidence out;
    out.part = static_cast<std::uint64_t>(it.part);
    if (it.answer_age_ms >= 0)
        out.answered = now - age_from_peer(it.answer_age_ms);
    for (const auto& crash : it.crashes)
        out.crashes.push_back({crash.endpoint, crash.started_ms, crash.reporter,
                               now - age_from_peer(crash.age_ms), crash.silent});
    return out;
}

std::vector<wire::endpoint_limit_message> to_messages(const std::vector<limit_statement>& list,
                                                      time_point now)
{
    std::vector<wire::endpoint_limit_message> out;
    for (const auto& it : list) {
        wire::endpoint_limit_message message;
        message.endpoint = it.endpoint;
        message.started_ms = it.started_ms;
        message.max_rate = it.max_rate.value_or(-1);
        message.reporter = it.reporter;
        message.age_ms = std::max<std::int64_t>(0, (now - it.at).count());
        out.push_back(std::move(message));
    }
    return out;
}

std::vector<wire::endpoint_leaving_message> to_messages(const std::vector<leaving_statement>& list,
                                                        time_point now)
{
    std::vector<wire::endpoint_leaving_message> out;
    for (const auto& it : list) {
        wire::endpoint_leaving_message message;
        message.endpoint = it.endpoint;
        message.started_ms = it.started_ms;
        message.reporter = it.reporter;
        message.age_ms = std::max<std::int64_t>(0, (now - it.at).count());
        out.push_back(std::move(message));
    }
    return out;
}

std::vector<wire::endpoint_cold_message> to_messages(const std::vector<cold_statement>& list, time_point now)
{
    std::vector<wire::endpoint_cold_message> out;
    for (const auto& it : list) {
        wire::endpoint_cold_message message;
        message.endpoint = it.endpoint;
        message.started_ms = it.started_ms;
        message.left_ms = std::max<std::int64_t>(0, (it.until - now).count());
        message.reporter = it.reporter;
        message.number = it.number;
        message.age_ms = std::max<std::int64_t>(0, (now - it.at).count());
        out.push_back(std::move(message));
    }
    return out;
}

cold_statement from_message(const wire::endpoint_cold_message& it, time_point now)
{
    return {it.endpoint, it.started_ms, now + age_from_peer(it.left_ms),
            it.reporter, it.number,     now - age_from_peer(it.age_ms)};
}

leaving_statement from_message(const wire::endpoint_leaving_message& it, time_point now)
{
    return {it.endpoint, it.started_ms, it.reporter, now - age_from_peer(it.age_ms)};
}

limit_statement from_message(const wire::endpoint_limit_message& it, time_point now)
{
    limit_statement out;
    out.endpoint = it.endpoint;
    out.started_ms = it.started_ms;
    if (std::isfinite(it.max_rate) && it.max_rate >= 0)
        out.max_rate = it.max_rate;
    out.reporter = it.reporter;
    out.at = now - age_from_peer(it.age_ms);
    return out;
}

/// The positions of a peer, from its ping or pong.
template <typename Message>
state_positions positions_of(const Message& it)
{
    return {{it.state_revision, it.state_era}, {it.table_revision, it.table_era}, it.table_version};
}

member own_member(const gateway_settings& it, std::int64_t run_id)
{
    return {it.name, it.peer_address, it.domain, it.capacity_millicores, run_id, false, false};
}

peer::address to_peer(const http::address& it)
{
    return {it.host, it.port};
}

} // namespace

// The incarnation of the messenger is always 0: membership messages distinguish two processes of one name,
// and an incarnation taken from a clock that was set back would shut out a new process.
fleet::fleet(asio::any_io_executor executor, const gateway_settings& settings, std::int64_t run_id,
             published_state& state, prompt_quarantine& quarantine, endpoint_statements& statements,
             loop_monitor& monitor, metrics::registry& metrics, handlers its_handlers)
    : executor_(std::move(executor)), settings_(settings), state_(state), quarantine_(quarantine),
      statements_(statements), handlers_(std::move(its_handlers)), view_(own_member(settings, run_id)),
      suspensions_(boot_clock::now(), max_tick_gap), overload_(boot_clock::now(), duty_tick),
      monitor_(monitor),
      suspension_count_(metrics.get_counter("limpetlock_suspensions_total",
                                            "times that this process stood still for over 600 ms")),
      unclear_calls_(metrics.get_counter("limpetlock_peer_calls_unclear_total",
                                         "calls without a reply that don't show whether the peer is gone")),
      whole_states_(metrics.get_counter("limpetlock_whole_states_total",
                                        "states that a peer sent whole, for lack of older removals")),
      metrics_(metrics), messenger_(executor_, settings.name, 0, to_peer(settings.peer_address),
                                    [this](wire::frame message) { return answer(std::move(message)); }),
      random_(static_cast<std::minstd_rand::result_type>(hash64(settings.name, 1)))
{
}

void fleet::start()
{
    spawn_loop(executor_, "ping_loop", [this] { return ping_loop(); });
    spawn_loop(executor_, "spread_loop", [this] { return spread_loop(); });
    spawn_loop(executor_, "duty_loop", [this] { return duty_loop(); });
}

void fleet::detect_suspension(time_point now)
{
    const duration length = suspensions_.tick(now);
    if (length == duration{0})
        return;
    suspension_count_.add();
    view_.record_suspension(length, now);
    log::warning("process_resumed",
                 {{"suspended_ms", fmt::to_string(length.count())},
                  {"live_instances", fmt::to_string(view_.live_instances(now, false).size())}});
}

/// Removes expired instances from the view, and sets the addresses of the remaining ones, and of the seeds
/// that aren't among them, as peers of the messenger.
void fleet::refresh_links(time_point now)
{
    view_.remove_expired(now);
    std::map<std::string, peer::address> next;
    std::set<peer::address> known;
    known.insert(to_peer(settings_.peer_address));
    for (const auto& it : view_.recent_reports(now, SIZE_MAX)) {
        next.emplace(it.info.name, to_peer(it.info.address));
        known.insert(to_peer(it.info.address));
    }
    for (const auto& it : settings_.seeds)
        if (!known.contains(to_peer(it)))
            next.emplace(fmt::format("{}{}:{}", seed_prefix, it.host, it.port), to_peer(it));
    if (next == links_)
        return;
    links_ = next;
    messenger_.set_peers(std::move(next));
}

std::vector<std::string> fleet::ping_targets(time_point now)
{
    std::vector<std::string> members;
    std::vector<std::string> out;
    for (const auto& [name, to] : links_) {
        if (!name.starts_with(seed_prefix))
            members.push_back(name);
        else if (ping_rounds_ % rounds_between_seed_pings == 0 ||
                 view_.live_instances(now, false).size() == 1)
            out.push_back(name);
    }
    if (members.size() > full_mesh_size) {
        std::shuffle(members.begin(), members.end(), random_);
        members.resize(pings_per_round);
    }
    out.insert(out.end(), members.begin(), members.end());
    return out;
}

awaitable<void> fleet::ping_loop()
{
    for (;;) {
        const time_point now = boot_clock::now();
        refresh_links(now);
        quarantine_.remove_expired(now);
        for (auto& to : ping_targets(now))
            spawn_background(executor_, "ping", ping(std::move(to), ping_content::full));
        ++ping_rounds_;
        co_await sleep_for(ping_interval);
    }
}

std::vector<wire::member_message> fleet::members_for_peers(time_point now, ping_content content) const
{
    const std::size_t n = content == ping_content::brief ? members_per_brief_message : members_per_message;
    std::vector<wire::member_message> out;
    for (const auto& it : view_.recent_reports(now, n))
        out.push_back(to_message(it.info, it.age));
    return out;
}

template <typename Message>
void fleet::set_positions(Message& out) const
{
    out.state_revision = state_.entries().revision().number;
    out.state_era = state_.entries().revision().era;
    out.table_revision = state_.table_revision().number;
    out.table_era = state_.table_revision().era;
    out.table_version = state_.table_version();
}

awaitable<void> fleet::ping(std::string to, ping_content content)
{
    const time_point sent = boot_clock::now();
    wire::frame message;
    wire::member_ping_message body;
    body.own = to_message(view_.own(), duration{0});
    set_positions(body);
    body.known = members_for_peers(sent, content);
    body.brief = content == ping_content::brief;
    if (!body.brief) {
        body.suspects = to_messages(quarantine_.evidence_for_peers(sent, suspects_per_message), sent);
        body.limits = to_messages(statements_.statements_for_peers(sent, limits_per_message), sent);
        body.leaving = to_messages(statements_.leavings_for_peers(sent, leavings_per_message), sent);
        body.cold = to_messages(statements_.cold_for_peers(sent, cold_per_message), sent);
    }
    message.__set_member_ping(body);
    peer::call_error error;
    const auto reply = co_await messenger_.call(to, std::move(message), sent + ping_timeout, error);
    if (!reply || !reply->__isset.member_pong)
        co_return;
    process_pong(to, reply->member_pong, sent);
}

/// The peer determined the age of its proof after the ping was sent. The proof is therefore at least as
/// recent as the time of sending minus that age, however long the messages took.
void fleet::process_pong(const std::string& from, const wire::member_pong_message& it, time_point sent)
{
    record_members(it.own, it.known, boot_clock::now());
    merge_suspects(it.suspects, boot_clock::now());
    merge_limits(it.limits, boot_clock::now());
    merge_leavings(it.leaving, boot_clock::now());
    merge_cold(it.cold, boot_clock::now());
    if (it.proof_age_ms >= 0)
        state_.record_proof(
            {{it.table_revision, it.table_era}, sent - duration(it.proof_age_ms), it.table_version});
    pull_if_newer(from, positions_of(it));
}

void fleet::pull_if_newer(const std::string& from, const state_positions& peer)
{
    const bool newer =
        state_.is_newer_table(peer.table, peer.table_version) || peer.state > state_.entries().revision();
    if (!newer || pulling_state_ || !state_.record_peer_era(peer.state.era, boot_clock::now()))
        return;
    pulling_state_ = true;
    spawn_background(executor_, "state_pull", pull(from));
}

/// Pings soon after a new revision, new evidence or another limit arrived, so that it spreads faster than by
/// the regular rounds.
awaitable<void> fleet::spread_loop()
{
    state_revision spread_revision;
    std::uint64_t spread_evidence = 0;
    std::uint64_t spread_limits = 0;
    for (;;) {
        co_await sleep_for(spread_interval);
        detect_suspension(boot_clock::now());
        const state_revision known = std::max(state_.table_revision(), state_.entries().revision());
        if (known <= spread_revision && quarantine_.version() == spread_evidence &&
            statements_.version() == spread_limits)
            continue;
        // The entries of many endpoints change all the time, and the regular rounds carry the rest.
        const bool positions_only =
            quarantine_.version() == spread_evidence && statements_.version() == spread_limits;
        const auto content = positions_only ? ping_content::brief : ping_content::full;
        spread_revision = std::max(spread_revision, known);
        spread_evidence = quarantine_.version();
        spread_limits = statements_.version();
        for (auto& to : ping_targets(boot_clock::now()))
            spawn_background(executor_, "ping", ping(std::move(to), content));
    }
}

/// Gives up the duties of this instance while it is overloaded, and tells a few peers at once.
awaitable<void> fleet::duty_loop()
{
    auto& overloaded =
        metrics_.get_gauge("limpetlock_overloaded", "1 while this instance gives up its duties to others");
    for (std::size_t n = 0;; ++n) {
        co_await sleep_for(duty_tick);
        const time_point now = boot_clock::now();
        overload_.record_tick(now);
        if (const auto report = monitor_.record_tick(now))
            handlers_.on_late_loop(*report);
        if (n % ticks_per_link_check == 0) {
            const auto counters = messenger_.counters();
            overload_.record_link(counters.bytes_sent, counters.waiting_bytes, now);
            messenger_.measure_waiting_bytes();
        }
        const bool before = view_.own().overloaded;
        if (overload_.overloaded(now) == before)
            continue;
        view_.set_overloaded(!before);
        overloaded.set(before ? 0 : 1);
        if (before)
            log::info("duties_resumed", {{"held_ms", fmt::to_string(overload_.hold().count())}});
        else
            log_given_up();
        for (auto& to : ping_targets(now))
            spawn_background(executor_, "ping", ping(std::move(to), ping_content::full));
    }
}

void fleet::log_given_up()
{
    const std::string cause(to_string(overload_.cause()));
    metrics_
        .get_counter("limpetlock_duties_given_up_total", "times that this instance gave up its duties",
                     {{"cause", cause}})
        .add();
    log::warning("duties_given_up", {{"cause", cause},
                                     {"hold_ms", fmt::to_string(overload_.hold().count())},
                                     {"waiting_bytes", fmt::to_string(messenger_.counters().waiting_bytes)}});
}

awaitable<void> fleet::pull(std::string from)
{
    const time_point sent = boot_clock::now();
    wire::frame message;
    wire::state_pull_message body;
    const state_revision after = state_.entries().revision();
    body.after_revision = after.number;
    body.after_era = after.era;
    body.accepts_compressed = true;
    body.accepts_packed = true;
    message.__set_state_pull(body);
    peer::call_error error;
    const scope_exit end_pull([this] { pulling_state_ = false; });
    const auto reply = co_await messenger_.call(from, std::move(message), sent + pull_timeout, error);
    if (!reply || !reply->__isset.state_push) {
        log::warning("state_pull_failed",
                     {{"peer", from},
                      {"reason", error.reason.empty() ? "no state, or busy with other pulls" : error.reason},
                      {"took_ms", fmt::to_string((boot_clock::now() - sent).count())},
                      {"table_revision", fmt::to_string(state_.table_revision().number)}});
        co_return;
    }
    const auto& push = reply->state_push;
    auto entries = decode_items(push);
    if (!entries) {
        log::error("state_push_rejected", {{"peer", from}, {"reason", "a value can't be decompressed"}});
        co_return;
    }
    const time_point now = boot_clock::now();
    if (!state_.record_peer_era(push.era, now))
        co_return;
    const state_revision revision(push.revision, push.era);
    if (push.whole)
        whole_states_.add();
    if (!state_.merge_peer_state({std::move(*entries), after, revision, push.whole, push.has_evacuations},
                                 now))
        log::info("state_incomplete", {{"peer", from},
                                       {"after_revision", fmt::to_string(after.number)},
                                       {"revision", fmt::to_string(revision.number)}});
    if (push.proof_age_ms >= 0)
        state_.record_proof(
            {{push.table_revision, push.table_era}, sent - duration(push.proof_age_ms), push.table_version});
    log::info("state_from_peer", {{"peer", from},
                                  {"revision", fmt::to_string(push.revision)},
                                  {"era", fmt::to_string(push.era)},
                                  {"items", fmt::to_string(push.items.size())},
                                  {"whole", push.whole ? "yes" : "no"},
                                  {"peer_table_revision", fmt::to_string(push.table_revision)},
                                  {"table_revision", fmt::to_string(state_.table_revision().number)},
                                  {"took_ms", fmt::to_string((now - sent).count())},
                                  {"proof_age_ms", fmt::to_string(push.proof_age_ms)}});
}

wire::member_pong_message fleet::make_pong(time_point now, ping_content content)
{
    wire::member_pong_message out;
    out.own = to_message(view_.own(), duration{0});
    out.known = members_for_peers(now, content);
    set_positions(out);
    out.proof_age_ms = state_.proof_age(now).value_or(duration(-1)).count();
    if (content == ping_content::brief)
        return out;
    out.suspects = to_messages(quarantine_.evidence_for_peers(now, suspects_per_message), now);
    out.limits = to_messages(statements_.statements_for_peers(now, limits_per_message), now);
    out.leaving = to_messages(statements_.leavings_for_peers(now, leavings_per_message), now);
    out.cold = to_messages(statements_.cold_for_peers(now, cold_per_message), now);
    return out;
}

void fleet::merge_limits(const std::vector<wire::endpoint_limit_message>& list, time_point now)
{
    for (const auto& it : list)
        statements_.merge(from_message(it, now), now);
}

void fleet::merge_leavings(const std::vector<wire::endpoint_leaving_message>& list, time_point now)
{
    for (const auto& it : list)
        statements_.merge(from_message(it, now), now);
}

void fleet::merge_cold(const std::vector<wire::endpoint_cold_message>& list, time_point now)
{
    for (const auto& it : list)
        statements_.merge(from_message(it, now), now);
}

void fleet::merge_suspects(const std::vector<wire::part_evidence_message>& list, time_point now)
{
    for (const auto& it : list)
        quarantine_.merge(from_message(it, now), now);
}

const std::string& fleet::compressed_value(const state_entry& it)
{
    if (last_compressed_.key != it.key || last_compressed_.revision != it.revision) {
        last_compressed_ = {it.key, it.revision, compress(it.value)};
        log::info("value_compressed", {{"key", it.key},
                                       {"revision", fmt::to_string(it.revision.number)},
                                       {"bytes", fmt::to_string(it.value.size())},
                                       {"compressed_bytes", fmt::to_string(last_compressed_.bytes.size())}});
    }
    return last_compressed_.bytes;
}

wire::state_push_message fleet::make_push(const wire::state_pull_message& pull, time_point now)
{
    wire::state_push_message out;
    bool whole = false;
    for (const auto& it : state_.entries().changes_after({pull.after_revision, pull.after_era}, whole)) {
        wire::state_item_message item;
        item.key = it.key;
        item.compressed = pull.accepts_compressed && it.value.size() >= min_compressed_bytes;
        item.value = item.compressed ? compressed_value(it) : it.value;
        item.revision = it.revision.number;
        item.era = it.revision.era;
        item.removed = it.removed;
        out.items.push_back(std::move(item));
    }
    pack(out, pull.accepts_packed, now);
    out.whole = whole;
    out.has_evacuations = state_.follows_evacuations() && !state_.misses_evacuations();
    out.revision = state_.entries().revision().number;
    out.era = state_.entries().revision().era;
    out.table_revision = state_.table_revision().number;
    out.table_era = state_.table_revision().era;
    out.table_version = state_.table_version();
    out.proof_age_ms = state_.proof_age(now).value_or(duration(-1)).count();
    return out;
}

/// Packs the entries that aren't compressed each for itself, if they are many.
void fleet::pack(wire::state_push_message& push, bool accepted, time_point now)
{
    std::size_t bytes = 0;
    for (const auto& it : push.items)
        bytes += it.compressed ? 0 : it.key.size() + it.value.size();
    if (bytes >= min_large_push_bytes) {
        if (now - large_pushes_since_ >= large_push_interval) {
            large_pushes_since_ = now;
            large_pushes_ = 0;
        }
        ++large_pushes_;
    }
    if (!accepted || bytes < min_packed_bytes)
        return;
    const auto first_small = std::stable_partition(push.items.begin(), push.items.end(),
                                                   [](const auto& it) { return it.compressed; });
    push.packed = pack_items({first_small, push.items.end()});
    push.items.erase(first_small, push.items.end());
    log::info("state_packed",
              {{"bytes", fmt::to_string(bytes)}, {"packed_bytes", fmt::to_string(push.packed.size())}});
}

/// Whether this instance has sent enough large states for now.
bool fleet::busy_with_pushes(time_point now) const
{
    return large_pushes_ >= large_pushes_per_interval && now - large_pushes_since_ < large_push_interval;
}

std::optional<std::vector<state_entry>> fleet::decode_items(const wire::state_push_message& push)
{
    std::vector<state_entry> out;
    auto items = push.items;
    if (!push.packed.empty()) {
        auto unpacked = unpack_items(push.packed);
        if (!unpacked)
            return std::nullopt;
        std::move(unpacked->begin(), unpacked->end(), std::back_inserter(items));
    }
    for (const auto& it : items) {
        state_entry entry{it.key, it.value, {it.revision, it.era}, it.removed};
        if (it.compressed) {
            auto value = decompress(it.value, max_value_bytes);
            if (!value)
                return std::nullopt;
            entry.value = std::move(*value);
            last_compressed_ = {it.key, entry.revision, it.value};
        }
        out.push_back(std::move(entry));
    }
    return out;
}

void fleet::record_members(const wire::member_message& own, const std::vector<wire::member_message>& known,
                           time_point now)
{
    auto sender = from_message(own);
    sender.age = duration{0};
    view_.record_contact(sender, now);
    for (const auto& it : known)
        if (it.name != own.name) {
            auto indirect = from_message(it);
            indirect.age = std::max(indirect.age, duration{1});
            view_.record_contact(indirect, now);
        }
}

awaitable<std::optional<wire::frame>> fleet::answer(wire::frame message)
{
    const time_point now = boot_clock::now();
    wire::frame reply;
    if (message.__isset.member_ping) {
        record_members(message.member_ping.own, message.member_ping.known, now);
        merge_suspects(message.member_ping.suspects, now);
        merge_limits(message.member_ping.limits, now);
        merge_leavings(message.member_ping.leaving, now);
        merge_cold(message.member_ping.cold, now);
        if (links_.contains(message.member_ping.own.name))
            pull_if_newer(message.member_ping.own.name, positions_of(message.member_ping));
        reply.__set_member_pong(
            make_pong(now, message.member_ping.brief ? ping_content::brief : ping_content::full));
        co_return reply;
    }
    const state_revision pulled_after(message.state_pull.after_revision, message.state_pull.after_era);
    const bool busy = busy_with_pushes(now) && !state_.entries().knows_removals_after(pulled_after);
    if (message.__isset.state_pull && !busy) {
        reply.__set_state_push(make_push(message.state_pull, now));
        co_return reply;
    }
    if (message.__isset.permit_request) {
        const auto& it = message.permit_request;
        const bool sound = std::isfinite(it.max_rate) && it.max_rate >= 0;
        permit_request asked{it.endpoint, sound ? it.max_rate : 0, age_from_peer(it.max_wait_ms), it.team};
        if (std::isfinite(it.max_saved) && it.max_saved > 0)
            asked.max_saved = std::clamp(it.max_saved, 1.0, permit_issuer::max_saved);
        asked.cold = it.cold;
        const permit given = handlers_.on_permit_request(asked);
        wire::permit_reply_message body;
        body.granted = given.granted;
        body.wait_ms = given.wait.count();
        body.lifetime_ms = given.lifetime.count();
        reply.__set_permit_reply(body);
        co_return reply;
    }
    if (message.__isset.stage_order) {
        auto result = co_await handlers_.on_stage_task(std::move(message.stage_order));
        result.overloaded = view_.own().overloaded;
        reply.__set_stage_result(result);
        co_return reply;
    }
    if (message.__isset.stage_cancel)
        handlers_.on_stage_cancel(message.stage_cancel);
    if (message.__isset.stage_release)
        handlers_.on_result_release(message.stage_release);
    reply.__set_received({});
    co_return reply;
}

awaitable<fleet::peer_answer> fleet::call(std::string to, wire::frame message, call_terms terms)
{
    const time_point sent = boot_clock::now();
    if (!links_.contains(to))
        refresh_links(sent);
    peer::call_error error;
    peer_answer out;
    out.reply = co_await messenger_.call(to, std::move(message), terms.limits, error);
    if (out.reply)
        co_return out;
    if (suspended_since(sent)) {
        log::info("peer_call_interrupted", {{"peer", to}, {"reason", "this process was suspended"}});
        co_return out;
    }
    const bool late = monitor_.late_since(sent, boot_clock::now());
    // Another call may have shown it meanwhile.
    out.unclear = !view_.is_unreachable(to) && !shows_unreachable({error.code, error.heard, late,
                                                                   terms.replies_soon, terms.unclear_before});
    if (out.unclear) {
        unclear_calls_.add();
        log::info("peer_call_unclear", {{"peer", to},
                                        {"reason", error.reason},
                                        {"heard", error.heard ? "yes" : "no"},
                                        {"own_loop_late", late ? "yes" : "no"},
                                        {"replies_soon", terms.replies_soon ? "yes" : "no"},
                                        {"before", fmt::to_string(terms.unclear_before)}});
        co_return out;
    }
    view_.mark_unreachable(to);
    log::warning("peer_unreachable", {{"peer", to}, {"reason", error.reason}});
    co_return out;
}

} // namespace limpetlock::gateway
