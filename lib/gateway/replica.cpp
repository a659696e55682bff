#include <limpetlock/gateway/replica.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace limpetlock::gateway {

bool replica::apply(state_item it)
{
    const auto found = items_.find(it.key);
    if (found != items_.end() && found->second.revision >= it.revision)
        return false;
    if (found != items_.end() && found->second.removed)
        --removed_;
    if (it.removed) {
        it.value.clear();
        ++removed_;
    }
    std::string key = it.key;
    items_.insert_or_assign(std::move(key), std::move(it));
    forget_removed();
    return true;
}

bool replica::adopt_listing(std::string_view prefix, std::vector<state_item> items, std::int64_t revision)
{
    bool changed = false;
    std::set<std::string, std::less<>> listed;
    for (auto& it : items) {
        listed.insert(it.key);
        changed = apply(std::move(it)) || changed;
    }
    std::vector<std::string> gone;
    for (const auto* it : under(prefix))
        if (it->revision < revision && !listed.contains(it->key))
            gone.push_back(it->key);
    for (auto& key : gone)
        changed = apply({std::move(key), {}, revision, true}) || changed;
    return changed;
}

void replica::complete_to(std::int64_t revision)
{
    revision_ = std::max(revision_, revision);
}

const state_item* replica::find(std::string_view key) const
{
    const auto it = items_.find(key);
    return it == items_.end() || it->second.removed ? nullptr : &it->second;
}

std::vector<const state_item*> replica::under(std::string_view prefix) const
{
    std::vector<const state_item*> out;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it)
        if (!it->second.removed)
            out.push_back(&it->second);
    return out;
}

std::vector<state_item> replica::changes_after(std::int64_t revision, bool& whole) const
{
    whole = revision < forgotten_to_;
    std::vector<state_item> out;
    for (const auto& [key, it] : items_)
        if (whole ? !it.removed : it.revision > revision)
            out.push_back(it);
    return out;
}

void replica::forget_removed()
{
    if (removed_ <= max_removed)
        return;
    auto oldest = items_.end();
    for (auto it = items_.begin(); it != items_.end(); ++it)
        if (it->second.removed && (oldest == items_.end() || it->second.revision < oldest->second.revision))
            oldest = it;
    if (oldest == items_.end())
        return;
    forgotten_to_ = std::max(forgotten_to_, oldest->second.revision);
    items_.erase(oldest);
    --removed_;
}

} // namespace limpetlock::gateway
