// Messages between limpetlock instances. Regenerate with utils/generate-thrift; the output is committed.
namespace cpp limpetlock.peer.wire

struct heartbeat_message {
  1: i64 sequence;
  2: i64 sent_ms;         // boot clock of the sender in ms; the acknowledgement returns it
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
  4: i64 valid_ms;        // time after its request in which the holder may dispatch
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
  2: string body;         // instance list in the form that the platform published
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
  6: i32 part;            // number of this part, from 0; a long list is sent in several
  7: i32 parts;
  8: i64 claims_number;   // claims section in force when the owner sealed its records
}

struct handover_pull_message {
  1: string owner;
  2: i32 part;
}

/// One instance as its peers know it.
struct member_message {
  1: string name;
  2: string host;
  3: i32 port;
  4: string domain;
  5: i32 capacity;        // thousandths of a core
  6: i64 life;            // random number of the process, so another one after a restart
  7: i64 age_ms;          // time since its last message; 0 for the sender itself
  8: bool stopping;
  9: bool overloaded;     // gives up the duties that others can take
}

/// An engine that was lost when it began to answer a request.
struct crash_sighting_message {
  1: string endpoint;
  2: i64 started_ms;
  3: string reporter;
  4: i64 age_ms;
  5: optional bool silent; // no byte of the answer had arrived
}

/// Evidence that engines crash on a part of a prompt.
struct part_evidence_message {
  1: i64 part;            // the bits of its unsigned id
  2: list<crash_sighting_message> crashes;
  3: i64 answer_age_ms;   // time since a complete answer to a request with it; -1 without one
}

/// The rate of requests to which an endpoint limits all instances together.
struct endpoint_limit_message {
  1: string endpoint;
  2: i64 started_ms;
  3: double max_rate;     // requests a second; -1 when it no longer has a limit
  4: string reporter;     // instance that got the answer which stated it
  5: i64 age_ms;
}

/// An endpoint that stated in an answer that it leaves.
struct endpoint_leaving_message {
  1: string endpoint;
  2: i64 started_ms;     // start of its process
  3: string reporter;    // instance that got the answer
  4: i64 age_ms;
}

/// An endpoint that stated in an answer that it is cold.
struct endpoint_cold_message {
  1: string endpoint;
  2: i64 started_ms;     // start of its process
  3: i64 left_ms;        // time until it is warm, from the sending of this message; 0 when it is warm
  4: string reporter;    // instance that got the answer
  5: i64 number;         // tells the statements of one reporter apart
  6: i64 age_ms;
}

struct member_ping_message {
  1: member_message own;
  2: list<member_message> known;
  3: i64 state_revision;  // as in member_pong_message
  4: i64 table_revision;
  5: list<part_evidence_message> suspects;
  6: list<endpoint_limit_message> limits;
  7: i64 state_era;
  8: i64 table_era;
  9: i64 table_version;
  10: list<endpoint_leaving_message> leaving;
  11: list<endpoint_cold_message> cold;
  20: bool brief;         // has only the sender and its positions, and wants such a pong
}

struct member_pong_message {
  1: member_message own;
  2: list<member_message> known;
  3: i64 state_revision;  // newest revision of the published state that the sender has
  4: i64 proof_age_ms;    // time since the table was known to be the newest; -1 if it never was
  5: i64 table_revision;  // revision of the sender's routing table
  6: list<part_evidence_message> suspects;
  7: list<endpoint_limit_message> limits;
  8: i64 state_era;       // era of the store in which state_revision was given out
  9: i64 table_era;
  10: i64 table_version;
  11: list<endpoint_leaving_message> leaving;
  12: list<endpoint_cold_message> cold;
}

struct state_pull_message {
  1: i64 after_revision;
  2: bool accepts_compressed; // the sender can decompress values
  3: i64 after_era;
  10: bool accepts_packed; // the sender can unpack items
}

struct state_item_message {
  1: string key;
  2: string value;
  3: i64 revision;
  4: bool removed;
  5: bool compressed;     // the value is in the zlib format
  6: i64 era;             // in which the revision was given out
}

struct state_push_message {
  1: i64 revision;
  2: bool whole;          // the message has the whole state, so other keys were removed
  3: list<state_item_message> items;
  4: i64 proof_age_ms;
  5: i64 table_revision;
  6: i64 era;
  7: i64 table_era;
  8: i64 table_version;
  9: bool has_evacuations; // the sender's state includes the orders to evacuate failure domains
  10: string packed;      // further items: a state_push_message with items only, in the zlib format
}

