/// \file
/// Estimates the time from sending a request to an endpoint until its first event, or its answer.
#pragma once

#include <limpetlock/routing/load_reports.hpp>
#include <limpetlock/support/time.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace limpetlock::routing {

/// Work of one request at one endpoint.
struct request_work {
    double prompt_tokens{0};
    double cached_tokens{0}; ///< of these, the ones that the endpoint has in its cache

    double tokens_to_read() const;

    friend bool operator==(const request_work&, const request_work&) = default;
};

/// An estimate and its inputs.
struct time_estimate {
    double ms{0};
    double requests{0};                 ///< the request and those that wait ahead of it
    double tokens{0};                   ///< prompt tokens that are read until its first event
    double running{0};                  ///< requests that run
    double speed{1};                    ///< usual time at this endpoint as a multiple of that of the pool
    double time_factor{1};              ///< time that work takes now as a multiple of the usual time
    std::optional<duration> report_age; ///< nullopt without a report

    friend bool operator==(const time_estimate&, const time_estimate&) = default;
};

/// The estimate is (requests x time of a request + tokens x time of a token + running requests x time of
/// each) x speed of the endpoint x time factor. The three times are learned for each pool, the speeds for
/// each endpoint, both from the times to the first event that this instance measured. A report counts less as
/// it gets older, and tends to the usual load of the pool and the usual time factor of the endpoint.
class time_estimator {
public:
    /// Forgets the endpoints and pools that aren't listed.
    void retain(const std::set<std::string, std::less<>>& endpoints,
                const std::set<std::string, std::less<>>& pools);

    void record_report(const std::string& pool, const std::string& endpoint, const stated_load& load,
                       time_point as_of);

    /// Whether an endpoint of the pool stated its time factor within statement_lifetime.
    bool states_time_factor(std::string_view pool, time_point now) const;

    /// Whether the endpoint has a report that still says how its load is.
    bool has_fresh_report(std::string_view endpoint, time_point now) const;

    time_estimate expected_time(std::string_view pool, std::string_view endpoint, const request_work& work,
                                time_point now) const;

    void begin_request(const std::string& pool, const std::string& endpoint, std::uint64_t request,
                       const request_work& work, time_point now);

    /// The request has its first event, or has ended without one.
    void end_request(std::string_view endpoint, std::uint64_t request);

    /// Learns from a measured time. `estimate` is the one that was made when the request was sent.
    void record_time(const std::string& pool, const std::string& endpoint, const time_estimate& estimate,
                     duration measured, time_point now);

    /// Usual time at the endpoint as a multiple of that of its pool.
    double speed_of(std::string_view endpoint, time_point now) const;

    /// A report counts in full up to this age.
    static constexpr duration fresh_report_age{100};

    /// An endpoint that stated its time factor makes its pool use the estimates for this long.
    static constexpr duration statement_lifetime{60'000};

private:
    struct pool_model {
        /// Milliseconds for each request, 1,000 prompt tokens and running request. The starting values are
        /// those of an engine that reads 68 tokens per ms.
        std::array<double, 3> times{5, 15, 0.5};
        double mean_running{0};
        double mean_waiting{0};
        double mean_tokens{0}; ///< tokens to read of a request
        std::optional<time_point> stated_at;
    };
    struct endpoint_speed {
        double log_speed{0};
        time_point at{};
    };

    std::map<std::string, pool_model, std::less<>> pools_;
    std::map<std::string, endpoint_speed, std::less<>> speeds_;
    load_reports reports_;
};

} // namespace limpetlock::routing
