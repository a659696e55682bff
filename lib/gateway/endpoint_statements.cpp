#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>
#include <limpetlock/support/log.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace limpetlock::gateway {

namespace {

std::string limit_text(const std::optional<double>& max_rate)
{
    return max_rate ? fmt::format("{:g}", *max_rate) : std::string("none");
}

} // namespace

void endpoint_statements::set_endpoints(const std::vector<endpoint>& endpoints)
{
    listed_.clear();
    ids_.clear();
    for (const auto& it : endpoints) {
        listed_.emplace(it.id, it);
        ids_.insert_or_assign(it.address, it.id);
    }
    std::erase_if(statements_, [this](const auto& it) {
        const auto found = listed_.find(it.first);
        return found == listed_.end() || found->second.started_ms != it.second.started_ms;
    });
    const auto restarted = [this](const auto& it) {
        const auto found = listed_.find(it.first);
        return found != listed_.end() && found->second.started_ms != it.second.started_ms;
    };
    std::erase_if(leavings_, restarted);
    std::erase_if(pauses_, restarted);
    std::erase_if(cold_, restarted);
}

void endpoint_statements::record_answer(const endpoint& from, const answer_metadata& answer, bool genuine,
                                        time_point sent, time_point now)
{
    const auto listed = listed_.find(from.id);
    if (listed != listed_.end() && listed->second.started_ms == from.started_ms)
        record_answer(from.id, answer, genuine, sent, now);
}

void endpoint_statements::record_answer(const std::string& endpoint_id, const answer_metadata& answer,
                                        bool genuine, time_point sent, time_point now)
{
    const auto listed = listed_.find(endpoint_id);
    if (listed == listed_.end() || answer.wrong_endpoint)
        return;
    const endpoint& from = listed->second;
    if (answer.leaving)
        record_leaving({from.id, from.started_ms, own_name_, now}, now);
    if (answer.retry_after || answer.malformed_retry_after)
        record_pause(from, answer, now);
    if (answer.cold_left || answer.malformed_cold_left)
        record_answered_cold(from, answer, sent, now);
    record_limit(from, answer, genuine, sent, now);
}

void endpoint_statements::record_limit(const endpoint& from, const answer_metadata& answer, bool genuine,
                                       time_point sent, time_point now)
{
    if (answer.malformed_max_rate) {
        log::warning("endpoint_limit_rejected", {{"endpoint", from.id}, {"reason", "malformed limit"}});
        return;
    }
    limit_statement it{from.id, from.started_ms, answer.max_rate, own_name_, now};
    if (!answer.max_rate) {
        if (!genuine || find(from.id) == nullptr)
            return;
        it.at = sent;
    }
    update(std::move(it), now);
}

void endpoint_statements::record_leaving(leaving_statement it, time_point now)
{
    const auto known = leavings_.find(it.endpoint);
    if (known != leavings_.end() && (known->second.reporter == own_name_ || it.reporter != own_name_))
        return;
    ++version_;
    log::info("endpoint_states_leaving", {{"endpoint", it.endpoint},
                                          {"pool", listed_.at(it.endpoint).pool},
                                          {"started_ms", fmt::to_string(it.started_ms)},
                                          {"reporter", it.reporter},
                                          {"listed_leaving", listed_.at(it.endpoint).leaving ? "yes" : "no"},
                                          {"age_ms", fmt::to_string((now - it.at).count())}});
    std::string id = it.endpoint;
    leavings_.insert_or_assign(std::move(id), std::move(it));
    if (on_leaving_)
        on_leaving_();
}

void endpoint_statements::record_pause(const endpoint& from, const answer_metadata& answer, time_point now)
{
    const duration stated = answer.retry_after.value_or(default_pause);
    const duration kept = std::min(stated, max_pause);
    auto& it = pauses_[from.id];
    const bool longer = now + kept > it.until;
    if (longer)
        it = {from.started_ms, now + kept};
    log::info("endpoint_pauses", {{"endpoint", from.id},
                                  {"pool", from.pool},
                                  {"stated_ms", fmt::to_string(stated.count())},
                                  {"malformed", answer.malformed_retry_after ? "yes" : "no"},
                                  {"left_ms", fmt::to_string((it.until - now).count())}});
}

