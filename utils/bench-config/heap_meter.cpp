#include "heap_meter.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

limpetlock::config::heap_use total;

void* allocate(std::size_t size)
{
    void* it = std::malloc(size == 0 ? 1 : size);
    if (it == nullptr)
        throw std::bad_alloc();
    const auto n = static_cast<std::int64_t>(malloc_usable_size(it));
    total.allocated += n;
    total.live += n;
    return it;
}

void release(void* it) noexcept
{
    if (it == nullptr)
        return;
    total.live -= static_cast<std::int64_t>(malloc_usable_size(it));
    std::free(it);
}

} // namespace

void* operator new(std::size_t size)
{
    return allocate(size);
}

void* operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void* it) noexcept
{
    release(it);
}

void operator delete[](void* it) noexcept
{
    release(it);
}

void operator delete(void* it, std::size_t) noexcept
{
    release(it);
}

void operator delete[](void* it, std::size_t) noexcept
{
    release(it);
}

namespace limpetlock::config {

heap_use current_heap_use()
{
    return total;
}

} // namespace limpetlock::config
