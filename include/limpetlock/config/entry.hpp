/// \file
/// Entries that operators publish, and the platform's replies that carry them.
#pragma once

#include <limpetlock/config/document.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::config {

/// unreadable: an entry with a revision but without the rest of the format. It is folded like any other entry
/// and refused there, so that one bad entry can't stop the entries behind it.
enum class entry_kind : std::uint8_t { document, patch, unreadable };

std::string_view to_string(entry_kind it);

struct entry {
    std::int64_t revision{};
    std::string author;
    entry_kind kind{entry_kind::unreadable};
    std::int64_t base{};
    /// Number of a document entry; 0 for a patch.
    std::int64_t number{};
    /// JSON text of the document or patch; for an unreadable entry the reason.
    std::string body;

    friend bool operator==(const entry&, const entry&) = default;
};

/// A reply of `GET /v1/config`.
struct service_reply {
    /// The newest revision that the service knows.
    std::int64_t revision{};
    /// In increasing order of revision.
    std::vector<entry> entries;

    friend bool operator==(const service_reply&, const service_reply&) = default;
};

/// Reads the body of a reply of `GET /v1/config`. It fails when the body as a whole can't be used: not JSON,
/// no revision, revisions out of order.
std::optional<service_reply> parse_service_reply(std::string_view body, error_slot<errc>& last);

/// Reads one entry from its JSON text, as in the body of a publication. `revision` is used when the text has
/// none.
std::optional<entry> parse_entry(std::string_view text, std::int64_t revision, error_slot<errc>& last);

/// Target of the request for entries after a revision, for example "/v1/config?after=7&wait_ms=10000".
std::string make_service_target(std::int64_t after, duration wait);

} // namespace limpetlock::config
