#include <limpetlock/gateway/answer_times.hpp>

#include <criterion/criterion.h>

using namespace limpetlock;
using namespace limpetlock::gateway;

// Guards against requests that are passed on although most answers of their route take longer than is left,
// and against one outlier that makes an instance refuse all.
Test(answer_times, most_answers_end_within_the_expected_time)
{
    answer_times it;
    cr_expect_not(it.expected("r").has_value());
    int within = 0;
    constexpr int answers = 400;
    for (int n = 0; n < answers; ++n) {
        const duration took(1'000 + n * 37 % 1'000);
        within += it.expected("r") && took <= *it.expected("r") ? 1 : 0;
        it.record("r", took);
    }
    cr_expect_geq(within, answers * 9 / 10);
    cr_expect_leq(it.expected("r")->count(), 2'500);
    it.record("r", duration(9'000));
    for (int n = 0; n < 30; ++n)
        it.record("r", duration(1'500));
    cr_expect_leq(it.expected("r")->count(), 2'500);
    cr_expect_not(it.expected("other").has_value());
}
