/// \file
/// Value types of the gateway: routes, pools, teams, endpoints, requests and the platform's published state.
#pragma once

#include <limpetlock/http/client.hpp>
#include <limpetlock/support/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// A pool that serves a route, and its relative share of the route's requests.
struct pool_share {
    std::string pool;
    std::uint32_t weight{1};

    friend bool operator==(const pool_share&, const pool_share&) = default;
};

/// One stage of a route: work in a stage pool that has to end before the request itself can run.
struct stage_spec {
    std::string pool;
    std::vector<std::uint32_t> dependencies; ///< indexes of the stages whose results it takes as inputs
    std::uint64_t result_bytes{0};           ///< approximate size of the result of one piece, in bytes

    friend bool operator==(const stage_spec&, const stage_spec&) = default;
};

/// How the requests to one host and path prefix are served.
struct route {
    std::string name;
    std::string host;
    std::string prefix;            ///< begins and ends with a slash
    bool repeatable{false};        ///< may run more than once
    bool stream{false};            ///< the answer is a stream of server-sent events
    bool resumable{false};         ///< another endpoint can continue the stream after its last event
    bool generation{false};        ///< served by a model engine; requests name the parts of their prompt
    bool public_access{false};     ///< callers need no API key
    int priority{0};               ///< 0 is the most urgent
    std::uint32_t max_attempts{1}; ///< most attempts in which an endpoint may have run the request
    duration timeout{0};           ///< longest time until the end of the answer
    duration objective{0}; ///< latency objective: time until the answer, or the first event of a stream
    duration event_gap_objective{0}; ///< objective for the time between two events of a stream
    duration first_event_timeout{0}; ///< callers close a stream that has no first event by then; 0 if unknown
    std::vector<pool_share> targets;
    std::vector<stage_spec> stages;

    friend bool operator==(const route&, const route&) = default;
};

/// Capacity and cost of one endpoint of a stage pool.
struct stage_capacity {
    std::uint32_t max_calls{1};        ///< calls that run at the same time at one endpoint
    std::uint32_t max_queued_calls{0}; ///< calls that may wait at the endpoint
    std::uint32_t max_batch_pieces{1}; ///< most pieces in one call
    double call_ms{0};                 ///< fixed time of a call, in milliseconds
    double piece_ms{0};                ///< time of each piece of a call, in milliseconds
    double result_storage_mb{0}; ///< memory for results until they are fetched, in megabytes; 0: unlimited
    duration result_lifetime{0}; ///< the endpoint drops a result that was not fetched by then

    friend bool operator==(const stage_capacity&, const stage_capacity&) = default;
};

/// Capacity of one model engine.
struct engine_capacity {
    std::uint32_t slots{1};        ///< requests that run at the same time
    std::uint64_t cache_tokens{0}; ///< size of the key-value cache

    friend bool operator==(const engine_capacity&, const engine_capacity&) = default;
};

/// Endpoints of one kind. Pools of stages have `stage`, pools of model engines `engine`, others neither.
struct pool {
    std::string name;
    std::uint32_t max_connections{1}; ///< of one endpoint, over all its clients
    std::optional<stage_capacity> stage;
    std::optional<engine_capacity> engine;
    duration cold_time{0};     ///< longest time for which an endpoint is cold after its start
    double cold_rate{0};       ///< requests a second that an endpoint tolerates while it is cold; 0: no limit
    std::string health_path{}; ///< target of health checks of its endpoints; empty if they have none

    friend bool operator==(const pool&, const pool&) = default;
};

