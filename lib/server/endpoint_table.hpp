/// \file
/// Load, limits and health of the endpoints as the request path sees them.
#pragma once

#include <limpetlock/config/document.hpp>
#include <limpetlock/membership/view.hpp>
#include <limpetlock/routing/chooser.hpp>
#include <limpetlock/routing/endpoint_stats.hpp>
#include <limpetlock/routing/retry_budget.hpp>
#include <limpetlock/support/snapshot_cell.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::server {

class endpoint_table;

/// One call in flight at an endpoint. Unless finish() is called, it ends as cancelled.
class call_slot {
public:
    call_slot(endpoint_table& table, membership::endpoint to, time_point started)
        : table_(&table), endpoint_(std::move(to)), started_(started)
    {
    }
    call_slot(call_slot&& other) noexcept
        : table_(std::exchange(other.table_, nullptr)), endpoint_(std::move(other.endpoint_)),
          started_(other.started_)
    {
    }
    call_slot& operator=(call_slot&&) = delete;
    call_slot(const call_slot&) = delete;
    call_slot& operator=(const call_slot&) = delete;
    ~call_slot();

    const membership::endpoint& endpoint() const { return endpoint_; }
    time_point started() const { return started_; }

    void finish(routing::outcome outcome, double expected_ms, time_point now);

private:
    endpoint_table* table_;
    membership::endpoint endpoint_;
    time_point started_;
};

/// What a choice has to respect.
struct endpoint_criteria {
    std::string_view pool;
    std::uint64_t prefix_hash{0};
    bool repeatable{true};
    std::vector<std::uint64_t> tried_ids;
    std::optional<std::uint32_t> avoid_domain;
};

struct endpoint_row {
    std::string pool;
    std::string name;
    membership::endpoint_state state{};
    std::uint32_t in_flight{0};
    double limit{0};
    std::optional<double> reported_calls;
};

/// Guarded by one mutex; every function is short.
class endpoint_table {
public:
    explicit endpoint_table(std::uint64_t seed);

    /// Takes limits from the configuration; `instances` share the endpoints.
    void configure(const config::limit_settings& limits, std::size_t instances);

    /// Follows a new snapshot: statistics of endpoints that are gone are dropped.
    void set_members(std::shared_ptr<const membership::snapshot> members);

    std::optional<call_slot> acquire(const endpoint_criteria& criteria, time_point now);
    void record_load(std::uint64_t id, const routing::load_report& report, time_point now);

    /// Sum of the concurrency limits of a pool's routable endpoints.
    std::map<std::string, double> capacities() const;

    bool try_acquire_retry(const std::string& stage);
    bool try_acquire_hedge(const std::string& stage);
    void record_first_attempt(const std::string& stage);
    void record_first_success(const std::string& stage);

    std::vector<endpoint_row> rows() const;
    std::map<std::string, double> retry_tokens() const;

    /// Endpoints that took a call since the last time they were returned here, at most `most`.
    std::vector<membership::endpoint> pop_recently_used(std::size_t max_count);

private:
    friend class call_slot;
    void finish(std::uint64_t id, time_point started, routing::outcome outcome, double expected_ms,
                time_point now);
    routing::retry_budget& budget(const std::string& stage);

    struct entry {
        routing::endpoint_stats stats;
        bool used_since_pop{false};
    };

    mutable std::mutex mutex_;
    routing::random_engine random_;
    std::unique_ptr<routing::chooser> two_choices_;
    std::unique_ptr<routing::chooser> prefix_affinity_;
    routing::limit_options limits_;
    routing::retry_options retries_;
    std::shared_ptr<const membership::snapshot> members_;
    std::map<std::uint64_t, entry> entries_;
    std::map<std::string, routing::retry_budget> budgets_;
};

/// A number that is equal for endpoints of one failure domain.
std::uint32_t domain_hash(std::string_view failure_domain);

} // namespace limpetlock::server
