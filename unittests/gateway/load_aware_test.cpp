#include <limpetlock/gateway/load_aware_selector.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

/// Eight engines of one pool.
struct fixture {
    fixture()
    {
        for (int n = 0; n < 8; ++n) {
            endpoint one;
            one.id = "e" + std::to_string(n);
            one.pool = "p";
            one.domain = "a";
            one.address = {"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
            one.slots = 128;
            listed.push_back(one);
        }
        statements.set_endpoints(listed);
        selector.set_endpoints(listed, at(0));
        profile.criteria = {"p", 7, "a", {}, 7, {}};
        profile.affinity_part = 7;
        profile.prompt = {{7, 5'382}, {8, 6'610}};
    }

    /// All ids that many draws return, without the usual one.
    std::set<std::string> drawn_others(std::int64_t now)
    {
        std::set<std::string> out;
        for (int n = 0; n < 100; ++n)
            for (const auto& it : load_aware.draw(profile, at(now)))
                out.insert(it.to.id);
        out.erase(selector.select(profile.criteria, at(now))->id);
        return out;
    }

    void report_all(std::int64_t now, double percent = 100)
    {
        for (const auto& it : listed)
            load_aware.record_load(it, {1, 0, 128, percent}, at(now));
    }

    std::vector<endpoint> listed;
    endpoint_statements statements{"n"};
    endpoint_selector selector{statements};
    load_aware_selector load_aware{selector, statements, 3};
    request_profile profile;
};

} // namespace

// Guards against a changed choice in deployments whose endpoints don't state the fourth figure.
Test(load_aware, has_no_effect_without_the_fourth_figure)
{
    fixture it;
    for (const auto& one : it.listed)
        it.load_aware.record_load(one, {1, 0, 128, std::nullopt}, at(0));
    cr_expect_not(it.load_aware.is_enabled("p", at(0)));
    cr_expect(it.load_aware.draw(it.profile, at(0)).empty());
    it.load_aware.record_load(it.listed[0], {1, 0, 128, 100}, at(0));
    cr_expect_eq(it.load_aware.draw(it.profile, at(0)).size(), routing::max_candidates);
    cr_expect(it.load_aware.draw(it.profile, at(60'000)).empty(), "not stated any more");
}

// Guards against requests or probes to endpoints that take none, and against one that stopped to take them
// while the answers to probes were awaited.
Test(load_aware, endpoints_that_may_not_be_selected_stay_excluded)
{
    fixture it;
    it.report_all(0);
    const auto usual = it.selector.select(it.profile.criteria, at(0))->id;
    std::vector<endpoint> others;
    for (const auto& one : it.listed)
        if (one.id != usual)
            others.push_back(one);
    answer_metadata pause;
    pause.not_run = true;
    pause.retry_after = duration(5'000);
    it.statements.record_answer(others[0], pause, true, at(0), at(0));
    answer_metadata limited;
    limited.max_rate = 2;
    it.statements.record_answer(others[1], limited, true, at(0), at(0));
    it.profile.criteria.tried = {others[2].id};
    it.selector.hold_back(others[3].id, at(1'000));
    it.selector.begin_attempt(others[4].id, at(0));
    it.selector.end_attempt(others[4].id, attempt_outcome::overloaded, at(0));
    cr_expect(it.drawn_others(50) == (std::set<std::string>{others[5].id, others[6].id}));

    it.report_all(60);
    for (const auto& one : others)
        it.load_aware.record_load(one, {20, 9, 128, 400}, at(61));
    it.load_aware.record_load(others[5], {0, 0, 128, 50}, at(62));
    const std::vector<drawn_endpoint> drawn{{others[5], false}, {others[6], false}};
    cr_expect_eq(it.load_aware.pick(it.profile, drawn, at(70))->to.id, others[5].id);
    it.statements.record_answer(others[5], pause, true, at(65), at(65));
    cr_expect_eq(it.load_aware.pick(it.profile, drawn, at(70))->to.id, others[6].id);
    it.profile.criteria.tried.push_back(others[6].id);
    cr_expect_not(it.load_aware.pick(it.profile, drawn, at(70)).has_value());
}

// Guards against probes that nobody needs: of endpoints with a fresh report, for short requests, and of
// endpoints that count every call against a limit.
Test(load_aware, only_endpoints_without_a_fresh_report_are_probed)
{
    fixture it;
    it.report_all(0);
    const auto probed = [&it](std::int64_t now) {
        const auto drawn = it.load_aware.draw(it.profile, at(now));
        return std::count_if(drawn.begin(), drawn.end(), [](const auto& one) { return one.needs_probe; });
    };
    cr_expect_eq(probed(100), 0);
    cr_expect_eq(probed(101), 4);
    it.profile.prompt = {{7, 5'382}, {8, 100}};
    cr_expect_eq(probed(101), 0, "the request is short at its usual engine");
}

// Guards against requests that each wait in vain for an endpoint that doesn't answer its health path, and
// against one that is never probed again.
Test(load_aware, endpoints_that_do_not_answer_are_probed_less_often)
{
    fixture it;
    it.report_all(0);
    const auto usual = it.selector.select(it.profile.criteria, at(0))->id;
    const auto is_probed = [&](std::int64_t now) {
        const auto drawn = it.load_aware.draw(it.profile, at(now));
        cr_assert_eq(drawn.front().to.id, usual);
        return drawn.front().needs_probe;
    };
    it.load_aware.record_probe(usual, false, at(1'000));
    cr_expect(is_probed(1'000), "a single probe may be lost");
    it.load_aware.record_probe(usual, false, at(1'001));
    cr_expect(!is_probed(2'000) && is_probed(2'001));
    it.load_aware.record_probe(usual, false, at(2'001));
    cr_expect(!is_probed(4'000) && is_probed(4'001));
    for (int n = 0; n < 100; ++n)
        it.load_aware.record_probe(usual, false, at(5'000));
    cr_expect(!is_probed(20'999) && is_probed(21'000));
    it.load_aware.record_probe(usual, true, at(35'000));
    it.load_aware.record_probe(usual, false, at(35'001));
    cr_expect(is_probed(35'001));
}

// Guards against an engine that lost its prompt parts when requests moved, and against results of stages that
// are fetched from another failure domain for a small gain.
Test(load_aware, cached_parts_and_the_domain_of_results_are_time_saved)
{
    fixture it;
    it.report_all(0);
    const auto usual = *it.selector.select(it.profile.criteria, at(0));
    const auto& other = it.listed[usual.id == "e0" ? 1 : 0];
    const auto ms = [&](const endpoint& to) {
        return it.load_aware.expected_time(to, it.profile, at(50)).ms;
    };
    cr_expect_gt(ms(other), ms(usual) + 50);
    {
        const estimated_request sent(it.load_aware, other, it.profile, at(10));
    }
    cr_expect_lt(std::abs(ms(other) - ms(usual)), 1, "the part was sent there");

    auto elsewhere = usual;
    elsewhere.domain = "b";
    auto list = it.listed;
    std::replace_if(
        list.begin(), list.end(), [&](const endpoint& one) { return one.id == usual.id; }, elsewhere);
    it.selector.set_endpoints(list, at(0));
    it.profile.results_domain = "a";
    for (int n = 0; n < 20; ++n)
        cr_expect_eq(it.load_aware.pick(it.profile, {{elsewhere, false}, {other, false}}, at(50))->to.id,
                     other.id);
}
