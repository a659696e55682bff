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

/// Start-time fair queueing over the teams of one rank. The virtual start of a team's first waiting request
/// is the maximum of the virtual time and the virtual finish of the team's previous request; the request with
/// the lowest virtual start is served first. The tags are kept for each team instead of each request, so that
/// a correction of the cost applies to requests that wait already. Virtual times are costs in ms divided by
/// the weight of the team.
class rank_queue {
public:
    using predicate = std::function<bool(const request&)>;

    explicit rank_queue(const queue_options& options) : options_(options) {}

    std::size_t waiting() const { return waiting_; }
    std::size_t waiting_for_team(const std::string& team) const;
    bool empty() const { return waiting_ == 0; }

    void push(request it);

    /// Returns the first request of the first team in order for which `fits` returns true, or nullptr if
    /// there is none. Requests on the way that are not `viable` are removed, and their ids appended to
    /// `dropped`.
    const request* front(const predicate& viable, const predicate& fits, std::vector<std::uint64_t>& dropped);

    /// Removes and returns the request that front() returned.
    request pop(const request& head);

    /// Removes a request. Returns false if it doesn't wait here.
    bool cancel(std::uint64_t id, const std::string& team);
    /// Removes all requests for which `is_lost` returns true, and appends their ids to `dropped`.
    void drop_if(const predicate& is_lost, std::vector<std::uint64_t>& dropped);

    /// Adds a cost, which may be negative, to the virtual finish of a team.
    void charge(const std::string& team, double cost_ms);

    /// Charges each team the cost that peers served for it, divided by its weight. The minimum over the teams
    /// that are active here is subtracted, since only differences between teams affect the order. The charge
    /// puts a team's virtual finish at most max_peer_lead_ms ahead of the virtual time.
    void charge_peer_usage(const std::vector<std::pair<std::string, double>>& served);

    /// Removes teams without waiting requests whose virtual finish has passed.
    void remove_idle_teams();

    /// Maximum cost of the requests since the queue was last empty.
    double max_cost_ms() const { return max_cost_ms_; }

    double credit_ms{0}; ///< cost that may be served now by the minimum share of the rank

private:
    struct team_flow {
        std::deque<request> waiting;
        double virtual_finish{0};
        double virtual_start{0};
        double uncharged_peer_cost{0}; ///< peer usage by weight since the last charge_peer_usage()
        std::uint64_t sequence{0};     ///< orders teams with the same virtual start
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
