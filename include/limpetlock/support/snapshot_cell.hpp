/// \file
/// Read-copy-update of an immutable snapshot: the request path reads it without a lock, and controllers
/// replace it.
#pragma once

#include <memory>
#include <utility>

namespace limpetlock {

namespace detail {
void rcu_enter() noexcept;
void rcu_leave() noexcept;
void* rcu_load(void* const* slot) noexcept;
void* rcu_exchange(void** slot, void* value) noexcept;
void rcu_wait_for_readers() noexcept;
} // namespace detail

/// Holds the current snapshot of a T. load() is wait-free. store() waits until no reader is copying the
/// former pointer, so it must not be called on the request path. Both are safe for use from any thread.
template <typename T>
class snapshot_cell {
public:
    explicit snapshot_cell(std::shared_ptr<const T> it = nullptr) : slot_(new holder(std::move(it))) {}
    snapshot_cell(const snapshot_cell&) = delete;
    snapshot_cell& operator=(const snapshot_cell&) = delete;
    ~snapshot_cell() { delete static_cast<holder*>(slot_); }

    std::shared_ptr<const T> load() const
    {
        detail::rcu_enter();
        holder it = *static_cast<const holder*>(detail::rcu_load(&slot_));
        detail::rcu_leave();
        return it;
    }

    void store(std::shared_ptr<const T> it)
    {
        void* old = detail::rcu_exchange(&slot_, new holder(std::move(it)));
        detail::rcu_wait_for_readers();
        delete static_cast<holder*>(old);
    }

private:
    using holder = std::shared_ptr<const T>;
    void* slot_;
};

} // namespace limpetlock