/// Results of a stage and the instance that ran it.
struct result_group_message {
  1: string place;
  2: list<string> handles;
}

/// One of the remaining stages of a request.
struct chain_stage_message {
  1: string pool;
  2: i32 stage;
  3: i32 pieces;
  4: i64 time_to_end_ms;  // from its end to the end of the last stage, if no other pieces wait
  5: list<i32> after;     // indexes into the chain of the stages whose results it takes
}

struct stage_order_message {
  1: string pool;
  2: string request_id;
  3: i32 stage;
  4: list<i32> pieces;
  5: string key;
  6: list<result_group_message> inputs;
  7: i64 time_left_ms;
  8: i64 slack_ms;        // time until the pieces must be done for an answer within the objective
  9: string domain;       // failure domain that needs the results
  10: i64 result_bytes;   // size of the result of one piece
  11: i32 priority;
  12: double worth;       // tokens of the request for each of its pieces
  13: i64 transfer_bytes; // input and result bytes that endpoints fetch for these pieces
  14: string group;       // failure domain whose endpoints may be used; empty for all
  15: list<string> next_pools; // pools of the stages that follow
  20: i32 shard;          // part of the group's endpoints, from 0
  21: i32 shards;         // number of parts; 0 or 1: the group isn't divided
  22: optional list<chain_stage_message> chain; // this stage and those that depend on it
  23: optional bool admitted;  // an instance has admitted the stages of the request already
  24: optional string team;    // whose request it is; absent if unknown
  25: bool poll;          // asks for an open task: only request_id, stage, run and max_wait_ms are set
  26: optional i32 max_wait_ms; // time until the reply, also if the task isn't done; 500 ms if absent
  30: i32 run;            // distinguishes the runs of the stages for the same request
}

/// Work that waits for a pool: `before_ms[n]` passes until the pieces with order keys of up to `key_ms[n]`
/// from now are done.
struct pool_backlog_message {
  1: string pool;
  2: list<i64> key_ms;
  3: list<i64> before_ms;
}

struct piece_result_message {
  1: string handle;       // empty when the piece failed
  2: i32 failure;
}

struct stage_result_message {
  // 0 done, 1 still in progress, 2 refused, 3 the group has no endpoint of the pool, 4 cancelled,
  // 5 the polled task isn't open here
  1: i32 status;
  2: list<piece_result_message> pieces;
  3: string reason;
  4: i64 backlog_ms;      // time that the pool needs for its waiting pieces
  10: optional i64 retry_after_ms; // refused for lack of room, also at other instances, until then
  11: optional list<pool_backlog_message> backlogs; // of all pools of the group with waiting pieces
  12: bool overloaded;    // as in member_message, for the sender of the order
  13: bool accepts_polls; // the next orders for the task may be polls
}

struct stage_cancel_message {
  1: string request_id;
  2: i32 stage;
  10: i32 run;
}

/// Results that the sender no longer needs, for the instance that ran the stage.
struct stage_release_message {
  1: list<string> handles;
}

/// Asks the instance that is responsible for an endpoint with a limit for the right to send it one request.
struct permit_request_message {
  1: string endpoint;
  2: double max_rate;     // the endpoint's limit as the sender knows it
  3: i64 max_wait_ms;     // longest time until the request is sent
  4: string team;
  5: double max_saved;    // permits that accumulate at most; 0 if the sender doesn't say
  6: bool cold;           // the endpoint is cold, as the sender knows it
}

struct permit_reply_message {
  1: bool granted;
  2: i64 wait_ms;         // time until the request may be sent, or after which to ask again
  3: i64 lifetime_ms;     // longest time from then until the request is sent; 0 if the sender doesn't say
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
  24: optional member_ping_message member_ping;
  25: optional member_pong_message member_pong;
  26: optional state_pull_message state_pull;
  27: optional state_push_message state_push;
  28: optional stage_order_message stage_order;
  29: optional stage_result_message stage_result;
  30: optional stage_cancel_message stage_cancel;
  31: optional stage_release_message stage_release;
  32: optional permit_request_message permit_request;
  33: optional permit_reply_message permit_reply;
}
