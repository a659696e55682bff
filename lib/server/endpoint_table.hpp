/// \file
/// The endpoints as the request path uses them: their load, concurrency limits and retry budgets, and the
/// choice of the endpoint for a call.
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

/// Counts one call as in flight at an endpoint. If it is destroyed before finish(), the call counts as
/// cancelled.
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

    /// Ends the call. `expected_ms` is its expected duration, which endpoint_stats compares with the actual
    /// one.
    void finish(routing::outcome outcome, double expected_ms, time_point now);

private:
    endpoint_table* table_; ///< nullptr after finish() or a move
    membership::endpoint endpoint_;
    time_point started_;
};

/// Conditions for the choice of an endpoint; see routing::choice_context.
struct endpoint_criteria {
    std::string_view pool;
    std::uint64_t prefix_hash{0};              ///< hash of the prompt prefix; 0 if the call has none
    bool repeatable{true};                     ///< false if the call must not run twice
    std::vector<std::uint64_t> tried_ids;      ///< endpoints of earlier attempts, which are excluded
    std::optional<std::uint32_t> avoid_domain; ///< domain_hash() of the failed attempt; others are preferred
};

/// State of one endpoint, for the state dump.
struct endpoint_row {
    std::string pool;
    std::string name;
    membership::endpoint_state state{};
    std::uint32_t in_flight{0};
    double limit{0};                      ///< concurrent calls that this instance may have at the endpoint
    std::optional<double> reported_calls; ///< see endpoint_stats::reported_calls()
};

/// Statistics of all routable endpoints and retry budgets of all stages. Safe for use from any thread: one
/// mutex guards the table, since no function holds it for long.
class endpoint_table {
public:
    /// \param seed of the random choices.
    explicit endpoint_table(std::uint64_t seed);

    /// Puts limits from the configuration in force. `instances` is the number of instances that share the
    /// endpoints and divide their limits.
    void configure(const config::limit_settings& limits, std::size_t instances);

    /// Updates the endpoints from a snapshot. Drops the statistics of endpoints that it no longer has, unless
    /// they still have calls in flight.
    void set_members(std::shared_ptr<const membership::snapshot> members);

    /// Chooses an endpoint and counts a call as in flight there. Returns nullopt if no endpoint suits.
    std::optional<call_slot> acquire(const endpoint_criteria& criteria, time_point now);
    /// Records the load that an endpoint reports about itself.
    void record_load(std::uint64_t id, const routing::load_report& report, time_point now);

    /// Returns the sum of the concurrency limits of the routable endpoints of each pool, in concurrent calls.
    std::map<std::string, double> capacities() const;

    /// Access to the retry budget of a stage; see routing::retry_budget.
    bool try_acquire_retry(const std::string& stage);
    bool try_acquire_hedge(const std::string& stage);
    void record_first_attempt(const std::string& stage);
    void record_first_success(const std::string& stage);

    std::vector<endpoint_row> rows() const;
    /// Returns the tokens that each stage has left for retries and hedges.
    std::map<std::string, double> retry_tokens() const;

    /// Returns up to `max_count` endpoints that received a call since this function last returned them.
    std::vector<membership::endpoint> pop_recently_used(std::size_t max_count);

private:
    friend class call_slot;
    void finish(std::uint64_t id, time_point started, routing::outcome outcome, double expected_ms,
                time_point now);
    routing::retry_budget& budget(const std::string& stage);

    struct entry {
        routing::endpoint_stats stats;
        bool used_since_pop{false}; ///< received a call since pop_recently_used() last returned it
    };

    mutable std::mutex mutex_;
    routing::random_engine random_;
    std::unique_ptr<routing::chooser> two_choices_;
    std::unique_ptr<routing::chooser> prefix_affinity_;
    routing::limit_options limit_options_;
    routing::retry_options retry_options_;
    std::shared_ptr<const membership::snapshot> members_;
    std::map<std::uint64_t, entry> entries_;
    std::map<std::string, routing::retry_budget> budgets_;
};

/// Returns the number that stands for a failure domain in routing::candidate.
std::uint32_t domain_hash(std::string_view failure_domain);

} // namespace limpetlock::server
