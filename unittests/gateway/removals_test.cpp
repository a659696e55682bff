/// \file
/// Tests of what instances know of removed entries after they listed the store or had the state from a peer.
#include "platform_codec_fake.hpp"

#include <limpetlock/gateway/published_state.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

const time_point start(duration(1'000'000));

/// A store that keeps its whole history.
class recorded_store {
public:
    void put(const std::string& key) { record({key, "v", {}, false}); }
    void remove(const std::string& key) { record({key, {}, {}, true}); }
    state_revision revision() const { return static_cast<std::int64_t>(log_.size()); }

    std::vector<state_entry> changes_after(state_revision revision) const
    {
        return {log_.begin() + revision.number, log_.end()};
    }

    /// Returns the last change of the key up to a revision; nullptr if there is none.
    const state_entry* last_change(const std::string& key, state_revision revision) const
    {
        for (auto n = revision.number; n > 0; --n)
            if (log_[static_cast<std::size_t>(n - 1)].key == key)
                return &log_[static_cast<std::size_t>(n - 1)];
        return nullptr;
    }

    std::vector<state_entry> list(const std::vector<std::string>& keys) const
    {
        std::vector<state_entry> out;
        for (const auto& key : keys)
            if (const auto* it = last_change(key, revision()); it != nullptr && !it->removed)
                out.push_back(*it);
        return out;
    }

private:
    void record(state_entry it)
    {
        it.revision = revision().number + 1;
        log_.push_back(std::move(it));
    }

    std::vector<state_entry> log_;
};

std::unique_ptr<published_state> make_state(const platform_codec& codec)
{
    published_state::callbacks calls{[](const auto&) {}, [](const auto&) {}};
    calls.on_evacuations = [](const auto&) {};
    return std::make_unique<published_state>(codec, std::move(calls));
}

peer_state pull(const published_state& peer, state_revision after)
{
    peer_state out;
    out.after = after;
    out.entries = peer.entries().changes_after(after, out.whole);
    out.revision = peer.entries().revision();
    out.has_evacuations = !peer.misses_evacuations();
    return out;
}

void apply_listing(published_state& to, const std::vector<state_entry>& entries, state_revision revision)
{
    to.apply_evacuation_listing(entries, revision, start);
    to.apply_listing(entries, revision, start);
    to.record_listing(revision);
}

void apply_watch(published_state& to, const recorded_store& store)
{
    const auto after = to.entries().revision();
    to.merge_changes(store.changes_after(after), after, store.revision(), start);
}

void apply_pull(published_state& to, const published_state& from)
{
    to.merge_peer_state(pull(from, to.entries().revision()), start);
}

/// Describes an entry that contradicts the store's content as of the revision of the copy.
std::optional<std::string> find_contradiction(const published_state& it, const recorded_store& store,
                                              const std::vector<std::string>& keys)
{
    const auto revision = it.entries().revision();
    for (const auto& key : keys) {
        const auto* const wanted = store.last_change(key, revision);
        const auto* const known = it.entries().find(key);
        const bool present = wanted != nullptr && !wanted->removed;
        const bool newer = known != nullptr && known->revision > revision;
        if (!present && known != nullptr && !newer)
            return fmt::format("{} is kept at revision {}", key, revision.number);
        if (present && known == nullptr && store.last_change(key, store.revision()) == wanted)
            return fmt::format("{} is missing at revision {}", key, revision.number);
        if (present && known != nullptr && known->revision < wanted->revision)
            return fmt::format("{} is old at revision {}", key, revision.number);
    }
    return std::nullopt;
}

} // namespace

// Guards against a removed endpoint that an instance keeps for good: it was removed before the peer, from
// which the instance has its changes, listed the store.
Test(removals, peer_that_listed_later_sends_its_state_whole)
{
    test::platform_codec_fake codec;
    recorded_store store;
    const auto calm = make_state(codec);
    const auto restarted = make_state(codec);
    store.put("endpoint/one");
    store.put("endpoint/two");
    apply_watch(*calm, store);
    store.remove("endpoint/one");
    apply_listing(*restarted, store.list({"endpoint/one", "endpoint/two"}), store.revision());
    cr_expect(pull(*restarted, calm->entries().revision()).whole);
    apply_pull(*calm, *restarted);
    cr_expect_null(calm->entries().find("endpoint/one"));
    cr_expect_not_null(calm->entries().find("endpoint/two"));
}

// Guards against the same at a third instance, which has its changes from the second one.
Test(removals, instance_with_a_whole_state_of_a_peer_passes_it_on_whole)
{
    test::platform_codec_fake codec;
    recorded_store store;
    std::vector<std::unique_ptr<published_state>> all;
    for (int n = 0; n < 3; ++n)
        all.push_back(make_state(codec));
    store.put("endpoint/one");
    apply_watch(*all[2], store);
    store.put("endpoint/two");
    store.remove("endpoint/one");
    apply_listing(*all[0], store.list({"endpoint/one", "endpoint/two"}), store.revision());
    apply_pull(*all[1], *all[0]);
    apply_pull(*all[2], *all[1]);
    cr_expect_null(all[2]->entries().find("endpoint/one"));
    store.put("endpoint/three");
    apply_watch(*all[0], store);
    cr_expect_not(pull(*all[0], all[2]->entries().revision()).whole, "later changes are known");
}

// Guards against an entry that was added and removed while an instance had no watch, and that a peer has.
Test(removals, instance_that_listed_again_sends_its_state_whole)
{
    test::platform_codec_fake codec;
    recorded_store store;
    const auto listing = make_state(codec);
    const auto watching = make_state(codec);
    store.put("endpoint/one");
    apply_listing(*listing, store.list({"endpoint/one"}), store.revision());
    store.put("endpoint/two");
    apply_watch(*watching, store);
    store.remove("endpoint/two");
    apply_listing(*listing, store.list({"endpoint/one", "endpoint/two"}), store.revision());
    apply_pull(*watching, *listing);
    cr_expect_null(watching->entries().find("endpoint/two"));
    cr_expect_not_null(watching->entries().find("endpoint/one"));
}

