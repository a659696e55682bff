/// \file
/// Packs many entries of the published state into one compressed text, for an instance that needs most of
/// them at once.
#pragma once

#include <limpetlock/peer/generated/peer_types.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

std::string pack_items(std::vector<peer::wire::state_item_message> items);

/// Returns nullopt if the bytes aren't the result of pack_items or hold more than a message may.
std::optional<std::vector<peer::wire::state_item_message>> unpack_items(std::string_view packed);

} // namespace limpetlock::gateway
