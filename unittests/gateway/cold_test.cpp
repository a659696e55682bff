#include "platform_codec_fake.hpp"

#include <limpetlock/gateway/cold_rate.hpp>
#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>
#include <limpetlock/gateway/published_state.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
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

endpoint endpoint_of(const std::string& id, duration cold_left = duration{0}, std::int64_t started_ms = 1)
{
    endpoint out;
    out.id = id;
    out.pool = "pool";
    out.address = {"host-" + id, 80};
    out.slots = 4;
    out.started_ms = started_ms;
    out.cold_left = cold_left;
    return out;
}

answer_metadata cold_answer(std::int64_t ms)
{
    answer_metadata out;
    out.cold_left = duration(ms);
    return out;
}

/// Statements of the endpoints "e" and "f" of a pool that may be cold for 3 s.
endpoint_statements statements_of(const std::string& name)
{
    endpoint_statements out(name);
    out.set_cold_pools({{"pool", {duration{3'000}, cold_terms_for(11, {1.5, 5})}}});
    out.set_endpoints({endpoint_of("e"), endpoint_of("f")});
    return out;
}

/// The most permits of two issuers that can be used in one second if each is used at any time that its
/// lifetime and the sending time allow. The issuers have saved what they can, then get bursts of demand.
std::size_t worst_second(const cold_terms& terms, std::uint32_t seed)
{
    std::minstd_rand random(seed);
    std::vector<std::int64_t> due;
    for (int n = 0; n < max_cold_issuers; ++n) {
        permit_issuer issuer;
        permit_request asked{"e", terms.max_rate, duration{0}, "", terms.max_saved, true};
        issuer.request(asked, at(0));
        std::int64_t pause_until = 20'000;
        for (std::int64_t ms = 20'000; ms < 60'000; ++ms) {
            if (ms < pause_until)
                continue;
            if (random() % 2'000 == 0)
                pause_until = ms + static_cast<std::int64_t>(random() % 4'000);
            asked.max_wait = duration(random() % 3 == 0 ? 400 : 0);
            const auto given = issuer.request(asked, at(ms));
            if (given.granted)
                due.push_back(ms + given.wait.count());
        }
    }
    std::sort(due.begin(), due.end());
    const std::int64_t length = 1'000 + (cold_permit_lifetime + cold_sending_time).count();
    std::size_t out = 0;
    for (auto it = due.begin(); it != due.end(); ++it)
        out = std::max(out, static_cast<std::size_t>(std::lower_bound(it, due.end(), *it + length) - it));
    return out;
}

/// The value of an endpoint is "LEFT/NUMBER".
class cold_codec : public test::platform_codec_fake {
public:
    std::optional<endpoint> decode_endpoint(const std::string& key, const std::string& value,
                                            std::string&) const override
    {
        long left = 0;
        auto out = endpoint_of(key.substr(endpoint_prefix().size()));
        std::sscanf(value.c_str(), "%ld/%ld", &left, &out.entry_number); // NOLINT
        out.cold_left = duration(left);
        return out;
    }
};

} // namespace

// Guards against a cold endpoint that crashes because two instances give permits for it at the same time,
// each with all that it could save, and the permits are used as late as possible.
Test(cold, two_issuers_with_full_balances_keep_the_bound_in_any_second)
{
    struct pool_case {
        double rate;
        cold_bound bound;
    };
    for (const auto& it : {pool_case{11, {1.5, 5}}, pool_case{1, {1.5, 5}}, pool_case{0.2, {1.5, 5}},
                           pool_case{40, {1.5, 5}}, pool_case{11, {2.7, 0}}, pool_case{3, {1, 20}}}) {
        const double allowed = it.rate * it.bound.factor + it.bound.extra;
        const auto terms = cold_terms_for(it.rate, it.bound);
        cr_assert(terms.has_value(), "%g", it.rate);
        cr_expect_leq(terms->max_rate, it.rate);
        std::size_t worst = 0;
        for (std::uint32_t seed = 1; seed <= 8; ++seed)
            worst = std::max(worst, worst_second(*terms, seed));
        cr_expect_leq(static_cast<double>(worst), allowed, "rate %g: %zu of %g", it.rate, worst, allowed);
        // The bound is used: a single issuer gives the engines of the design page their usual 3.3 a second.
        if (it.rate == 11)
            cr_expect_gt(terms->max_rate, 5, "%g", terms->max_rate);
    }
    cr_expect_not(cold_terms_for(1, {0.5, 0.5}).has_value(), "two issuers alone would exceed it");
    cr_expect_not(cold_terms_for(0, {1.5, 5}).has_value());
}

// Guards against a coldness that is extended each time its entry is read, and against an endpoint that is
// cold although its entry doesn't say so.
Test(cold, only_a_new_entry_begins_or_extends_a_coldness)
{
    const cold_codec codec;
    auto statements = statements_of("one");
    std::int64_t now_ms = 0;
    published_state::callbacks calls;
    calls.on_table = [](const std::shared_ptr<const routing_table>&) {};
    calls.on_endpoints = [&](const std::vector<endpoint>& it) { statements.set_endpoints(it); };
    calls.on_entries = [&](const std::vector<endpoint>& list) {
        for (const auto& it : list)
            statements.record_entry(it, at(now_ms));
    };
    published_state state(codec, calls);
    state.record_store_era(1, at(0), at(0));
    state.merge({{"endpoint/e", "2000/1", {5, 1}, false}, {"endpoint/f", "0/1", {6, 1}, false}}, at(0));
    cr_expect(statements.is_cold("e", at(1'999)));
    cr_expect_not(statements.is_cold("e", at(2'000)));
    cr_expect_not(statements.is_cold("f", at(0)));
    now_ms = 1'900; // the same entry, in a listing and in one of a later era
    state.apply_listing({{"endpoint/e", "2000/1", {5, 1}, false}, {"endpoint/f", "0/1", {6, 1}, false}},
                        {7, 1}, at(now_ms));
    state.record_store_era(2, at(1'899), at(now_ms));
    state.apply_listing({{"endpoint/e", "2000/1", {5, 2}, false}, {"endpoint/f", "0/1", {6, 2}, false}},
                        {7, 2}, at(now_ms));
    cr_expect_not(statements.is_cold("e", at(2'000)));
    state.merge({{"endpoint/e", "900000000/2", {8, 2}, false}}, at(now_ms));
    cr_expect(statements.is_cold("e", at(4'899)), "it is cold again");
    cr_expect_not(statements.is_cold("e", at(4'900)), "cut to what the pool allows");
}

// Guards against an endpoint that is taken as warm because of what was written before it became cold, and
// against one that stays cold after it said otherwise.
Test(cold, newest_statement_holds)
{
    auto it = statements_of("one");
    it.record_answer("e", cold_answer(2'500), true, at(0), at(10));
    it.record_entry(endpoint_of("e"), at(600));
    cr_expect(it.is_cold("e", at(2'509)), "the entry was on its way");
    it.record_answer("e", cold_answer(0), true, at(5), at(700));
    cr_expect(it.is_cold("e", at(2'509)), "the answer was on its way");
    it.record_answer("e", cold_answer(0), true, at(720), at(730));
    cr_expect_not(it.is_cold("e", at(730)));
    it.record_idleness(endpoint_of("e"), at(1'000));
    cr_expect(it.is_cold("e", at(3'999)), "nothing was sent to it, so it is cold as far as is known");
    it.record_entry(endpoint_of("e"), at(1'000) + endpoint_statements::entry_delay);
    cr_expect_not(it.is_cold("e", at(2'600)), "its entry says otherwise");
    // Another process under the same id.
    it.record_entry(endpoint_of("e", duration{2'000}), at(3'000));
    it.set_endpoints({endpoint_of("e", duration{0}, 2), endpoint_of("f")});
    cr_expect_not(it.is_cold("e", at(3'001)));
    answer_metadata malformed;
    malformed.malformed_cold_left = true;
    it.record_answer("e", malformed, true, at(3'010), at(3'020));
    cr_expect_not(it.is_cold("e", at(3'021)));
}

// Guards against a coldness that never ends because instances tell it one another again and again.
Test(cold, statement_of_an_answer_spreads_and_ends)
{
    std::vector<endpoint_statements> all{statements_of("one"), statements_of("two"), statements_of("three")};
    all[0].record_answer("e", cold_answer(1'000), true, at(0), at(10));
    all[0].record_entry(endpoint_of("f", duration{1'000}), at(10));
    constexpr std::int64_t transit = 40;
    for (std::int64_t ms = 10; ms < 1'400; ms += transit)
        for (std::size_t from = 0; from < all.size(); ++from)
            for (std::size_t to = 0; to < all.size(); ++to)
                for (auto it : all[from].cold_for_peers(at(ms), 24)) {
                    // The receiver counts the ages from the arrival.
                    it.until += duration(transit);
                    it.at += duration(transit);
                    if (from != to)
                        all[to].merge(it, at(ms + transit));
                }
    for (auto& it : all) {
        cr_expect(it.is_cold("e", at(1'009)));
        cr_expect_not(it.is_cold("e", at(1'200)));
    }
    cr_expect_not(all[1].is_cold("f", at(100)), "each instance has the entries itself");
}

// Guards against a popular part of prompts that is sent to a cold engine while a warm one has room, against a
// lower limit that is ignored, and against requests to an endpoint that tolerates none.
Test(cold, warm_endpoints_are_preferred_and_the_lower_limit_holds)
{
    auto statements = statements_of("one");
    endpoint_selector selector(statements);
    selector.set_endpoints({endpoint_of("e"), endpoint_of("f")}, at(0));
    statements.record_entry(endpoint_of("e", duration{3'000}), at(0));
    selection_criteria criteria;
    criteria.pool = "pool";
    for (std::uint64_t n = 0; n < 60; ++n) {
        criteria.affinity_hash = n;
        cr_assert_eq(selector.select(criteria, at(static_cast<std::int64_t>(n)))->id, "f");
    }
    for (int n = 0; n < 4; ++n)
        selector.begin_attempt("f", at(100));
    criteria.affinity_hash = 0;
    cr_expect_eq(selector.select(criteria, at(100))->id, "e", "the warm one has no room");

    const auto terms = cold_terms_for(11, {1.5, 5});
    const auto limit = statements.limit_of("e", at(100));
    cr_assert(limit && limit->cold);
    cr_expect_eq(limit->max_rate, terms->max_rate);
    cr_expect_eq(limit->lifetime, cold_permit_lifetime);
    answer_metadata stated;
    stated.max_rate = 2;
    statements.record_answer("e", stated, true, at(110), at(120));
    cr_expect_eq(statements.limit_of("e", at(130))->max_rate, 2);
    cr_expect(statements.limit_of("e", at(130))->cold);
    cr_expect_not(statements.limit_of("e", at(3'000))->cold);
    cr_expect_eq(statements.limit_of("e", at(3'000))->lifetime, endpoint_statements::permit_lifetime);

    statements.set_cold_pools({{"pool", {duration{3'000}, std::nullopt}}});
    cr_expect_eq(statements.paused_until("e", at(130)).value_or(at(0)), at(3'000));
    cr_expect_neq(selector.select(criteria, at(130))->id, "e");
    statements.set_cold_pools({});
    cr_expect_not(statements.is_cold("e", at(130)), "a pool without a rate has no cold endpoints");
}
