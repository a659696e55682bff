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

// The next two tests guard against a second execution of a key and against the response "not run" for a key
// that ran. Their 240 runs inject random freezes, kills, replacements, network partitions, changes of the
// claims section, planned stops and retries.
Test(claims, random_single_faults_run_each_key_at_most_once)
{
    for (int mix = 0; mix < bench::fault_mix_count / 2; ++mix)
        for (int n = 1; n <= seeds_per_mix; ++n)
            check(static_cast<bench::fault_mix>(mix), static_cast<std::uint64_t>(n));
}

Test(claims, random_mixed_faults_run_each_key_at_most_once)
{
    for (int mix = bench::fault_mix_count / 2; mix < bench::fault_mix_count; ++mix)
        for (int n = 1; n <= seeds_per_mix; ++n)
            check(static_cast<bench::fault_mix>(mix), static_cast<std::uint64_t>(n));
}

// Guards against a driver that cannot detect a second execution. An owner without a lease must cause some,
// otherwise the tests above prove nothing about the lease.
Test(claims, random_traces_double_keys_without_the_lease)
{
    bench::totals sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        sum.add(bench::world(bench::policy::plain_owner, bench::fault_mix::cut_off, seed).run());
    cr_expect_gt(sum.doubled_keys, 0U);
}
