#include <limpetlock/support/snapshot_cell.hpp>

#include <urcu-bp.h>

namespace limpetlock::detail {

void rcu_enter() noexcept
{
    urcu_bp_read_lock();
}

void rcu_leave() noexcept
{
    urcu_bp_read_unlock();
}

void* rcu_load(void* const* slot) noexcept
{
    return __atomic_load_n(slot, __ATOMIC_ACQUIRE);
}

void* rcu_exchange(void** slot, void* value) noexcept
{
    return __atomic_exchange_n(slot, value, __ATOMIC_ACQ_REL);
}

void rcu_wait_for_readers() noexcept
{
    urcu_bp_synchronize_rcu();
}

} // namespace limpetlock::detail
