/// \file
/// Admission queue of a pool. Each rank has a minimum share, and the teams of a rank are served fairly.
#pragma once

#include <limpetlock/admission/stage_time_estimator.hpp>
#include <limpetlock/support/error.hpp>
#include <limpetlock/support/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::admission {

/// Priority class of a request, highest first.
enum class rank : std::uint8_t { urgent, standard, background };
inline constexpr std::size_t rank_count = 3;

std::string_view to_string(rank it);

/// Returns nullopt if no rank has the name.
std::optional<rank> parse_rank(std::string_view name);

enum class errc { none, queue_full, deadline_unreachable };
using error = basic_error<errc>;

using stage_list = std::shared_ptr<const std::vector<stage_id>>;

/// A request that waits for admission.
struct request {
    std::uint64_t id{0};
    std::string team;
    rank priority{rank::standard};
    double cost_ms{1}; ///< expected time at endpoints, at least 1 ms
    time_point deadline{};
    stage_list stages;        ///< remaining stages; if null, their time isn't checked against the deadline
    time_point enqueued_at{}; ///< set by offer()
};

/// An admitted request. It must be passed to queue::complete() when the request ends.
struct ticket {
    std::uint64_t id{0};
    std::string team;
    rank priority{rank::standard};
    double cost_ms{0};        ///< expected time at endpoints that the team and rank were charged
    bool by_min_share{false}; ///< admitted by the minimum share of its rank, not by the order of ranks

    friend bool operator==(const ticket&, const ticket&) = default;
};

/// Cost of the requests of a team that an instance has served, as exchanged between instances.
struct team_usage {
    std::string team;
    rank priority{rank::standard};
    double cost_ms{0};

    friend bool operator==(const team_usage&, const team_usage&) = default;
};

struct queue_options {
    /// Minimum fraction of the served cost, by rank. Urgent requests get what the other ranks leave.
    std::array<double, rank_count> min_share{0.5, 0.2, 0.1};
    std::map<std::string, double> weights;  ///< by team; 1 if absent
    std::size_t max_waiting_per_team{64};   ///< requests of a team in one rank
    std::size_t max_waiting_per_rank{4096}; ///< requests of all teams in one rank
    /// Bound, in virtual time, on how far usage at peers puts a team behind the other teams here.
    double max_peer_lead_ms{16000};

    friend bool operator==(const queue_options&, const queue_options&) = default;
};

/// Waiting requests of all ranks for one bottleneck pool. Not thread-safe.
class queue {
public:
    /// The estimator must outlive the queue.
    queue(queue_options options, const stage_time_estimator& times);
    queue(const queue&) = delete;
    queue& operator=(const queue&) = delete;
    ~queue();

    /// Replaces the options. Requests that already wait are kept, even above a lower bound.
    void set_options(queue_options options);

    /// Enqueues a request and returns the number of requests of its team and rank that wait before it.
    /// Returns nullopt and sets last_error() if the queue is full or the deadline can't be met.
    std::optional<std::size_t> offer(request it, time_point now);

    using predicate = std::function<bool(std::uint64_t id)>;

    /// Removes and returns the next request that can still meet its deadline and for which `fits` returns
    /// true. An empty `fits` accepts every request. A team whose first request does not fit is passed over.
    std::optional<ticket> pop_next(time_point now, const predicate& fits = {});

    /// Drops the requests whose deadline has passed or can't be met, and returns their ids. These include the
    /// requests that pop_next() has dropped since the last call.
    /// While the pool is failing (see gate::is_failing()), requests that have waited for half of the time to
    /// their deadline are dropped too. Otherwise they would displace new requests once the pool has
    /// recovered.
    std::vector<std::uint64_t> expire(time_point now, bool pool_failing = false);

    /// Drops a request whose caller has gone. Returns false if the request doesn't wait here.
    bool cancel(std::uint64_t id, const std::string& team, rank priority);

    /// Replaces the expected cost of an ended request by the actual one in the accounts of its team and rank.
    void complete(const ticket& it, double actual_cost_ms);

    /// Returns the cost that was served here since the last call, for the peers.
    std::vector<team_usage> extract_usage();

    /// Raises the virtual start times of teams by the cost that peers have served for them. Only differences
    /// between the teams that are active here count.
    void add_peer_usage(const std::vector<team_usage>& served);

    /// Number of waiting requests, in all ranks or in one.
    std::size_t waiting() const;
    std::size_t waiting(rank it) const;
    double served_ms(rank it) const; ///< total cost of the admitted requests, corrected by complete()

    /// The reason of the last refusal by offer().
    const error& last_error() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::admission