// Guards against an order to evacuate that stays in force at some instances: another one, which had its state
// from a peer that doesn't know the orders, listed them after that one was withdrawn.
Test(removals, orders_that_were_listed_alone_make_the_state_whole)
{
    test::platform_codec_fake codec;
    recorded_store store;
    const auto calm = make_state(codec);
    const auto late = make_state(codec);
    store.put("endpoint/one");
    apply_listing(*late, store.list({"endpoint/one"}), store.revision());
    store.put("evacuate/a");
    apply_watch(*calm, store);
    late->merge_peer_state({{}, late->entries().revision(), store.revision(), false, false}, start);
    cr_expect(late->misses_evacuations());
    store.remove("evacuate/a");
    late->apply_evacuation_listing(store.list({"evacuate/a"}), store.revision(), start);
    store.put("endpoint/two");
    late->merge_changes({*store.last_change("endpoint/two", store.revision())}, late->entries().revision(),
                        store.revision(), start);
    apply_pull(*calm, *late);
    cr_expect_not(calm->evacuation_orders().contains("a"));
}

// Guards against a copy that counts as complete because changes arrived that don't follow what it has, such
// as the answer to a watch that began before the era of the store was disproved.
Test(removals, changes_after_a_gap_do_not_complete_the_copy)
{
    test::platform_codec_fake codec;
    const auto state = make_state(codec);
    cr_expect(state->merge_changes({}, {}, {3, 1}, start));
    cr_expect_not(state->merge_changes({}, {5, 1}, {8, 1}, start));
    cr_expect(state->entries().revision() == (state_revision{3, 1}));
    cr_expect_not(state->merge_peer_state(
        {{{"endpoint/one", "v", {7, 1}, false}}, {5, 1}, {8, 1}, false, true}, start));
    cr_expect(state->entries().revision() == (state_revision{3, 1}));
    cr_expect(state->merge_changes({}, {3, 1}, {8, 1}, start));
}

// Guards against a removed endpoint that comes back with changes that a peer sent before the removal, and
// that arrive after a listing without it.
Test(removals, late_changes_do_not_bring_back_what_a_listing_lacks)
{
    test::platform_codec_fake codec;
    recorded_store store;
    const auto state = make_state(codec);
    const auto peer = make_state(codec);
    for (const bool whole : {false, true}) {
        store.put("endpoint/one");
        apply_watch(*peer, store);
        auto push = pull(*peer, state->entries().revision());
        push.whole = whole;
        store.remove("endpoint/one");
        apply_listing(*state, store.list({"endpoint/one"}), store.revision());
        state->merge_peer_state(std::move(push), start);
        cr_expect_null(state->entries().find("endpoint/one"));
    }
}

// Guards against copies that count as complete up to a revision and differ from the store's content then, in
// histories at random: changes, watches, listings of two pages, restarts, and pulls that arrive late.
Test(removals, copies_agree_with_the_store_at_their_revision)
{
    const std::vector<std::string> keys{"endpoint/a", "endpoint/b", "endpoint/c",
                                        "endpoint/d", "evacuate/e", "evacuate/f"};
    const std::vector<std::string> first_page{keys.begin(), keys.begin() + 2};
    const std::vector<std::string> second_page{keys.begin() + 2, keys.end()};
    for (std::uint32_t seed = 1; seed <= 400; ++seed) {
        std::minstd_rand random(seed);
        test::platform_codec_fake codec;
        recorded_store store;
        std::vector<std::unique_ptr<published_state>> all(2 + random() % 4);
        for (auto& it : all)
            it = make_state(codec);
        std::vector<std::pair<std::size_t, peer_state>> on_the_way;
        const auto change = [&] {
            const auto& key = keys[random() % keys.size()];
            const auto* const last = store.last_change(key, store.revision());
            if (last != nullptr && !last->removed && random() % 2 == 0)
                store.remove(key);
            else
                store.put(key);
        };
        for (int step = 0; step < 400; ++step) {
            const std::size_t n = random() % all.size();
            const std::size_t peer = random() % all.size();
            auto& it = *all[n];
            switch (random() % 10) {
            case 0:
                if (it.entries().revision() > state_revision{})
                    apply_watch(it, store);
                break;
            case 1: {
                const auto revision = store.revision();
                auto entries = store.list(first_page);
                change();
                const auto rest = store.list(second_page);
                entries.insert(entries.end(), rest.begin(), rest.end());
                apply_listing(it, entries, revision);
                break;
            }
            case 2:
                if (random() % 4 == 0) {
                    all[n] = make_state(codec);
                    std::erase_if(on_the_way, [n](const auto& push) { return push.first == n; });
                }
                break;
            case 3:
            case 4:
                if (all[peer]->entries().revision() > it.entries().revision())
                    on_the_way.emplace_back(n, pull(*all[peer], it.entries().revision()));
                break;
            case 5:
            case 6:
                if (!on_the_way.empty()) {
                    const auto first =
                        on_the_way.begin() + static_cast<std::ptrdiff_t>(random() % on_the_way.size());
                    all[first->first]->merge_peer_state(std::move(first->second), start);
                    on_the_way.erase(first);
                }
                break;
            default:
                change();
            }
            for (const auto& state : all) {
                const auto wrong = find_contradiction(*state, store, keys);
                cr_assert_not(wrong.has_value(), "seed %u, step %d: %s", seed, step,
                              wrong.value_or("").c_str());
            }
        }
    }
}
