#include "platform_codec_fake.hpp"

#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>

#include <criterion/criterion.h>

#include <memory>
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

state_entry order(const std::string& domain, state_revision revision, bool removed = false)
{
    return {"evacuate/" + domain, removed ? "" : "{}", revision, removed};
}

endpoint endpoint_in(const std::string& domain, const std::string& id)
{
    endpoint out;
    out.id = id;
    out.pool = "pool";
    out.address = {"host-" + id, 80};
    out.domain = domain;
    out.slots = 8;
    out.started_ms = 1;
    return out;
}

/// A published state that follows orders and counts the reports of changes.
struct followed_state {
    followed_state() : state(names, callbacks()) {}

    published_state::callbacks callbacks()
    {
        published_state::callbacks out;
        out.on_table = [](const std::shared_ptr<const routing_table>&) {};
        out.on_endpoints = [this](const std::vector<endpoint>&) { orders_at_endpoints = orders(); };
        out.on_evacuations = [this](const evacuation_changes&) { ++reports; };
        return out;
    }

    std::size_t orders() const { return state.evacuation_orders().count(); }
    bool evacuated(const std::string& domain) const { return state.evacuation_orders().contains(domain); }

    test::platform_codec_fake names;
    std::size_t reports{0};
    std::size_t orders_at_endpoints{0};
    published_state state;
};

} // namespace

// Guards against an order that is missed or kept, by whatever way its changes come: the watch, a listing that
// lacks it, or both within one answer. A key without a domain must not count as an order.
Test(evacuations, order_holds_from_its_key_to_the_removal_of_the_key)
{
    followed_state it;
    it.state.record_store_era(1, at(0), at(0));
    it.state.merge(
        {order("a", {5, 1}), order("b", {6, 1}), order("", {7, 1}), {"endpoint/e", "h", {8, 1}, false}},
        at(1));
    cr_expect(it.evacuated("a") && it.evacuated("b"));
    cr_expect_eq(it.orders(), 2);
    cr_expect_eq(it.orders_at_endpoints, 2, "the orders are known before the endpoints");
    // Given and withdrawn between two answers of the store.
    it.state.merge({order("c", {9, 1}), order("c", {10, 1}, true)}, at(2));
    cr_expect_not(it.evacuated("c"));
    // A late copy of the first state, as a slow peer sends it, changes nothing.
    it.state.merge({order("c", {9, 1}), order("a", {5, 1})}, at(3));
    cr_expect_not(it.evacuated("c"));
    const std::size_t reports = it.reports;
    it.state.apply_evacuation_listing({order("b", {6, 1})}, {11, 1}, at(4));
    cr_expect_not(it.evacuated("a"), "the listing lacks it");
    cr_expect(it.evacuated("b"));
    cr_expect_eq(it.reports, reports + 1);
    it.state.merge({order("b", {12, 1}, true)}, at(5));
    cr_expect_eq(it.orders(), 0);
    it.state.merge({order("b", {13, 1})}, at(6));
    cr_expect(it.evacuated("b"), "an order can be given again");
}

// Guards against requests to an evacuated domain after the store came back from a copy without the order: it
// holds until it is written again or the grace has passed.
Test(evacuations, order_that_the_store_lost_holds_for_a_grace)
{
    followed_state it;
    it.state.record_store_era(1, at(0), at(0));
    it.state.merge({order("a", {5, 1}), order("b", {6, 1})}, at(1));
    it.state.record_store_era(2, at(10), at(11));
    it.state.apply_evacuation_listing({}, {3, 2}, at(11));
    cr_expect(it.evacuated("a") && it.evacuated("b"));
    const time_point end = at(11) + evacuations::lost_order_grace;
    it.state.merge({order("a", {4, 2})}, at(2'000));
    it.state.remove_lapsed_evacuations(end - duration(1));
    cr_expect(it.evacuated("a") && it.evacuated("b"));
    it.state.remove_lapsed_evacuations(end);
    cr_expect(it.evacuated("a"), "written again");
    cr_expect_not(it.evacuated("b"));
    it.state.merge({order("a", {5, 2}, true)}, end);
    cr_expect_not(it.evacuated("a"), "a removal in the present era is the operators' own");
}

// Guards against orders that take effect in a deployment that doesn't use them.
Test(evacuations, deployment_without_the_bound_ignores_orders)
{
    test::platform_codec_fake names;
    published_state it(names, {[](const auto&) {}, [](const auto&) {}, {}});
    it.merge({order("a", {5, 0})}, at(0));
    it.apply_evacuation_listing({order("a", {5, 0})}, {6, 0}, at(1));
    cr_expect(it.merge_peer_state({{}, {}, {6, 0}, false, false}, at(1)));
    cr_expect_eq(it.evacuation_orders().count(), 0);
    cr_expect_not(it.misses_evacuations());
    cr_expect_eq(it.entries().size(), 0);
}

// Guards against any way by which a request or stage call reaches an evacuated endpoint, and against one that
// gets all its requests at once when the order ends: it is mostly cold then.
Test(evacuations, endpoints_get_no_work_and_return_gradually)
{
    endpoint_statements statements("one");
    endpoint_selector selector(statements);
    stage_dispatcher dispatcher;
    evacuations orders;
    std::vector<endpoint> list{endpoint_in("a", "e1"), endpoint_in("b", "e2"), endpoint_in("b", "e3")};
    statements.set_endpoints(list);
    const auto apply = [&](std::int64_t ms) {
        orders.mark(list);
        selector.set_endpoints(list, at(ms));
        dispatcher.configure({}, list);
    };
    apply(0);
    selector.begin_attempt("e1", at(0));
    orders.set_orders({{"a", {5, 1}}}, 1, at(10));
    apply(10);
    selection_criteria criteria;
    criteria.pool = "pool";
    criteria.domain = "a";
    for (std::uint64_t n = 1; n < 200; ++n) {
        criteria.affinity_hash = n % 2 == 0 ? n : 0;
        cr_assert_neq(selector.select(criteria, at(10 + static_cast<std::int64_t>(n)))->id, "e1");
    }
    cr_expect_not(selector.accepts_work("e1"));
    cr_expect_not(dispatcher.has_endpoint("e1"));
    cr_expect_eq(selector.in_flight_by_domain().at("a"), 1, "operators see the request in flight");
    cr_expect_eq(selector.count_evacuated("pool"), 1);
    // All domains at once: there is nothing left, and nothing is picked as a last resort.
    orders.set_orders({{"a", {5, 1}}, {"b", {6, 1}}}, 1, at(300));
    apply(300);
    cr_expect_not(selector.select(criteria, at(300)).has_value());
    cr_expect_not(dispatcher.has_endpoints());

    selector.end_attempt("e1", attempt_outcome::answered, at(400));
    orders.set_orders({{"b", {6, 1}}}, 1, at(1'000));
    cr_expect_eq(orders.count(), 1);
    orders.set_orders({}, 1, at(1'000));
    apply(1'000);
    statements.record_return(list.front(), at(1'000));
    const auto count_first = [&](std::int64_t begin) {
        std::size_t out = 0;
        for (std::uint64_t n = 0; n < 300; ++n) {
            criteria.affinity_hash = n * 7'919 + 1;
            const auto to = selector.select(criteria, at(begin + static_cast<std::int64_t>(n)));
            out += to->id == "e1" ? 1U : 0U;
        }
        return out;
    };
    const std::size_t early = count_first(1'000);
    const std::size_t late = count_first(1'000 + endpoint_statements::return_time.count());
    cr_expect_lt(early * 4, late, "%zu and %zu", early, late);
    cr_expect_gt(late, 70, "%zu of 300", late);
}
