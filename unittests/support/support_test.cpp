#include <limpetlock/support/compression.hpp>
#include <limpetlock/support/hash.hpp>
#include <limpetlock/support/snapshot_cell.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace limpetlock;

// Guards against a hash that changes from call to call or ignores its seed, which would move keys to another
// owner.
Test(hash, is_stable)
{
    cr_assert_eq(hash64("plant-01"), hash64("plant-01"));
    cr_assert_neq(hash64("plant-01"), hash64("plant-02"));
    cr_assert_neq(hash64("plant-01"), hash64("plant-01", 7));
    cr_assert_eq(digest128("").size(), 32U);
}

// Guards against readers that get a freed or partly written snapshot.
Test(snapshot_cell, readers_see_whole_snapshots)
{
    struct pair {
        int a;
        int b;
    };
    snapshot_cell<pair> cell(std::make_shared<const pair>(pair{0, 0}));
    std::atomic<bool> done{false};
    std::atomic<int> torn{0};
    std::vector<std::thread> readers;
    for (int n = 0; n < 3; ++n)
        readers.emplace_back([&] {
            while (!done) {
                const auto it = cell.load();
                if (it->a != it->b)
                    ++torn;
            }
        });
    for (int n = 1; n <= 200; ++n)
        cell.store(std::make_shared<const pair>(pair{n, n}));
    done = true;
    for (auto& it : readers)
        it.join();
    cr_assert_eq(torn.load(), 0);
    cr_assert_eq(cell.load()->a, 200);
}

// Guards against a value of a peer that takes more memory than allowed, or that is taken for whole although
// it is cut.
Test(compression, result_is_bounded_and_cut_input_is_rejected)
{
    std::string text;
    for (int n = 0; n < 20'000; ++n)
        text += "route-" + std::to_string(n * 7919 % 1'000) + ";";
    const std::string bytes = compress(text);
    cr_expect_lt(4 * bytes.size(), text.size());
    cr_expect(decompress(bytes, text.size()) == text);
    cr_expect_not(decompress(bytes, text.size() - 1).has_value());
    cr_expect_not(decompress(std::string_view(bytes).substr(0, bytes.size() / 2), 1 << 20).has_value());
    cr_expect_not(decompress("not compressed", 1 << 20).has_value());
    cr_expect(decompress(compress(""), 100) == "");
    cr_expect(decompress(compress(std::string(1 << 20, 'x')), 1 << 20) == std::string(1 << 20, 'x'));
}
