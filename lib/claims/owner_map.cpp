#include <limpetlock/claims/owner_map.hpp>
#include <limpetlock/support/hash.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::claims {

namespace {

std::size_t count_missing(const std::vector<std::string>& from, const std::vector<std::string>& to)
{
    return static_cast<std::size_t>(std::count_if(from.begin(), from.end(), [&](const std::string& it) {
        return std::find(to.begin(), to.end(), it) == to.end();
    }));
}

} // namespace

owner_map::owner_map(claims_section section) : section_(std::move(section)) {}

std::string_view owner_map::owner(std::string_view team, std::string_view key) const
{
    if (section_.owners.empty())
        return {};
    // The hash of the team seeds that of the key. A concatenation would need a separator, which a key could
    // contain.
    const auto hash = hash64(key, hash64(team));
    return section_.owners[hash % section_.owners.size()];
}

bool owner_map::contains(std::string_view name) const
{
    return std::find(section_.owners.begin(), section_.owners.end(), name) != section_.owners.end();
}

std::optional<std::string> unsafe_change(const claims_section& from, const claims_section& to)
{
    if (from.owners.empty())
        return std::nullopt;
    const auto removed = count_missing(from.owners, to.owners);
    const auto added = count_missing(to.owners, from.owners);
    if (removed + added > 1)
        return "more than one claim owner is added or removed in one change";
    return std::nullopt;
}

} // namespace limpetlock::claims
