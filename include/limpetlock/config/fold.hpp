/// \file
/// Folds published entries into the configuration in force.
#pragma once

#include <limpetlock/config/document.hpp>
#include <limpetlock/config/entry.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::config {

/// A numbered configuration.
struct version {
    std::int64_t number{};
    /// Revision of the entry that produced this version.
    std::int64_t revision{};
    /// Number of the version in which the claims section last changed.
    std::int64_t claims_number{};
    config::document document;

    const std::string& digest() const { return document.digest(); }

    friend bool operator==(const version&, const version&) = default;
};

/// A version as a peer sends it. It is not trusted: the fold validates it before use.
struct peer_version {
    std::int64_t number{};
    std::int64_t revision{};
    std::int64_t claims_number{};
    std::string digest;
    std::string text;

    friend bool operator==(const peer_version&, const peer_version&) = default;
};

peer_version to_peer_version(const version& it);

/// accepted: now in force. ignored: already known. stale_base: made against another number than the one in
/// force. invalid: the result breaks a rule of the format. conflict: different content under the number in
/// force.
enum class verdict : std::uint8_t { accepted, ignored, stale_base, invalid, conflict };

inline constexpr std::size_t verdict_count = 5;

std::string_view to_string(verdict it);

/// The result of folding one entry or of adopting one version from a peer.
struct outcome {
    verdict result{};
    std::int64_t revision{};
    std::string author;
    std::int64_t base{};
    /// The number in force afterwards.
    std::int64_t number{};
    /// Why the entry or version was not accepted; empty if it was.
    std::string reason;

    friend bool operator==(const outcome&, const outcome&) = default;
};

/// The result of a dry run of a patch.
struct check_result {
    verdict result{};
    /// The number that the patch would get as the next entry; if it is refused, the number in force.
    std::int64_t number{};
    std::string reason;
    /// Paths that the patch would change.
    std::vector<std::string> changes;

    friend bool operator==(const check_result&, const check_result&) = default;
};

/// Folds entries in the order of their revisions. All instances that fold the same entries arrive at the same
/// versions.
class fold {
public:
    /// Number of outcomes that are kept for operators.
    static constexpr std::size_t max_outcomes = 100;

    /// Folds one entry. Entries at or below revision() are ignored.
    outcome apply(const entry& it);

    /// Folds the entries of a reply and returns the outcome of each.
    std::vector<outcome> apply(const service_reply& reply);

    /// Puts a version from a peer in force if its number is larger than the one in force, its content is
    /// valid and its digest matches the content.
    outcome adopt(const peer_version& it, std::string_view peer);

    /// Returns the result that a patch would have if it were published now. Changes nothing.
    check_result check(std::int64_t base, std::string_view patch) const;

    /// The version in force; nullptr while there is none.
    std::shared_ptr<const version> in_force() const { return in_force_; }

    /// The number in force; 0 while there is none.
    std::int64_t number() const { return in_force_ ? in_force_->number : 0; }

    /// The revision up to which entries are folded. The next read asks for the entries after it.
    std::int64_t revision() const { return revision_; }

    /// The last outcomes, oldest first. Entries that are ignored because of their revision are only counted.
    const std::deque<outcome>& outcomes() const { return outcomes_; }

    /// The number of outcomes with this verdict, for entries and versions from peers together.
    std::int64_t count(verdict it) const { return counts_[static_cast<std::size_t>(it)]; }

private:
    outcome fold_document(const entry& it);
    outcome fold_patch(const entry& it);
    outcome record_outcome(const entry& it, verdict result, std::string reason);
    outcome accept(const entry& it, std::int64_t number, document content);
    outcome store_outcome(outcome it);

    std::shared_ptr<const version> in_force_;
    std::int64_t revision_{};
    std::deque<outcome> outcomes_;
    std::array<std::int64_t, verdict_count> counts_{};
};

} // namespace limpetlock::config
