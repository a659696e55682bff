#include "peer_messages.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace limpetlock::server {

namespace wire = peer::wire;

namespace {

/// Bytes of records in one part: half of the largest frame, since estimated_bytes() is only an estimate.
constexpr std::size_t handover_part_bytes = std::size_t{1024} * 1024;
constexpr std::size_t handover_part_records = 4096;
constexpr std::size_t record_overhead_bytes = 32;

/// Converts a number from a peer to an enumeration. A number outside of the range becomes `fallback`, since
/// another process may send any value.
template <typename Enum>
Enum enum_or_fallback(std::int64_t n, Enum lowest, Enum highest, Enum fallback)
{
    if (n < static_cast<std::int64_t>(lowest) || n > static_cast<std::int64_t>(highest))
        return fallback;
    return static_cast<Enum>(n);
}

wire::claim_record_message to_wire(const claims::claim_record& it)
{
    wire::claim_record_message out;
    out.team = it.team;
    out.key = it.key;
    out.body_digest = it.body_digest;
    out.attempt_id = it.attempt_id;
    out.state = static_cast<std::int32_t>(it.state);
    out.answer = it.answer;
    out.age_ms = it.age_ms;
    return out;
}

claims::claim_record from_wire(const wire::claim_record_message& it)
{
    using state = claims::record_state;
    return {it.team,
            it.key,
            it.body_digest,
            it.attempt_id,
            enum_or_fallback(it.state, state::granted, state::unknown, state::unknown),
            it.answer,
            it.age_ms};
}

std::size_t estimated_bytes(const claims::claim_record& it)
{
    return it.team.size() + it.key.size() + it.body_digest.size() + it.attempt_id.size() + it.answer.size() +
           record_overhead_bytes;
}

} // namespace

wire::heartbeat_message to_wire(const claims::heartbeat& it)
{
    wire::heartbeat_message out;
    out.sequence = it.sequence;
    out.sent_ms = it.sent_ms;
    out.config_number = it.config_number;
    out.config_digest = it.config_digest;
    out.claims_number = it.claims_number;
    out.stopping = it.stopping;
    return out;
}

claims::heartbeat from_wire(const wire::heartbeat_message& it)
{
    return {it.sequence, it.sent_ms, it.config_number, it.config_digest, it.claims_number, it.stopping};
}

wire::heartbeat_ack_message to_wire(const claims::heartbeat_ack& it)
{
    wire::heartbeat_ack_message out;
    out.sequence = it.sequence;
    out.sent_ms = it.sent_ms;
    out.vouches = it.supports;
    out.config_number = it.config_number;
    out.config_digest = it.config_digest;
    return out;
}

claims::heartbeat_ack from_wire(const wire::heartbeat_ack_message& it)
{
    return {it.sequence, it.sent_ms, it.vouches, it.config_number, it.config_digest};
}

wire::claim_request_message to_wire(const claims::claim_request& it)
{
    wire::claim_request_message out;
    out.team = it.team;
    out.key = it.key;
    out.body_digest = it.body_digest;
    out.attempt_id = it.attempt_id;
    out.first_attempt = it.first_attempt;
    out.claims_number = it.claims_number;
    return out;
}

claims::claim_request from_wire(const wire::claim_request_message& it)
{
    return {it.team, it.key, it.body_digest, it.attempt_id, it.first_attempt, it.claims_number};
}

wire::claim_reply_message to_wire(const claims::claim_reply& it)
{
    wire::claim_reply_message out;
    out.verdict = static_cast<wire::claim_verdict::type>(it.verdict);
    out.reason = it.reason;
    out.answer = it.answer;
    out.valid_ms = it.valid_ms;
    return out;
}

claims::claim_reply from_wire(const wire::claim_reply_message& it)
{
    using verdict = claims::claim_verdict;
    return {enum_or_fallback(it.verdict, verdict::granted, verdict::key_reused, verdict::unknown), it.reason,
            it.answer, it.valid_ms};
}

