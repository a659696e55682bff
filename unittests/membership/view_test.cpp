#include "../script_golden.hpp"

#include <limpetlock/membership/view.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace limpetlock;
using namespace limpetlock::membership;

namespace {

time_point at_ms(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

listed_instance model(int n, const std::string& address = "10.0.0.1")
{
    return {"m" + std::to_string(n), "model", address, static_cast<std::uint16_t>(8000 + n), 0, "a", false};
}

instance_list models(std::int64_t version, int size)
{
    instance_list it{version, {}};
    for (int n = 0; n < size; ++n)
        it.instances.push_back(model(n));
    return it;
}

std::uint64_t id_of(const view& it, const std::string& name)
{
    for (const auto& endpoint : it.current_snapshot()->pool("model"))
        if (endpoint.name == name)
            return endpoint.id;
    return 0;
}

void record_failures(view& it, std::uint64_t id, std::int64_t now)
{
    for (int n = 0; n < 3; ++n)
        it.record_failure(id, call_failure::other, at_ms(now), at_ms(now));
}

} // namespace

// Guards against a stale replica of the list service that restores removed instances.
Test(view, lower_list_version_is_ignored)
{
    view it;
    cr_assert(it.apply(models(5, 3), at_ms(0)));
    cr_assert_not(it.apply(models(4, 12), at_ms(0)));
    cr_assert_eq(it.current_snapshot()->pool("model").size(), 3U);
    cr_assert_eq(it.counts().lists_ignored, 1U);
}

// Guards against requests to a leaving endpoint that the list still shows as live (P5).
Test(view, leaving_endpoint_with_a_stale_list_gets_no_work)
{
    view it;
    it.apply(models(5, 3), at_ms(0));
    const auto id = id_of(it, "m1");
    const auto evidence = it.record_leaving(id, at_ms(100));
    cr_assert_eq(evidence->list_version, 5);
    cr_assert_not(it.record_leaving(id, at_ms(110)).has_value(), "known evidence must not be sent again");
    it.apply(models(6, 3), at_ms(200));
    it.record_success(id, at_ms(50), at_ms(300));
    cr_assert_eq(id_of(it, "m1"), 0U);
    for (int n = 2; n < 100; ++n)
        it.tick(at_ms(n * 200));
    cr_assert_eq(it.state("model", "m1"), endpoint_state::leaving);
}

// Guards against evidence about a former endpoint that takes its successor of the same name out of service,
// and against evidence about the successor that is ignored.
Test(view, evidence_counts_for_its_instance_only)
{
    view it;
    it.apply(models(5, 3), at_ms(0));
    const auto old_id = id_of(it, "m1");
    cr_assert(it.record_peer_evidence({"model", "m1", 5}, at_ms(10)));
    cr_assert_not(it.record_peer_evidence({"model", "m1", 5}, at_ms(20)));
    auto list = models(7, 3);
    list.instances[1] = model(1, "10.0.0.9");
    it.apply(list, at_ms(100));
    cr_assert_eq(it.state("model", "m1"), endpoint_state::live);
    cr_assert_neq(id_of(it, "m1"), old_id);
    cr_assert_not(it.record_peer_evidence({"model", "m1", 6}, at_ms(110)));
    record_failures(it, old_id, 120);
    cr_assert_not(it.record_leaving(old_id, at_ms(130)).has_value());
    cr_assert_eq(it.state("model", "m1"), endpoint_state::live);
    cr_assert(it.record_peer_evidence({"model", "m1", 7}, at_ms(140)));
    cr_assert_eq(it.state("model", "m1"), endpoint_state::leaving);
}

// Guards against the loss of evidence that arrives before the list version it refers to.
Test(view, evidence_may_arrive_before_its_list)
{
    view it;
    it.apply(models(5, 3), at_ms(0));
    it.record_peer_evidence({"model", "m3", 8}, at_ms(10));
    it.apply(models(8, 4), at_ms(20));
    cr_assert_eq(it.state("model", "m3"), endpoint_state::leaving);
}

// Guards against an outage that ejects a whole pool: at most the configured share is ejected, the endpoints
// with the highest failure scores first.
Test(view, ejection_is_capped)
{
    view it;
    it.apply(models(1, 5), at_ms(0));
    std::vector<std::uint64_t> ids;
    for (const auto& endpoint : it.current_snapshot()->pool("model"))
        ids.push_back(endpoint.id);
    for (const auto id : ids)
        record_failures(it, id, 10);
    cr_assert_eq(it.current_snapshot()->pool("model").size(), 3U);
    cr_assert_eq(it.counts().ejections, 2U);
    cr_assert_gt(it.counts().ejections_capped, 0U);
}

// Guards against a process that ejects every endpoint because calls failed during its own pause.
Test(view, timer_gap_does_not_empty_a_pool)
{
    view it;
    it.apply(models(1, 4), at_ms(0));
    it.apply(
        {2, {model(0), model(1), model(2), model(3), {"entry-a1", "entry", "10.0.1.1", 1, 2, "a", false}}},
        at_ms(0));
    it.record_contact("entry-a1", 1, at_ms(100));
    const auto ids = it.current_snapshot()->pool("model");
    it.tick(at_ms(200));
    record_failures(it, ids[0].id, 210);
    cr_assert_eq(it.state("model", "m0"), endpoint_state::ejected);
    cr_assert(it.tick(at_ms(9000)));
    cr_assert_eq(it.state("model", "m0"), endpoint_state::live);
    cr_assert_not(it.last_contact("entry-a1").has_value());
    for (const auto& endpoint : ids)
        for (int n = 0; n < 3; ++n)
            it.record_failure(endpoint.id, call_failure::other, at_ms(300), at_ms(9001));
    cr_assert_eq(it.current_snapshot()->pool("model").size(), 4U,
                 "results of calls sent before the gap must be ignored");
    cr_assert_not(it.tick(at_ms(9200)));
    record_failures(it, ids[0].id, 9210);
    cr_assert_eq(it.state("model", "m0"), endpoint_state::ejected);
}

// Guards against an ejected endpoint that returns to service without a successful probe, or never.
Test(view, only_probes_bring_an_ejected_endpoint_back)
{
    view it;
    it.apply(models(1, 4), at_ms(0));
    const auto id = id_of(it, "m2");
    record_failures(it, id, 0);
    it.record_success(id, at_ms(0), at_ms(100));
    it.apply(models(2, 4), at_ms(150));
    cr_assert_eq(it.state("model", "m2"), endpoint_state::ejected);
    for (int n = 1; n <= 5; ++n)
        it.tick(at_ms(n * 200));
    cr_assert_eq(it.state("model", "m2"), endpoint_state::probing);
    it.record_failure(id, call_failure::connection_refused, at_ms(1000), at_ms(1010));
    cr_assert_eq(it.state("model", "m2"), endpoint_state::ejected);
    for (int n = 6; n <= 14; ++n)
        it.tick(at_ms(n * 200));
    cr_assert_eq(it.state("model", "m2"), endpoint_state::ejected, "the second ejection lasts twice as long");
    it.tick(at_ms(3010));
    it.record_success(id, at_ms(3010), at_ms(3020));
    it.record_success(id, at_ms(3030), at_ms(3040));
    cr_assert_eq(it.state("model", "m2"), endpoint_state::live);
}

// Guards against endpoints that stay ejected after an outage of the whole pool is over: the first success of
// an endpoint that only the ejection cap kept in service starts the probes early.
Test(view, first_answer_after_an_outage_starts_probes)
{
    view it;
    it.apply(models(1, 4), at_ms(0));
    std::vector<std::uint64_t> ids;
    for (const auto& endpoint : it.current_snapshot()->pool("model"))
        ids.push_back(endpoint.id);
    for (const auto id : ids)
        record_failures(it, id, 10);
    it.tick(at_ms(200));
    cr_assert_eq(it.current_snapshot()->pool("model").size(), 2U);
    it.record_success(it.current_snapshot()->pool("model")[0].id, at_ms(210), at_ms(250));
    it.tick(at_ms(400));
    cr_assert_eq(it.current_snapshot()->pool("model").size(), 4U);
}

// Guards against a frame of a former incarnation that is accepted as one of the current incarnation.
Test(view, incarnations_are_ordered)
{
    view it;
    it.apply({1, {{"entry-a1", "entry", "10.0.1.1", 1, 2, "a", false}}}, at_ms(0));
    cr_assert(it.record_contact("entry-a1", 1000, at_ms(0)));
    cr_assert(it.record_contact("entry-a1", 2000, at_ms(10)));
    cr_assert_not(it.record_contact("entry-a1", 1000, at_ms(20)));
    cr_assert_eq(it.last_contact("entry-a1"), at_ms(10));
    cr_assert_eq(it.current_snapshot()->entry_instances.at(0).incarnation, 2000);
    it.apply({2, {}}, at_ms(30));
    cr_assert_not(it.record_contact("entry-a1", 1000, at_ms(40)),
                  "an old incarnation must be dropped after its name left the list");
    it.apply({3, {{"entry-a1", "entry", "10.0.1.2", 1, 2, "a", false}}}, at_ms(50));
    cr_assert_eq(it.current_snapshot()->entry_instances.at(0).incarnation, 2000);
}

// Guards against a snapshot that changes under a reader.
Test(view, snapshots_are_immutable)
{
    view it;
    it.apply(models(1, 2), at_ms(0));
    const auto before = it.current_snapshot();
    cr_assert_eq(before, it.current_snapshot());
    it.record_leaving(id_of(it, "m0"), at_ms(10));
    cr_assert_eq(before->pool("model").size(), 2U);
    cr_assert_eq(it.current_snapshot()->pool("model").size(), 1U);
    cr_assert(it.current_snapshot()->pool("unknown").empty());
}

// Guards against changed state transitions of a pool of four endpoints: failures, leaving, a new listing, a
// pause and probes.
Test(view, golden_session)
{
    view it;
    std::map<std::string, std::uint64_t> ids;
    const auto states = [&] {
        std::string text;
        for (const auto* name : {"m0", "m1", "m2", "m3"}) {
            const auto status = it.state("model", name);
            text += std::string(text.empty() ? "" : " ") + name + "=" +
                    (status ? std::string(to_string(*status)) : "-");
        }
        for (const auto& endpoint : it.current_snapshot()->pool("model"))
            ids[endpoint.name] = endpoint.id;
        return text;
    };
    test::check_session("view", [&](const test::words& w) {
        const auto now = at_ms(std::stoll(w[1]));
        if (w[0] == "list") {
            instance_list list{std::stoll(w[2]), {}};
            for (std::size_t n = 3; n < w.size(); ++n) {
                const auto slash = w[n].find('/');
                list.instances.push_back({w[n].substr(0, slash), "model", "10.0.0.1",
                                          static_cast<std::uint16_t>(std::stoi(w[n].substr(slash + 1))), 0,
                                          "a", w[n].ends_with("/leaving")});
            }
            it.apply(list, now);
        }
        if (w[0] == "fail")
            it.record_failure(ids[w[2]], call_failure::other, now, now);
        if (w[0] == "refused")
            it.record_failure(ids[w[2]], call_failure::connection_refused, now, now);
        if (w[0] == "ok")
            it.record_success(ids[w[2]], now, now);
        if (w[0] == "leaving")
            it.record_leaving(ids[w[2]], now);
        if (w[0] == "peer")
            it.record_peer_evidence({"model", w[2], std::stoll(w[3])}, now);
        if (w[0] == "ticks")
            for (auto t = std::stoll(w[1]); t <= std::stoll(w[2]); t += 200)
                it.tick(at_ms(t));
        return states();
    });
}
