/// \file
/// The queue in front of one bottleneck pool: ranks with a minimum share each, and team fairness inside a
/// rank.
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

enum class rank : std::uint8_t { urgent, standard, background };
inline constexpr std::size_t rank_count = 3;

std::string_view to_string(rank it);
std::optional<rank> parse_rank(std::string_view name);

enum class errc { none, queue_full, deadline_unreachable };
using error = basic_error<errc>;

using stage_list = std::shared_ptr<const std::vector<stage_id>>;

struct request {
    std::uint64_t id{0};
    std::string team;
    rank priority{rank::standard};
    double cost_ms{1}; ///< expected endpoint milliseconds
    time_point deadline{};
    stage_list stages; ///< what is still to run, for the deadline check; null means no check by estimate
    time_point enqueued_at{}; ///< set by offer()
};

/// A request that was taken from the queue; complete() wants it back.
struct ticket {
    std::uint64_t id{0};
    std::string team;
    rank priority{rank::standard};
    double cost_ms{0};
    bool by_min_share{
        false}; ///< taken by the minimum share of its rank, and not because it was first in order

    friend bool operator==(const ticket&, const ticket&) = default;
};

/// Cost that a team was served, as exchanged between instances.
struct team_usage {
    std::string team;
    rank priority{rank::standard};
    double cost_ms{0};

    friend bool operator==(const team_usage&, const team_usage&) = default;
};

struct queue_options {
    std::array<double, rank_count> min_share{0.5, 0.2, 0.1}; ///< by rank; urgent takes what the others leave
    std::map<std::string, double> weights;                   ///< by team; 1 when absent
    std::size_t max_waiting_per_team{64};                    ///< waiting requests of a team in one rank
    std::size_t max_waiting_per_rank{4096};                  ///< waiting requests of all teams in one rank
    double max_peer_lead_ms{16000}; ///< bound on how far usage at peers puts a team behind the others here

    friend bool operator==(const queue_options&, const queue_options&) = default;
};

class queue {
public:
    /// The estimator outlives the queue.
    queue(queue_options options, const stage_time_estimator& times);
    queue(const queue&) = delete;
    queue& operator=(const queue&) = delete;
    ~queue();

    /// Takes new options; queued work stays.
    void set_options(queue_options options);

    /// Accepts a request and returns how many of its team and rank wait before it, or refuses it.
    std::optional<std::size_t> offer(request it, time_point now);

    using predicate = std::function<bool(std::uint64_t id)>;

    /// Takes the next request that can still meet its deadline and for which `fits` is true (every one when
    /// it is empty). A team whose first request does not fit is passed over.
    std::optional<ticket> pop_next(time_point now, const predicate& fits = {});

    /// Drops the requests whose deadline has passed or can't be met, and returns their ids. This includes the
    /// ones that next() found since the last call.
    /// While the pool does not answer (`held`, see gate::held), work that has waited for half of its time
    /// goes too: what is kept longer takes the place of new work once the pool is back.
    std::vector<std::uint64_t> expire(time_point now, bool pool_failing = false);

    /// Drops a request whose caller has gone; false when it does not wait here.
    bool cancel(std::uint64_t id, const std::string& team, rank priority);

    /// Corrects the accounts once the endpoint milliseconds that were used are known.
    void complete(const ticket& it, double actual_cost_ms);

    /// Cost served here since the last call, for the peers.
    std::vector<team_usage> extract_usage();

    /// Raises the virtual start times of teams by the cost that peers served to them. Only differences
    /// between the teams that are active here count.
    void add_peer_usage(const std::vector<team_usage>& served);

    std::size_t waiting() const;
    std::size_t waiting(rank it) const;
    double served_ms(rank it) const; ///< total cost taken from the queue

    const error& last_error() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::admission