wire::claim_settle_message to_wire(const claims::claim_settle& it)
{
    wire::claim_settle_message out;
    out.team = it.team;
    out.key = it.key;
    out.attempt_id = it.attempt_id;
    out.outcome = static_cast<wire::claim_outcome::type>(it.outcome);
    out.answer = it.answer;
    return out;
}

claims::claim_settle from_wire(const wire::claim_settle_message& it)
{
    using outcome = claims::claim_outcome;
    return {it.team, it.key, it.attempt_id,
            enum_or_fallback(it.outcome, outcome::done, outcome::unknown, outcome::unknown), it.answer};
}

wire::config_push_message to_wire(const config::peer_version& it)
{
    wire::config_push_message out;
    out.number = it.number;
    out.revision = it.revision;
    out.claims_number = it.claims_number;
    out.digest = it.digest;
    out.document = it.text;
    return out;
}

config::peer_version from_wire(const wire::config_push_message& it)
{
    return {it.number, it.revision, it.claims_number, it.digest, it.document};
}

wire::evidence_message to_wire(const std::vector<membership::leaving_evidence>& items)
{
    wire::evidence_message out;
    for (const auto& it : items) {
        wire::endpoint_evidence_message item;
        item.pool = it.pool;
        item.name = it.name;
        item.leaving = true;
        item.list_version = it.list_version;
        out.items.push_back(std::move(item));
    }
    return out;
}

std::vector<membership::leaving_evidence> from_wire(const wire::evidence_message& it)
{
    std::vector<membership::leaving_evidence> out;
    for (const auto& item : it.items)
        if (item.leaving)
            out.push_back({item.pool, item.name, item.list_version});
    return out;
}

wire::usage_message to_wire(const std::vector<pool_usage>& items)
{
    wire::usage_message out;
    for (const auto& it : items) {
        wire::team_usage_message item;
        item.team = it.usage.team;
        item.cost_ms = it.usage.cost_ms;
        item.rank = static_cast<std::int32_t>(it.usage.priority);
        item.pool = it.pool;
        out.items.push_back(std::move(item));
    }
    return out;
}

std::vector<pool_usage> from_wire(const wire::usage_message& it)
{
    using admission::rank;
    std::vector<pool_usage> out;
    for (const auto& item : it.items)
        out.push_back(
            {item.pool,
             {item.team, enum_or_fallback(item.rank, rank::urgent, rank::background, rank::background),
              std::max(0.0, item.cost_ms)}});
    return out;
}

std::vector<wire::handover_message> to_wire(const claims::handover& it)
{
    std::vector<wire::handover_message> out(1);
    std::size_t bytes = 0;
    for (const auto& record : it.records) {
        const std::size_t n = estimated_bytes(record);
        const bool full =
            bytes + n > handover_part_bytes || out.back().records.size() >= handover_part_records;
        if (full && !out.back().records.empty()) {
            out.emplace_back();
            bytes = 0;
        }
        out.back().records.push_back(to_wire(record));
        bytes += n;
    }
    for (std::size_t n = 0; n < out.size(); ++n) {
        out[n].owner = it.owner;
        out[n].incarnation = it.incarnation;
        out[n].sealed = it.sealed;
        out[n].lease_age_ms = it.lease_age_ms;
        out[n].claims_number = it.claims_number;
        out[n].part = static_cast<std::int32_t>(n);
        out[n].parts = static_cast<std::int32_t>(out.size());
    }
    return out;
}

void append_part(claims::handover& whole, const wire::handover_message& part)
{
    whole.owner = part.owner;
    whole.incarnation = part.incarnation;
    whole.sealed = part.sealed;
    whole.lease_age_ms = part.lease_age_ms;
    whole.claims_number = part.claims_number;
    for (const auto& it : part.records)
        whole.records.push_back(from_wire(it));
}

} // namespace limpetlock::server
