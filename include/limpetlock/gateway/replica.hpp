/// \file
/// A read-only copy of the platform's published state. Entries carry the revision of their last change, so
/// updates of several sources can be applied in any order. Revisions of different eras don't tell which entry
/// is newer; the versions of the values do, where they state one.
#pragma once

#include <limpetlock/gateway/model.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

/// The newest known entry of each key, with the removed ones.
class replica {
public:
    /// Most removed entries that are kept, so that peers learn of the removal.
    static constexpr std::size_t max_removed = 4096;

    using version_reader = std::function<std::optional<value_version>(const state_entry&)>;

    /// `read_version` returns the version of an entry's value.
    explicit replica(version_reader read_version = {}) : read_version_(std::move(read_version)) {}

    /// Stores the entry if it is newer than the one of the same key. Returns whether it was.
    bool apply(state_entry it);

    /// Applies a full listing of a prefix as of `revision`: entries that it lacks are removed unless they
    /// changed later. Returns whether anything changed.
    bool apply_listing(std::string_view prefix, std::vector<state_entry> entries, state_revision revision);

    /// Records that every change after `after` and up to `revision` has been applied. Returns false if
    /// changes before `after` are missing, so that these changes don't complete the copy.
    bool record_changes(state_revision after, state_revision revision);

    /// Records that full listings of all prefixes as of the revision have been applied. What was removed
    /// between the former revision and that one remains unknown.
    void record_listing(state_revision revision);

    /// Records that removals up to the revision may be unknown, although later changes are complete.
    void record_unknown_removals(state_revision revision);

    /// Every change up to this revision has been applied; 0 before the first listing.
    state_revision revision() const { return revision_; }

    /// Returns the entry of a key; nullptr if there is none or it was removed.
    const state_entry* find(std::string_view key) const;
    /// Returns the entries that are not removed and whose key begins with the prefix, ordered by key.
    std::vector<const state_entry*> entries_under(std::string_view prefix) const;

    /// Whether the entry is older than this copy, which is complete up to a later revision and doesn't have
    /// it: it was removed, although the removal itself may be unknown.
    bool is_known_removed(const state_entry& it) const
    {
        return !it.removed && it.revision <= revision_ && find(it.key) == nullptr;
    }

    /// Whether every removal after the revision is known.
    bool knows_removals_after(state_revision revision) const { return revision >= removals_known_after_; }

    /// Returns the entries that changed after the revision, with removals, and those that are kept from an
    /// earlier era although the store has an older value. If removals of that time may be unknown, sets
    /// `whole` and returns all entries that are not removed.
    std::vector<state_entry> changes_after(state_revision revision, bool& whole) const;

    /// Takes entries of later eras as the first changes of this one, and every change as missing.
    void return_to_era(std::int64_t era);

    std::size_t size() const { return entries_.size(); }

private:
    bool is_newer(const state_entry& it, const state_entry& known) const;
    std::optional<value_version> version_of(const state_entry& it) const;

    /// Drops the removed entry with the lowest revision when more than max_removed are kept.
    void trim_removed();

    version_reader read_version_;
    std::map<std::string, state_entry, std::less<>> entries_;
    state_revision revision_;
    state_revision removals_known_after_; ///< removals up to this revision may be unknown or were dropped
    std::size_t removed_{0};              ///< number of removed entries that are kept
};

} // namespace limpetlock::gateway
