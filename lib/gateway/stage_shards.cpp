#include <limpetlock/gateway/stage_shards.hpp>
#include <limpetlock/support/hash.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace limpetlock::gateway {

namespace {

/// A deployment with this many available stage endpoints has one responsible instance for each failure
/// domain or shard. A smaller one has a single instance for all domains, which forms fuller batches.
constexpr std::size_t endpoints_for_domains = 24;

constexpr std::uint64_t first_draw_seed = 0x7368'6172'6431;
constexpr std::uint64_t second_draw_seed = 0x7368'6172'6432;

/// Score of an endpoint for a shard.
struct placement {
    std::uint64_t score{0};
    std::uint32_t shard{0};
    std::size_t index{0}; ///< of the endpoint
};

/// An instance that can get a group.
struct candidate {
    const member* info{nullptr};
    double weight{0};
    std::size_t groups{0}; ///< that it has by now
};

} // namespace

std::uint32_t shard_count(std::size_t endpoints)
{
    const std::size_t n = (endpoints + endpoints_per_shard - 1) / endpoints_per_shard;
    return static_cast<std::uint32_t>(std::clamp<std::size_t>(n, 1, max_shards));
}

/// Takes the pairs of endpoint and shard by descending score, as far as the shard has room. The result is the
/// stable matching for these scores, so another endpoint displaces at most a chain of single ones.
std::vector<std::uint32_t> assign_to_shards(const std::vector<std::string>& ids, std::uint32_t shards)
{
    std::vector<std::uint32_t> out(ids.size(), 0);
    const auto parts =
        static_cast<std::uint32_t>(std::min<std::size_t>(std::max<std::uint32_t>(1, shards), ids.size()));
    if (parts <= 1)
        return out;
    std::vector<placement> all;
    all.reserve(ids.size() * parts);
    for (std::size_t n = 0; n < ids.size(); ++n)
        for (std::uint32_t shard = 0; shard < parts; ++shard)
            all.push_back({hash64(ids[n], shard + 1), shard, n});
    std::sort(all.begin(), all.end(), [&ids](const placement& a, const placement& b) {
        return std::tie(a.score, a.shard, ids[a.index]) > std::tie(b.score, b.shard, ids[b.index]);
    });
    const std::size_t least = ids.size() / parts;
    std::size_t larger_shards = ids.size() % parts; // shards that take one more than the least
    std::vector<std::size_t> sizes(parts, 0);
    std::vector<bool> assigned(ids.size(), false);
    for (const auto& it : all) {
        std::size_t& size = sizes[it.shard];
        if (assigned[it.index] || size > least || (size == least && larger_shards == 0))
            continue;
        if (size == least)
            --larger_shards;
        ++size;
        assigned[it.index] = true;
        out[it.index] = it.shard;
    }
    return out;
}

std::string responsibility_key(const stage_group& it)
{
    std::string out = "stages/" + it.domain;
    if (it.shards > 1)
        out += "/" + std::to_string(it.shard);
    return out;
}

bool prefers_second(std::optional<duration> first_wait, std::optional<duration> second_wait)
{
    return first_wait && second_wait && *second_wait < *first_wait;
}

/// Leaving endpoints count for the shards, because instances learn at different times that one leaves.
stage_layout::stage_layout(const routing_table& table, const std::vector<endpoint>& endpoints)
{
    for (const auto& it : endpoints) {
        const pool* const its_pool = table.find_pool(it.pool);
        if (its_pool == nullptr || !its_pool->stage)
            continue;
        available_ += it.leaving ? 0 : 1;
        auto& counts = domains_[it.domain];
        ++counts.all;
        ++counts.pools[it.pool];
        if (!it.leaving && !it.evacuated)
            counts.usable_pools.insert(it.pool);
    }
}

std::uint32_t stage_layout::shards(std::string_view domain) const
{
    const auto it = domains_.find(domain);
    return it == domains_.end() ? 1 : shard_count(it->second.all);
}

std::vector<stage_group> stage_layout::draw(std::string_view request_id, const std::string& domain) const
{
    if (available_ < endpoints_for_domains)
        return {stage_group{}};
    const std::uint32_t n = shards(domain);
    if (n == 1)
        return {stage_group{domain, 0, 1}};
    const auto first = static_cast<std::uint32_t>(hash64(request_id, first_draw_seed) % n);
    const auto step = static_cast<std::uint32_t>(1 + hash64(request_id, second_draw_seed) % (n - 1));
    return {stage_group{domain, first, n}, stage_group{domain, (first + step) % n, n}};
}

