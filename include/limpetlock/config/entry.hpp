/// \file
/// Configuration entries that operators publish, and the replies of the platform's configuration service that
/// carry them.
#pragma once

#include <limpetlock/config/document.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::config {

/// unreadable: an entry whose revision is readable but the rest is malformed. The fold refuses it like any
/// other invalid entry, so that one bad entry does not block the entries after it.
enum class entry_kind : std::uint8_t { document, patch, unreadable };

std::string_view to_string(entry_kind it);

/// One published change of the configuration.
struct entry {
    std::int64_t revision{};
    std::string author;
    entry_kind kind{entry_kind::unreadable};
    /// Number of the configuration that the change was made against.
    std::int64_t base{};
    /// Number that a document entry gives to its configuration; 0 for a patch.
    std::int64_t number{};
    /// JSON text of the document or patch; for an unreadable entry, the reason.
    std::string body;

    friend bool operator==(const entry&, const entry&) = default;
};

/// A reply of `GET /v1/config`.
struct service_reply {
    /// Latest revision that the service has.
    std::int64_t revision{};
    /// In increasing order of revision.
    std::vector<entry> entries;

    friend bool operator==(const service_reply&, const service_reply&) = default;
};

/// Parses the body of a reply of `GET /v1/config`. Fails if the body is not JSON, has no revision, or has
/// revisions that are out of order. Any other fault makes only its entry unreadable.
std::optional<service_reply> parse_service_reply(std::string_view body, error_slot<errc>& last);

/// Parses one entry from its JSON text, as in the body of a publication. `revision` is used if the text has
/// none.
std::optional<entry> parse_entry(std::string_view text, std::int64_t revision, error_slot<errc>& last);

/// Returns the target of the request for the entries after a revision, for example
/// "/v1/config?after=7&wait_ms=10000".
std::string make_service_target(std::int64_t after, duration wait);

} // namespace limpetlock::config
