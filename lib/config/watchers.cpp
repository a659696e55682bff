#include <limpetlock/config/watchers.hpp>
#include <limpetlock/support/hash.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

namespace limpetlock::config {

namespace {

/// Makes this choice independent of others that hash instance names.
constexpr std::uint64_t watcher_seed = 0x77617463;

struct candidate {
    bool leaving{};
    std::uint64_t score{};
    std::string_view name;

    friend bool operator<(const candidate& a, const candidate& b)
    {
        return std::tuple(a.leaving, b.score, a.name) < std::tuple(b.leaving, a.score, b.name);
    }
};

} // namespace

std::vector<std::string> choose_watchers(const std::vector<instance>& instances, std::size_t per_domain)
{
    std::map<std::string_view, std::vector<candidate>> domains;
    for (const instance& it : instances)
        domains[it.failure_domain].push_back({it.leaving, hash64(it.name, watcher_seed), it.name});
    std::vector<std::string> chosen;
    for (auto& [domain, members] : domains) {
        std::sort(members.begin(), members.end());
        for (std::size_t n = 0; n < members.size() && n < per_domain; ++n)
            chosen.emplace_back(members[n].name);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace limpetlock::config
