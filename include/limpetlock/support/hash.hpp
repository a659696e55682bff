/// \file
/// Hashes (XXH3) for digests and placement. Their values are the same in every process and release.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetlock {

/// 64-bit hash for placement decisions.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// 128-bit digest as 32 hexadecimal digits, to compare contents between processes. It is not cryptographic.
std::string digest128(std::string_view text);

} // namespace limpetlock
