#include "world.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace limpetlock;

namespace {

constexpr int seeds_per_mix = 20;

void check(bench::fault_mix mix, std::uint64_t seed)
{
    const auto it = bench::world(bench::policy::owner_lease, mix, seed).run();
    const auto name = std::string(to_string(mix));
    cr_expect_leq(it.max_executions, 1U, "%s seed %lu: a key ran %lu times", name.c_str(), seed,
                  it.max_executions);
    cr_expect_eq(it.false_not_run, 0U, "%s seed %lu: %lu false \"not run\"", name.c_str(), seed,
                 it.false_not_run);
    cr_expect_gt(it.answered, 0U, "%s seed %lu: nothing was answered", name.c_str(), seed);
}

} // namespace

// Guards against a second execution of a key and a "not run" about a key that ran, under random freezes,
// kills, replacements, cuts, changes of the claims section, planned stops and retries. The two tests are 240
// runs.
Test(claims, random_single_faults_run_each_key_at_most_once)
{
    for (int mix = 0; mix < bench::fault_mixes / 2; ++mix)
        for (int n = 1; n <= seeds_per_mix; ++n)
            check(static_cast<bench::fault_mix>(mix), static_cast<std::uint64_t>(n));
}

Test(claims, random_mixed_faults_run_each_key_at_most_once)
{
    for (int mix = bench::fault_mixes / 2; mix < bench::fault_mixes; ++mix)
        for (int n = 1; n <= seeds_per_mix; ++n)
            check(static_cast<bench::fault_mix>(mix), static_cast<std::uint64_t>(n));
}

// Guards the driver itself: if it cannot show the double run of the plain owner, it proves nothing about the
// lease.
Test(claims, random_traces_double_keys_without_the_lease)
{
    bench::totals sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        sum.add(bench::world(bench::policy::plain_owner, bench::fault_mix::cut_off, seed).run());
    cr_expect_gt(sum.doubled_keys, 0U);
}