std::optional<time_point> endpoint_statements::paused_until(std::string_view endpoint_id,
                                                            time_point now) const
{
    std::optional<time_point> out;
    const auto it = pauses_.find(endpoint_id);
    if (it != pauses_.end() && it->second.until > now)
        out = it->second.until;
    if (const auto cold = cold_until(endpoint_id, now))
        if (!coldness_of(listed_.find(endpoint_id)->second.pool)->terms)
            out = std::max(*cold, out.value_or(*cold));
    return out;
}

void endpoint_statements::set_cold_pools(std::map<std::string, pool_coldness, std::less<>> pools)
{
    for (auto& [name, it] : pools)
        it.max_time = std::min(it.max_time, max_cold_time);
    cold_pools_ = std::move(pools);
}

const pool_coldness* endpoint_statements::coldness_of(const std::string& pool) const
{
    const auto it = cold_pools_.find(pool);
    return it == cold_pools_.end() ? nullptr : &it->second;
}

std::optional<time_point> endpoint_statements::cold_until(std::string_view endpoint_id, time_point now) const
{
    const auto it = cold_.find(endpoint_id);
    const auto listed = listed_.find(endpoint_id);
    if (it == cold_.end() || it->second.until <= now || listed == listed_.end() ||
        coldness_of(listed->second.pool) == nullptr)
        return std::nullopt;
    return it->second.until;
}

std::size_t endpoint_statements::count_cold(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        cold_.begin(), cold_.end(), [this, now](const auto& it) { return is_cold(it.first, now); }));
}

std::optional<sending_limit> endpoint_statements::limit_of(std::string_view endpoint_id, time_point now) const
{
    std::optional<sending_limit> out;
    if (const auto* const stated = find(endpoint_id))
        out = {*stated->max_rate, permit_issuer::max_saved, permit_lifetime, false};
    if (!cold_until(endpoint_id, now))
        return out;
    const auto terms = coldness_of(listed_.find(endpoint_id)->second.pool)->terms;
    if (!terms)
        return out;
    return sending_limit{out ? std::min(out->max_rate, terms->max_rate) : terms->max_rate, terms->max_saved,
                         cold_permit_lifetime, true};
}

void endpoint_statements::record_entry(const endpoint& it, time_point now)
{
    const auto known = cold_.find(it.id);
    const bool is_known = known != cold_.end() && known->second.started_ms == it.started_ms;
    if (it.cold_left <= duration{0} && !(is_known && known->second.until > now))
        return;
    cold_statement next{
        it.id, it.started_ms, now + std::clamp(it.cold_left, duration{0}, max_cold_time), {}, 0, now};
    if (is_known && now - known->second.at < entry_delay) {
        if (next.until <= known->second.until)
            return;
        // A statement of an answer is younger than this entry as long as the entry may have been on its way.
        next.at = known->second.at + duration(1);
    }
    update_cold(std::move(next), it.pool, "entry", now);
}

void endpoint_statements::record_idleness(const endpoint& it, time_point now)
{
    if (const auto* const pool = coldness_of(it.pool))
        update_cold({it.id, it.started_ms, now + pool->max_time, {}, 0, now}, it.pool, "evacuation", now);
}

void endpoint_statements::record_answered_cold(const endpoint& from, const answer_metadata& answer,
                                               time_point sent, time_point now)
{
    if (answer.malformed_cold_left) {
        log::warning("endpoint_cold_rejected", {{"endpoint", from.id}, {"reason", "malformed time"}});
        return;
    }
    const duration left = std::clamp(*answer.cold_left, duration{0}, max_cold_time);
    // As with limits, an answer that was on its way when a coldness was stated doesn't end it.
    const time_point at = left > duration{0} ? now : sent;
    if (left > duration{0} || is_cold(from.id, now))
        update_cold({from.id, from.started_ms, now + left, own_name_, to_ms(now), at}, from.pool, "answer",
                    now);
}

