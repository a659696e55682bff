/// \file
/// Encoding of the messages between instances: Thrift compact protocol behind a 4-byte big-endian length.
#pragma once

#include <limpetlock/support/error.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::peer {

namespace wire {
class frame;
} // namespace wire

enum class codec_errc { none, too_large, malformed };
using codec_error = basic_error<codec_errc>;

/// Upper bound of one frame: a configuration document of 1 MB and room for its envelope.
inline constexpr std::size_t max_frame_bytes = std::size_t{2} * 1024 * 1024;
inline constexpr std::size_t length_prefix_bytes = 4;

/// The frame with its length prefix.
std::string encode(const wire::frame& message);

/// Length of the frame that a prefix announces; nullopt when it is zero or above the bound.
std::optional<std::size_t> frame_length(const std::array<unsigned char, length_prefix_bytes>& prefix);

/// Decodes a frame without its prefix.
std::optional<wire::frame> decode(std::string_view bytes, codec_error& error);

} // namespace limpetlock::peer
