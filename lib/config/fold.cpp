#include <limpetlock/config/fold.hpp>

#include <fmt/format.h>

#include <limits>
#include <utility>

namespace limpetlock::config {

namespace {

constexpr std::array<std::string_view, verdict_count> verdict_names{"accepted", "ignored", "stale_base",
                                                                    "invalid", "conflict"};

/// Half the range of the type, so that the numbers of later patches do not overflow.
constexpr std::int64_t max_number = std::numeric_limits<std::int64_t>::max() / 2;

std::string stale_reason(std::int64_t base, std::int64_t in_force)
{
    if (in_force == 0)
        return "a patch needs a document in force";
    return fmt::format("made against number {}, but {} is in force", base, in_force);
}

std::int64_t claims_number_after(const version* former, std::int64_t number, const document& content)
{
    if (former != nullptr && former->document.claims() == content.claims())
        return former->claims_number;
    return number;
}

bool has_consistent_numbers(const peer_version& it)
{
    return it.number > 0 && it.number <= max_number && it.revision >= 0 && it.claims_number > 0 &&
           it.claims_number <= it.number;
}

} // namespace

std::string_view to_string(verdict it)
{
    return verdict_names[static_cast<std::size_t>(it)];
}

peer_version to_peer_version(const version& it)
{
    return {it.number, it.revision, it.claims_number, it.digest(), it.document.text()};
}

outcome fold::apply(const entry& it)
{
    if (it.revision <= revision_) {
        ++counts_[static_cast<std::size_t>(verdict::ignored)];
        return {verdict::ignored, it.revision, it.author, it.base, number(), "the revision is already known"};
    }
    revision_ = it.revision;
    switch (it.kind) {
    case entry_kind::document:
        return fold_document(it);
    case entry_kind::patch:
        return fold_patch(it);
    case entry_kind::unreadable:
        break;
    }
    return record_outcome(it, verdict::invalid, it.body);
}

std::vector<outcome> fold::apply(const service_reply& reply)
{
    std::vector<outcome> found;
    for (const entry& it : reply.entries)
        found.push_back(apply(it));
    return found;
}

outcome fold::fold_document(const entry& it)
{
    const std::int64_t current = number();
    error_slot<errc> last;
    auto content = document::parse(it.body, last);
    if (it.number < 1 || it.number > max_number)
        return record_outcome(it, verdict::invalid, fmt::format("number must be from 1 to {}", max_number));
    if (content && it.number == current) {
        if (*content == in_force_->document)
            return record_outcome(it, verdict::ignored, "the same content is in force under this number");
        return record_outcome(it, verdict::conflict,
                              fmt::format("other content is in force under number {}", current));
    }
    if (current != 0 && it.base != current)
        return record_outcome(it, verdict::stale_base, stale_reason(it.base, current));
    if (it.number < current)
        return record_outcome(it, verdict::stale_base,
                              fmt::format("number {} is below {}", it.number, current));
    if (!content)
        return record_outcome(it, verdict::invalid, last.last().reason);
    return accept(it, it.number, std::move(*content));
}

outcome fold::fold_patch(const entry& it)
{
    const std::int64_t current = number();
    if (current == 0 || it.base != current)
        return record_outcome(it, verdict::stale_base, stale_reason(it.base, current));
    error_slot<errc> last;
    auto content = in_force_->document.merge(it.body, last);
    if (!content)
        return record_outcome(it, verdict::invalid, last.last().reason);
    return accept(it, current + 1, std::move(*content));
}

outcome fold::accept(const entry& it, std::int64_t number, document content)
{
    const std::int64_t claims_number = claims_number_after(in_force_.get(), number, content);
    in_force_ =
        std::make_shared<const version>(version{number, it.revision, claims_number, std::move(content)});
    return record_outcome(it, verdict::accepted, "");
}

outcome fold::record_outcome(const entry& it, verdict result, std::string reason)
{
    return store_outcome({result, it.revision, it.author, it.base, number(), std::move(reason)});
}

outcome fold::store_outcome(outcome it)
{
    ++counts_[static_cast<std::size_t>(it.result)];
    outcomes_.push_back(it);
    if (outcomes_.size() > max_outcomes)
        outcomes_.pop_front();
    return it;
}

outcome fold::adopt(const peer_version& it, std::string_view peer)
{
    outcome made{verdict::ignored, it.revision, fmt::format("peer {}", peer), 0, number(), {}};
    const auto refuse = [&](verdict result, std::string reason) {
        made.result = result;
        made.reason = std::move(reason);
        return store_outcome(made);
    };
    if (!has_consistent_numbers(it))
        return refuse(verdict::invalid, "the numbers of the version contradict each other");
    if (it.number < number())
        return refuse(verdict::ignored, fmt::format("number {} is below {}", it.number, number()));
    if (it.number == number() && it.digest == in_force_->digest())
        return refuse(verdict::ignored, "the version is in force");
    if (it.number == number())
        return refuse(verdict::conflict, fmt::format("other content is in force under number {}", number()));
    error_slot<errc> last;
    auto content = document::parse(it.text, last);
    if (!content)
        return refuse(verdict::invalid, last.last().reason);
    if (content->digest() != it.digest)
        return refuse(verdict::invalid, "the digest does not belong to the content");
    // The revision may decrease, so that the entries after this version are read and folded again on top of
    // it. Some of them may have been refused here against a lower number although they follow this version.
    revision_ = it.revision;
    in_force_ = std::make_shared<const version>(
        version{it.number, it.revision, it.claims_number, std::move(*content)});
    made.result = verdict::accepted;
    made.number = it.number;
    return store_outcome(made);
}

check_result fold::check(std::int64_t base, std::string_view patch) const
{
    const std::int64_t current = number();
    if (current == 0 || base != current)
        return {verdict::stale_base, current, stale_reason(base, current), {}};
    error_slot<errc> last;
    const auto content = in_force_->document.merge(patch, last);
    if (!content)
        return {verdict::invalid, current, last.last().reason, {}};
    return {verdict::accepted, current + 1, "", changed_paths(in_force_->document, *content)};
}

} // namespace limpetlock::config
