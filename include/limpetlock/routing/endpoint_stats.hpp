/// \file
/// Load, latency and adaptive concurrency limit of one endpoint, as observed by one instance.
#pragma once

#include <limpetlock/support/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace limpetlock::routing {

/// Result of a call. A cancelled call gives no information about the endpoint.
enum class outcome : std::uint8_t { success, overloaded, failed, cancelled };

/// Options of the adaptive concurrency limit of an endpoint. Limits are numbers of concurrent calls.
struct limit_options {
    double initial{4};
    double minimum{0.25}; ///< may be below 1, because the gate sums the limits of a pool's endpoints
    double maximum{8};
    double increase{0.25};         ///< calls added to the limit while as many calls as the limit succeed
    double latency_decrease{0.9};  ///< factor on the limit when the latency exceeds latency_tolerance
    double overload_decrease{0.7}; ///< factor on the limit when an endpoint answers that it is overloaded
    double queued_decrease{0.9};   ///< factor on the limit when a report exceeds queued_tolerance
    double queued_tolerance{0.25}; ///< accepted ratio of queued to running calls at the endpoint
    double latency_tolerance{2};   ///< accepted ratio of the latency to its baseline
    /// Shortest time between two decreases in ms, so that the answers of one burst decrease the limit once.
    duration decrease_interval{200};
    /// Relative growth of the latency baseline, so that it follows an endpoint that has become slower.
    double baseline_drift_per_s{0.01};

    friend bool operator==(const limit_options&, const limit_options&) = default;
};

/// Returns options for a pool that `instances` instances share: together they start at `endpoint_concurrency`
/// calls per endpoint and add a small part of that per round of calls.
limit_options scaled_limits(double endpoint_concurrency, std::size_t instances);

/// Load that an endpoint reports about itself, over all of its clients.
struct load_report {
    std::uint32_t running{0}; ///< calls in execution
    std::uint32_t queued{0};  ///< calls that wait at the endpoint
    duration age{0};          ///< time in ms between the measurement and the receipt of the report

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Load and concurrency limit of one endpoint. Not thread-safe; the owner must synchronize access.
class endpoint_stats {
public:
    explicit endpoint_stats(limit_options options = {});

    /// Counts a call as in flight. Each call must be ended with record_finish().
    void record_start(time_point now);

    /// Ends a call and adjusts the concurrency limit. The limit depends on the ratio of `took_ms` to
    /// `expected_ms` (the cost of the call), which makes long and short calls comparable.
    void record_finish(time_point now, outcome result, double took_ms, double expected_ms);

    /// Records a load report. Reports that were measured before the last recorded one are ignored.
    void record_report(const load_report& report, time_point now);

    std::uint32_t in_flight() const { return in_flight_; }

    /// Number of calls that this instance may have in flight at the endpoint. It may be fractional.
    double concurrency_limit() const { return limit_; }
    bool below_limit() const { return in_flight_ < limit_; }

    /// Estimated number of calls at the endpoint: calls in flight from this instance, plus a moving average
    /// of the calls from other instances. The latter is the reported number less the calls that this instance
    /// had in flight at the time of the measurement. It is left out once the last report is older than
    /// `report_lifetime`.
    double load(time_point now) const;

    /// Load including one further call, divided by the concurrency limit.
    double relative_load(time_point now) const { return (load(now) + 1) / limit_; }

    /// Running and queued calls of the last report, including calls from this instance. nullopt if there was
    /// no report.
    std::optional<double> reported_calls() const;

    void set_options(const limit_options& options);

    static constexpr duration report_lifetime{3000}; ///< in ms

private:
    // The history holds the in-flight count at the end of each of the last 32 slots of 128 ms (4 s), so that
    // the count at the time of measurement is known for every report that is younger than report_lifetime.
    static constexpr std::size_t history_slots = 32;
    static constexpr std::int64_t slot_ms = 128;

    void record_history(time_point now);
    std::uint32_t in_flight_at(time_point t) const;
    void adjust_limit(time_point now, outcome result, double ratio);
    void decrease_limit(time_point now, double factor);

    limit_options options_;
    double limit_;
    std::uint32_t in_flight_{0};
    double recent_ratio_{0};   // moving average of actual to expected time; 0 without a sample
    double baseline_ratio_{0}; // slowly rising minimum of recent_ratio_; 0 without a sample
    time_point last_sample_{};
    time_point last_decrease_{};
    time_point report_time_{};  // when the last report was measured
    double reported_calls_{-1}; // -1 without a report
    double other_calls_{0};     // moving average of the calls from other instances
    std::int64_t last_slot_{0}; // number of the present slot, counted from the epoch of the clock
    std::array<std::uint16_t, history_slots> history_{};
};

} // namespace limpetlock::routing