/// The newest statement holds.
void endpoint_statements::update_cold(cold_statement it, const std::string& pool, std::string_view source,
                                      time_point now)
{
    const pool_coldness* const limits = coldness_of(pool);
    const auto known = cold_.find(it.endpoint);
    const bool is_known = known != cold_.end() && known->second.started_ms == it.started_ms;
    if (limits == nullptr || (is_known && known->second.at >= it.at))
        return;
    it.until = std::min(it.until, now + limits->max_time);
    const bool was_cold = is_known && known->second.until > now;
    const bool becomes_cold = it.until > now;
    if (was_cold != becomes_cold) {
        ++version_;
        log::info(becomes_cold ? "endpoint_cold" : "endpoint_warm",
                  {{"endpoint", it.endpoint},
                   {"pool", pool},
                   {"left_ms", fmt::to_string((it.until - now).count())},
                   {"source", std::string(source)},
                   {"reporter", it.reporter.empty() ? "-" : it.reporter},
                   {"age_ms", fmt::to_string((now - it.at).count())},
                   {"max_rate", limits->terms ? fmt::format("{:.2f}", limits->terms->max_rate) : "0"}});
    }
    std::string id = it.endpoint;
    cold_.insert_or_assign(std::move(id), std::move(it));
}

/// The time left is counted anew from the arrival of each message, so a statement that comes back by another
/// way must not replace the same one: it would never end.
void endpoint_statements::merge(cold_statement it, time_point now)
{
    const auto listed = listed_.find(it.endpoint);
    if (listed == listed_.end() || listed->second.started_ms != it.started_ms || it.at > now ||
        it.reporter.empty())
        return;
    const auto known = cold_.find(it.endpoint);
    if (known != cold_.end() && known->second.reporter == it.reporter && known->second.number == it.number)
        return;
    update_cold(std::move(it), listed->second.pool, "peer", now);
}

std::vector<cold_statement> endpoint_statements::cold_for_peers(time_point now, std::size_t max_statements)
{
    std::erase_if(cold_, [now](const auto& it) { return now - it.second.until >= end_memory; });
    std::vector<cold_statement> out;
    auto it = cold_.upper_bound(last_told_cold_);
    for (std::size_t n = 0; n < cold_.size() && out.size() < max_statements; ++n) {
        if (it == cold_.end())
            it = cold_.begin();
        last_told_cold_ = it->first;
        // Entries come with the published state, and each instance sees the end of an evacuation itself.
        if (!it->second.reporter.empty())
            out.push_back(it->second);
        ++it;
    }
    return out;
}

void endpoint_statements::record_return(const endpoint& it, time_point now)
{
    auto& known = pauses_[it.id];
    if (known.until < now)
        known = {it.started_ms, now};
}

double endpoint_statements::return_share(std::string_view endpoint_id, time_point now) const
{
    constexpr double min_share = 0.1;
    const auto it = pauses_.find(endpoint_id);
    if (it == pauses_.end() || it->second.until > now)
        return 1;
    const double passed = static_cast<double>((now - it->second.until).count());
    return std::clamp(passed / static_cast<double>(return_time.count()), min_share, 1.0);
}

bool endpoint_statements::any_paused(time_point now) const
{
    const auto holds = [now](const auto& it) { return it.second.until > now; };
    return std::any_of(pauses_.begin(), pauses_.end(), holds) ||
           std::any_of(cold_.begin(), cold_.end(), holds);
}

