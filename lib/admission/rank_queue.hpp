/// \file
/// The waiting requests of one rank, in start-time fair order over the teams.
#pragma once

#include <limpetlock/admission/queue.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace limpetlock::admission {

/// Start-time fair queueing. A team's first waiting request starts at the greater of the virtual time and the
/// virtual finish of its last one; the lowest start is served. Tags are kept per team and not per request, so
/// that later corrections of the cost reach the work that waits already.
class rank_queue {
public:
    using predicate = std::function<bool(const request&)>;

    explicit rank_queue(const queue_options& options) : options_(options) {}

    std::size_t waiting() const { return waiting_; }
    std::size_t waiting_for_team(const std::string& team) const;
    bool empty() const { return waiting_ == 0; }

    void push(request it);

    /// Finds the first team whose head passes `fits`. Heads that fail `viable` on the way are moved to
    /// `dropped`. nullptr when there is none.
    const request* front(const predicate& viable, const predicate& fits, std::vector<std::uint64_t>& dropped);

    /// Takes the request that front() returned.
    request pop(const request& head);

    bool cancel(std::uint64_t id, const std::string& team);
    void drop_if(const predicate& is_lost, std::vector<std::uint64_t>& dropped);

    /// Moves the virtual finish of a team by a cost (which may be negative).
    void charge(const std::string& team, double cost_ms);

    /// Charges cost that peers served, less the least charge (by weight) of any team that is active here.
    void charge_peer_usage(const std::vector<std::pair<std::string, double>>& served);

    /// Forgets teams without waiting work whose finish the virtual time has passed.
    void remove_idle_teams();

    /// The highest cost of a request since the lane was last empty.
    double max_cost_ms() const { return max_cost_ms_; }

    double credit_ms{0}; ///< cost that the rank may take by its minimum share

private:
    struct team_flow {
        std::deque<request> waiting;
        double virtual_finish{0};
        double virtual_start{0};
        double uncharged_peer_cost{0}; ///< peer usage by weight that arrived since the last charge_peers
        std::uint64_t sequence{0};
    };
    using order_key = std::pair<double, std::uint64_t>;

    double weight(const std::string& team) const;
    void insert_into_order(team_flow& it, const std::string& team);
    void remove_from_order(const team_flow& it);
    void shift_start(team_flow& it, const std::string& team, double shift);

    const queue_options& options_;
    std::unordered_map<std::string, team_flow> flows_;
    std::map<order_key, std::unordered_map<std::string, team_flow>::pointer> order_;
    double virtual_time_{0};
    double max_cost_ms_{0};
    std::uint64_t next_sequence_{0};
    std::size_t waiting_{0};
};

} // namespace limpetlock::admission
