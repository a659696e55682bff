/// \file
/// Selects endpoints by the expected time of a request, from the load that endpoints report.
#pragma once

#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/model.hpp>
#include <limpetlock/routing/candidate_choice.hpp>
#include <limpetlock/routing/expected_time.hpp>
#include <limpetlock/routing/part_placements.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// What the expected time of a request depends on.
struct request_profile {
    selection_criteria criteria;
    std::string results_domain; ///< where the results of its stages are; empty without any
    std::uint64_t affinity_part{0};
    std::vector<prompt_part> prompt;
    std::uint32_t prompt_tokens{0};
};

/// An endpoint that is compared for a request.
struct drawn_endpoint {
    endpoint to;
    bool needs_probe{false}; ///< it has no fresh report, and may be probed
};

/// The selected endpoint and what it was compared with.
struct load_aware_choice {
    endpoint to;
    bool usual{false}; ///< the same as without load reports
    routing::rated_candidate winner;
    std::optional<routing::rated_candidate> runner_up;
};

/// Has an effect only in pools of which an endpoint stated recently how long work takes now. Decides without
/// I/O: the caller draws endpoints, probes them, and picks from what is known then.
class load_aware_selector {
public:
    /// `seed` has to differ between instances, so that they don't draw the same endpoints.
    load_aware_selector(const endpoint_selector& selector, const endpoint_statements& statements,
                        std::uint64_t seed);

    /// Forgets the endpoints that are no longer listed.
    void set_endpoints(const std::vector<endpoint>& endpoints);

    bool is_enabled(std::string_view pool, time_point now) const;

    /// Records the load that the endpoint had at `as_of` or later.
    void record_load(const endpoint& from, const load_report& load, time_point as_of);

    /// A probe of the endpoint ended, in time for the request that waited for it or not. An endpoint that
    /// doesn't answer in time several times in a row isn't probed for a while, since each request would wait
    /// for it in vain.
    void record_probe(const std::string& endpoint_id, bool in_time, time_point now);

    /// The expected time from sending the request to the endpoint now until its first event.
    routing::time_estimate expected_time(const endpoint& to, const request_profile& it, time_point now) const;

    /// The endpoints to compare; empty if the pool has none that may be selected, or isn't enabled.
    std::vector<drawn_endpoint> draw(const request_profile& it, time_point now);

    /// Picks one of the drawn endpoints; nullopt if none of them may be selected any more.
    std::optional<load_aware_choice> pick(const request_profile& it, const std::vector<drawn_endpoint>& drawn,
                                          time_point now);

    /// A request that was sent to an endpoint.
    struct begun_request {
        std::uint64_t number{0}; ///< for end_request
        routing::time_estimate estimate;
    };

    /// The request is sent to the endpoint. It counts as work there until end_request.
    begun_request begin_request(const endpoint& to, const request_profile& it, time_point now);
    void end_request(std::string_view endpoint_id, std::uint64_t request)
    {
        estimator_.end_request(endpoint_id, request);
    }
    void record_time(const endpoint& from, const routing::time_estimate& estimate, duration measured,
                     time_point now)
    {
        estimator_.record_time(from.pool, from.id, estimate, measured, now);
    }

    /// Requests that are expected to take less aren't worth the wait for probes and their cost.
    static constexpr double min_probed_ms = 30;

private:
    routing::request_work work_at(const endpoint& to, const request_profile& it,
                                  const eligible_endpoints& eligible, time_point now) const;
    double domain_cost(const endpoint& to, const request_profile& it) const;

    struct probe_state {
        std::uint32_t unanswered{0}; ///< probes in a row
        time_point not_before{};
    };

    bool may_probe(const std::string& endpoint_id, time_point now) const;

    const endpoint_selector& selector_;
    const endpoint_statements& statements_;
    std::map<std::string, probe_state, std::less<>> unanswered_probes_;
    routing::time_estimator estimator_;
    routing::part_placements placements_;
    std::minstd_rand random_;
    std::uint64_t requests_begun_{0};
};

/// A request at an endpoint, from its sending until its first event or its end. Measures the time.
class estimated_request {
public:
    estimated_request(load_aware_selector& selector, endpoint to, const request_profile& it, time_point now)
        : selector_(selector), to_(std::move(to)), begun_(selector.begin_request(to_, it, now)), sent_(now)
    {
    }
    estimated_request(const estimated_request&) = delete;
    estimated_request& operator=(const estimated_request&) = delete;
    ~estimated_request() { selector_.end_request(to_.id, begun_.number); }

    /// The time that was expected when the request was sent.
    const routing::time_estimate& estimate() const { return begun_.estimate; }

    /// The first event arrived. Returns the measured time as a multiple of the estimate; nullopt if it
    /// arrived before.
    std::optional<double> record_first_event(time_point now);

private:
    load_aware_selector& selector_;
    const endpoint to_;
    const load_aware_selector::begun_request begun_;
    const time_point sent_;
    bool measured_{false};
};

} // namespace limpetlock::gateway
