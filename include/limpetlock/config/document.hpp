/// \file
/// The configuration document: validated as a whole, typed and immutable.
#pragma once

#include <limpetlock/support/error.hpp>
#include <limpetlock/support/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::config {

/// malformed: not JSON, or JSON with duplicate keys or excessive nesting. invalid: JSON that breaks a rule of
/// the document format.
enum class errc { none, malformed, invalid };

using error = basic_error<errc>;

/// The ranks of requests, most urgent first.
enum class rank : std::uint8_t { urgent, standard, background };

inline constexpr std::size_t rank_count = 3;

std::string_view to_string(rank it);
std::optional<rank> parse_rank(std::string_view name);

/// Upper bound of the timeout of a service call. After a change of owner, the claim rules wait for this time
/// before they grant a claim; a call with a longer timeout could still start under a grant of the former
/// owner.
inline constexpr duration max_call_timeout{3000};

/// Largest canonical text of a document, in bytes: the largest value that the platform's configuration
/// service stores. A version then fits one frame between instances, which holds at most 2 MiB.
inline constexpr std::size_t max_document_bytes = 1'048'576;

/// A section of the document, keyed by name. Lookups accept a string_view.
template <typename T>
using section = std::map<std::string, T, std::less<>>;

struct team {
    std::string token;
    double weight{1};
    std::string size_class{"small"};

    friend bool operator==(const team&, const team&) = default;
};

struct rank_settings {
    double min_share{};

    friend bool operator==(const rank_settings&, const rank_settings&) = default;
};

/// One stage of a pipeline. Durations and costs are in milliseconds.
struct stage {
    std::string name;
    std::string pool;
    double cost_ms{};
    duration timeout{};
    /// The model to request in a pool of model engines; empty for any other pool.
    std::string model;
    bool streamed{};

    friend bool operator==(const stage&, const stage&) = default;
};

/// A sequence of stages that callers invoke by its name. Durations are in milliseconds.
struct pipeline {
    rank work_rank{};
    duration deadline{};
    std::vector<stage> stages;
    /// Teams that may use the pipeline; empty for all teams.
    std::vector<std::string> callers;

    bool allows(std::string_view team) const;
    /// Sum of the configured costs of all stages, in milliseconds.
    double cost_ms() const;

    friend bool operator==(const pipeline&, const pipeline&) = default;
};

/// A call of a service. Durations and costs are in milliseconds.
struct call {
    bool repeatable{};
    rank work_rank{};
    duration timeout{};
    double cost_ms{1};

    friend bool operator==(const call&, const call&) = default;
};

/// A pool of endpoints and the calls that it serves.
struct service {
    std::string pool;
    section<call> calls;
    /// Teams that may use the service; empty for all teams.
    std::vector<std::string> callers;

    bool allows(std::string_view team) const;

    friend bool operator==(const service&, const service&) = default;
};

struct limit_settings {
    std::int64_t endpoint_concurrency{8};
    std::int64_t queue_per_team{64};
    double retry_share{0.1};
    double hedge_share{0.05};
    double ejection_max_share{0.5};
    std::int64_t stream_buffer_bytes{65536};

    friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

/// Durations are in milliseconds.
struct claim_settings {
    std::vector<std::string> owners;
    /// How long the record of an idempotency key is kept after its last change of state.
    duration key_lifetime{600'000};
    std::int64_t max_claims{20'000};
    duration lease{2000};

    friend bool operator==(const claim_settings&, const claim_settings&) = default;
};

/// The sections of the document.
struct document_contents {
    section<team> teams;
    std::array<rank_settings, rank_count> ranks{};
    section<pipeline> pipelines;
    section<service> services;
    limit_settings limits;
    claim_settings claims;

    friend bool operator==(const document_contents&, const document_contents&) = default;
};

/// A valid document. Copies share their state. Two documents are equal if their canonical texts are.
class document {
public:
    /// Parses and validates a whole document. On failure, the reason gives the path of each wrong key.
    static std::optional<document> parse(std::string_view text, error_slot<errc>& last);

    /// Applies a JSON merge patch (RFC 7396) and validates the result as a whole.
    std::optional<document> merge(std::string_view patch, error_slot<errc>& last) const;

    const section<team>& teams() const { return contents().teams; }
    const section<pipeline>& pipelines() const { return contents().pipelines; }
    const section<service>& services() const { return contents().services; }
    const rank_settings& rank_settings_for(rank it) const
    {
        return contents().ranks[static_cast<std::size_t>(it)];
    }
    const limit_settings& limits() const { return contents().limits; }
    const claim_settings& claims() const { return contents().claims; }
    const document_contents& contents() const;

    /// Returns the name of the team with this token; nullptr if there is none. Tokens are unique in a
    /// document.
    const std::string* find_team_by_token(std::string_view token) const;

    /// The canonical JSON text, with sorted keys and no white space. Peers send it to each other.
    const std::string& text() const;

    /// The canonical text with every token replaced by a placeholder, for the administration API and logs.
    std::string redacted_text() const;

    /// Digest of the canonical text.
    const std::string& digest() const;

    friend bool operator==(const document& a, const document& b) { return a.text() == b.text(); }

private:
    struct state;
    explicit document(std::shared_ptr<const state> it) : state_(std::move(it)) {}

    std::shared_ptr<const state> state_;
};

/// Returns the paths of the values that differ between two documents, for example
/// "pipelines.stock-answer.deadline_ms". The values are left out, since tokens are among them.
std::vector<std::string> changed_paths(const document& from, const document& to);

} // namespace limpetlock::config
