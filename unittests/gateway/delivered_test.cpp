#include <limpetlock/gateway/delivered_results.hpp>

#include <criterion/criterion.h>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

} // namespace

// A reply that is lost with its connection must not make the pieces run again: their inputs are released
// already.
Test(delivered_results, repeated_order_gets_the_same_results)
{
    delivered_results it;
    it.record({"r", 1, 0}, {{"handle", piece_failure::none}}, at(0));
    const auto found = it.find({"r", 1, 0}, at(2'499));
    cr_assert(found);
    cr_expect_eq(found->front().handle, "handle");
    cr_expect_not(it.find({"r", 2, 0}, at(0)));
    cr_expect_not(it.find({"r", 1, 1}, at(0)));
}

// Results that endpoints may have dropped must not be handed out, nor kept in memory.
Test(delivered_results, old_results_are_dropped)
{
    delivered_results it;
    it.record({"r", 1, 0}, {{"a", piece_failure::none}}, at(0));
    it.record({"r", 1, 0}, {{"b", piece_failure::none}}, at(1'000));
    it.record({"s", 1, 0}, {{"c", piece_failure::none}}, at(1'500));
    cr_expect_not(it.find({"r", 1, 0}, at(3'500)));
    it.remove_expired(at(2'600));
    cr_expect_eq(it.size(), 2);
    it.remove_expired(at(3'600));
    cr_expect_eq(it.size(), 1);
}

// A cancellation after the reply says that the reply was not received: the results must be released.
Test(delivered_results, cancellation_returns_what_was_delivered)
{
    delivered_results it;
    it.record({"r", 1, 0}, {{"a", piece_failure::none}}, at(0));
    cr_expect_eq(it.remove({"r", 1, 0}).size(), 1);
    cr_expect(it.remove({"r", 1, 0}).empty());
    it.remove_expired(at(10'000));
    cr_expect_eq(it.size(), 0);
}
