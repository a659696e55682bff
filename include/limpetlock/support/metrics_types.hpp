/// \file
/// Types of metrics.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace limpetlock::metrics {

/// A number that never decreases.
class counter {
public:
    void add(std::uint64_t n = 1) noexcept { value_.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A number that can rise and fall.
class gauge {
public:
    void set(std::int64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
    void add(std::int64_t n) noexcept { value_.fetch_add(n, std::memory_order_relaxed); }
    std::int64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

/// Count, sum and estimated quantiles of all values since its creation. The extended P-square algorithm needs
/// constant memory. observe() and read() lock a mutex.
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

    /// Adds a value, unless it is infinite or NaN.
    void observe(double value);
    snapshot read() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::metrics
