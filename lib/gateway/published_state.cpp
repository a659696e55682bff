#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/support/log.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::gateway {

published_state::published_state(const platform_codec& codec, callbacks calls)
    : codec_(codec), callbacks_(std::move(calls)),
      entries_([&codec](const state_entry& it) { return codec.decode_value_version(it.key, it.value); })
{
}

void published_state::merge(std::vector<state_entry> entries, time_point now)
{
    bool table_changed = false;
    bool endpoints_changed = false;
    bool evacuations_changed = false;
    for (auto& it : entries) {
        const bool is_table = it.key == codec_.table_key();
        const bool is_endpoint = it.key.starts_with(codec_.endpoint_prefix());
        const bool is_evacuation = follows_evacuations() && it.key.starts_with(codec_.evacuation_prefix());
        if (!is_table && !is_endpoint && !is_evacuation)
            continue;
        // A table that was only written again is neither decoded nor put in force again.
        const state_entry* const known = is_table ? entries_.find(it.key) : nullptr;
        const bool same =
            known != nullptr && known->revision == table_revision_ && !it.removed && known->value == it.value;
        const state_revision revision = it.revision;
        const bool newer = entries_.apply(std::move(it));
        if (newer && same)
            table_revision_ = revision;
        table_changed = table_changed || (newer && is_table && !same);
        endpoints_changed = endpoints_changed || (newer && is_endpoint);
        evacuations_changed = evacuations_changed || (newer && is_evacuation);
    }
    // First, so that endpoints of an evacuated domain are known as such from the start.
    if (evacuations_changed)
        update_evacuations(now);
    if (table_changed)
        update_table(now);
    if (endpoints_changed)
        update_endpoints(now);
}

bool published_state::merge_changes(std::vector<state_entry> entries, state_revision after,
                                    state_revision revision, time_point now)
{
    std::erase_if(entries, [this](const state_entry& it) { return entries_.is_known_removed(it); });
    merge(std::move(entries), now);
    return entries_.record_changes(after, revision);
}

bool published_state::merge_peer_state(peer_state from_peer, time_point now)
{
    const state_revision revision = from_peer.revision;
    auto& entries = from_peer.entries;
    if (!from_peer.has_evacuations)
        evacuations_missing_ = follows_evacuations();
    if (!from_peer.whole)
        return merge_changes(std::move(entries), from_peer.after, revision, now);
    if (from_peer.has_evacuations)
        apply_evacuation_listing(entries, revision, now);
    apply_listing(entries, revision, now);
    std::erase_if(entries, [this](const state_entry& it) { return it.key != codec_.table_key(); });
    merge(std::move(entries), now);
    record_listing(revision);
    return true;
}

void published_state::apply_listing(std::vector<state_entry> entries, state_revision revision, time_point now)
{
    std::erase_if(entries,
                  [this](const state_entry& it) { return !it.key.starts_with(codec_.endpoint_prefix()); });
    if (entries_.apply_listing(codec_.endpoint_prefix(), std::move(entries), revision))
        update_endpoints(now);
}

void published_state::apply_evacuation_listing(std::vector<state_entry> entries, state_revision revision,
                                               time_point now)
{
    if (!follows_evacuations())
        return;
    std::erase_if(entries,
                  [this](const state_entry& it) { return !it.key.starts_with(codec_.evacuation_prefix()); });
    // An order that was removed before wasn't known here, so neither was its removal.
    if (std::exchange(evacuations_missing_, false))
        entries_.record_unknown_removals(revision);
    if (entries_.apply_listing(codec_.evacuation_prefix(), std::move(entries), revision))
        update_evacuations(now);
}

void published_state::update_evacuations(time_point now)
{
    std::vector<evacuation_order> orders;
    for (const auto* it : entries_.entries_under(codec_.evacuation_prefix())) {
        std::string reason;
        auto domain = codec_.decode_evacuation(it->key, reason);
        if (domain)
            orders.push_back({std::move(*domain), it->revision});
        else
            log::warning("evacuation_rejected", {{"key_bytes", fmt::to_string(it->key.size())},
                                                 {"revision", fmt::to_string(it->revision.number)},
                                                 {"reason", reason}});
    }
    report_evacuations(evacuations_.set_orders(orders, era_, now), now);
}

