#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/prompt_quarantine.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000'000 + ms));
}

crash_sighting crash_of(int endpoint, std::int64_t ms, const std::string& reporter = "one")
{
    return {"e" + std::to_string(endpoint), 1, reporter, at(ms)};
}

using parts = std::vector<std::uint64_t>;

/// Evidence that is on its way to the other instances.
struct message {
    std::int64_t arrives{0};
    std::size_t from{0};
    std::vector<part_evidence> evidence;
};

struct fleet_result {
    int crashes{0};
    int late_deadly_runs{
        0};       ///< of requests with the deadly part, later than the contact time after the fifth crash
    int sound{0}; ///< requests without it, from twice the contact time after the last counted crash on
    int sound_held{0};
};

/// Plays a fleet of instances whose requests share parts, one of which crashes engines from `onset` on.
/// Evidence reaches the other instances after 50 to 800 ms.
fleet_result play(std::minstd_rand& random, std::size_t instances, std::uint64_t documents,
                  bool deadly_part_was_sound)
{
    constexpr std::int64_t contact_time = 3'000;
    constexpr std::uint64_t deadly = 666;
    constexpr std::int64_t onset = 5'000;
    std::vector<prompt_quarantine> all(instances);
    std::deque<message> messages;
    std::vector<std::uint64_t> versions(instances, 0);
    fleet_result out;
    std::int64_t fifth = -1;
    std::int64_t last = -1;
    for (std::int64_t now = 0; now < 90'000; now += 20) {
        for (auto it = messages.begin(); it != messages.end();)
            if (it->arrives <= now) {
                for (std::size_t n = 0; n < instances; ++n)
                    if (n != it->from)
                        for (const auto& evidence : it->evidence)
                            all[n].merge(evidence, at(now));
                it = messages.erase(it);
            } else {
                ++it;
            }
        const std::size_t n = random() % instances;
        parts prompt{1 + random() % 3, 100 + random() % documents, 10'000 + random() % 500};
        const bool has_deadly = now > (deadly_part_was_sound ? 0 : onset) && random() % 20 == 0;
        if (has_deadly)
            prompt.insert(prompt.begin() + static_cast<std::ptrdiff_t>(random() % 4), deadly);
        const bool held = all[n].find_quarantined(prompt, at(now)).has_value();
        const std::int64_t settled = fifth >= 0 ? fifth : last;
        if (!has_deadly && settled >= 0 && now > settled + 2 * contact_time) {
            ++out.sound;
            out.sound_held += held ? 1 : 0;
        }
        if (!held && has_deadly && now > onset) {
            out.late_deadly_runs += fifth >= 0 && now > fifth + contact_time ? 1 : 0;
            last = now;
            if (++out.crashes == 5)
                fifth = now;
            all[n].record_crash(prompt, crash_of(out.crashes, now, "i" + std::to_string(n)));
        } else if (!held) {
            // A sound request that loses its engine by chance as it begins, or gets its answer.
            if (random() % 100 == 0)
                all[n].record_crash(prompt, crash_of(1'000 + static_cast<int>(random() % 20), now));
            else
                all[n].record_answer(prompt, at(now));
        }
        for (std::size_t k = 0; k < instances; ++k)
            if (all[k].version() != versions[k]) {
                versions[k] = all[k].version();
                messages.push_back({now + 50 + static_cast<std::int64_t>(random() % 750), k,
                                    all[k].evidence_for_peers(at(now), 24)});
            }
    }
    return out;
}

} // namespace

// Guards against requests with a part that crashes engines reaching them after the fifth crash, and against
// sound requests with the other parts being held back. Parts, crashes and instances are drawn at random.
Test(prompt_quarantine, deadly_part_is_held_back_and_sound_ones_are_served_in_a_fleet)
{
    std::minstd_rand random(17);
    for (int n = 0; n < 24; ++n) {
        const std::size_t instances = 2 + random() % 20;
        const std::uint64_t documents = 5 + random() % 400;
        const auto it = play(random, instances, documents, false);
        cr_expect_leq(it.late_deadly_runs, 3, "run %d: %d requests after the fifth crash", n,
                      it.late_deadly_runs);
        cr_expect_leq(it.crashes, 9, "run %d: %d crashes", n, it.crashes);
        cr_expect_leq(20 * it.sound_held, it.sound, "run %d: %d of %d sound requests are held back", n,
                      it.sound_held, it.sound);
    }
}

// Guards against a part that served for a while being cleared for good by its former answers.
Test(prompt_quarantine, part_that_turns_deadly_is_held_back)
{
    prompt_quarantine it;
    it.record_answer({1, 7}, at(0));
    it.record_crash({1, 7}, crash_of(1, 40'000));
    it.record_answer({1}, at(40'100));
    it.record_crash({1, 7}, crash_of(2, 41'000));
    cr_expect(it.find_quarantined({1, 7}, at(41'001)).has_value());
    cr_expect_not(it.find_quarantined({1, 8}, at(41'001)).has_value());
}

// Guards against a sound part that is held back because a rare prompt had it together with the deadly one.
Test(prompt_quarantine, parts_of_the_same_crashes_are_held_back_only_together)
{
    prompt_quarantine it;
    it.record_crash({1, 2, 9}, crash_of(1, 0));
    it.record_crash({1, 2, 9}, crash_of(2, 100));
    cr_expect(it.find_quarantined({9, 2, 1}, at(200)).has_value());
    cr_expect_not(it.find_quarantined({1, 2}, at(200)).has_value());
    cr_expect_not(it.find_quarantined({9, 3}, at(200)).has_value());
    it.record_crash({3, 9}, crash_of(3, 300));
    cr_expect(it.find_quarantined({9, 4}, at(400)).has_value(), "it alone was present in all crashes");
    cr_expect_not(it.find_quarantined({1, 2}, at(400)).has_value());
}

// Guards against sound parts that are held back because one endpoint goes down and up by turns, or since one
// crash is reported by several instances.
Test(prompt_quarantine, crashes_of_one_endpoint_are_no_evidence_against_a_part)
{
    prompt_quarantine it;
    for (std::int64_t n = 0; n < 6; ++n)
        it.record_crash({5}, {"e1", n, "one", at(1'000 * n)});
    it.merge({5, {{"e1", 0, "two", at(0)}}, std::nullopt}, at(7'000));
    cr_expect_not(it.find_quarantined({5}, at(7'000)).has_value());
}

// Guards against a deadly part in a pool with a single engine, where no second one can convict it, and
// against sound parts held back because that engine crashes under other prompts too.
Test(prompt_quarantine, crashes_of_the_only_endpoint_convict_the_part_of_all_of_them)
{
    constexpr int allowed = 5 + 3;
    prompt_quarantine deadly;
    prompt_quarantine broken;
    int runs = 0;
    for (std::int64_t n = 0; n < 20; ++n) {
        const auto time = at(4'000 * n);
        const std::uint64_t own = 100 + static_cast<std::uint64_t>(n);
        if (!deadly.find_quarantined({5, own}, time)) {
            ++runs;
            deadly.record_crash({5, own}, {"e1", n, "one", time});
        }
        deadly.record_answer({1}, time);
        broken.record_crash({n % 2 == 0 ? 5U : 6U, own}, {"e1", n, "one", time});
    }
    cr_expect_leq(runs, allowed);
    cr_expect(deadly.find_quarantined({5, 999}, at(80'000)).has_value());
    cr_expect_not(deadly.find_quarantined({1, 999}, at(80'000)).has_value());
    cr_expect_not(broken.find_quarantined({5, 999}, at(80'000)).has_value());
}

// Guards against a deadly part whose requests all go to the engine that has just restarted: another engine
// must decide whether the part or that engine is at fault.
Test(prompt_quarantine, second_request_with_a_suspected_part_goes_to_another_endpoint)
{
    prompt_quarantine quarantine;
    endpoint_selector selector;
    std::vector<endpoint> all;
    for (int n = 0; n < 4; ++n) {
        endpoint it;
        it.id = "e" + std::to_string(n);
        it.pool = "engine";
        it.slots = 8;
        it.started_ms = 1;
        all.push_back(it);
    }
    selector.set_endpoints(all, at(0));
    selection_criteria criteria;
    criteria.pool = "engine";
    criteria.affinity_hash = 5;
    const auto first = selector.select(criteria, at(0));
    cr_assert(first.has_value());
    quarantine.record_crash({5}, {first->id, 1, "one", at(0)});
    criteria.suspected = quarantine.suspected_endpoints({5}, at(4'000));
    const auto second = selector.select(criteria, at(4'000));
    cr_assert(second.has_value());
    cr_expect_neq(second->id, first->id);
    quarantine.record_answer({5}, at(4'500));
    cr_expect(quarantine.suspected_endpoints({5}, at(5'000)).empty(), "its answer clears the part");
    criteria.suspected = {"e0", "e1", "e2", "e3"};
    cr_expect(selector.select(criteria, at(5'000)).has_value(), "a suspicion alone refuses nothing");
}

// Guards against a quarantine that never ends, and against a deadly part that crashes as many engines again
// after it.
Test(prompt_quarantine, quarantine_ends_and_is_renewed_by_one_crash)
{
    prompt_quarantine it;
    it.record_crash({5}, crash_of(1, 0));
    it.record_crash({5}, crash_of(2, 0));
    const auto end = prompt_quarantine::quarantine_time.count();
    cr_assert(it.find_quarantined({5}, at(end - 1)).has_value());
    cr_expect_eq(it.find_quarantined({5}, at(end - 1))->time_left.count(), 1);
    cr_expect_not(it.find_quarantined({5}, at(end)).has_value());
    it.remove_expired(at(end));
    it.record_crash({5}, crash_of(3, end + 10));
    cr_expect(it.find_quarantined({5}, at(end + 20)).has_value());
    it.remove_expired(at(3 * end + 20));
    cr_expect_eq(it.suspect_count(), 0);
}

// Guards against memory that grows with the parts that callers send, and against a flood of parts that
// displaces a deadly one.
Test(prompt_quarantine, memory_is_bounded_and_keeps_what_crashed_most)
{
    prompt_quarantine it;
    it.record_crash({5}, crash_of(1, 0));
    it.record_crash({5}, crash_of(2, 10));
    for (int n = 0; n < 2'000; ++n) {
        parts many;
        for (std::uint64_t k = 0; k < 100; ++k)
            many.push_back(1'000'000 + 100 * static_cast<std::uint64_t>(n) + k);
        it.record_answer({many[0] + 500'000'000}, at(20 + n));
        it.record_crash(many, crash_of(100 + n, 20 + n));
    }
    cr_expect_leq(it.suspect_count(), prompt_quarantine::max_suspects);
    cr_expect(it.find_quarantined({5}, at(3'000)).has_value());
    cr_expect_leq(it.evidence_for_peers(at(3'000), 24).size(), 24);
}

// Guards against instances that decide differently on the same evidence, depending on the order in which it
// reached them.
Test(prompt_quarantine, merged_evidence_is_the_same_in_any_order)
{
    std::minstd_rand random(4);
    for (int run = 0; run < 50; ++run) {
        std::vector<part_evidence> evidence;
        for (int n = 0; n < 6; ++n)
            evidence.push_back({1 + random() % 2,
                                {crash_of(static_cast<int>(random() % 4), 100 * n)},
                                random() % 8 == 0 ? std::optional(at(random() % 500)) : std::nullopt});
        prompt_quarantine one;
        for (const auto& it : evidence)
            one.merge(it, at(1'000));
        std::shuffle(evidence.begin(), evidence.end(), random);
        prompt_quarantine two;
        for (const auto& it : evidence)
            two.merge(it, at(1'000));
        for (const auto& prompt : std::vector<parts>{{1}, {2}, {1, 2}})
            cr_expect_eq(one.find_quarantined(prompt, at(1'001)).has_value(),
                         two.find_quarantined(prompt, at(1'001)).has_value());
    }
}

// Guards against a deadly part that escapes because the prompt has many others: it isn't among the first
// parts, or pings carry too few of them for the instances to combine crashes that each saw alone.
Test(prompt_quarantine, deadly_part_among_many_others_is_found_by_the_fleet)
{
    constexpr std::uint64_t deadly = 1'000'000;
    constexpr std::size_t per_message = 64;
    constexpr int rounds_in_contact_time = 9;
    for (const std::uint64_t count : {30, 70, 200}) {
        std::vector<prompt_quarantine> all(3);
        std::int64_t now = 0;
        const auto prompt = [count, deadly](std::uint64_t n) {
            parts out;
            for (std::uint64_t k = 0; k < count; ++k)
                out.push_back(n * 1'000 + k + 1);
            out.push_back(deadly);
            return out;
        };
        for (int crash = 0; crash < 5; ++crash) {
            all[static_cast<std::size_t>(crash) % all.size()].record_crash(
                prompt(static_cast<std::uint64_t>(crash)), crash_of(crash, now));
            now += 100;
        }
        for (int round = 0; round < rounds_in_contact_time; ++round, now += 300)
            for (std::size_t from = 0; from < all.size(); ++from)
                for (const auto& it : all[from].evidence_for_peers(at(now), per_message))
                    for (std::size_t to = 0; to < all.size(); ++to)
                        if (to != from)
                            all[to].merge(it, at(now));
        for (const auto& it : all) {
            const auto found = it.find_quarantined(prompt(99), at(now));
            cr_assert(found.has_value(), "%lu other parts", count);
            cr_expect_eq(found->evidence.part, deadly);
        }
    }
}

// Guards against a deadly part that is never held back because its engines crash before any byte of an
// answer.
Test(prompt_quarantine, crashes_before_the_answer_convict_after_twice_as_many_endpoints)
{
    prompt_quarantine it;
    for (int n = 0; n < 4; ++n) {
        cr_expect_not(it.find_quarantined({5}, at(1'000 * n)), "%d", n);
        it.record_silent_loss({5, static_cast<std::uint64_t>(100 + n)}, crash_of(n, 1'000 * n));
        it.end_of_process("e" + std::to_string(n), at(1'000 * n + 200));
    }
    cr_expect(it.find_quarantined({5}, at(4'000)));
    cr_expect_not(it.find_quarantined({100}, at(4'000)));
}

// Guards against sound prompts that are held back because connections of living engines were reset.
Test(prompt_quarantine, silent_loss_at_a_living_engine_is_no_evidence)
{
    prompt_quarantine it;
    std::vector<endpoint> list(8);
    for (int n = 0; n < 8; ++n) {
        list[static_cast<std::size_t>(n)].id = "e" + std::to_string(n);
        list[static_cast<std::size_t>(n)].started_ms = 1;
        it.record_silent_loss({5}, crash_of(n, n));
    }
    it.set_endpoints(list, at(100));
    cr_expect_eq(it.suspect_count(), 0);
    it.end_of_process("e0", at(20'000));
    cr_expect_eq(it.suspect_count(), 0, "too late to belong to the loss");
}

// Guards against a crash that is missed because the engine restarts at once under the same id, or never
// returns.
Test(prompt_quarantine, list_shows_the_end_of_a_process)
{
    prompt_quarantine it;
    it.record_silent_loss({5}, crash_of(0, 0));
    it.record_silent_loss({6}, crash_of(1, 0));
    it.record_silent_loss({7}, crash_of(2, 0));
    std::vector<endpoint> list(2);
    list[0].id = "e0";
    list[0].started_ms = 2;
    list[1].id = "e2";
    list[1].started_ms = 1;
    it.set_endpoints(list, at(500));
    cr_expect_eq(it.suspect_count(), 2);
}

// Guards against sound prompts that are held back because they waited at several engines that crashed, and
// against a deadly part that escapes because a common part was also lost with other requests.
Test(prompt_quarantine, common_parts_of_waiting_requests_are_cleared_and_hide_nothing)
{
    prompt_quarantine it;
    for (int n = 0; n < 6; ++n) {
        it.record_answer({1}, at(1'000 * n));
        it.record_silent_loss({1, static_cast<std::uint64_t>(200 + n)}, crash_of(n, 1'000 * n + 10));
        it.end_of_process("e" + std::to_string(n), at(1'000 * n + 100));
    }
    cr_expect_not(it.find_quarantined({1}, at(7'000)));
    prompt_quarantine other;
    other.record_crash({2, 666}, crash_of(1, 0));
    other.record_crash({2, 666}, crash_of(2, 100));
    other.record_silent_loss({2}, crash_of(3, 200));
    other.end_of_process("e3", at(300));
    cr_expect(other.find_quarantined({2, 666}, at(400)));
}
