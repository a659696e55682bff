#include "test_support.hpp"

#include <limpetlock/config/entry.hpp>
#include <limpetlock/config/fold.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace limpetlock;
using namespace limpetlock::config;
using namespace limpetlock::config::testing;

namespace {

entry document_entry(std::int64_t revision, std::int64_t base, std::int64_t number,
                     const std::string& patch = "{}")
{
    return {revision, "ann", entry_kind::document, base, number, base_text(patch)};
}

entry patch_entry(std::int64_t revision, std::int64_t base, const std::string& body)
{
    return {revision, "bob", entry_kind::patch, base, 0, body};
}

std::string weight_patch(int weight)
{
    return fmt::format(R"({{"teams":{{"plant-01":{{"weight":{}}}}}}})", weight);
}

} // namespace

// Guards against one bad entry that keeps every instance at the revision before it.
Test(entry, reads_replies)
{
    error_slot<errc> last;
    const auto reply = parse_service_reply(R"({"revision":9,"at":"noon","entries":[
        {"revision":3,"author":"ann","kind":"document","base":0,"number":1,"document":{"b":1,"a":2}},
        {"revision":5,"author":"bob","kind":"patch","base":1,"patch":{"a":null}},
        {"revision":6,"author":"bob","kind":"patch","base":1,"patch":{"a":1,"a":2}},
        {"revision":7,"kind":"order"}, {"revision":8,"kind":"patch","base":-1,"patch":{}},
        {"revision":9,"kind":"document","base":1,"number":2}]})",
                                           last);
    cr_assert(reply.has_value(), "%s", last.last().reason.c_str());
    cr_assert_eq(reply->revision, 9);
    cr_assert_eq(parse_service_reply(R"({"revision":1,"entries":[{"revision":4}]})", last)->revision, 4);
    const std::vector<entry> expected{
        {3, "ann", entry_kind::document, 0, 1, R"({"a":2,"b":1})"},
        {5, "bob", entry_kind::patch, 1, 0, R"({"a":null})"},
        {6, "bob", entry_kind::unreadable, 1, 0, "patch.a: appears more than once"},
        {7, "", entry_kind::unreadable, 0, 0, R"(kind must be "document" or "patch")"},
        {8, "", entry_kind::unreadable, 0, 0, "base must be an integer from 0"},
        {9, "", entry_kind::unreadable, 1, 2, "document is missing"},
    };
    cr_assert(reply->entries == expected);
}

// Guards against a malformed reply that is treated as an empty one.
Test(entry, refuses_broken_replies)
{
    error_slot<errc> last;
    for (const char* text : {"", "[]", "{}", R"({"revision":1})", R"({"revision":-1,"entries":[]})",
                             R"({"revision":2,"entries":[{"revision":2},{"revision":2}]})",
                             R"({"revision":2,"entries":[{"kind":"patch"}]})",
                             R"({"revision":2,"entries":[1]})", R"({"revision":1.5,"entries":[]})"}) {
        cr_assert(!parse_service_reply(text, last), "accepted: %s", text);
        cr_assert_eq(last.last().code, errc::malformed);
    }
    cr_assert(make_service_target(7, duration(50)) == "/v1/config?after=7&wait_ms=50");
}

// Guards against damaged text that crashes the parser or puts an invalid configuration in force.
Test(entry, survives_damaged_replies)
{
    const std::string text =
        R"({"revision":2,"entries":[{"revision":1,"author":"a","kind":"document","base":0,"number":1,"document":)" +
        base_text() + R"(},{"revision":2,"author":"b","kind":"patch","base":1,"patch":)" + weight_patch(2) +
        "}]}";
    boost::random::mt19937 random(7);
    int read = 0;
    for (int n = 0; n < 3000; ++n) {
        std::string damaged = text;
        for (unsigned changes = 1 + random() % 3; changes > 0; --changes)
            damaged[random() % damaged.size()] = R"({}[]",:0-9ae)"[random() % 13];
        error_slot<errc> last;
        const auto reply = parse_service_reply(damaged, last);
        if (!reply)
            continue;
        ++read;
        fold it;
        it.apply(*reply);
        if (it.in_force())
            cr_assert(document::parse(it.in_force()->document.text(), last) == it.in_force()->document);
    }
    cr_assert_gt(read, 100);
}

