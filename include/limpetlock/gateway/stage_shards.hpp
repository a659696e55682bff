/// \file
/// Divides the stage endpoints of a large failure domain into shards. Each shard has its own responsible
/// instance, which schedules all stage pools of the shard.
#pragma once

#include <limpetlock/gateway/fleet_view.hpp>
#include <limpetlock/gateway/model.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// The stage endpoints that one instance schedules together: those of all failure domains, of one domain or
/// of a shard of one domain.
struct stage_group {
    std::string domain;      ///< empty for all domains
    std::uint32_t shard{0};  ///< from 0
    std::uint32_t shards{1}; ///< number of shards of the domain

    friend auto operator<=>(const stage_group&, const stage_group&) = default; // NOLINT
};

/// A domain has one shard for each begun number of this many stage endpoints. A single queue for up to 48
/// endpoints forms fuller batches than two queues of half the size.
constexpr std::size_t endpoints_per_shard = 48;

/// Bound for the number of shards that a peer names.
constexpr std::uint32_t max_shards = 64;

/// Number of shards of a domain with this many listed stage endpoints.
std::uint32_t shard_count(std::size_t endpoints);

/// Returns the shard of each endpoint of one pool of a domain, in the order of `ids`. The sizes of the shards
/// differ by at most one. With fewer endpoints than shards, only the first shards have one each. The result
/// doesn't depend on the order of the ids, and a list that differs in one id yields few other shards.
std::vector<std::uint32_t> assign_to_shards(const std::vector<std::string>& ids, std::uint32_t shards);

/// Name under which the instances rank their responsibility for a group. It doesn't contain the number of
/// shards, so that most shards stay where they are when the number changes.
std::string responsibility_key(const stage_group& it);

/// Whether a request goes to the second of its two shards. It does if the wait is known for both, and shorter
/// in the second.
bool prefers_second(std::optional<duration> first_wait, std::optional<duration> second_wait);

/// Numbers of listed stage endpoints, and the groups that follow from them.
class stage_layout {
public:
    stage_layout() = default;
    stage_layout(const routing_table& table, const std::vector<endpoint>& endpoints);

    /// Number of shards of a failure domain.
    std::uint32_t shards(std::string_view domain) const;

    /// The groups that may schedule a request with results for this domain: one, or two different shards that
    /// are drawn by the id of the request.
    std::vector<stage_group> draw(std::string_view request_id, const std::string& domain) const;

    /// The group that schedules a pool for the requests of `group`: the same, unless the pool has fewer
    /// endpoints in the domain than the domain has shards.
    stage_group group_of_pool(const stage_group& group, std::string_view pool) const;

    /// Groups to try in order for a pool of a request in `group`: that group, the other shard that the
    /// request drew, the whole domain and all domains. With `other_domains`, the other domains that have
    /// endpoints of the pool go before all domains: a single queue then calls the endpoints of each domain.
    std::vector<stage_group> fallbacks(const stage_group& group, std::string_view request_id,
                                       std::string_view pool, bool other_domains) const;

    /// The groups of all domains in their order, if one of the domains has several shards; otherwise none.
    std::vector<stage_group> divided_groups() const;

    friend bool operator==(const stage_layout&, const stage_layout&) = default;

private:
    struct domain_counts {
        std::size_t all{0};
        std::map<std::string, std::size_t, std::less<>> pools;
        std::set<std::string, std::less<>> usable_pools; ///< with an endpoint that accepts work

        friend bool operator==(const domain_counts&, const domain_counts&) = default;
    };

    std::size_t available_{0}; ///< endpoints of all domains that aren't leaving
    std::map<std::string, domain_counts, std::less<>> domains_;
};

/// Assigns the groups to the live instances.
class stage_duties {
public:
    stage_duties() = default;

    /// `divided` are the groups to assign in order, each to the instance that is most responsible for it
    /// among those with the fewest groups so far. `members` are the live instances; overloaded ones get a
    /// group only if all are.
    stage_duties(std::vector<stage_group> divided, std::vector<member> members);

    /// Names of the instances in the order in which they are responsible for a group: for an assigned group
    /// its holder, then the instances without a group, then the others, and then overloaded ones.
    const std::vector<std::string>& order(const stage_group& it);

    const std::vector<member>& members() const { return members_; }

private:
    std::vector<member> members_;
    std::map<stage_group, std::string> holders_;
    std::map<std::string, std::size_t, std::less<>> held_; ///< number of groups of each holder
    std::map<stage_group, std::vector<std::string>> orders_;
};

} // namespace limpetlock::gateway