void published_state::report_evacuations(const evacuation_changes& changes, time_point now)
{
    const auto log_order = [this, now](std::string_view event, const evacuation_order& it) {
        log::info(event, {{"failure_domain", it.domain},
                          {"revision", fmt::to_string(it.revision.number)},
                          {"era", fmt::to_string(it.revision.era)},
                          {"state_revision", fmt::to_string(entries_.revision().number)},
                          {"state_age_ms", fmt::to_string(proof_age(now).value_or(duration(-1)).count())},
                          {"in_force", fmt::to_string(evacuations_.count())}});
    };
    for (const auto& it : changes.begun)
        log_order("evacuation_in_force", it);
    for (const auto& it : changes.ended)
        log_order("evacuation_ended", it);
    if (!changes.empty())
        callbacks_.on_evacuations(changes);
}

void published_state::update_table(time_point now)
{
    const state_entry* const it = entries_.find(codec_.table_key());
    if (it == nullptr)
        return;
    std::string reason;
    auto table = codec_.decode_table(it->value, reason);
    if (!table) {
        log::error("table_rejected", {{"revision", fmt::to_string(it->revision.number)}, {"reason", reason}});
        return;
    }
    log::info("table_in_force",
              {{"version", fmt::to_string(table->version)},
               {"revision", fmt::to_string(it->revision.number)},
               {"era", fmt::to_string(it->revision.era)},
               {"bytes", fmt::to_string(it->value.size())},
               {"routes", fmt::to_string(table->routes.size())},
               {"keys", fmt::to_string(table->teams_by_key.size())},
               {"proof_age_ms", fmt::to_string(proof_age(now).value_or(duration(-1)).count())}});
    table_revision_ = it->revision;
    table_ = std::make_shared<const routing_table>(std::move(*table));
    callbacks_.on_table(table_);
}

/// Returns all endpoints, and adds to `written` those whose entry is another one than before. An entry that
/// was only read again, under another revision of a later era, isn't.
std::vector<endpoint> published_state::decode_entries(std::vector<endpoint>& written)
{
    std::vector<endpoint> out;
    std::map<std::string, decoded_entry, std::less<>> next;
    for (const auto* it : entries_.entries_under(codec_.endpoint_prefix())) {
        const auto found = decoded_.find(it->key);
        decoded_entry entry;
        if (found != decoded_.end() && found->second.revision == it->revision) {
            entry = std::move(found->second);
        } else {
            std::string reason;
            entry = {it->revision, codec_.decode_endpoint(it->key, it->value, reason), 0};
            if (!entry.decoded)
                log::warning("endpoint_entry_rejected", {{"key", it->key},
                                                         {"revision", fmt::to_string(it->revision.number)},
                                                         {"reason", reason}});
            if (entry.decoded) {
                endpoint& now_listed = *entry.decoded;
                entry.number = now_listed.entry_number;
                const bool same = found != decoded_.end() && found->second.decoded &&
                                  found->second.decoded->started_ms == now_listed.started_ms &&
                                  found->second.number == entry.number;
                if (!same)
                    written.push_back(now_listed);
                now_listed.cold_left = duration{0};
                now_listed.entry_number = 0;
            }
        }
        if (entry.decoded)
            out.push_back(*entry.decoded);
        next.emplace(it->key, std::move(entry));
    }
    decoded_ = std::move(next);
    return out;
}

namespace {

bool contains_id(const std::vector<endpoint>& list, const std::string& id)
{
    return std::any_of(list.begin(), list.end(), [&id](const endpoint& it) { return it.id == id; });
}

} // namespace

/// Adds endpoints whose entry was found to be removed within removal_grace, unless another endpoint now has
/// their address. There is no grace unless entries may have lapsed while the store was away (`unsettled`).
void published_state::retain_lapsed_endpoints(std::vector<endpoint>& next, bool unsettled, time_point now)
{
    const std::vector<endpoint> present = next;
    for (const auto& it : endpoints_) {
        if (contains_id(present, it.id)) {
            missing_since_.erase(it.id);
            continue;
        }
        const auto since = missing_since_.try_emplace(it.id, now).first;
        const bool reused = std::any_of(present.begin(), present.end(),
                                        [&it](const endpoint& other) { return other.address == it.address; });
        if (unsettled && !reused && now - since->second < removal_grace)
            next.push_back(it);
        else
            missing_since_.erase(since);
    }
}

