/// \file
/// Bounds the calls that retries and hedges add to a stage, and says when to hedge.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace limpetlock::routing {

struct retry_options {
    double retry_share{0.1};  ///< tokens earned by a first attempt that succeeds
    double hedge_share{0.05}; ///< part of the first attempts that may be hedged
    /// Highest number of tokens kept. In an outage nothing is earned, and this is all that can be spent: two
    /// calls are under 10% of a 10 s outage at the lowest rate per instance of the planned size (4 calls/s).
    double token_capacity{2};

    friend bool operator==(const retry_options&, const retry_options&) = default;
};

/// Tokens of one stage. In any interval: retries + hedges <= retry_share * successes of first attempts +
/// allowance.
class retry_budget {
public:
    explicit retry_budget(retry_options options = {});

    void record_first_attempt();
    void record_first_success();

    /// Takes a token; false when the call must not be sent again.
    bool try_acquire_retry();
    bool try_acquire_hedge();

    double tokens() const { return tokens_; }
    void set_options(const retry_options& options);

private:
    retry_options options_;
    double tokens_;
    double hedge_tokens_{0};
};

/// Latency quantile over the last one to two windows, for the hedge delay of a stage.
/// Hedge only while the queue in front of the pool is empty and the pool has places to spare: else the second
/// call takes the place of the first call of another request, here or at another instance.
class hedge_delay {
public:
    explicit hedge_delay(double quantile = 0.99, duration window = duration(10000));
    hedge_delay(const hedge_delay&) = delete;
    hedge_delay& operator=(const hedge_delay&) = delete;
    ~hedge_delay();

    void record(duration took, time_point now);

    /// nullopt while there are too few measurements for a quantile; then nothing is hedged.
    std::optional<duration> current() const;

    static constexpr std::size_t min_samples = 30;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::routing
