#include "store_reader.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/scope_exit.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// In a fleet up to this size every instance renews proofs as early as one that watches the store.
constexpr std::size_t max_small_fleet_size = 8;

/// An instance that isn't a seed expects the state and its proof from peers for this long after the start.
/// Calls of all instances that start at the same time would otherwise grow with the fleet.
constexpr duration peer_start_time{1'500};

/// Least time between the ends of two watches with changes. When many endpoints start, each one's entry would
/// otherwise take a call of every watching instance.
constexpr duration min_watch_interval{250};
constexpr duration role_check_interval{150};
constexpr duration proof_check_interval{60};

constexpr duration list_timeout{1'500};
/// Time limit of a read of the changes that a silent watch didn't deliver. A listing follows.
constexpr duration catch_up_timeout{250};
/// Delay after a failed listing in place of these changes.
constexpr duration listing_back_off{250};

/// Delay after the first failure of a watch or listing. It doubles with each further failure.
constexpr duration initial_watch_back_off{200};
/// Upper bound of the delay after a failed watch or listing.
constexpr duration max_watch_back_off{1'000};

/// Interval of the listings of evacuation orders while they can't be had from peers: two of them fail before
/// the bound of 5 s passes.
constexpr duration evacuation_listing_interval{1'600};

/// Limit of the pages of one listing. The store sends up to 500 entries per page.
constexpr int max_pages = 64;

/// The store sends values of up to 1 MB, in base64.
constexpr std::size_t max_answer_bytes = std::size_t{4} * 1024 * 1024;

http::client_limits store_limits()
{
    http::client_limits out;
    out.body_bytes = max_answer_bytes;
    out.idle_timeout = duration(5'000);
    return out;
}

} // namespace

store_reader::store_reader(asio::any_io_executor executor, const gateway_settings& settings,
                           const platform_codec& codec, published_state& state, metrics::registry& metrics,
                           std::function<role()> current_role)
    : executor_(std::move(executor)), store_address_(settings.store_address), codec_(codec), state_(state),
      client_(executor_, store_limits()),
      random_(static_cast<std::minstd_rand::result_type>(hash64(settings.name))),
      role_(std::move(current_role)), is_seed_(std::find(settings.seeds.begin(), settings.seeds.end(),
                                                         settings.peer_address) != settings.seeds.end()),
      started_(boot_clock::now()), schedule_(settings.bounds.table_adoption_time),
      read_ended_(executor_, asio::steady_timer::time_point::max()), watches_(settings.bounds.contact_time),
      watch_abandoned_(executor_, asio::steady_timer::time_point::max()),
      calls_(metrics.get_counter("limpetlock_store_calls_total", "calls to the platform's store")),
      failures_(metrics.get_counter("limpetlock_store_failures_total", "store calls without a usable answer"))
{
}

void store_reader::start()
{
    spawn_loop(executor_, "proof_loop", [this] { return proof_loop(); });
    spawn_loop(executor_, "watch_loop", [this] { return watch_loop(); });
}

void store_reader::record_answer(bool answered, const std::string& target, const std::string& reason)
{
    if (!answered) {
        failures_.add();
    }
    if (answered == reachable_)
        return;
    reachable_ = answered;
    if (answered)
        log::info("store_regained", {{"call", target}});
    else
        log::warning("store_lost", {{"call", target}, {"reason", reason}});
}

/// Whether the call has an answer other than a refusal. Records the outcome.
bool store_reader::is_usable(const std::optional<http::response>& answer, const http::call_error& error,
                             const std::string& target)
{
    const bool usable = answer && answer->status != 429 && answer->status < 500;
    const std::string reason = answer ? fmt::format("status {}", answer->status) : error.reason;
    // A pooled connection that the store closed while idle says nothing about the store, nor does a call that
    // was cancelled here.
    if (!error.stale && error.code != http::errc::cancelled)
        record_answer(usable, target, reason);
    return usable;
}

awaitable<std::optional<http::response>> store_reader::call(http::request message, call_limits limits,
                                                            std::function<void()> on_header)
{
    const time_point sent = boot_clock::now();
    const std::string target = message.target;
    http::call_error error;
    http::answer_filter any;
    calls_.add();
    const auto reader = co_await client_.open_answer(store_address_, std::move(message), sent + limits.header,
                                                     limits.policy, error, std::move(any));
    std::optional<http::response> answer;
    if (reader) {
        on_header();
        const time_point deadline = std::min(boot_clock::now() + limits.body, sent + limits.whole);
        answer = http::response{reader->status(), reader->headers(), {}};
        for (bool more = true; more && answer->body.size() <= max_answer_bytes;) {
            auto bytes = co_await reader->read(deadline);
            more = bytes.has_value();
            if (more)
                answer->body += *bytes;
        }
        error = reader->error();
        if (error.code != http::errc::none || answer->body.size() > max_answer_bytes)
            answer.reset();
    }
    if (!is_usable(answer, error, target))
        co_return std::nullopt;
    state_.record_store_answer(boot_clock::now());
    co_return answer;
}

bool store_reader::expects_state_from_peers(time_point now) const
{
    return !is_seed_ && state_.entries().revision() == state_revision{} && now - started_ < peer_start_time;
}

void store_reader::draw_renewal_age()
{
    const auto now = role_();
    const double position = std::uniform_real_distribution<double>()(random_);
    schedule_.draw_renewal_age(position, now.watches || now.instances <= max_small_fleet_size);
}

awaitable<void> store_reader::proof_loop()
{
    for (;;) {
        const time_point now = boot_clock::now();
        state_.remove_lapsed_endpoints(now);
        state_.remove_lapsed_evacuations(now);
        // A read would prove nothing before that; the watches deliver what is written again.
        if (!expects_state_from_peers(now) && state_.is_era_settled(now) &&
            schedule_.is_read_due(state_.proof_age(now), now)) {
            schedule_.begin_read(now);
            const auto policy =
                schedule_.is_repeated() ? http::connection_policy::fresh : http::connection_policy::pooled;
            spawn_background(executor_, "proof_renewal", renew_proof(policy));
        }
        const state_revision known = state_.entries().revision();
        if (!catching_up_ && changes_arriving_ == 0 && watches_.misses_changes(known) &&
            watches_.is_behind(known, role_().watches, now)) {
            catching_up_ = true;
            spawn_background(executor_, "catch_up", catch_up());
        }
        if (state_.misses_evacuations() && now >= next_evacuation_listing_) {
            next_evacuation_listing_ = now + evacuation_listing_interval;
            spawn_background(executor_, "evacuation_listing", list_evacuations());
        }
        co_await sleep_for(proof_check_interval);
    }
}

awaitable<void> store_reader::renew_proof(http::connection_policy policy)
{
    bool had_header = false;
    bool renewed = false;
    const scope_exit end_read([this, &had_header, &renewed] {
        schedule_.end_read(renewed, had_header);
        read_ended_.cancel();
    });
    renewed = co_await read_table(policy, had_header);
    if (renewed)
        draw_renewal_age();
}

awaitable<void> store_reader::confirm_table()
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer longest_wait(executor_, schedule_.header_timeout());
    while (needs_confirmation(boot_clock::now())) {
        const auto first = co_await (read_ended_.async_wait(asio::as_tuple(asio::use_awaitable)) ||
                                     longest_wait.async_wait(asio::as_tuple(asio::use_awaitable)));
        if (first.index() == 1)
            co_return;
    }
}

/// Reads the changes that the watch, of this instance or of another one, hasn't delivered. Runs beside the
/// reads of the table, because a listing of many pages can take longer than a proof holds.
awaitable<void> store_reader::catch_up()
{
    const scope_exit end_catch_up([this] { catching_up_ = false; });
    log::info("watch_behind", {{"revision", fmt::to_string(state_.entries().revision().number)},
                               {"another_era", watches_.is_in_another_era() ? "yes" : "no"}});
    watch_abandoned_.cancel();
    auto status = store_answer_status::history_lost;
    if (!watches_.is_in_another_era())
        status = co_await read_changes(duration{0}, catch_up_timeout, http::connection_policy::fresh);
    bool ok = status == store_answer_status::ok;
    if (!ok)
        ok = co_await list_state();
    if (ok)
        watches_.restart();
    else
        co_await sleep_for(listing_back_off);
}

/// The read is linearizable: the answer reflects every table that was published before the request was sent.
awaitable<bool> store_reader::read_table(http::connection_policy policy, bool& had_header)
{
    const time_point sent = boot_clock::now();
    const auto begin_answer = [this, &had_header] {
        had_header = true;
        schedule_.record_header();
    };
    state_.record_store_call(sent);
    const call_limits limits{schedule_.header_timeout(), schedule_.read_timeout(), schedule_.read_timeout(),
                             policy};
    const auto answer = co_await call(codec_.encode_key_read(codec_.table_key()), limits, begin_answer);
    if (!answer) {
        log_failed_read("no answer", sent);
        co_return false;
    }
    state_page page;
    const auto status = codec_.decode_entry(*answer, page);
    if (status != store_answer_status::ok || page.entries.empty()) {
        log_failed_read(fmt::format("unusable answer with status {}", answer->status), sent);
        co_return false;
    }
    if (!state_.record_store_era(page.revision.era, sent, boot_clock::now()))
        co_return false;
    const state_revision revision = page.entries.front().revision;
    merge(std::move(page.entries), "read");
    watches_.record_read(state_.entries().revision(), page.revision, boot_clock::now());
    co_return record_read(revision, sent);
}

/// Takes the read as a proof of the table in force, unless the store came back from a copy: it may lack a
/// newer table then that is not written again yet.
bool store_reader::record_read(state_revision revision, time_point sent)
{
    const bool older = revision.era > state_.table_revision().era;
    if (older || !state_.is_era_settled(boot_clock::now())) {
        log::info("read_proves_nothing", {{"reason", older ? "the table in force is another one"
                                                           : "the store has just lost changes"},
                                          {"revision", fmt::to_string(revision.number)},
                                          {"era", fmt::to_string(revision.era)},
                                          {"table_version", fmt::to_string(state_.table_version())},
                                          {"table_era", fmt::to_string(state_.table_revision().era)}});
        return false;
    }
    state_.record_proof({revision, sent});
    return true;
}

/// Merges entries, and logs a new table with the way by which it came.
void store_reader::merge(std::vector<state_entry> entries, std::string_view source)
{
    const state_revision previous = state_.table_revision();
    state_.merge(std::move(entries), boot_clock::now());
    log_received_table(previous, source);
}

void store_reader::log_received_table(state_revision previous, std::string_view source) const
{
    if (state_.table_revision() != previous)
        log::info("table_received", {{"source", std::string(source)},
                                     {"table_revision", fmt::to_string(state_.table_revision().number)},
                                     {"state_revision", fmt::to_string(state_.entries().revision().number)}});
}

void store_reader::log_rejected(const state_page& page)
{
    for (const auto& it : page.rejected)
        log::warning("store_item_rejected", {{"key", it.key},
                                             {"reason", it.reason},
                                             {"store_revision", fmt::to_string(page.revision.number)}});
}

void store_reader::log_failed_read(const std::string& reason, time_point sent) const
{
    const time_point now = boot_clock::now();
    log::warning("table_read_failed",
                 {{"reason", reason},
                  {"took_ms", fmt::to_string((now - sent).count())},
                  {"table_revision", fmt::to_string(state_.table_revision().number)},
                  {"proof_age_ms", fmt::to_string(state_.proof_age(now).value_or(duration(-1)).count())}});
}

/// Reads all entries under the prefix. Sets `first_revision` to the revision of the first page if it has
/// none.
awaitable<bool> store_reader::list_prefix(std::string prefix, std::vector<state_entry>& entries,
                                          std::optional<state_revision>& first_revision)
{
    std::string after;
    for (int n = 0; n < max_pages; ++n) {
        const time_point sent = boot_clock::now();
        // The next pages and prefixes go over the same connection.
        const auto policy = first_revision ? http::connection_policy::pooled : http::connection_policy::fresh;
        state_.record_store_call(sent);
        const call_limits limits{list_timeout, list_timeout, list_timeout, policy};
        const auto answer = co_await call(codec_.encode_range_read(prefix, after), limits);
        state_page page;
        if (!answer || codec_.decode_page(*answer, page) != store_answer_status::ok) {
            log::warning("listing_failed", {{"prefix", prefix},
                                            {"page", fmt::to_string(n)},
                                            {"status", answer ? fmt::to_string(answer->status) : "-"}});
            co_return false;
        }
        if (!state_.record_store_era(page.revision.era, sent, boot_clock::now()))
            co_return false;
        if (!first_revision)
            first_revision = page.revision;
        // Pages of two eras don't belong together.
        if (page.revision.era != first_revision->era)
            co_return false;
        log_rejected(page);
        // Without a further key the next page would be the same one again.
        const bool more = page.more && page.last_key > after;
        after = page.last_key;
        for (auto& it : page.entries)
            entries.push_back(std::move(it));
        if (!more)
            break;
    }
    co_return true;
}

/// Lists everything that the replica holds. A listing without the table would record a revision whose table
/// neither the watch nor a peer delivers any more.
awaitable<bool> store_reader::list_state()
{
    std::vector<state_entry> table;
    std::vector<state_entry> orders;
    std::vector<state_entry> endpoints;
    std::optional<state_revision> first_revision;
    bool ok = co_await list_prefix(codec_.table_key(), table, first_revision);
    if (ok && state_.follows_evacuations())
        ok = co_await list_prefix(codec_.evacuation_prefix(), orders, first_revision);
    if (ok)
        ok = co_await list_prefix(codec_.endpoint_prefix(), endpoints, first_revision);
    if (!ok)
        co_return false;
    // Later pages may have newer entries, but the listing as a whole is complete only up to the first page's
    // revision.
    merge(std::move(table), "listing");
    state_.apply_evacuation_listing(std::move(orders), *first_revision, boot_clock::now());
    state_.apply_listing(std::move(endpoints), *first_revision, boot_clock::now());
    state_.record_listing(*first_revision);
    co_return true;
}

/// Lists the orders alone, after a peer that doesn't know them delivered the other changes.
awaitable<void> store_reader::list_evacuations()
{
    std::vector<state_entry> orders;
    std::optional<state_revision> first_revision;
    const bool ok = co_await list_prefix(codec_.evacuation_prefix(), orders, first_revision);
    if (ok)
        state_.apply_evacuation_listing(std::move(orders), *first_revision, boot_clock::now());
}

awaitable<store_answer_status> store_reader::read_changes(duration wait, duration timeout,
                                                          http::connection_policy policy)
{
    const state_revision after = state_.entries().revision();
    const time_point sent = boot_clock::now();
    const duration body_timeout = watches_.body_timeout();
    const call_limits limits{timeout, body_timeout, timeout + body_timeout, policy};
    bool arriving = false;
    const scope_exit end_arrival([this, &arriving] { changes_arriving_ -= arriving ? 1 : 0; });
    const auto begin_answer = [this, &arriving] {
        arriving = true;
        ++changes_arriving_;
    };
    const auto answer = co_await call(codec_.encode_watch({}, after.number, wait), limits, begin_answer);
    if (!answer)
        co_return store_answer_status::refused;
    state_page page;
    auto status = codec_.decode_events(*answer, page);
    // The revision from which the watch goes on means other changes in another era.
    if (status == store_answer_status::ok &&
        (!state_.record_store_era(page.revision.era, sent, boot_clock::now()) ||
         page.revision.era != after.era))
        status = store_answer_status::history_lost;
    // Every change is an event, so some were left out.
    if (status == store_answer_status::ok && page.entries.empty() && page.rejected.empty() &&
        page.revision > after)
        status = store_answer_status::history_lost;
    if (status == store_answer_status::ok) {
        log_rejected(page);
        const state_revision table = state_.table_revision();
        // The state may have been given up meanwhile, because its era was disproved.
        if (!state_.merge_changes(std::move(page.entries), after, page.revision, boot_clock::now()))
            status = store_answer_status::history_lost;
        log_received_table(table, "watch");
    }
    co_return status;
}

awaitable<store_answer_status> store_reader::watch_once(http::connection_policy policy, bool& abandoned)
{
    using namespace asio::experimental::awaitable_operators;
    const auto first = co_await (read_changes(watches_.wait(), watches_.timeout(), policy) ||
                                 watch_abandoned_.async_wait(asio::as_tuple(asio::use_awaitable)));
    abandoned = first.index() == 1;
    co_return abandoned ? store_answer_status::refused : std::get<0>(first);
}

awaitable<void> store_reader::watch_loop()
{
    auto policy = http::connection_policy::pooled;
    duration watch_back_off = initial_watch_back_off;
    bool listed = false;
    time_point last_end;
    for (;;) {
        const bool without_state = state_.entries().revision() == state_revision{};
        const bool expects_state = expects_state_from_peers(boot_clock::now());
        if (expects_state || !(role_().watches || without_state)) {
            listed = state_.entries().revision() > state_revision{};
            co_await sleep_for(role_check_interval);
            continue;
        }
        if (!listed)
            listed = co_await list_state();
        store_answer_status status = store_answer_status::refused;
        bool abandoned = false;
        if (listed)
            status = co_await watch_once(policy, abandoned);
        policy = status == store_answer_status::ok ? http::connection_policy::pooled
                                                   : http::connection_policy::fresh;
        if (abandoned)
            continue;
        if (status == store_answer_status::ok) {
            watch_back_off = initial_watch_back_off;
            const time_point now = boot_clock::now();
            if (now - last_end < min_watch_interval)
                co_await sleep_for(min_watch_interval - (now - last_end));
            last_end = boot_clock::now();
            continue;
        }
        if (status == store_answer_status::history_lost || status == store_answer_status::malformed) {
            log::info("watch_restarted",
                      {{"after_revision", fmt::to_string(state_.entries().revision().number)}});
            listed = false;
        }
        co_await sleep_for(watch_back_off);
        watch_back_off = std::min(max_watch_back_off, watch_back_off * 2);
    }
}

} // namespace limpetlock::gateway
