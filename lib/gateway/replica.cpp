#include <limpetlock/gateway/replica.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace limpetlock::gateway {

bool replica::apply(state_entry it)
{
    const auto found = entries_.find(it.key);
    if (found != entries_.end() && found->second.revision >= it.revision)
        return false;
    if (found != entries_.end() && found->second.removed)
        --removed_;
    if (it.removed) {
        it.value.clear();
        ++removed_;
    }
    std::string key = it.key;
    entries_.insert_or_assign(std::move(key), std::move(it));
    trim_removed();
    return true;
}

bool replica::apply_listing(std::string_view prefix, std::vector<state_entry> entries, std::int64_t revision)
{
    bool changed = false;
    std::set<std::string, std::less<>> listed;
    for (auto& it : entries) {
        listed.insert(it.key);
        changed = apply(std::move(it)) || changed;
    }
    std::vector<std::string> missing;
    for (const auto* it : entries_under(prefix))
        if (it->revision < revision && !listed.contains(it->key))
            missing.push_back(it->key);
    for (auto& key : missing)
        changed = apply({std::move(key), {}, revision, true}) || changed;
    return changed;
}

void replica::advance_revision(std::int64_t revision)
{
    revision_ = std::max(revision_, revision);
}

const state_entry* replica::find(std::string_view key) const
{
    const auto it = entries_.find(key);
    return it == entries_.end() || it->second.removed ? nullptr : &it->second;
}

std::vector<const state_entry*> replica::entries_under(std::string_view prefix) const
{
    std::vector<const state_entry*> out;
    for (auto it = entries_.lower_bound(prefix); it != entries_.end() && it->first.starts_with(prefix); ++it)
        if (!it->second.removed)
            out.push_back(&it->second);
    return out;
}

std::vector<state_entry> replica::changes_after(std::int64_t revision, bool& whole) const
{
    whole = revision < trimmed_to_;
    std::vector<state_entry> out;
    for (const auto& [key, it] : entries_)
        if (whole ? !it.removed : it.revision > revision)
            out.push_back(it);
    return out;
}

void replica::trim_removed()
{
    if (removed_ <= max_removed)
        return;
    auto oldest = entries_.end();
    for (auto it = entries_.begin(); it != entries_.end(); ++it)
        if (it->second.removed && (oldest == entries_.end() || it->second.revision < oldest->second.revision))
            oldest = it;
    if (oldest == entries_.end())
        return;
    trimmed_to_ = std::max(trimmed_to_, oldest->second.revision);
    entries_.erase(oldest);
    --removed_;
}

} // namespace limpetlock::gateway
