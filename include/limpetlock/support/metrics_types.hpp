/// \file
/// The three kinds of metrics.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace limpetlock::metrics {

/// Only grows.
class counter {
public:
    void add(std::uint64_t n = 1) noexcept { value_.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

class gauge {
public:
    void set(std::int64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
    void add(std::int64_t n) noexcept { value_.fetch_add(n, std::memory_order_relaxed); }
    std::int64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

/// Count, sum and estimated quantiles since the start of the process (extended P-square, constant memory).
/// observe() takes a short mutex.
class summary {
public:
    static constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

    struct snapshot {
        std::uint64_t count{0};
        double sum{0};
        std::array<double, probabilities.size()> quantiles{};
    };

    summary();
    ~summary();
    summary(const summary&) = delete;
    summary& operator=(const summary&) = delete;

    void observe(double value);
    snapshot read() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::metrics
