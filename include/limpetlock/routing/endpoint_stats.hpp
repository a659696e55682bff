/// \file
/// What one instance knows about the load and speed of one endpoint.
#pragma once

#include <limpetlock/support/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace limpetlock::routing {

/// How a call ended. A cancelled call says nothing about the endpoint.
enum class outcome : std::uint8_t { success, overloaded, failed, cancelled };

struct limit_options {
    double initial{4};
    double minimum{0.25}; ///< below one: a pool-wide gate adds the limits of many endpoints up
    double maximum{8};
    double increase{0.25};           ///< added to the limit in the time of one round of calls
    double latency_decrease{0.9};    ///< factor when latency is above tolerance
    double overload_decrease{0.7};   ///< factor on an overload answer
    double queued_decrease{0.9};     ///< factor on a report with more waiting calls than queued_tolerance
    double queued_tolerance{0.25};   ///< waiting calls at an endpoint in relation to its running ones
    double latency_tolerance{2};     ///< latency may be this many times its slow-moving minimum
    duration decrease_interval{200}; ///< one decrease for the answers of one burst
    double baseline_drift_per_s{
        0.01}; ///< growth of the latency minimum per second, to follow a slower endpoint

    friend bool operator==(const limit_options&, const limit_options&) = default;
};

/// Scales the starting limit and the increase for a pool that `instances` instances share, so that all of
/// them together start at `endpoint_concurrency` calls per endpoint and add a small part of that in a round.
limit_options scaled_limits(double endpoint_concurrency, std::size_t instances);

struct load_report {
    std::uint32_t running{0};
    std::uint32_t queued{0};
    duration age{0}; ///< age of the figures when they were received

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Counters of one endpoint; the owner guards them with a mutex.
class endpoint_stats {
public:
    explicit endpoint_stats(limit_options options = {});

    void record_start(time_point now);

    /// `took_ms` against `expected_ms` (the cost of the call) is what the latency limit works on, so that
    /// long and short calls can be compared.
    void record_finish(time_point now, outcome result, double took_ms, double expected_ms);

    void record_report(const load_report& report, time_point now);

    std::uint32_t in_flight() const { return in_flight_; }
    double concurrency_limit() const { return limit_; }
    bool below_limit() const { return in_flight_ < limit_; }

    /// Calls at the endpoint: in flight here, plus those of other instances by the last report. The calls
    /// from here that the report counted are taken out of it. A report older than `report_lifetime` is
    /// ignored.
    double load(time_point now) const;

    /// Load in relation to the limit.
    double relative_load(time_point now) const { return (load(now) + 1) / limit_; }

    /// Running and queued calls of the last report, uncorrected.
    std::optional<double> reported_calls() const;

    void set_options(const limit_options& options);

    static constexpr duration report_lifetime{3000};

private:
    // In-flight counts at the end of the last 32 slots of 128 ms (4 s): enough to look up the count at the
    // time that a report of up to report_lifetime speaks of.
    static constexpr std::size_t history_slots = 32;
    static constexpr std::int64_t slot_ms = 128;

    void record_history(time_point now);
    std::uint32_t in_flight_at(time_point t) const;
    void adjust_limit(time_point now, outcome result, double ratio);
    void decrease_limit(time_point now, double factor);

    limit_options options_;
    double limit_;
    std::uint32_t in_flight_{0};
    double recent_ratio_{0};
    double baseline_ratio_{0};
    time_point last_sample_{};
    time_point last_decrease_{};
    time_point report_time_{};
    double reported_calls_{-1};
    double other_calls_{0};
    std::int64_t last_slot_{0};
    std::array<std::uint16_t, history_slots> history_{};
};

} // namespace limpetlock::routing