stage_group stage_layout::group_of_pool(const stage_group& group, std::string_view pool) const
{
    const auto domain = domains_.find(group.domain);
    if (group.shards <= 1 || domain == domains_.end())
        return group;
    const auto it = domain->second.pools.find(pool);
    const std::size_t endpoints = it == domain->second.pools.end() ? 0 : it->second;
    stage_group out = group;
    if (endpoints > 0 && endpoints < group.shards)
        out.shard = group.shard % static_cast<std::uint32_t>(endpoints);
    return out;
}

std::vector<stage_group> stage_layout::fallbacks(const stage_group& group, std::string_view request_id,
                                                 std::string_view pool, bool other_domains) const
{
    std::vector<stage_group> out{group_of_pool(group, pool)};
    const auto add = [&out](stage_group it) {
        if (std::find(out.begin(), out.end(), it) == out.end())
            out.push_back(std::move(it));
    };
    if (group.shards > 1) {
        for (const auto& it : draw(request_id, group.domain))
            add(group_of_pool(it, pool));
        add(stage_group{group.domain, 0, 1});
    }
    if (other_domains && !group.domain.empty()) {
        std::vector<std::pair<std::uint64_t, std::string>> others;
        for (const auto& [domain, counts] : domains_)
            if (domain != group.domain && counts.usable_pools.contains(pool))
                others.emplace_back(hash64(domain, hash64(request_id)), domain);
        std::sort(others.begin(), others.end());
        for (const auto& [score, domain] : others)
            add(group_of_pool(draw(request_id, domain).front(), pool));
    }
    add(stage_group{});
    return out;
}

std::vector<stage_group> stage_layout::divided_groups() const
{
    std::vector<stage_group> out;
    for (const auto& [domain, counts] : domains_) {
        const std::uint32_t n = shard_count(counts.all);
        for (std::uint32_t shard = 0; shard < n; ++shard)
            out.push_back({domain, shard, n});
    }
    if (out.size() == domains_.size())
        out.clear();
    return out;
}

stage_duties::stage_duties(std::vector<stage_group> divided, std::vector<member> members)
    : members_(std::move(members))
{
    std::vector<candidate> usable;
    for (const auto& it : members_)
        if (!it.overloaded)
            usable.push_back({&it, responsibility_weight(it.capacity)});
    if (usable.empty())
        for (const auto& it : members_)
            usable.push_back({&it, responsibility_weight(it.capacity)});
    for (auto& group : divided) {
        // The instances are scored without a full ranking, which would take too long after each loss of one.
        const std::uint64_t seed = hash64(responsibility_key(group));
        candidate* best = nullptr;
        double best_score = 0;
        for (auto& it : usable) {
            if (best != nullptr && it.groups > best->groups)
                continue;
            const double score = responsibility_score(seed, it.info->name, it.weight);
            if (best == nullptr || it.groups < best->groups || score > best_score) {
                best = &it;
                best_score = score;
            }
        }
        if (best == nullptr)
            return;
        ++best->groups;
        ++held_[best->info->name];
        holders_.emplace(std::move(group), best->info->name);
    }
}

const std::vector<std::string>& stage_duties::order(const stage_group& it)
{
    const auto [found, added] = orders_.try_emplace(it);
    auto& out = found->second;
    if (!added)
        return out;
    auto ranked = by_responsibility(responsibility_key(it), members_);
    if (const auto holder = holders_.find(it); holder != holders_.end()) {
        const auto rank = [this, &holder](const member& instance) {
            const auto n = held_.find(instance.name);
            if (instance.name == holder->second)
                return 0;
            return instance.overloaded ? 3 : n == held_.end() || n->second == 0 ? 1 : 2;
        };
        std::stable_sort(ranked.begin(), ranked.end(),
                         [&rank](const member& a, const member& b) { return rank(a) < rank(b); });
    }
    for (auto& instance : ranked)
        out.push_back(std::move(instance.name));
    return out;
}

} // namespace limpetlock::gateway
