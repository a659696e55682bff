#include <limpetlock/gateway/state_packing.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

// Guards against instances that start and can't pull the list of a large deployment within a second over a
// link of 10 Mbit/s, and against a push of a peer that is cut off or altered.
Test(state_packing, a_large_list_becomes_small_and_comes_back_whole)
{
    std::vector<peer::wire::state_item_message> items;
    std::size_t bytes = 0;
    for (int n = 0; n < 3'000; ++n) {
        peer::wire::state_item_message it;
        it.key = fmt::format("servers/{:08x}", n * 2'654'435'761U);
        it.value = fmt::format(
            R"({{"id":"{:08x}","pool":"pool-{}","host":"10.{}.{}.{}","port":{},"zone":"domain-{}",)"
            R"("version":"v1","slots":8,"state":"ready","beat":{},"startedMs":{}}})",
            n * 2'654'435'761U, n % 9, n % 7, n % 251, n % 241, 9'000 + n % 40, n % 3, n * 31,
            1'790'000'000'000 + n * 977LL);
        it.revision = 100'000 + n;
        bytes += it.key.size() + it.value.size();
        items.push_back(std::move(it));
    }
    const std::string packed = pack_items(items);
    cr_log_info("%zu bytes of 3,000 entries are packed into %zu", bytes, packed.size());
    cr_expect_lt(packed.size(), bytes / 3);
    const auto again = unpack_items(packed);
    cr_assert(again.has_value());
    cr_expect(*again == items);
    cr_expect_not(unpack_items(packed.substr(0, packed.size() / 2)).has_value());
    cr_expect_not(unpack_items("").has_value());
    cr_expect_not(unpack_items("no packed items").has_value());
}
