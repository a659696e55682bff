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
    using test = std::function<bool(const request&)>;

    explicit rank_queue(const queue_options& options) : options_(options) {}

    std::size_t waiting() const { return waiting_; }
    std::size_t waiting_of(const std::string& team) const;
    bool empty() const { return waiting_ == 0; }

    void push(request it);

    /// Finds the first team whose head passes `fits`. Heads that fail `viable` on the way are moved to
    /// `dropped`. nullptr when there is none.
    const request* front(const test& viable, const test& fits, std::vector<std::uint64_t>& dropped);

    /// Takes the request that front() returned.
    request pop(const request& head);

    bool cancel(std::uint64_t id, const std::string& team);
    void drop_if(const test& lost, std::vector<std::uint64_t>& dropped);

    /// Moves the virtual finish of a team by a cost (which may be negative).
    void charge(const std::string& team, double cost_ms);

    /// Charges cost that peers served, less the least charge (by weight) of any team that is active here.
    void charge_peers(const std::vector<std::pair<std::string, double>>& served);

    /// Forgets teams without waiting work whose finish the virtual time has passed.
    void forget_idle();

    /// The highest cost of a request since the lane was last empty.
    double largest_cost() const { return largest_cost_; }

    double credit{0}; ///< cost that the rank may take by its minimum share

private:
    struct team_flow {
        std::deque<request> waiting;
        double finish{0};
        double start{0};
        double peer_backlog{0}; ///< peer usage by weight that arrived since the last charge_peers
        std::uint64_t number{0};
    };
    using order_key = std::pair<double, std::uint64_t>;

    double weight(const std::string& team) const;
    void list(team_flow& it, const std::string& team);
    void unlist(const team_flow& it);
    void move(team_flow& it, const std::string& team, double by);

    const queue_options& options_;
    std::unordered_map<std::string, team_flow> flows_;
    std::map<order_key, std::unordered_map<std::string, team_flow>::pointer> order_;
    double virtual_time_{0};
    double largest_cost_{0};
    std::uint64_t next_number_{0};
    std::size_t waiting_{0};
};

} // namespace limpetlock::admission
