#include "platform_codec_fake.hpp"

#include <limpetlock/gateway/published_state.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000'000 + ms));
}

/// The value of an endpoint is "START/NUMBER/STATE".
class versioned_codec : public test::platform_codec_fake {
public:
    std::optional<value_version> decode_value_version(const std::string& key,
                                                      const std::string& value) const override
    {
        value_version out;
        if (key.starts_with(endpoint_prefix()) &&
            std::sscanf(value.c_str(), "%ld/%ld/", &out.major, &out.minor) == 2) // NOLINT
            return out;
        return platform_codec_fake::decode_value_version(key, value);
    }

    std::optional<endpoint> decode_endpoint(const std::string& key, const std::string& value,
                                            std::string&) const override
    {
        endpoint out;
        out.id = key.substr(endpoint_prefix().size());
        out.pool = "pool";
        out.address = {key, 80};
        out.started_ms = decode_value_version(key, value)->major;
        out.leaving = value.ends_with("draining");
        return out;
    }
};

/// A store that can lose what it acknowledged.
class lossy_store {
public:
    void put(const std::string& key, const std::string& value)
    {
        entries_[key] = {key, value, {++revision_, era_}, false};
        log_.push_back(entries_[key]);
    }

    void remove(const std::string& key)
    {
        entries_.erase(key);
        log_.push_back({key, {}, {++revision_, era_}, true});
    }

    void take_copy() { copies_.push_back({entries_, log_, revision_}); }

    /// Returns to one of the copies.
    void restore(std::size_t n)
    {
        entries_ = copies_[n].entries;
        log_ = copies_[n].log;
        revision_ = copies_[n].revision;
        copies_.resize(n + 1);
        ++era_;
        for (auto& it : log_)
            it.revision.era = era_;
        for (auto& [key, it] : entries_)
            it.revision.era = era_;
    }

    std::size_t copies() const { return copies_.size(); }
    std::int64_t era() const { return era_; }
    state_revision revision() const { return {revision_, era_}; }
    std::string value(const std::string& key) const
    {
        const auto it = entries_.find(key);
        return it == entries_.end() ? std::string() : it->second.value;
    }

    std::vector<state_entry> list() const
    {
        std::vector<state_entry> out;
        for (const auto& [key, it] : entries_)
            out.push_back(it);
        return out;
    }

    std::vector<state_entry> changes_after(std::int64_t revision) const
    {
        std::vector<state_entry> out;
        std::copy_if(log_.begin(), log_.end(), std::back_inserter(out),
                     [revision](const state_entry& it) { return it.revision.number > revision; });
        return out;
    }

private:
    struct copy {
        std::map<std::string, state_entry> entries;
        std::vector<state_entry> log;
        std::int64_t revision{0};
    };

    std::map<std::string, state_entry> entries_;
    std::vector<state_entry> log_;
    std::vector<copy> copies_;
    std::int64_t revision_{10};
    std::int64_t era_{1};
};

/// One instance and what it must never undo.
struct instance_model {
    instance_model() : state(std::make_unique<published_state>(codec, callbacks())) {}

    published_state::callbacks callbacks()
    {
        published_state::callbacks out;
        out.on_table = [this](const std::shared_ptr<const routing_table>& it) {
            regressions += it->version < version ? 1 : 0;
            version = it->version;
        };
        out.on_endpoints = [this](const std::vector<endpoint>& list) {
            for (const auto& it : list) {
                const auto key = std::make_pair(it.id, it.started_ms);
                if (it.leaving)
                    left.insert_or_assign(key, true);
                else if (left.contains(key))
                    ++returns;
            }
        };
        return out;
    }

    versioned_codec codec;
    std::int64_t version{0};
    int regressions{0}; ///< tables that were replaced by an older one
    int returns{0};     ///< endpoints that were leaving and take work again in the same run
    std::map<std::pair<std::string, std::int64_t>, bool> left;
    std::unique_ptr<published_state> state;
};

/// An answer of the store or of a peer on its way to an instance.
struct message {
    std::int64_t arrives{0};
    std::int64_t sent{0};
    std::size_t to{0};
    bool from_store{true};
    bool is_listing{false};
    state_revision after; ///< of a watch
    state_revision revision;
    std::vector<state_entry> entries;
};

