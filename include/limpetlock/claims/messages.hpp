/// \file
/// Value types of the claim protocol. Each maps field by field to the struct of the same name in peer.thrift.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace limpetlock::claims {

/// What the owner says to an ask. `refused` means that the owner knows that nothing ran under this key, or
/// that the ask is a first attempt which it does not grant; `unknown` means that it cannot tell.
enum class claim_verdict {
    granted = 1,
    answered = 2,
    in_progress = 3,
    unknown = 4,
    refused = 5,
    key_reused = 6
};

enum class claim_outcome { done = 1, not_run = 2, unknown = 3 };

enum class record_state { granted = 1, done = 2, not_run = 3, unknown = 4 };

struct heartbeat {
    std::int64_t sequence = 0;
    std::int64_t sent_ms = 0;
    std::int64_t config_number = 0;
    std::string config_digest;
    std::int64_t claims_number = 0;
    bool stopping = false;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

struct heartbeat_ack {
    std::int64_t sequence = 0;
    std::int64_t sent_ms = 0;
    bool supports = false;
    std::int64_t config_number = 0;
    std::string config_digest;

    friend bool operator==(const heartbeat_ack&, const heartbeat_ack&) = default;
};

struct claim_request {
    std::string team;
    std::string key;
    std::string body_digest;
    std::string attempt_id;
    bool first_attempt = false;
    std::int64_t claims_number = 0;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

struct claim_reply {
    claim_verdict verdict = claim_verdict::unknown;
    std::string reason;
    std::string answer;
    std::int64_t valid_ms = 0;

    friend bool operator==(const claim_reply&, const claim_reply&) = default;
};

struct claim_settle {
    std::string team;
    std::string key;
    std::string attempt_id;
    claim_outcome outcome = claim_outcome::unknown;
    std::string answer;

    friend bool operator==(const claim_settle&, const claim_settle&) = default;
};

struct claim_record {
    std::string team;
    std::string key;
    std::string body_digest;
    std::string attempt_id;
    record_state state = record_state::granted;
    std::string answer;
    std::int64_t age_ms = 0;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// Records of an owner that stops. A reply to a handover pull from a witness that keeps no records has
/// `sealed` false and in `incarnation` the predecessor that the witness vouched for last (0: none).
struct handover {
    std::string owner;
    std::int64_t incarnation = 0;
    bool sealed = false;
    std::int64_t lease_age_ms = 0;
    std::vector<claim_record> records;
    std::int64_t claims_number = 0;

    friend bool operator==(const handover&, const handover&) = default;
};

} // namespace limpetlock::claims
