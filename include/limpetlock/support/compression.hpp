/// \file
/// Compression of texts for the links between instances.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock {

/// Compresses a text in the zlib format.
std::string compress(std::string_view text);

/// Returns the text of compress(). Returns nullopt if the bytes aren't its result, or if the text has more
/// than `max_bytes`.
std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes);

} // namespace limpetlock
