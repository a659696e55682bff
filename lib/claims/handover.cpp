#include <limpetlock/claims/handover.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::claims {

bool handover_keeper::keep(handover records, duration key_lifetime, time_point now)
{
    if (!records.sealed)
        return false;
    const auto it = kept_.find(records.owner);
    if (it != kept_.end() && it->second.records.incarnation >= records.incarnation)
        return false;
    auto owner = records.owner;
    kept_[std::move(owner)] = {std::move(records), now + key_lifetime, 0};
    return true;
}

handover handover_keeper::answer_pull(witness& own_witness, std::string_view owner, std::int64_t successor,
                                      time_point now)
{
    expire(now);
    const auto predecessor = own_witness.confirm_predecessor(owner, successor);
    handover reply{std::string(owner), predecessor, false, 0, {}, 0};
    const auto it = kept_.find(owner);
    if (it == kept_.end() || it->second.records.incarnation != predecessor)
        return reply;
    auto& successor_incarnation = it->second.successor_incarnation;
    if (successor_incarnation != 0 && successor_incarnation != successor)
        return reply;
    successor_incarnation = successor;
    return it->second.records;
}

void handover_keeper::expire(time_point now)
{
    for (auto it = kept_.begin(); it != kept_.end();)
        it = it->second.expires <= now ? kept_.erase(it) : std::next(it);
}

handover_collector::handover_collector(std::string name, std::int64_t incarnation, owner_map map)
    : name_(std::move(name)), incarnation_(incarnation), map_(std::move(map))
{
}

void handover_collector::record_reply(std::string_view witness, const handover& reply)
{
    if (reply.owner != name_ || reply.incarnation >= incarnation_)
        return;
    if (witness == name_ || !map_.contains(witness))
        return;
    predecessors_[std::string(witness)] = reply.incarnation;
    if (reply.sealed)
        records_ = reply;
}

std::optional<handover> handover_collector::accepted() const
{
    if (!records_)
        return std::nullopt;
    const auto confirmed = std::count_if(predecessors_.begin(), predecessors_.end(),
                                         [&](const auto& it) { return it.second == records_->incarnation; });
    if (static_cast<std::size_t>(confirmed) < map_.predecessor_quorum())
        return std::nullopt;
    return records_;
}

std::string handover_collector::reason() const
{
    if (!records_)
        return "no peer keeps sealed records";
    if (!accepted())
        return "too few owners confirm that no incarnation came in between";
    return "confirmed";
}

} // namespace limpetlock::claims