void deliver(instance_model& to, const message& it, time_point now)
{
    auto& state = *to.state;
    const bool usable = it.from_store ? state.record_store_era(it.revision.era, at(it.sent), now)
                                      : state.record_peer_era(it.revision.era, now);
    if (!usable)
        return;
    if (it.from_store && !it.is_listing && it.after.era != it.revision.era)
        return;
    if (!it.from_store) {
        state.merge_peer_state({it.entries, it.after, it.revision, it.is_listing, true}, now);
        return;
    }
    if (it.is_listing)
        state.apply_listing(it.entries, it.revision, now);
    if (!it.is_listing) {
        state.merge_changes(it.entries, it.after, it.revision, now);
        return;
    }
    state.merge(it.entries, now);
    state.record_listing(it.revision);
}

/// What the operator and the endpoints want the store to hold.
struct writers {
    std::int64_t version{1};
    std::map<std::string, std::string> endpoints;

    void write_again(lossy_store& store) const
    {
        store.put("table", std::to_string(version));
        for (const auto& [key, value] : endpoints)
            if (store.value(key) != value)
                store.put(key, value);
        for (const auto& it : store.list())
            if (it.key != "table" && !endpoints.contains(it.key))
                store.remove(it.key);
    }
};

} // namespace

// Guards against tables that come back older, endpoints that take work again after they were leaving, and
// changes that are never taken, because revisions of two eras of the store are compared. Histories at random:
// writes, losses of any depth, writes again, answers that are late or overtake each other, and changes from
// peers.
Test(restored, newest_state_is_reached_and_nothing_comes_back_older)
{
    constexpr std::size_t instances = 4;
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        std::minstd_rand random(seed);
        lossy_store store;
        writers all;
        std::vector<instance_model> models(instances);
        std::deque<message> messages;
        std::map<std::string, std::int64_t> numbers;
        std::int64_t rewrite_at = -1;
        all.write_again(store);
        std::int64_t now = 0;
        const auto send = [&](std::size_t to) {
            message it;
            it.sent = now;
            it.arrives = now + static_cast<std::int64_t>(random() % 2'500);
            it.to = to;
            const auto known = models[to].state->entries().revision();
            const std::size_t kind = random() % 4;
            if (kind == 0) {
                const auto& peer = *models[random() % instances].state;
                bool whole = false;
                it.from_store = false;
                it.entries = peer.entries().changes_after(known, whole);
                it.is_listing = whole;
                it.revision = peer.entries().revision();
                it.after = known;
            } else if (kind == 1 || known.era != store.era() || known > store.revision()) {
                it.is_listing = true;
                it.entries = store.list();
                it.revision = store.revision();
            } else {
                it.after = known;
                it.entries = store.changes_after(known.number);
                it.revision = store.revision();
            }
            messages.push_back(std::move(it));
        };
        // Endpoints raise their number with each entry that they write.
        const auto raise_numbers = [&] {
            for (auto& [name, value] : all.endpoints)
                value = fmt::format("{}/{}/{}", std::atol(value.c_str()), ++numbers[name],
                                    value.ends_with("draining") ? "draining" : "ready");
        };
        const auto deliver_due = [&] {
            for (auto it = messages.begin(); it != messages.end();)
                if (it->arrives <= now) {
                    deliver(models[it->to], *it, at(now));
                    it = messages.erase(it);
                } else {
                    ++it;
                }
        };
        for (now = 0; now < 40'000; now += 100) {
            deliver_due();
            const std::string key = fmt::format("endpoint/e{}", random() % 5);
            switch (random() % 12) {
            case 0:
                all.version += 1 + static_cast<std::int64_t>(random() % 3);
                if (rewrite_at < 0)
                    store.put("table", std::to_string(all.version));
                break;
            case 1:
            case 2: {
                // An endpoint starts, or goes on to drain, or leaves.
                auto& value = all.endpoints[key];
                if (value.ends_with("draining"))
                    all.endpoints.erase(key);
                else
                    value = fmt::format("{}/{}/{}", value.empty() ? now + 1 : std::atol(value.c_str()),
                                        ++numbers[key], value.empty() ? "ready" : "draining");
                if (rewrite_at < 0)
                    all.write_again(store);
                break;
            }
            case 3:
                if (rewrite_at < 0)
                    store.take_copy();
                break;
            case 4:
                if (random() % 4 == 0 && store.copies() > 0) {
                    store.restore(random() % store.copies());
                    rewrite_at = now + static_cast<std::int64_t>(random() % 1'500);
                }
                break;
            default:
                send(random() % instances);
            }
            if (rewrite_at >= 0 && now >= rewrite_at) {
                raise_numbers();
                all.write_again(store);
                rewrite_at = -1;
            }
        }
        raise_numbers();
        all.write_again(store);
        for (std::size_t n = 0; n < instances; ++n) {
            now += 10'000;
            deliver_due();
            message it;
            it.sent = now;
            it.is_listing = true;
            it.entries = store.list();
            it.revision = store.revision();
            deliver(models[n], it, at(now));
            cr_expect_eq(models[n].version, all.version, "seed %u: version %ld of %ld", seed,
                         models[n].version, all.version);
            cr_expect_eq(models[n].regressions, 0, "seed %u: %d older tables", seed, models[n].regressions);
            cr_expect_eq(models[n].returns, 0, "seed %u: %d endpoints came back", seed, models[n].returns);
            for (const auto* entry : models[n].state->entries().entries_under("endpoint/"))
                cr_expect_eq(store.value(entry->key), entry->value, "seed %u: %s", seed, entry->key.c_str());
            const auto count = models[n].state->entries().entries_under("endpoint/").size();
            cr_expect_eq(count, all.endpoints.size(), "seed %u: %zu of %zu endpoints", seed, count,
                         all.endpoints.size());
        }
    }
}

// Guards against a key that was revoked by a lost change and is accepted again: a read of a copy, or right
// after the store's return, doesn't show that the table in force is the newest.
Test(restored, read_of_an_older_copy_is_no_proof)
{
    versioned_codec codec;
    published_state state(
        codec, {[](const std::shared_ptr<const routing_table>&) {}, [](const std::vector<endpoint>&) {}});
    cr_expect(state.record_store_era(1, at(0), at(0)));
    state.merge({{"table", "12", {31, 1}, false}}, at(0));
    cr_expect(state.record_proof({{31, 1}, at(0)}));
    cr_expect(state.is_era_settled(at(0)), "the first era that is learned is no loss");
    cr_expect(state.record_store_era(2, at(1'000), at(1'000)));
    cr_expect_not(state.is_era_settled(at(1'100)));
    cr_expect(state.is_era_settled(at(1'000) + published_state::era_settle_time));
    state.merge({{"table", "5", {29, 2}, false}}, at(1'000));
    cr_expect_eq(state.table_version(), 12);
    cr_expect_not(state.record_proof({{29, 2}, at(1'000)}));
    cr_expect_not(state.record_proof({{29, 2}, at(1'000), 5}), "a peer that started then");
    cr_expect(state.is_newer_table({31, 2}, 15));
    cr_expect_not(state.is_newer_table({29, 2}, 5));
    cr_expect_eq(state.proof_age(at(2'000))->count(), 2'000);
    state.merge({{"table", "12", {30, 2}, false}}, at(2'500));
    cr_expect(state.record_proof({{30, 2}, at(2'500)}));
    cr_expect(state.record_proof({{31, 1}, at(2'600), 12}), "a peer that has it from the earlier era");
}

// Guards against an era that no store has given out, from a faulty peer, that keeps instances from the
// store's changes for good.
Test(restored, era_that_the_store_disproves_is_dropped)
{
    versioned_codec codec;
    published_state state(
        codec, {[](const std::shared_ptr<const routing_table>&) {}, [](const std::vector<endpoint>&) {}});
    state.record_store_era(1, at(0), at(0));
    state.merge({{"table", "12", {31, 1}, false}}, at(0));
    state.record_listing({31, 1});
    cr_expect_not(state.record_peer_era(99, at(500)), "the store has answered lately");
    cr_expect(state.record_peer_era(99, at(3'000)));
    state.merge_changes({{"table", "13", {7, 99}, false}}, {31, 1}, {7, 99}, at(3'000));
    cr_expect_not(state.record_store_era(1, at(2'900), at(3'100)), "a late answer");
    cr_expect(state.record_store_era(1, at(3'200), at(3'300)));
    cr_expect(state.entries().revision() == state_revision{}, "everything is listed again");
    state.merge({{"table", "14", {32, 1}, false}}, at(3'300));
    cr_expect_eq(state.table_version(), 14);
    cr_expect(state.record_proof({{32, 1}, at(3'200)}));
}
