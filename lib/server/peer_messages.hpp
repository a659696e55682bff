/// \file
/// Field-by-field conversion between the value types of the libraries and the Thrift messages.
#pragma once

#include "pool_usage.hpp"

#include <limpetlock/claims/messages.hpp>
#include <limpetlock/config/fold.hpp>
#include <limpetlock/membership/view.hpp>
#include <limpetlock/peer/generated/peer_types.h>

#include <vector>

namespace limpetlock::server {

peer::wire::heartbeat_message to_wire(const claims::heartbeat& it);
claims::heartbeat from_wire(const peer::wire::heartbeat_message& it);

peer::wire::heartbeat_ack_message to_wire(const claims::heartbeat_ack& it);
claims::heartbeat_ack from_wire(const peer::wire::heartbeat_ack_message& it);

peer::wire::claim_request_message to_wire(const claims::claim_request& it);
claims::claim_request from_wire(const peer::wire::claim_request_message& it);

peer::wire::claim_reply_message to_wire(const claims::claim_reply& it);
claims::claim_reply from_wire(const peer::wire::claim_reply_message& it);

peer::wire::claim_settle_message to_wire(const claims::claim_settle& it);
claims::claim_settle from_wire(const peer::wire::claim_settle_message& it);

peer::wire::config_push_message to_wire(const config::peer_version& it);
config::peer_version from_wire(const peer::wire::config_push_message& it);

peer::wire::evidence_message to_wire(const std::vector<membership::leaving_evidence>& items);
std::vector<membership::leaving_evidence> from_wire(const peer::wire::evidence_message& it);

peer::wire::usage_message to_wire(const std::vector<pool_usage>& items);
std::vector<pool_usage> from_wire(const peer::wire::usage_message& it);

/// Splits a handover into parts that each fit into one frame. Returns at least one part.
std::vector<peer::wire::handover_message> to_wire(const claims::handover& it);

/// Appends the records of `part` to `whole` and copies the other fields from it.
void append_part(claims::handover& whole, const peer::wire::handover_message& part);

} // namespace limpetlock::server
