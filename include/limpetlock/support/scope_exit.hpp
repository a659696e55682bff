/// \file
/// Clean-up at the end of a scope.
#pragma once

#include <utility>

namespace limpetlock {

/// Calls a function when it is destroyed, however its scope ends. The function must not throw.
template <typename Function>
class scope_exit {
public:
    explicit scope_exit(Function action) : action_(std::move(action)) {}
    scope_exit(const scope_exit&) = delete;
    scope_exit& operator=(const scope_exit&) = delete;
    ~scope_exit()
    {
        if (armed_)
            action_();
    }

    /// Keeps the function from being called.
    void release() { armed_ = false; }

private:
    Function action_;
    bool armed_{true};
};

} // namespace limpetlock
