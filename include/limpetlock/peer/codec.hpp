/// \file
/// Encoding of the messages between instances: a frame is a 4-byte big-endian length followed by a message in
/// the Thrift compact protocol.
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

/// Largest frame without its length prefix, in bytes. It holds a configuration document of 1 MB and the
/// message around it.
inline constexpr std::size_t max_frame_bytes = std::size_t{2} * 1024 * 1024;
inline constexpr std::size_t length_prefix_bytes = 4;

/// Returns the encoded frame with its length prefix.
std::string encode(const wire::frame& message);

/// Returns the length in bytes of the frame that follows the prefix, or nullopt if it is zero or exceeds
/// max_frame_bytes.
std::optional<std::size_t> frame_length(const std::array<unsigned char, length_prefix_bytes>& prefix);

/// Decodes a frame without its prefix. Returns nullopt and sets `error` if the bytes aren't exactly one frame
/// with a sender.
std::optional<wire::frame> decode(std::string_view bytes, codec_error& error);

} // namespace limpetlock::peer