// Guards against the adoption of a version from a peer that lowers the number, does not match its digest, or
// breaks the format.
Test(fold, adopts_only_valid_and_newer_versions)
{
    fold source;
    source.apply(document_entry(1, 0, 1));
    source.apply(patch_entry(2, 1, weight_patch(3)));
    const peer_version sent = to_peer_version(*source.in_force());
    fold it;
    const auto with = [&](auto change) {
        peer_version wrong = sent;
        change(wrong);
        return it.adopt(wrong, "b1").result;
    };
    cr_assert_eq(with([](peer_version& n) { n.digest[0] ^= 1; }), verdict::invalid);
    cr_assert_eq(with([](peer_version& n) { n.text = "{}"; }), verdict::invalid);
    cr_assert_eq(with([](peer_version& n) { n.claims_number = 3; }), verdict::invalid);
    cr_assert_eq(with([](peer_version& n) { n.number = 0; }), verdict::invalid);
    cr_assert_null(it.in_force().get());
    cr_assert_eq(it.adopt(sent, "b1").result, verdict::accepted);
    cr_assert(*it.in_force() == *source.in_force());
    cr_assert_eq(it.revision(), 2);
    cr_assert_eq(it.adopt(sent, "b1").result, verdict::ignored);
    cr_assert_eq(with([](peer_version& n) {
                     n.number = 1;
                     n.claims_number = 1;
                 }),
                 verdict::ignored);
    cr_assert_eq(with([](peer_version& n) { n.digest[0] ^= 1; }), verdict::conflict);
    cr_assert_eq(it.number(), 2);
}

// Guards against the loss of entries that follow an adopted version but were refused earlier against a lower
// number.
Test(fold, folds_entries_again_after_adoption)
{
    fold source;
    source.apply(document_entry(5, 0, 7));
    fold it;
    const entry follows = patch_entry(6, 7, weight_patch(3));
    it.apply(document_entry(1, 0, 1));
    cr_assert_eq(it.apply(follows).result, verdict::stale_base);
    cr_assert_eq(it.adopt(to_peer_version(*source.in_force()), "b1").result, verdict::accepted);
    cr_assert_eq(it.revision(), 5);
    cr_assert_eq(it.apply(follows).result, verdict::accepted);
    cr_assert_eq(it.number(), 8);
}

// Guards against a claims number that changes although the claims section does not, which would break leases.
Test(fold, tracks_the_claims_section)
{
    fold it;
    it.apply(document_entry(1, 0, 4));
    it.apply(patch_entry(2, 4, weight_patch(3)));
    cr_assert_eq(it.in_force()->claims_number, 4);
    it.apply(patch_entry(3, 5, R"({"claims":{"owners":["entry-b1"]}})"));
    cr_assert_eq(it.in_force()->claims_number, 6);
    it.apply(patch_entry(4, 6, R"({"claims":{"lease_ms":2000}})"));
    cr_assert_eq(it.in_force()->claims_number, 6);
}

// Guards against outcomes that accumulate without bound, and against a dry run whose result differs from that
// of the fold or that changes the fold.
Test(fold, bounds_outcomes_and_checks_without_effect)
{
    fold it;
    cr_assert_eq(it.check(0, "{}").result, verdict::stale_base);
    it.apply(document_entry(1, 0, 1));
    for (std::int64_t n = 2; n <= 300; ++n)
        it.apply(patch_entry(n, 99, "{}"));
    cr_assert_eq(it.outcomes().size(), fold::max_outcomes);
    cr_assert_eq(it.outcomes().back().revision, 300);
    cr_assert_eq(it.count(verdict::stale_base), 299);
    cr_assert_eq(it.apply(patch_entry(300, 1, "{}")).result, verdict::ignored);
    const auto before = it.in_force();
    const auto tried = it.check(1, R"({"teams":{"plant-01":{"weight":3},"new":{"token":"n"}}})");
    cr_assert_eq(tried.result, verdict::accepted);
    cr_assert_eq(tried.number, 2);
    cr_assert(tried.changes == std::vector<std::string>({"teams.plant-01.weight", "teams.new"}));
    cr_assert(it.check(1, R"({"limits":{"retry_share":1}})").reason ==
              "limits.retry_share: must be from 0 to 0.1, is 1");
    cr_assert_eq(it.in_force(), before);
}

// Guards against instances that read the same entries but reach different versions, when batches, repetitions
// and versions from peers vary, and against a number that decreases.
Test(fold, readers_agree_on_random_histories)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        boost::random::mt19937 random(seed);
        const auto pick = [&](std::int64_t most) {
            return boost::random::uniform_int_distribution<std::int64_t>(0, most)(random);
        };
        fold reference;
        fold batched;
        std::vector<entry> history;
        std::size_t read = 0;
        for (std::int64_t revision = 1; revision <= 60; ++revision) {
            const std::int64_t base = std::max<std::int64_t>(0, reference.number() - pick(1));
            const std::string patch = weight_patch(static_cast<int>(pick(4)));
            history.push_back(pick(5) == 0 ? document_entry(revision, base, base + pick(2), "{}")
                                           : patch_entry(revision, base, patch));
            reference.apply(history.back());
            const std::int64_t former = batched.number();
            if (pick(3) == 0)
                for (read -= std::min<std::size_t>(read, pick(3)); read < history.size(); ++read)
                    batched.apply(history[read]);
            if (pick(9) == 0 && reference.in_force())
                batched.adopt(to_peer_version(*reference.in_force()), "whole");
            cr_assert_geq(batched.number(), former, "seed %u", seed);
        }
        for (const entry& it : history)
            batched.apply(it);
        cr_assert(reference.in_force() && *reference.in_force() == *batched.in_force(), "seed %u", seed);
    }
}
