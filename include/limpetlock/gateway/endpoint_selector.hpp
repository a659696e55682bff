/// \file
/// Selects the endpoint for a request by load, affinity and failures, as this instance observed them.
#pragma once

#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/model.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// Outcome of one attempt at an endpoint.
enum class attempt_outcome : std::uint8_t {
    answered,
    endpoint_error, ///< the endpoint answered with an error of its own
    overloaded,     ///< the endpoint did not run the request for lack of capacity
    unreachable,    ///< no byte was sent
    broken,         ///< sent, and the connection failed before the end of the answer
    replaced,       ///< another endpoint now has the address
    cancelled       ///< abandoned by the gateway; no evidence about the endpoint
};

/// Requirements and preferences of one request.
struct selection_criteria {
    std::string pool;
    /// Requests with the same hash go to the same few endpoints; 0 for no affinity.
    std::uint64_t affinity_hash{0};
    std::string domain;             ///< preferred failure domain
    std::vector<std::string> tried; ///< ids of endpoints that aren't selected again
    std::uint64_t session_hash{0};  ///< selects one of the few endpoints; 0: the first of them
    /// Ids of endpoints that crashed on a part of the prompt. They are selected only if there is no other, so
    /// that an answer of another one clears the part, or a second crash convicts it.
    std::vector<std::string> suspected;
};

/// An endpoint that may be selected for a request.
struct eligible_endpoint {
    const endpoint* listed{nullptr}; ///< valid until the list of endpoints changes
    /// Factor of the cost of its errors, and of its smaller share after a pause; 1 for most.
    double handicap{1};
};

/// The endpoints among which a request has the choice.
struct eligible_endpoints {
    std::vector<eligible_endpoint> all;
    /// Those that requests with the same affinity hash go to, or the one that `select` returns. That one is
    /// the first.
    std::vector<eligible_endpoint> homes;
};

/// The state of all listed endpoints, from the attempts of this instance and the load that endpoints report.
class endpoint_selector {
public:
    endpoint_selector() = default;

    /// Endpoints that want no requests by their own statements are never selected.
    explicit endpoint_selector(const endpoint_statements& statements) : statements_(&statements) {}

    /// Replaces the list of endpoints. The state of endpoints that stay is kept unless they have restarted or
    /// have another address.
    void set_endpoints(const std::vector<endpoint>& endpoints, time_point now);

    /// Returns the endpoint for a request; nullopt if the pool has none that wasn't tried and isn't held
    /// back. Endpoints that are backed off after failures are selected only if there is no other.
    std::optional<endpoint> select(const selection_criteria& criteria, time_point now) const;

    /// The endpoints among which `select` chooses, without regard to their load.
    eligible_endpoints eligible(const selection_criteria& criteria, time_point now) const;

    /// Leaves the endpoint out of the selection until then, since it has no permit for a request.
    void hold_back(const std::string& id, time_point until);

    /// The endpoint for a request among those that are held back: the one with the least time left. nullopt
    /// if there is none.
    std::optional<endpoint> next_held_back(const selection_criteria& criteria, time_point now) const;

    /// The time at which the first of the endpoints that were not tried, and want no requests now, takes
    /// requests again; nullopt if there is none.
    std::optional<time_point> next_pause_end(const selection_criteria& criteria, time_point now) const;

    /// Counts an attempt as in flight until end_attempt.
    void begin_attempt(const std::string& id, time_point now);
    void end_attempt(const std::string& id, attempt_outcome outcome, time_point now);
    /// Records the load that the endpoint reported with an answer.
    void record_load(const std::string& id, const load_report& load, time_point now);

    /// All endpoints of a pool that accept new work.
    std::vector<endpoint> available_endpoints(std::string_view pool) const;

    /// Endpoints of the pool that get no work because their failure domain is evacuated.
    std::size_t count_evacuated(std::string_view pool) const;

    /// Attempts in flight at the endpoints of each failure domain.
    std::map<std::string, std::uint64_t> in_flight_by_domain() const;

    /// Whether requests wait at the endpoint, by its last load report; false if that report is too old.
    bool has_waiting_requests(const std::string& id, time_point now) const;

    /// The endpoints of the pool that weren't tried and have a recent load report, and those of them at which
    /// requests wait.
    struct waiting_count {
        std::size_t reporting{0};
        std::size_t waiting{0};

        friend bool operator==(const waiting_count&, const waiting_count&) = default;
    };
    waiting_count count_waiting(const selection_criteria& criteria, time_point now) const;

    /// Whether the endpoint is backed off after failures.
    bool is_backed_off(const std::string& id, time_point now) const;

    /// Whether the endpoint is listed and accepts new work.
    bool accepts_work(const std::string& id) const;

private:
    struct endpoint_state {
        endpoint listed;            ///< its entry in the list of endpoints
        std::uint32_t in_flight{0}; ///< attempts of this instance
        std::uint32_t failures{0};  ///< failed attempts since the last answer
        double error_share{0};      ///< moving average of errors, 0 to 1
        time_point avoid_until{};   ///< end of its back-off
        time_point held_until{};    ///< not selected before
        load_report load;
        time_point load_at{}; ///< time of the load report
    };

    struct candidate {
        const endpoint_state* state;
        bool avoided;    ///< backed off after failures
        bool returning;  ///< left out at this moment, because it returns gradually
        bool cold;       ///< left out, because it is cold and a warm endpoint has room
        bool suspected;  ///< crashed on a part of the prompt
        bool overloaded; ///< too loaded for requests with affinity
        double load;     ///< requests and cost of errors, divided by its slots
        /// Hash of the endpoint and the affinity or session; the largest is selected.
        std::uint64_t hash_score;
    };

    bool is_paused(const std::string& id, time_point now) const;
    bool is_cold(const std::string& id, time_point now) const;
    bool is_left_out(const endpoint_state& it, time_point now) const;
    double load_of(const endpoint_state& it, time_point now) const;
    /// The endpoints of the pool that weren't tried.
    std::vector<const endpoint_state*> untried(const selection_criteria& criteria) const;
    std::vector<candidate> candidates(const selection_criteria& criteria, time_point now) const;
    std::optional<endpoint> select_among(std::vector<candidate> all, const selection_criteria& criteria,
                                         time_point now) const;
    /// Sorts those that requests with this affinity go to before the others, and returns their number.
    std::size_t sort_homes(std::vector<candidate>& all, const selection_criteria& criteria) const;
    double return_share(const std::string& id, time_point now) const;
    void penalize(endpoint_state& it, duration base, time_point now);

    const endpoint_statements* statements_{nullptr};
    std::map<std::string, endpoint_state, std::less<>> endpoints_;
    std::map<std::string, std::vector<std::string>, std::less<>> pools_;
    std::map<std::string, std::size_t, std::less<>>
        evacuated_; ///< number of evacuated endpoints of each pool
};

} // namespace limpetlock::gateway
