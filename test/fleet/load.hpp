/// \file
/// Steady load for tests.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace limpetlock::test {

/// Threads that repeat a call until the load stops.
class steady_load {
public:
    /// Starts threads that each repeat `call` with the index of the thread.
    steady_load(std::size_t threads, std::function<void(std::size_t)> call) : call_(std::move(call))
    {
        for (std::size_t n = 0; n < threads; ++n)
            threads_.emplace_back([this, n] {
                while (!stopped_)
                    call_(n);
            });
    }
    steady_load(const steady_load&) = delete;
    steady_load& operator=(const steady_load&) = delete;
    ~steady_load() { stop(); }

    /// Stops the load and waits for the calls in progress.
    void stop()
    {
        stopped_ = true;
        for (auto& it : threads_)
            if (it.joinable())
                it.join();
    }

private:
    std::function<void(std::size_t)> call_;
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> threads_;
};

} // namespace limpetlock::test
