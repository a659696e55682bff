#include <limpetlock/gateway/state_packing.hpp>
#include <limpetlock/peer/codec.hpp>
#include <limpetlock/support/compression.hpp>

#include <utility>

namespace limpetlock::gateway {

namespace wire = peer::wire;

std::string pack_items(std::vector<wire::state_item_message> items)
{
    wire::frame it;
    it.sender = "-"; // a frame without a sender isn't valid
    wire::state_push_message body;
    body.items = std::move(items);
    it.__set_state_push(body);
    return compress(peer::encode(it));
}

std::optional<std::vector<wire::state_item_message>> unpack_items(std::string_view packed)
{
    const auto bytes = decompress(packed, peer::max_frame_bytes + peer::length_prefix_bytes);
    if (!bytes || bytes->size() < peer::length_prefix_bytes)
        return std::nullopt;
    peer::codec_error error;
    auto it = peer::decode(std::string_view(*bytes).substr(peer::length_prefix_bytes), error);
    if (!it || !it->__isset.state_push)
        return std::nullopt;
    return std::move(it->state_push.items);
}

} // namespace limpetlock::gateway