void published_state::log_changes(const std::vector<endpoint>& next, bool unsettled) const
{
    for (const auto& it : next) {
        const auto old = std::find_if(endpoints_.begin(), endpoints_.end(),
                                      [&it](const endpoint& other) { return other.id == it.id; });
        if (old == endpoints_.end() || old->leaving != it.leaving)
            log::info("endpoint_known", {{"endpoint", it.id},
                                         {"pool", it.pool},
                                         {"address", fmt::format("{}:{}", it.address.host, it.address.port)},
                                         {"leaving", it.leaving ? "yes" : "no"},
                                         {"state_revision", fmt::to_string(entries_.revision().number)}});
    }
    for (const auto& it : endpoints_)
        if (!contains_id(next, it.id))
            log::info("endpoint_gone", {{"endpoint", it.id},
                                        {"pool", it.pool},
                                        {"store_unsettled", unsettled ? "yes" : "no"},
                                        {"state_revision", fmt::to_string(entries_.revision().number)}});
}

void published_state::update_endpoints(time_point now)
{
    const bool unsettled = availability_.may_have_lapsed(now);
    std::vector<endpoint> written;
    auto next = decode_entries(written);
    if (callbacks_.on_entries && !written.empty())
        callbacks_.on_entries(written);
    retain_lapsed_endpoints(next, unsettled, now);
    if (next == endpoints_)
        return;
    log_changes(next, unsettled);
    endpoints_ = std::move(next);
    callbacks_.on_endpoints(endpoints_);
}

void published_state::remove_lapsed_endpoints(time_point now)
{
    const bool settled = !availability_.may_have_lapsed(now);
    const bool due =
        std::any_of(missing_since_.begin(), missing_since_.end(),
                    [now, settled](const auto& it) { return settled || now - it.second >= removal_grace; });
    if (due)
        update_endpoints(now);
}

void published_state::record_store_answer(time_point at)
{
    if (const auto outage = availability_.record_answer(at))
        log::info("store_returned", {{"outage_ms", fmt::to_string(outage->count())}});
}

bool published_state::record_proof(const table_proof& proof)
{
    record_store_answer(proof.at);
    const bool same_era = proof.table_revision.era == table_revision_.era;
    const bool same_version = proof.table_version > 0 && proof.table_version == table_version();
    if (same_era ? proof.table_revision > table_revision_ : !same_version)
        return false;
    proven_at_ = proven_at_ ? std::max(*proven_at_, proof.at) : proof.at;
    return true;
}

bool published_state::is_newer_table(state_revision revision, std::int64_t version) const
{
    if (revision.era == table_revision_.era || version == 0 || version == table_version())
        return revision > table_revision_;
    return version > table_version();
}

void published_state::set_era(std::int64_t era, std::string_view source, time_point now)
{
    log::info("store_era", {{"era", fmt::to_string(era)},
                            {"before", fmt::to_string(era_)},
                            {"source", std::string(source)},
                            {"table_version", fmt::to_string(table_version())},
                            {"table_revision", fmt::to_string(table_revision_.number)},
                            {"state_revision", fmt::to_string(entries_.revision().number)}});
    if (era > era_ && era_ > 0) {
        era_began_ = now;
        // Entries that the copy lacks are written again by their endpoints, as after an outage.
        availability_.record_return(now);
    }
    era_ = era;
    era_learned_ = now;
}

bool published_state::record_store_era(std::int64_t era, time_point sent, time_point now)
{
    if (era < era_ && (sent <= era_learned_ || era == 0)) {
        log::warning("late_store_answer",
                     {{"era", fmt::to_string(era)}, {"known_era", fmt::to_string(era_)}});
        return false;
    }
    store_answered_at_ = now;
    if (era == era_)
        return true;
    if (era < era_) {
        log::error("era_disproved", {{"era", fmt::to_string(era)}, {"known_era", fmt::to_string(era_)}});
        entries_.return_to_era(era);
        if (table_revision_.era > era)
            table_revision_ = {0, era};
    }
    set_era(era, "store", now);
    return true;
}

bool published_state::record_peer_era(std::int64_t era, time_point now)
{
    if (era <= era_)
        return true;
    if (store_answered_at_ && now - *store_answered_at_ < store_answer_memory)
        return false;
    set_era(era, "peer", now);
    return true;
}

std::optional<duration> published_state::proof_age(time_point now) const
{
    if (!proven_at_)
        return std::nullopt;
    return now - *proven_at_;
}

} // namespace limpetlock::gateway
