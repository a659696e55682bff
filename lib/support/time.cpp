#include <limpetlock/support/time.hpp>

#include <ctime>

namespace limpetlock {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(duration(std::int64_t{ts.tv_sec} * 1000 + ts.tv_nsec / 1'000'000));
}

} // namespace limpetlock
