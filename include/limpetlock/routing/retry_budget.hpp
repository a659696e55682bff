/// \file
/// Budget that bounds the additional calls of a stage by retries and hedges, and the delay before a hedge.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace limpetlock::routing {

/// Options of the token bucket of a stage; one token pays for one retry or hedge.
struct retry_options {
    double retry_share{0.1};  ///< tokens added for each first attempt that succeeds
    double hedge_share{0.05}; ///< fraction of the first attempts that may be hedged
    /// Maximum number of tokens. No tokens are added during an outage, so this bounds the additional calls:
    /// at the lowest rate per instance of the planned deployment (4 calls/s), two calls are 5% of the 40
    /// calls in an outage of 10 s, which is less than 10%.
    double token_capacity{2};

    friend bool operator==(const retry_options&, const retry_options&) = default;
};

/// Token bucket of one stage. In any interval, retries + hedges <= retry_share * successful first attempts +
/// token_capacity. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_options options = {});

    void record_first_attempt();
    void record_first_success();

    /// Consumes a token and returns true, or returns false if there is none and the call must not be sent
    /// again. A hedge also needs a share of the first attempts (retry_options::hedge_share).
    bool try_acquire_retry();
    bool try_acquire_hedge();

    /// Tokens left for retries and hedges.
    double tokens() const { return tokens_; }
    void set_options(const retry_options& options);

private:
    retry_options options_;
    double tokens_;
    double hedge_tokens_{0};
};

/// Delay after which a call of a stage is hedged: a latency quantile over the last one or two time windows.
/// Callers should hedge only while the queue of the pool is empty and the pool has spare capacity. Otherwise
/// the second call displaces the first call of another request, at this instance or at another one.
class hedge_delay {
public:
    explicit hedge_delay(double quantile = 0.99, duration window_length = duration(10'000));
    hedge_delay(const hedge_delay&) = delete;
    hedge_delay& operator=(const hedge_delay&) = delete;
    ~hedge_delay();

    /// Records the latency of a successful call.
    void record(duration took, time_point now);

    /// Returns the delay, or nullopt while there are fewer than min_samples measurements; calls are not
    /// hedged then.
    std::optional<duration> current() const;

    static constexpr std::size_t min_samples = 30;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::routing
