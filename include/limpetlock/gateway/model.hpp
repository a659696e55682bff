/// \file
/// What the gateway knows of the platform: routes, pools, teams, endpoints and requests, as plain values.
#pragma once

#include <limpetlock/http/client.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

struct pool_share {
    std::string pool;
    std::uint32_t weight{1};

    friend bool operator==(const pool_share&, const pool_share&) = default;
};

/// One stage of a route: work in a stage pool before the request itself can run.
struct stage_spec {
    std::string pool;
    std::vector<std::uint32_t> dependencies; ///< indexes of the stages whose results it takes
    std::uint64_t result_bytes{0};           ///< approximate size of the result of one piece

    friend bool operator==(const stage_spec&, const stage_spec&) = default;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix;        ///< begins and ends with a slash
    bool repeatable{false};    ///< may run more than once
    bool stream{false};        ///< answered by server-sent events
    bool resumable{false};     ///< a stream that another endpoint can continue after the last event
    bool generation{false};    ///< runs at a model engine and names its prompt
    bool public_access{false}; ///< needs no API key
    int priority{0};           ///< 0 is the most urgent
    std::uint32_t max_attempts{1};
    duration timeout{0};   ///< longest time until the final answer
    duration objective{0}; ///< answer or first event within this time earns full credit
    duration event_gap_objective{0};
    duration first_event_timeout{
        0}; ///< callers leave a stream without a first event after this; 0 when unknown
    std::vector<pool_share> targets;
    std::vector<stage_spec> stages;

    friend bool operator==(const route&, const route&) = default;
};

/// Figures of one endpoint of a stage pool.
struct stage_capacity {
    std::uint32_t max_calls{1};        ///< calls that run at the same time
    std::uint32_t max_queued_calls{0}; ///< calls that may wait
    std::uint32_t max_batch_pieces{1}; ///< pieces in one call
    double call_ms{0};                 ///< fixed cost of a call
    double piece_ms{0};                ///< cost of each piece
    double result_storage_mb{0};       ///< memory for results that wait to be fetched
    duration result_lifetime{0};

    friend bool operator==(const stage_capacity&, const stage_capacity&) = default;
};

struct engine_capacity {
    std::uint32_t slots{1};
    std::uint64_t cache_tokens{0};

    friend bool operator==(const engine_capacity&, const engine_capacity&) = default;
};

struct pool {
    std::string name;
    std::uint32_t max_connections{1}; ///< per endpoint, over all callers
    std::optional<stage_capacity> stage;
    std::optional<engine_capacity> engine;

    friend bool operator==(const pool&, const pool&) = default;
};

struct caller_limits {
    std::size_t header_bytes{std::size_t{16} * 1024};
    std::size_t body_bytes{std::size_t{4} * 1024 * 1024};
    duration header_timeout{3'000};
    duration idle_timeout{15'000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

struct team {
    std::string name;
    std::optional<int> priority; ///< goes before the priority of the route

    friend bool operator==(const team&, const team&) = default;
};

/// One version of the published configuration.
class routing_table {
public:
    std::int64_t version{0};
    std::vector<route> routes;
    std::map<std::string, pool, std::less<>> pools;
    caller_limits limits;
    bool has_teams{false}; ///< requests on routes that aren't open need a key
    std::map<std::string, team, std::less<>> teams_by_key;

    /// The route of the host with the longest prefix that begins the path; nullptr when there is none.
    const route* find_route(std::string_view host, std::string_view path) const;

    const pool* find_pool(std::string_view name) const;

    friend bool operator==(const routing_table&, const routing_table&) = default;
};

struct endpoint {
    std::string id; ///< differs between starts, with rare exceptions
    std::string pool;
    http::address address;
    std::string domain;
    std::uint32_t slots{1};
    bool leaving{false};
    std::int64_t started_ms{0}; ///< Unix time of its start; 0 when it doesn't say

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// A part of a prompt that requests may share.
struct prompt_part {
    std::uint64_t id{0};
    std::uint32_t tokens{0};

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// What a caller's request says beside its bytes.
struct caller_request {
    std::string id;
    std::string host;
    std::string path; ///< without the query
    std::optional<duration> time_left;
    std::optional<std::string> api_key;
    std::vector<std::uint32_t> stage_pieces; ///< pieces of each stage; 0 leaves the stage out
    std::string piece_key;
    std::vector<prompt_part> prompt;
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{0};
    std::optional<std::uint64_t> last_event_id;

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

/// What the gateway adds to a request that it passes on.
struct forwarding_metadata {
    duration time_left{0};
    std::string endpoint_id;
    std::optional<std::string> team;
    std::optional<int> priority;               ///< 0 (first) to 9
    std::vector<std::string> inputs;           ///< handles of the stage results
    std::optional<std::uint64_t> resume_after; ///< id of the last event that the caller has
};

struct load_report {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// What the header of an endpoint's answer says beside its status.
struct answer_metadata {
    bool not_run{false};         ///< the endpoint states that it did not run the request
    bool wrong_endpoint{false};  ///< another endpoint has the address now
    bool inputs_gone{false};     ///< not run, since results of its stages no longer exist
    bool has_signature{false};   ///< carries the endpoint's signature
    bool content_encoded{false}; ///< the body has a content encoding
    bool closing{false};         ///< the endpoint closes the connection
    std::optional<std::string> request_id;
    std::optional<load_report> load;

    friend bool operator==(const answer_metadata&, const answer_metadata&) = default;
};

/// One piece of a stage in a call to an endpoint of its pool.
struct piece_request {
    std::string request_id;
    std::uint32_t stage{0};
    std::uint32_t piece{0};
    duration time_left{0};
    std::string key;                 ///< for a stage that needs no other stage
    std::vector<std::string> inputs; ///< handles of every piece of the stages that it needs

    friend bool operator==(const piece_request&, const piece_request&) = default;
};

enum class piece_failure : std::uint8_t { none, late, input_gone, no_room, error };

std::string_view to_string(piece_failure it);

struct piece_result {
    std::string handle; ///< names the result at its maker; empty when the piece failed
    piece_failure failure{piece_failure::none};

    friend bool operator==(const piece_result&, const piece_result&) = default;
};

/// Results of one stage and the instance that ran it.
struct result_group {
    std::string producer;
    std::vector<std::string> handles;

    friend bool operator==(const result_group&, const result_group&) = default;
};

/// One entry of the platform's published state.
struct state_entry {
    std::string key;
    std::string value;
    std::int64_t revision{0}; ///< of its last change
    bool removed{false};

    friend bool operator==(const state_entry&, const state_entry&) = default;
};

struct state_page {
    std::vector<state_entry> entries;
    std::int64_t revision{0}; ///< of the store when it answered
    bool more{false};
};

} // namespace limpetlock::gateway
