#include <limpetlock/gateway/stated_limits.hpp>
#include <limpetlock/support/log.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace limpetlock::gateway {

namespace {

std::string limit_text(const std::optional<double>& max_rate)
{
    return max_rate ? fmt::format("{:g}", *max_rate) : std::string("none");
}

} // namespace

void stated_limits::set_endpoints(const std::vector<endpoint>& endpoints)
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
}

void stated_limits::record_answer(const std::string& endpoint_id, const answer_metadata& answer, bool genuine,
                                  time_point sent, time_point now)
{
    const auto listed = listed_.find(endpoint_id);
    if (listed == listed_.end() || answer.wrong_endpoint)
        return;
    if (answer.malformed_max_rate) {
        log::warning("endpoint_limit_rejected", {{"endpoint", endpoint_id}, {"reason", "malformed limit"}});
        return;
    }
    limit_statement it{endpoint_id, listed->second.started_ms, answer.max_rate, own_name_, now};
    if (!answer.max_rate) {
        if (!genuine || find(endpoint_id) == nullptr)
            return;
        it.at = sent;
    }
    update(std::move(it), now);
}

void stated_limits::update(limit_statement it, time_point now)
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

void stated_limits::merge(limit_statement it, time_point now)
{
    const auto listed = listed_.find(it.endpoint);
    if (listed != listed_.end() && listed->second.started_ms == it.started_ms && it.at <= now)
        update(std::move(it), now);
}

std::vector<limit_statement> stated_limits::statements_for_peers(time_point now, std::size_t max_statements)
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

const limit_statement* stated_limits::find(std::string_view endpoint_id) const
{
    const auto it = statements_.find(endpoint_id);
    return it == statements_.end() || !it->second.max_rate ? nullptr : &it->second;
}

std::string stated_limits::endpoint_at(const http::address& it) const
{
    const auto found = ids_.find(it);
    return found == ids_.end() ? std::string() : found->second;
}

std::size_t stated_limits::count() const
{
    return static_cast<std::size_t>(std::count_if(statements_.begin(), statements_.end(), [](const auto& it) {
        return it.second.max_rate.has_value();
    }));
}

} // namespace limpetlock::gateway
