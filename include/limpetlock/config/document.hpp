/// \file
/// The configuration document: typed, checked as a whole and immutable.
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

/// malformed: not JSON, or JSON that can't be read safely; invalid: JSON that breaks a rule of the format.
enum class errc { none, malformed, invalid };

using error = basic_error<errc>;

/// The ranks of work, most urgent first.
enum class rank : std::uint8_t { urgent, standard, background };

inline constexpr std::size_t rank_count = 3;

std::string_view to_string(rank it);
std::optional<rank> parse_rank(std::string_view name);

/// Upper bound of the timeout of a service call. The claim rules wait out this time after a change of owner,
/// so a longer timeout would let a call start that a former owner granted.
inline constexpr duration max_call_timeout{3000};

/// Largest canonical text of a document: what one value of the platform's service holds. A version then fits
/// one frame between instances, which is at most 2 MiB.
inline constexpr std::size_t max_document_bytes = 1'048'576;

/// A keyed section of the document; lookups take a string_view.
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

struct stage {
    std::string name;
    std::string pool;
    double cost_ms{};
    duration timeout{};
    /// Empty for a stage pool; the model to ask for in a pool of model engines.
    std::string model;
    bool streamed{};

    friend bool operator==(const stage&, const stage&) = default;
};

struct pipeline {
    rank work_rank{};
    duration deadline{};
    std::vector<stage> stages;
    /// Teams that may use the pipeline; empty means all teams.
    std::vector<std::string> callers;

    bool allows(std::string_view team) const;
    /// Sum of the configured costs of all stages.
    double cost_ms() const;

    friend bool operator==(const pipeline&, const pipeline&) = default;
};

struct call {
    bool repeatable{};
    rank work_rank{};
    duration timeout{};
    double cost_ms{1};

    friend bool operator==(const call&, const call&) = default;
};

struct service {
    std::string pool;
    section<call> calls;
    /// Teams that may use the service; empty means all teams.
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

struct claim_settings {
    std::vector<std::string> owners;
    duration key_lifetime{600'000};
    std::int64_t max_claims{20'000};
    duration lease{2000};

    friend bool operator==(const claim_settings&, const claim_settings&) = default;
};

struct document_contents {
    section<team> teams;
    std::array<rank_settings, rank_count> ranks{};
    section<pipeline> pipelines;
    section<service> services;
    limit_settings limits;
    claim_settings claims;

    friend bool operator==(const document_contents&, const document_contents&) = default;
};

/// An accepted document. Copies share their state; two documents are equal when their canonical texts are.
class document {
public:
    /// Reads and checks a whole document. On failure the reason names each offending key by its path.
    static std::optional<document> parse(std::string_view text, error_slot<errc>& last);

    /// The document with a JSON merge patch (RFC 7396) applied, checked as a whole.
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

    /// Name of the team that holds the token; nullptr when there is none. Tokens are unique in a document.
    const std::string* find_team_by_token(std::string_view token) const;

    /// The canonical JSON text: keys sorted, no white space. This is what peers send to each other.
    const std::string& text() const;

    /// The canonical text with every token replaced, for the administration API and logs.
    std::string redacted_text() const;

    /// Digest of the canonical text.
    const std::string& digest() const;

    friend bool operator==(const document& a, const document& b) { return a.text() == b.text(); }

private:
    struct state;
    explicit document(std::shared_ptr<const state> it) : state_(std::move(it)) {}

    std::shared_ptr<const state> state_;
};

/// Paths of the values that differ between two documents, as "pipelines.stock-answer.deadline_ms"; no values,
/// since tokens are among them.
std::vector<std::string> changed_paths(const document& from, const document& to);

} // namespace limpetlock::config
