#include <limpetlock/gateway/replica.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace limpetlock::gateway {

std::optional<value_version> replica::version_of(const state_entry& it) const
{
    if (it.removed)
        return it.last_version;
    return read_version_ ? read_version_(it) : std::nullopt;
}

/// The store of a later era may have an older value, until whoever wrote the lost one writes it again.
bool replica::is_newer(const state_entry& it, const state_entry& known) const
{
    if (it.revision.era == known.revision.era)
        return it.revision > known.revision;
    if (!it.removed && !known.removed && it.value == known.value)
        return it.revision.era > known.revision.era;
    const auto version = version_of(it);
    const auto known_version = version_of(known);
    if (version && known_version && *version != *known_version)
        return *version > *known_version;
    if (version && known_version && it.removed != known.removed)
        return it.removed;
    return it.revision.era > known.revision.era;
}

bool replica::apply(state_entry it)
{
    const auto found = entries_.find(it.key);
    const bool known = found != entries_.end();
    // A removal in an earlier era can't have removed the known value.
    if (known && it.removed && it.revision.era >= found->second.revision.era)
        it.last_version = std::max(it.last_version, version_of(found->second));
    if (known && !is_newer(it, found->second))
        return false;
    if (known && found->second.removed)
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

bool replica::apply_listing(std::string_view prefix, std::vector<state_entry> entries,
                            state_revision revision)
{
    bool changed = false;
    std::set<std::string, std::less<>> listed;
    const bool older_than_copy = revision < revision_;
    for (auto& it : entries) {
        listed.insert(it.key);
        if (older_than_copy && is_known_removed(it))
            continue;
        changed = apply(std::move(it)) || changed;
    }
    std::vector<std::string> missing;
    for (auto it = entries_.lower_bound(prefix); it != entries_.end() && it->first.starts_with(prefix);
         ++it) {
        const state_entry& known = it->second;
        const bool older = known.removed ? known.revision.era < revision.era : known.revision < revision;
        if (older && !listed.contains(known.key))
            missing.push_back(known.key);
    }
    for (auto& key : missing)
        changed = apply({std::move(key), {}, revision, true}) || changed;
    return changed;
}

void replica::return_to_era(std::int64_t era)
{
    for (auto& [key, it] : entries_)
        if (it.revision.era > era)
            it.revision = {0, era};
    revision_ = {};
    removals_known_after_ = {};
}

bool replica::record_changes(state_revision after, state_revision revision)
{
    if (revision_ < after)
        return false;
    revision_ = std::max(revision_, revision);
    return true;
}

void replica::record_listing(state_revision revision)
{
    if (revision <= revision_)
        return;
    record_unknown_removals(revision);
    revision_ = revision;
}

void replica::record_unknown_removals(state_revision revision)
{
    removals_known_after_ = std::max(removals_known_after_, revision);
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

std::vector<state_entry> replica::changes_after(state_revision revision, bool& whole) const
{
    whole = !knows_removals_after(revision);
    std::vector<state_entry> out;
    for (const auto& [key, it] : entries_)
        if (whole ? !it.removed : it.revision > revision || it.revision.era < revision.era)
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
    record_unknown_removals(oldest->second.revision);
    entries_.erase(oldest);
    --removed_;
}

} // namespace limpetlock::gateway