/// Limits for connections and requests of callers.
struct caller_limits {
    std::size_t header_bytes{std::size_t{16} * 1024};
    std::size_t body_bytes{std::size_t{4} * 1024 * 1024};
    duration header_timeout{3'000};
    duration idle_timeout{15'000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

struct team {
    std::string name;
    std::optional<int> priority; ///< takes precedence over the priority of the route

    friend bool operator==(const team&, const team&) = default;
};

/// One version of the published configuration.
class routing_table {
public:
    std::int64_t version{0};
    std::vector<route> routes;
    std::map<std::string, pool, std::less<>> pools;
    caller_limits limits;
    bool has_teams{false}; ///< requests need an API key unless their route has public_access
    std::map<std::string, team, std::less<>> teams_by_key;

    /// Returns the route of the host with the longest prefix that matches the path; nullptr if none does.
    const route* find_route(std::string_view host, std::string_view path) const;

    const pool* find_pool(std::string_view name) const;

    friend bool operator==(const routing_table&, const routing_table&) = default;
};

/// One entry of the platform's list of endpoints.
struct endpoint {
    std::string id; ///< usually differs between two starts of an endpoint; see started_ms
    std::string pool;
    http::address address;
    std::string domain;         ///< failure domain
    std::uint32_t slots{1};     ///< requests that run at the same time
    bool leaving{false};        ///< takes no new work
    bool evacuated{false};      ///< gets no new work, by an order of the operators for its failure domain
    std::int64_t started_ms{0}; ///< Unix time of its start in milliseconds; 0 if unknown
    /// Time from the writing of the entry until the endpoint isn't cold any more. This and entry_number are 0
    /// in lists of endpoints, which would change with each entry otherwise.
    duration cold_left{0};
    std::int64_t entry_number{0}; ///< rises with each entry of the same process

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// A part of a prompt. Requests with the same id share the part, so an engine can reuse its cache for it.
struct prompt_part {
    std::uint64_t id{0};
    std::uint32_t tokens{0};

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// Metadata of a caller's request.
struct caller_request {
    std::string id;
    std::string host;
    std::string path;                  ///< without the query
    std::optional<duration> time_left; ///< until the caller's deadline
    std::optional<std::string> api_key;
    std::vector<std::uint32_t> stage_pieces; ///< number of pieces of each stage; a stage with 0 is skipped
    std::string piece_key;                   ///< key for the pieces of stages without dependencies
    std::vector<prompt_part> prompt;
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{0};
    std::optional<std::uint64_t> last_event_id; ///< the stream resumes after this event

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

/// Metadata that the gateway adds to a request when it forwards it to an endpoint.
struct forwarding_metadata {
    duration time_left{0}; ///< until the deadline
    std::string endpoint_id;
    std::optional<std::string> team;
    std::optional<int> priority;               ///< 0 (most urgent) to 9
    std::vector<std::string> inputs;           ///< handles of the stage results
    std::optional<std::uint64_t> resume_after; ///< id of the last event that the caller has
};

/// Load of an endpoint, as it reports it with an answer.
struct load_report {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    /// Time that work takes on the endpoint's machine now, in percent of the usual time; nullopt if the
    /// endpoint doesn't state it.
    std::optional<double> time_percent{};

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Metadata in the header of an endpoint's answer.
struct answer_metadata {
    bool not_run{false};         ///< the endpoint states that it did not run the request
    bool wrong_endpoint{false};  ///< another endpoint now has the address
    bool inputs_gone{false};     ///< not run because results of its stages no longer exist
    bool has_signature{false};   ///< has the signature that endpoints add to their answers
    bool content_encoded{false}; ///< the body has a content encoding
    bool closing{false};         ///< the endpoint closes the connection
    std::optional<std::string> request_id;
    std::optional<load_report> load;
    bool malformed_load{false};             ///< it has a load report that can't be read
    std::optional<std::string> endpoint_id; ///< of the endpoint that answered, in answers to health checks
    /// Requests a second that the endpoint takes from all instances together; nullopt if it states no limit.
    std::optional<double> max_rate;
    bool malformed_max_rate{false}; ///< it states a limit that can't be read
    bool leaving{false};            ///< the endpoint states that it leaves
    /// Time for which the endpoint, which refused for lack of capacity, wants no requests of this instance.
    std::optional<duration> retry_after;
    bool malformed_retry_after{false}; ///< it states such a time that can't be read
    /// Time for which the endpoint is still cold; nullopt if it doesn't say.
    std::optional<duration> cold_left;
    bool malformed_cold_left{false}; ///< it states such a time that can't be read

    friend bool operator==(const answer_metadata&, const answer_metadata&) = default;
};

/// One piece in a stage call.
struct piece_request {
    std::string request_id;
    std::uint32_t stage{0};
    std::uint32_t piece{0};
    duration time_left{0};           ///< until the deadline of the piece
    std::string key;                 ///< only for a stage without dependencies
    std::vector<std::string> inputs; ///< handles of all results of the stages that it depends on

    friend bool operator==(const piece_request&, const piece_request&) = default;
};

/// Why a piece has no result: `late` means that it can't be done before its deadline, `no_room` that the
/// endpoint has no memory for the result.
enum class piece_failure : std::uint8_t { none, late, input_gone, no_room, error };

std::string_view to_string(piece_failure it);

struct piece_result {
    std::string handle; ///< identifies the result at the endpoint that stores it; empty if the piece failed
    piece_failure failure{piece_failure::none};

    friend bool operator==(const piece_result&, const piece_result&) = default;
};

/// Results of one stage. They are returned to the scheduler once they are no longer needed.
struct result_group {
    std::string scheduler; ///< name of the gateway instance that ran the stage task
    std::vector<std::string> handles;

    friend bool operator==(const result_group&, const result_group&) = default;
};

/// A position in the order in which the store made its changes. When the store comes back from an older copy,
/// its era rises and it gives revisions out again, so numbers of different eras can't be compared.
struct state_revision {
    // Implicit, since a store that states no era needs the number only.
    constexpr state_revision(std::int64_t its_number = 0, std::int64_t its_era = 0) // NOLINT
        : era(its_era), number(its_number)
    {
    }

    std::int64_t era; ///< 0 if the store doesn't state it
    std::int64_t number;

    friend auto operator<=>(const state_revision&, const state_revision&) = default; // NOLINT
};

/// Orders the values of one key by what they say of themselves, whatever their revisions are: the version of
/// a table, or the start of an endpoint and the number of its entry since then.
struct value_version {
    std::int64_t major{0};
    std::int64_t minor{0};

    friend auto operator<=>(const value_version&, const value_version&) = default; // NOLINT
};

/// One entry of the platform's published state.
struct state_entry {
    std::string key;
    std::string value;
    state_revision revision; ///< of the last change of the entry
    bool removed{false};
    std::optional<value_version> last_version{}; ///< of the last value of a removed entry, if it is known

    friend bool operator==(const state_entry&, const state_entry&) = default;
};

/// An item of the store that can't be decoded.
struct rejected_item {
    std::string key; ///< of the item, or of the one before it if it has none
    std::string reason;

    friend bool operator==(const rejected_item&, const rejected_item&) = default;
};

/// Part of a listing or of the changes of the published state.
struct state_page {
    std::vector<state_entry> entries;
    state_revision revision; ///< of the store at the time of its answer
    bool more{false};        ///< further entries follow
    std::string last_key{};  ///< of the last item, whether it could be decoded or not
    std::vector<rejected_item> rejected{};
};

} // namespace limpetlock::gateway
