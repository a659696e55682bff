#include <limpetlock/gateway/proof_schedule.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <random>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

/// A read that was sent: the time of its outcome, and whether it has an answer.
struct sent_read {
    std::int64_t sent{0};
    std::int64_t ends{0};
    bool answered{false};
};

/// Plays a schedule in steps of `tick` ms from a proof at time 0 on. The first `lost` reads get no answer, or
/// are refused at once; the others are answered after `answer_ms`. Returns the time of the first answer.
std::int64_t first_answer(proof_schedule& it, std::size_t lost, bool refused, std::int64_t answer_ms,
                          std::int64_t tick, std::size_t& reads)
{
    std::vector<sent_read> open;
    reads = 0;
    for (std::int64_t now = 0; now < 60'000; now += tick) {
        for (auto read = open.begin(); read != open.end();) {
            if (read->ends > now) {
                ++read;
                continue;
            }
            if (read->answered)
                return read->ends;
            it.end_read(false, false);
            read = open.erase(read);
        }
        if (!it.is_read_due(duration(now), at(now)))
            continue;
        it.begin_read(at(now));
        const bool answered = reads++ >= lost;
        const std::int64_t length = answered ? answer_ms : refused ? 5 : it.header_timeout().count();
        open.push_back({now, now + length, answered});
    }
    return 60'000;
}

} // namespace

// Guards against a published table that is in force after its bound because two reads in a row are lost or
// refused, for any bound, role and jitter.
Test(proof_schedule, table_is_read_within_the_bound_despite_lost_reads)
{
    std::minstd_rand random(17);
    constexpr std::int64_t answer_ms = 50;
    constexpr std::int64_t tick = 60;
    for (int n = 0; n < 2'000; ++n) {
        const auto bound = static_cast<std::int64_t>(1'000 + random() % 9'000);
        proof_schedule it{duration(bound)};
        it.draw_renewal_age(static_cast<double>(random() % 1'000) / 1'000, random() % 2 == 0);
        std::size_t reads = 0;
        const auto time = first_answer(it, random() % (proof_schedule::max_lost_reads + 1), random() % 2 == 0,
                                       answer_ms, tick, reads);
        cr_expect_leq(time, bound, "bound %lld: read after %lld", static_cast<long long>(bound),
                      static_cast<long long>(time));
    }
}

// Guards against a flood of reads while the store gives no answer: after the first ones, one waits for the
// end of the one before.
Test(proof_schedule, reads_of_a_silent_store_follow_one_another)
{
    proof_schedule it{duration(2'000)};
    std::size_t reads = 0;
    first_answer(it, 1'000, false, 50, 60, reads);
    cr_expect_leq(reads, 60'000 / it.header_timeout().count() + proof_schedule::max_lost_reads + 1);
    cr_expect_geq(reads, 60'000 / 2'000, "the store's return would be noticed late");
}

// Guards against a repeated read on a connection that went silent together with that of the first one.
Test(proof_schedule, unanswered_read_is_repeated)
{
    proof_schedule it{duration(2'000)};
    cr_assert(it.is_read_due(duration(1'100), at(0)));
    it.begin_read(at(0));
    cr_expect_not(it.is_repeated());
    cr_assert(it.is_read_due(duration(1'340), at(240)));
    it.begin_read(at(240));
    cr_expect(it.is_repeated());
    it.end_read(true, false);
    cr_expect_not(it.is_read_due(duration(10), at(250)));
    cr_assert(it.is_read_due(duration(1'100), at(1'340)));
    it.begin_read(at(1'340));
    cr_expect_not(it.is_repeated());
}

// Guards against requests that wait for a read although the store is known to be silent, and against requests
// that are decided by a table from before a suspension of the process.
Test(proof_schedule, requests_wait_only_until_a_read_has_failed)
{
    proof_schedule it{duration(2'000)};
    cr_expect_not(it.needs_confirmation(duration(1'100)));
    cr_expect(it.needs_confirmation(duration(5'000)));
    cr_assert(it.is_read_due(duration(5'000), at(0)));
    it.begin_read(at(0));
    cr_expect_not(it.is_repeated());
    cr_expect(it.needs_confirmation(duration(5'010)));
    it.end_read(false, false);
    cr_expect_not(it.needs_confirmation(duration(5'700)));
    cr_expect_not(it.is_read_due(duration(10), at(800)), "a peer's proof renews it as well");
    cr_expect(it.needs_confirmation(duration(5'000)));
    cr_expect(it.needs_confirmation(std::nullopt));
}

// Guards against reads of a large table over a slow link that take it from one another.
Test(proof_schedule, read_is_not_repeated_while_its_answer_arrives)
{
    proof_schedule it{duration(3'000)};
    cr_assert(it.is_read_due(duration(2'000), at(0)));
    it.begin_read(at(0));
    it.record_header();
    cr_expect_not(it.is_read_due(duration(2'500), at(500)));
    cr_expect_not(it.is_read_due(duration(3'500), at(1'500)));
    it.end_read(false, true);
    cr_expect(it.is_read_due(duration(3'600), at(1'600)));
}
