/// \file
/// A read-only copy of the platform's published state. Entries carry the revision of their last change, so
/// that copies of several sources merge in any order.
#pragma once

#include <limpetlock/gateway/model.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

class replica {
public:
    /// Removed entries that are kept, so that peers learn of the removal.
    static constexpr std::size_t max_removed = 4096;

    /// True when the entry is newer than the one that is held.
    bool apply(state_entry it);

    /// Takes a full listing of a prefix as of `revision`: entries that it lacks are removed unless they
    /// changed later. Returns whether anything changed.
    bool apply_listing(std::string_view prefix, std::vector<state_entry> entries, std::int64_t revision);

    /// Records that every change up to the revision is held.
    void advance_revision(std::int64_t revision);

    /// Every change up to this revision is held; 0 before the first listing.
    std::int64_t revision() const { return revision_; }

    const state_entry* find(std::string_view key) const;
    std::vector<const state_entry*> entries_under(std::string_view prefix) const;

    /// Entries that changed after the revision. `whole` is set when removals of that time may be forgotten;
    /// then these are all entries.
    std::vector<state_entry> changes_after(std::int64_t revision, bool& whole) const;

    std::size_t size() const { return entries_.size(); }

private:
    void trim_removed();

    std::map<std::string, state_entry, std::less<>> entries_;
    std::int64_t revision_{0};
    std::int64_t trimmed_to_{0}; ///< removals up to this revision may be forgotten
    std::size_t removed_{0};
};

} // namespace limpetlock::gateway
