#include <limpetlock/gateway/loop_monitor.hpp>

#include <criterion/criterion.h>

using namespace limpetlock;
using namespace limpetlock::gateway;
using std::chrono::microseconds;

namespace {

constexpr time_point start{duration{1'000'000}};
constexpr duration interval{100};

} // namespace

// An instance that is short of processor time must say how late it is and where the time went; otherwise its
// logs look like those of a peer or network that fails.
Test(loop_monitor, late_loop_is_reported_with_its_work)
{
    loop_monitor it(start, interval);
    time_point now = start;
    for (int n = 0; n < 5; ++n)
        cr_assert_not(it.record_tick(now += interval));
    it.record_work(work_kind::dispatch, microseconds{1'500});
    it.record_work(work_kind::dispatch, microseconds{500});
    it.record_work(work_kind::estimate, microseconds{700});
    now += duration{400};
    cr_assert_not(it.record_tick(now));
    const auto report = it.record_tick(now += interval);
    cr_assert(report);
    loop_report expected{duration{1'000}, duration{300}, {}};
    expected.work[static_cast<std::size_t>(work_kind::dispatch)] = microseconds{2'000};
    expected.work[static_cast<std::size_t>(work_kind::estimate)] = microseconds{700};
    cr_assert(*report == expected);
}

// A line for each second of a sound process would hide the late ones.
Test(loop_monitor, punctual_loop_is_not_reported)
{
    loop_monitor it(start, interval);
    time_point now = start;
    for (int n = 0; n < 50; ++n)
        cr_assert_not(it.record_tick(now += interval));
}

// A late loop that is noticed only with its next tick can't excuse what it concluded before.
Test(loop_monitor, overdue_tick_shows_a_late_loop)
{
    loop_monitor it(start, interval);
    it.record_tick(start + interval);
    cr_assert_not(it.late_since(start, start + interval + duration{200}));
    cr_assert(it.late_since(start, start + interval + duration{201}));
    it.record_tick(start + duration{500});
    it.record_tick(start + duration{600});
    cr_assert(it.late_since(start + duration{450}, start + duration{600}));
    cr_assert_not(it.late_since(start + duration{500}, start + duration{600}));
}
