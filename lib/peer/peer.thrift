// Messages between limpetlock instances. Regenerate with utils/generate-thrift; the output is committed.
namespace cpp limpetlock.peer.wire

struct heartbeat_message {
  1: i64 sequence;
  2: i64 sent_ms;         // boot clock of the sender; echoed by the acknowledgement
  3: i64 config_number;
  4: string config_digest;
  5: i64 claims_number;
  6: bool stopping;
  7: string peer_host;    // address of the sender's peer listener, for a receiver without an instance list
  8: i32 peer_port;
}

struct heartbeat_ack_message {
  1: i64 sequence;
  2: i64 sent_ms;         // copied from the heartbeat
  3: bool vouches;        // whether the receiver supports the sender's lease
  4: i64 config_number;
  5: string config_digest;
}

struct claim_request_message {
  1: string team;
  2: string key;
  3: string body_digest;
  4: string attempt_id;
  5: bool first_attempt;
  6: i64 claims_number;
}

enum claim_verdict { granted = 1, answered = 2, in_progress = 3, unknown = 4, refused = 5, key_reused = 6 }

struct claim_reply_message {
  1: claim_verdict verdict;
  2: string reason;
  3: string answer;       // set when verdict is answered
  4: i64 valid_ms;        // how long after its request the holder may still dispatch
}

enum claim_outcome { done = 1, not_run = 2, unknown = 3 }

struct claim_settle_message {
  1: string team;
  2: string key;
  3: string attempt_id;
  4: claim_outcome outcome;
  5: string answer;
}

/// Acknowledges a message that has no other reply.
struct received_message {
  1: bool accepted;
}

struct list_pull_message {
}

struct list_push_message {
  1: i64 version;
  2: string body;         // the instance list as the platform gave it
}

struct config_pull_message {
  1: i64 after_number;
}

struct config_push_message {
  1: i64 number;
  2: i64 revision;
  3: i64 claims_number;
  4: string digest;
  5: string document;
}

struct endpoint_evidence_message {
  1: string pool;
  2: string name;
  3: bool leaving;
  4: i64 list_version;
}

struct evidence_message {
  1: list<endpoint_evidence_message> items;
}

struct team_usage_message {
  1: string team;
  2: double cost_ms;
  3: i32 rank;            // 0 urgent, 1 standard, 2 background
  4: string pool;         // bottleneck pool of the queue that served it
}

struct usage_message {
  1: list<team_usage_message> items;
}

struct claim_record_message {
  1: string team;
  2: string key;
  3: string body_digest;
  4: string attempt_id;
  5: i32 state;
  6: string answer;
  7: i64 age_ms;
}

struct handover_message {
  1: string owner;
  2: i64 incarnation;
  3: bool sealed;
  4: i64 lease_age_ms;
  5: list<claim_record_message> records;
  6: i32 part;            // a long list is sent in parts, numbered from 0
  7: i32 parts;
  8: i64 claims_number;   // claims section under which the owner sealed
}

struct handover_pull_message {
  1: string owner;
  2: i32 part;
}

struct frame {
  1: string sender;
  2: i64 incarnation;
  3: i64 correlation;     // a reply carries the correlation of its request
  10: optional heartbeat_message heartbeat;
  11: optional heartbeat_ack_message heartbeat_ack;
  12: optional claim_request_message claim_request;
  13: optional claim_reply_message claim_reply;
  14: optional claim_settle_message claim_settle;
  15: optional received_message received;
  16: optional config_pull_message config_pull;
  17: optional config_push_message config_push;
  18: optional evidence_message evidence;
  19: optional usage_message usage;
  20: optional handover_message handover;
  21: optional handover_pull_message handover_pull;
  22: optional list_pull_message list_pull;
  23: optional list_push_message list_push;
}