void endpoint_statements::mark_leaving(std::vector<endpoint>& list) const
{
    std::map<std::string, std::vector<endpoint*>, std::less<>> only_by_peers;
    std::set<std::string, std::less<>> pools_with_others;
    for (auto& it : list) {
        const auto found = leavings_.find(it.id);
        const bool stated = found != leavings_.end() && found->second.started_ms == it.started_ms;
        if (stated && found->second.reporter == own_name_)
            it.leaving = true;
        if (it.leaving || it.evacuated)
            continue;
        if (stated)
            only_by_peers[it.pool].push_back(&it);
        else
            pools_with_others.insert(it.pool);
    }
    for (auto& [pool, endpoints] : only_by_peers)
        if (pools_with_others.contains(pool))
            for (auto* it : endpoints)
                it->leaving = true;
}

void endpoint_statements::update(limit_statement it, time_point now)
{
    const auto known = statements_.find(it.endpoint);
    if (known != statements_.end() && known->second.at >= it.at)
        return;
    const auto previous = known == statements_.end() ? std::nullopt : known->second.max_rate;
    if (previous != it.max_rate) {
        ++version_;
        log::info("endpoint_limit", {{"endpoint", it.endpoint},
                                     {"pool", listed_.at(it.endpoint).pool},
                                     {"limit", limit_text(it.max_rate)},
                                     {"before", limit_text(previous)},
                                     {"reporter", it.reporter},
                                     {"age_ms", fmt::to_string((now - it.at).count())}});
    }
    std::string id = it.endpoint;
    statements_.insert_or_assign(std::move(id), std::move(it));
}

void endpoint_statements::merge(limit_statement it, time_point now)
{
    const auto listed = listed_.find(it.endpoint);
    if (listed != listed_.end() && listed->second.started_ms == it.started_ms && it.at <= now)
        update(std::move(it), now);
}

void endpoint_statements::merge(leaving_statement it, time_point now)
{
    const auto listed = listed_.find(it.endpoint);
    if (listed != listed_.end() && listed->second.started_ms == it.started_ms && it.at <= now)
        record_leaving(std::move(it), now);
}

std::vector<leaving_statement> endpoint_statements::leavings_for_peers(time_point now,
                                                                       std::size_t max_statements)
{
    std::erase_if(leavings_, [this, now](const auto& it) {
        return !listed_.contains(it.first) && now - it.second.at >= leaving_memory;
    });
    std::erase_if(pauses_, [now](const auto& it) { return now - it.second.until >= return_time; });
    std::vector<leaving_statement> out;
    auto it = leavings_.upper_bound(last_told_leaving_);
    while (out.size() < std::min(max_statements, leavings_.size())) {
        if (it == leavings_.end())
            it = leavings_.begin();
        out.push_back(it->second);
        last_told_leaving_ = it->first;
        ++it;
    }
    return out;
}

std::vector<limit_statement> endpoint_statements::statements_for_peers(time_point now,
                                                                       std::size_t max_statements)
{
    std::erase_if(statements_,
                  [now](const auto& it) { return !it.second.max_rate && now - it.second.at >= end_memory; });
    std::vector<limit_statement> out;
    auto it = statements_.upper_bound(last_told_);
    while (out.size() < std::min(max_statements, statements_.size())) {
        if (it == statements_.end())
            it = statements_.begin();
        out.push_back(it->second);
        last_told_ = it->first;
        ++it;
    }
    return out;
}

const limit_statement* endpoint_statements::find(std::string_view endpoint_id) const
{
    const auto it = statements_.find(endpoint_id);
    return it == statements_.end() || !it->second.max_rate ? nullptr : &it->second;
}

std::string endpoint_statements::endpoint_at(const http::address& it) const
{
    const auto found = ids_.find(it);
    return found == ids_.end() ? std::string() : found->second;
}

const endpoint* endpoint_statements::listed(std::string_view endpoint_id) const
{
    const auto found = listed_.find(endpoint_id);
    return found == listed_.end() ? nullptr : &found->second;
}

std::size_t endpoint_statements::count() const
{
    return static_cast<std::size_t>(std::count_if(statements_.begin(), statements_.end(), [](const auto& it) {
        return it.second.max_rate.has_value();
    }));
}

} // namespace limpetlock::gateway
