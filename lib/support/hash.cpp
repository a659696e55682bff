#include <limpetlock/support/hash.hpp>

#include <fmt/format.h>
#include <xxhash.h>

namespace limpetlock {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string digest128(std::string_view text)
{
    const auto it = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", it.high64, it.low64);
}

} // namespace limpetlock
