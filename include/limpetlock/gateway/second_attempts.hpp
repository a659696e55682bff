/// \file
/// Decides when a request without an answer is sent to a second endpoint (a hedged request).
#pragma once

#include <limpetlock/gateway/retry_share.hpp>
#include <limpetlock/gateway/settings.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

/// Whether a second attempt is sent, or why not.
enum class second_attempt_verdict : std::uint8_t {
    send,
    not_repeatable,     ///< the request must not run twice, or its answer has begun
    kind_off,           ///< off, or off for requests of this kind
    too_few_samples,    ///< the usual time of such requests isn't known
    share_used_up,      ///< second attempts have reached their share of the first requests
    budget_used_up,     ///< the pool has no retry left
    attempts_used_up,   ///< as many endpoints as the route allows may run the request
    requests_waiting,   ///< requests wait at the other endpoint or at most of the pool
    no_better_endpoint, ///< no other endpoint is expected to answer before the first one
    inputs_released,    ///< the results of its stages no longer exist
    suspected_part,     ///< an engine crashed on a part of its prompt
    stopping            ///< the instance stops
};

inline constexpr std::size_t second_attempt_verdict_count = 12;

std::string_view to_string(second_attempt_verdict it);

/// Returns the settings, or nullopt with a reason that names the invalid flag. `kinds` is a list of `read`
/// and `stream`, separated by commas.
std::optional<second_attempt_settings> make_second_attempt_settings(double share, std::int64_t min_delay_ms,
                                                                    std::string_view kinds,
                                                                    std::string& reason);

/// What a request and its first attempt are.
struct hedged_request {
    bool repeatable{false};               ///< its route may run more than once
    bool stream{false};                   ///< its answer is a stream of events
    bool resumable{false};                ///< another endpoint can continue the stream
    bool answer_begun{false};             ///< the caller has a part of the answer
    bool inputs_released{false};          ///< it takes results of stages, which no longer exist
    std::uint32_t possible_executions{0}; ///< attempts that ended and may have run it
    std::uint32_t max_attempts{1};        ///< most attempts in which an endpoint may run it

    friend bool operator==(const hedged_request&, const hedged_request&) = default;
};

/// Requests whose times are comparable: those of a route with a prompt or body of about the same size.
struct time_class {
    std::string route;
    std::uint32_t size{0}; ///< see size_class()

    friend auto operator<=>(const time_class&, const time_class&) = default; // NOLINT(modernize-use-nullptr)
};

/// Sizes in the same class differ by less than a factor of four.
std::uint32_t size_class(std::uint64_t size);

/// The state of the pool and of this instance when the delay has passed.
struct hedging_situation {
    bool stopping{false};
    bool suspected_part{false};
    std::size_t reporting_endpoints{0};  ///< other endpoints with a recent load report
    std::size_t waiting_endpoints{0};    ///< those of them at which requests wait
    bool other_waiting{false};           ///< requests wait at the other endpoint
    bool other_backed_off{false};        ///< the other endpoint has failed lately
    std::optional<std::string> other;    ///< the endpoint of the second attempt; nullopt if there is none
    duration time_left{duration::max()}; ///< until the deadline of the request
    duration elapsed{0};                 ///< since the first attempt was sent

    friend bool operator==(const hedging_situation&, const hedging_situation&) = default;
};

/// Whether a request may have a second attempt at all while its first one is open: `send` if it may. No other
/// place decides this.
second_attempt_verdict may_have_second_attempt(const hedged_request& it,
                                               const second_attempt_settings& settings);

/// Times from sending requests to the header or first event of their answers, of the last seconds.
class recent_times {
public:
    static constexpr duration window{60'000};
    static constexpr std::size_t max_samples = 512;

    /// With fewer, the greatest value says little. In a fleet of 64 instances one has 0.3 reads a second of a
    /// route, so more would take it a minute.
    static constexpr std::size_t min_samples = 8;

    /// `answered` is false for an attempt that was cancelled after that time without an answer.
    void record(duration took, bool answered, time_point now);

    /// nullopt if there are fewer than min_samples.
    std::optional<duration> quantile(double share, time_point now) const;

    /// The time that a request without an answer after `elapsed` is expected to need still. If no sample is
    /// as long, it is expected to need as long again.
    duration expected_rest(duration elapsed, time_point now) const;

    bool empty(time_point now) const;

private:
    struct sample {
        time_point at;
        duration took;
        bool answered;
    };

    std::vector<sample> in_window(time_point now) const;

    std::deque<sample> samples_;
};

/// The state that second attempts are decided by, from the requests of this instance alone.
class second_attempts {
public:
    explicit second_attempts(const second_attempt_settings& settings) : settings_(settings) {}

    /// Part of the first attempts that are answered before a second one is considered.
    static constexpr double delay_quantile = 0.95;

    /// Bounds of what is remembered; beyond them nothing is learned of further ones.
    static constexpr std::size_t max_classes = 512;
    static constexpr std::size_t max_endpoints = 4'096;

    const second_attempt_settings& settings() const { return settings_; }
    bool enabled() const { return settings_.share > 0; }

    /// Counts a request towards the share of its pool.
    void record_first_request(const std::string& pool, time_point now);

    /// Records the time of an attempt. One that was cancelled after that time without an answer counts too,
    /// since its time is at least as long: without it, the times of the slow ones would be missing and the
    /// delay would fall from one second attempt to the next.
    void record_time(const time_class& of, const std::string& endpoint, duration took, bool answered,
                     time_point now);

    /// The time after which a request gets a second attempt; nullopt if there are too few samples.
    std::optional<duration> delay(const time_class& of, time_point now) const;

    /// The time within which the endpoint is expected to answer, by the median of the class and by how the
    /// endpoint's recent times compare to it.
    duration expected_time(const time_class& of, const std::string& endpoint, time_point now) const;

    /// The time that a request without an answer after `elapsed` is expected to need still.
    duration expected_rest(const time_class& of, duration elapsed, time_point now) const;

    /// Whether the second attempt is worth sending; the share and the budget come last, in acquire().
    second_attempt_verdict decide(const hedged_request& request, const time_class& of,
                                  const hedging_situation& now_known, time_point now) const;

    /// Takes one second attempt from the share of the pool and one retry from its budget: `send` if both had
    /// one. `instances` is the number of instances that share the budget.
    second_attempt_verdict acquire(const std::string& pool, retry_share& budget, std::size_t instances,
                                   time_point now);

private:
    struct endpoint_speed {
        double factor{1}; ///< moving average of its times, in medians of their classes
        time_point at{};  ///< of the last time
    };

    retry_share& share_of(const std::string& pool);

    second_attempt_settings settings_;
    std::map<time_class, recent_times> times_;
    std::map<std::string, endpoint_speed, std::less<>> speeds_;
    std::map<std::string, retry_share, std::less<>> shares_;
};

} // namespace limpetlock::gateway
