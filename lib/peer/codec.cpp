#include <limpetlock/peer/codec.hpp>
#include <limpetlock/peer/generated/peer_types.h>

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <exception>
#include <memory>

namespace limpetlock::peer {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

// The generated code allocates a list at its announced length before it reads the first item, so the length
// is bounded independently of the frame's size. 65,536 claim records take about 13 MB.
constexpr std::int32_t max_container_items = 65'536;

} // namespace

std::string encode(const wire::frame& message)
{
    const auto transport = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(transport);
    message.write(&protocol);
    const std::string body = transport->getBufferAsString();
    const auto n = static_cast<std::uint32_t>(body.size());
    std::string out;
    out.reserve(length_prefix_bytes + body.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((n >> shift) & 0xffU));
    return out + body;
}

std::optional<std::size_t> frame_length(const std::array<unsigned char, length_prefix_bytes>& prefix)
{
    std::size_t n = 0;
    for (const unsigned char it : prefix)
        n = (n << 8U) | it;
    if (n == 0 || n > max_frame_bytes)
        return std::nullopt;
    return n;
}

std::optional<wire::frame> decode(std::string_view bytes, codec_error& error)
{
    if (bytes.size() > max_frame_bytes) {
        error = {codec_errc::too_large, fmt::format("frame of {} bytes is too large", bytes.size())};
        return std::nullopt;
    }
    std::string copy(bytes);
    const auto transport = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(copy.data()),
                                                           static_cast<std::uint32_t>(copy.size()));
    TCompactProtocol protocol(transport, static_cast<std::int32_t>(copy.size()), max_container_items);
    wire::frame out;
    try {
        out.read(&protocol);
    } catch (const std::exception& it) {
        error = {codec_errc::malformed, it.what()};
        return std::nullopt;
    }
    if (transport->available_read() != 0) {
        error = {codec_errc::malformed, "bytes after the end of the frame"};
        return std::nullopt;
    }
    if (out.sender.empty()) {
        error = {codec_errc::malformed, "frame without a sender"};
        return std::nullopt;
    }
    return out;
}

} // namespace limpetlock::peer
