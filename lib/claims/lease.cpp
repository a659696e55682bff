#include <limpetlock/claims/lease.hpp>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace limpetlock::claims {

lease::lease(std::string name, std::int64_t incarnation, claims_section section)
    : name_(std::move(name)), incarnation_(incarnation), map_(std::move(section))
{
}

std::int64_t lease::start_round(time_point now)
{
    const auto lease_time = map_.section().lease_time;
    while (!rounds_.empty() && rounds_.front().sent + lease_time <= now)
        rounds_.pop_front();
    rounds_.push_back({++sequence_, now});
    return sequence_;
}

bool lease::record_ack(std::string_view witness, std::int64_t witness_incarnation, const heartbeat_ack& ack,
                       time_point now)
{
    record_incarnation(witness, witness_incarnation);
    if (superseded_)
        return refuse("superseded by a newer incarnation");
    if (!map_.contains(witness))
        return refuse("not a claim owner");
    auto& from = votes_.find(witness)->second;
    if (witness_incarnation < from.incarnation)
        return refuse("a newer incarnation of the witness was seen");
    const auto it = std::find_if(rounds_.begin(), rounds_.end(),
                                 [&](const auto& sent) { return sent.sequence == ack.sequence; });
    if (it == rounds_.end() || to_ms(it->sent) != ack.sent_ms)
        return refuse("no such heartbeat within the lease time");
    from.acknowledged = from.acknowledged ? std::max(*from.acknowledged, it->sent) : it->sent;
    if (!ack.supports)
        return refuse("the witness does not support the lease");
    if (held_since_ && now >= expires_)
        held_since_.reset();
    from.supported = from.supported ? std::max(*from.supported, it->sent) : it->sent;
    const auto end = majority_end();
    if (!end || now >= *end)
        return true;
    expires_ = *end;
    if (!held_since_)
        held_since_ = now;
    if (!last_unanimous_)
        last_unanimous_ = now;
    last_unanimous_ = std::max(*last_unanimous_, unanimous_end(&vote::supported) - map_.section().lease_time);
    return true;
}

void lease::record_incarnation(std::string_view name, std::int64_t incarnation)
{
    if (name == name_ && incarnation > incarnation_)
        supersede();
    auto it = votes_.find(name);
    if (it == votes_.end())
        it = votes_.emplace(std::string(name), vote{}).first;
    if (incarnation <= it->second.incarnation)
        return;
    // The votes of a replaced witness no longer count, because its replacement may support another
    // incarnation of this owner.
    it->second = {incarnation, std::nullopt, std::nullopt};
    if (!held_since_)
        return;
    const auto end = majority_end();
    expires_ = end ? std::min(expires_, *end) : time_point{};
}

void lease::supersede()
{
    superseded_ = true;
    held_since_.reset();
    expires_ = {};
}

void lease::reconfigure(claims_section section)
{
    const auto& old = map_.section();
    const bool same = old.owners == section.owners && old.lease_time == section.lease_time;
    map_ = owner_map(std::move(section));
    if (same)
        return;
    rounds_.clear();
    for (auto& [name, it] : votes_)
        it.supported = it.acknowledged = std::nullopt;
    held_since_.reset();
    last_unanimous_.reset();
    expires_ = {};
}

duration lease::remaining(time_point now) const
{
    return held(now) ? expires_ - now : duration{0};
}

lease_state lease::state(time_point now) const
{
    if (superseded_)
        return {};
    lease_state it;
    it.acknowledged_until = unanimous_end(&vote::acknowledged);
    if (!held_since_ || now >= expires_)
        return it;
    it.held_since = held_since_;
    it.expires = expires_;
    it.unanimous_until = unanimous_end(&vote::supported);
    it.last_unanimous = last_unanimous_.value_or(time_point{});
    return it;
}

bool lease::refuse(std::string_view reason)
{
    refusal_ = reason;
    return false;
}

std::optional<time_point> lease::quorum_end(std::size_t votes, std::optional<time_point> vote::*sent) const
{
    std::vector<time_point> times;
    for (const auto& [name, it] : votes_)
        if (it.*sent && map_.contains(name))
            times.push_back(*(it.*sent));
    if (votes == 0 || times.size() < votes)
        return std::nullopt;
    const auto nth = times.begin() + static_cast<std::ptrdiff_t>(votes - 1);
    std::nth_element(times.begin(), nth, times.end(), std::greater<>());
    return *nth + map_.section().lease_time;
}

std::optional<time_point> lease::majority_end() const
{
    return quorum_end(map_.majority(), &vote::supported);
}

time_point lease::unanimous_end(std::optional<time_point> vote::*sent) const
{
    return quorum_end(map_.section().owners.size(), sent).value_or(time_point{});
}

} // namespace limpetlock::claims
