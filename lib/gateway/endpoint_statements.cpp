#include <limpetlock/gateway/endpoint_statements.hpp>
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
    const auto it = pauses_.find(endpoint_id);
    if (it == pauses_.end() || it->second.until <= now)
        return std::nullopt;
    return it->second.until;
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
    return std::any_of(pauses_.begin(), pauses_.end(),
                       [now](const auto& it) { return it.second.until > now; });
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
