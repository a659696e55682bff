#include <limpetlock/claims/witness.hpp>

#include <utility>

namespace limpetlock::claims {

witness::witness(claims_section section, time_point start)
    : map_(std::move(section)), waiting_since_(start), last_call_(start), no_support_until_(start)
{
}

bool witness::support(std::string_view name, std::int64_t incarnation, std::int64_t claims_number,
                      time_point now)
{
    update(now);
    auto& it = find(name);
    if (incarnation < it.highest)
        return refuse("a newer incarnation was seen");
    it.highest = incarnation;
    if (!map_.contains(name))
        return refuse("not a claim owner");
    if (claims_number != map_.section().claims_number)
        return refuse("another claims number is in force here");
    if (now < no_support_until_)
        return refuse("the claims section has just changed");
    if (retired_)
        return refuse("this process has been replaced");
    if (!eligible_)
        return refuse("this witness is not eligible");
    const auto separation = witness_separation(map_.section().lease_time);
    if (it.supported != 0 && it.supported != incarnation && now - it.supported_at < separation)
        return refuse("another incarnation was supported within the separation time");
    if (it.supported != incarnation)
        it.predecessor = std::exchange(it.supported, incarnation);
    it.supported_at = now;
    return true;
}

void witness::update_own_lease(const lease_state& own_lease, time_point now)
{
    update(now);
    if (own_lease_.held_since && own_lease.held_since != own_lease_.held_since)
        restart_wait(now);
    own_lease_ = own_lease;
}

std::int64_t witness::confirm_predecessor(std::string_view name, std::int64_t incarnation)
{
    auto& it = find(name);
    if (incarnation < it.highest)
        return 0;
    it.highest = incarnation;
    return it.supported == incarnation ? it.predecessor : it.supported;
}

void witness::reconfigure(claims_section section, time_point now)
{
    const auto& old = map_.section();
    if (old.owners != section.owners || old.lease_time != section.lease_time)
        no_support_until_ = now + witness_separation(old.lease_time);
    map_ = owner_map(std::move(section));
}

bool witness::eligible(time_point now)
{
    update(now);
    return eligible_;
}

bool witness::refuse(std::string_view reason)
{
    refusal_ = reason;
    return false;
}

witness::entry& witness::find(std::string_view name)
{
    const auto it = entries_.find(name);
    if (it != entries_.end())
        return it->second;
    return entries_.emplace(std::string(name), entry{}).first->second;
}

void witness::restart_wait(time_point now)
{
    eligible_ = false;
    waiting_since_ = now;
    own_lease_ = {};
}

void witness::update(time_point now)
{
    const auto lease_time = map_.section().lease_time;
    const bool suspended = now - last_call_ > lease_time;
    const bool lost = own_lease_.held_since && !own_lease_.held(now);
    last_call_ = now;
    if (suspended || lost)
        restart_wait(now);
    const bool lease_established = own_lease_.held_for(now) >= witness_separation(lease_time);
    const bool waited = now - waiting_since_ >= cold_start_wait(lease_time);
    if (lease_established || (waited && now < own_lease_.acknowledged_until))
        eligible_ = true;
}

} // namespace limpetlock::claims
