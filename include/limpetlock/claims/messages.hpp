/// \file
/// Value types of the claim protocol. Each struct maps field by field to the struct in peer.thrift that has
/// its name with the suffix `_message`. Members that end in `_ms` are milliseconds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace limpetlock::claims {

/// Decision of an owner on a claim request.
///   granted: the requester may dispatch the call.
///   answered: the call is done, and the reply has its answer.
///   in_progress: another attempt holds the grant.
///   unknown: the owner cannot determine whether the call ran.
///   refused: nothing ran under this key, or the request is a first attempt that the owner does not grant.
///   key_reused: the key was used with another request body.
enum class claim_verdict {
    granted = 1,
    answered = 2,
    in_progress = 3,
    unknown = 4,
    refused = 5,
    key_reused = 6
};

/// Outcome of an attempt, as reported to the owner. `unknown` means that the call may have run.
enum class claim_outcome { done = 1, not_run = 2, unknown = 3 };

/// State of the record of a key: granted, and then the outcome of the attempt.
enum class record_state { granted = 1, done = 2, not_run = 3, unknown = 4 };

/// Message by which a process asks for support of its lease and announces its configuration.
struct heartbeat {
    std::int64_t sequence = 0; ///< Number of the round; 0 if the sender is no owner and asks for no support.
    std::int64_t sent_ms = 0;  ///< Time of the sender's clock.
    std::int64_t config_number = 0;
    std::string config_digest;
    std::int64_t claims_number = 0;
    bool stopping = false;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// Reply to a heartbeat. Repeats the sequence number and the time of the heartbeat.
struct heartbeat_ack {
    std::int64_t sequence = 0;
    std::int64_t sent_ms = 0;
    bool supports = false; ///< Whether the witness supports the lease; `vouches` in peer.thrift.
    std::int64_t config_number = 0;
    std::string config_digest;

    friend bool operator==(const heartbeat_ack&, const heartbeat_ack&) = default;
};

/// Request to the owner of a key for the grant to dispatch a call.
struct claim_request {
    std::string team;
    std::string key;
    std::string body_digest;
    std::string attempt_id;
    bool first_attempt = false; ///< The caller asserts that it has not tried this key before.
    std::int64_t claims_number = 0;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

/// Reply of the owner to a claim request.
struct claim_reply {
    claim_verdict verdict = claim_verdict::unknown;
    std::string reason;
    std::string answer;
    std::int64_t valid_ms = 0; ///< How long after its request a grant may be dispatched.

    friend bool operator==(const claim_reply&, const claim_reply&) = default;
};

/// Settlement of a grant: reports the outcome of the attempt to the owner.
struct claim_settle {
    std::string team;
    std::string key;
    std::string attempt_id;
    claim_outcome outcome = claim_outcome::unknown;
    std::string answer;

    friend bool operator==(const claim_settle&, const claim_settle&) = default;
};

/// Record of one key in a handover.
struct claim_record {
    std::string team;
    std::string key;
    std::string body_digest;
    std::string attempt_id;
    record_state state = record_state::granted;
    std::string answer;
    std::int64_t age_ms = 0; ///< Time since the record's last change of state.

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// Claim records of an owner that stops. It is also the reply to a handover pull. If the witness keeps no
/// records for the requester, `sealed` is false in the reply and `incarnation` is the predecessor that the
/// witness supported last, or 0 for none.
struct handover {
    std::string owner;
    std::int64_t incarnation = 0;
    bool sealed = false;
    std::int64_t lease_age_ms = 0; ///< How far back from the seal the records cover every grant.
    std::vector<claim_record> records;
    std::int64_t claims_number = 0;

    friend bool operator==(const handover&, const handover&) = default;
};

} // namespace limpetlock::claims
