#include "world.hpp"

#include "world_types.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace limpetlock::bench {

namespace {

using namespace std::chrono_literals;

constexpr duration heartbeat_interval = 250ms;
constexpr duration list_interval = 1000ms;
constexpr duration run_length = 80s;
constexpr duration warm_up = 40s;
constexpr duration request_interval = 150ms;

} // namespace

std::string_view to_string(policy it)
{
    static constexpr std::array<std::string_view, policy_count> names{"plain_owner", "owner_lease",
                                                                      "majority_vote"};
    return names[static_cast<std::size_t>(it)];
}

std::string_view to_string(fault_mix it)
{
    static constexpr std::array<std::string_view, fault_mix_count> names{"none",
                                                                         "freeze",
                                                                         "freeze_and_replace",
                                                                         "kill",
                                                                         "cut_off",
                                                                         "majority_cut_off",
                                                                         "planned_stop",
                                                                         "map_change",
                                                                         "witness_replaced",
                                                                         "pair_frozen_and_replaced",
                                                                         "all_replaced",
                                                                         "mixed"};
    return names[static_cast<std::size_t>(it)];
}

void totals::add(const totals& it)
{
    keys += it.keys;
    answered += it.answered;
    not_run += it.not_run;
    unknown += it.unknown;
    max_executions = std::max(max_executions, it.max_executions);
    doubled_keys += it.doubled_keys;
    false_not_run += it.false_not_run;
    attempts += it.attempts;
    claim_messages += it.claim_messages;
    round_trips += it.round_trips;
    heartbeat_messages += it.heartbeat_messages;
}

world::world(policy rule, fault_mix mix, std::uint64_t seed, bool repeat)
    : rule_(rule), mix_(mix), repeat_faults_(repeat), random_(seed),
      fault_random_(seed ^ 0x9e3779b97f4a7c15U), now_(duration{1'000'000})
{
    section_ = {1, {"a", "b", "c"}, 16s, 1000ms, 5000};
    for (const char* name : {"a", "b", "c", "d", "e"})
        start_process(name, 0);
}

world::~world() = default;

totals world::run()
{
    const auto end = now_ + warm_up + run_length;
    for (auto t = warm_up; t < warm_up + run_length - 20s; t += request_interval)
        schedule(t, [this] { create_request(); });
    if (mix_ != fault_mix::none)
        schedule(warm_up + 1s, [this] { schedule_fault(); });
    while (!events_.empty() && events_.top().when < end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        next.run();
    }
    for (const auto& it : requests_) {
        ++totals_.keys;
        totals_.max_executions = std::max(totals_.max_executions, it->executions);
        totals_.doubled_keys += it->executions > 1 ? 1 : 0;
        totals_.answered += it->answered ? 1 : 0;
        totals_.not_run += !it->answered && it->last == claims::response_kind::not_run ? 1 : 0;
        totals_.unknown += !it->answered && it->last != claims::response_kind::not_run ? 1 : 0;
    }
    return totals_;
}

void world::schedule(duration after, action run)
{
    events_.push({now_ + after, ++event_count_, std::move(run)});
}

void world::deliver(int to, action run)
{
    const auto& it = *processes_[static_cast<std::size_t>(to)];
    if (!it.alive)
        return;
    if (now_ >= it.frozen_until) {
        run();
        return;
    }
    // Messages to a suspended process wait in its socket buffer until it resumes.
    schedule(it.frozen_until - now_, [this, to, run = std::move(run)] { deliver(to, run); });
}

void world::send(int from, int to, action run)
{
    const auto& a = *processes_[static_cast<std::size_t>(from)];
    const auto& b = *processes_[static_cast<std::size_t>(to)];
    if (a.side != b.side)
        return;
    // Delays 1% of the messages so that grants and replies arrive after timeouts.
    const auto latency = chance(0.01) ? random_ms(1000, 5000) : random_ms(1, 20);
    schedule(latency, [this, to, run = std::move(run)] { deliver(to, run); });
}

duration world::random_ms(int low, int high)
{
    return duration{std::uniform_int_distribution<int>(low, high)(random_)};
}

bool world::chance(double share)
{
    return std::bernoulli_distribution(share)(random_);
}

int world::start_process(const std::string& name, int side)
{
    const auto p = static_cast<int>(processes_.size());
    const auto incarnation = ++incarnations_;
    auto voter = section_;
    if (rule_ == policy::majority_vote)
        voter.owners = {name};
    processes_.push_back(std::make_unique<process>(process{name,
                                                           incarnation,
                                                           side,
                                                           true,
                                                           {},
                                                           section_,
                                                           claims::lease(name, incarnation, section_),
                                                           claims::witness(section_, now_),
                                                           claims::table(name, incarnation, voter),
                                                           {},
                                                           suspension_detector(now_, claims::max_tick_gap),
                                                           {},
                                                           {},
                                                           now_,
                                                           std::nullopt}));
    current_processes_[name] = p;
    auto& it = *processes_.back();
    it.known_processes = current_processes_;
    it.successor.emplace(name, incarnation, claims::owner_map(section_));
    schedule(0ms, [this, p] { tick(p); });
    schedule(list_interval, [this, p] { refresh_configuration(p); });
    return p;
}

void world::tick(int p)
{
    deliver(p, [this, p] {
        processes_[static_cast<std::size_t>(p)]->suspensions.tick(now_);
        if (rule_ == policy::owner_lease)
            send_heartbeats(p);
        schedule(heartbeat_interval, [this, p] { tick(p); });
    });
}

void world::refresh_configuration(int p)
{
    deliver(p, [this, p] {
        schedule(list_interval, [this, p] { refresh_configuration(p); });
        auto& it = *processes_[static_cast<std::size_t>(p)];
        if (it.side != 0)
            return;
        it.known_processes = current_processes_;
        if (current_processes_[it.name] != p) {
            it.own_lease.supersede();
            it.own_witness.retire();
            return;
        }
        if (it.section.claims_number < section_.claims_number) {
            it.section = section_;
            it.own_lease.reconfigure(section_);
            it.own_witness.reconfigure(section_, now_);
            auto voter = section_;
            if (rule_ == policy::majority_vote)
                voter.owners = {it.name};
            it.records.reconfigure(voter, now_);
        }
        if (it.own_lease.held(now_))
            pull_handover(p);
    });
}

void world::send_heartbeats(int p)
{
    auto& it = *processes_[static_cast<std::size_t>(p)];
    const auto sequence = it.own_lease.start_round(now_);
    const claims::heartbeat beat{
        sequence, to_ms(now_), it.section.claims_number, {}, it.section.claims_number, false};
    for (const auto& name : it.section.owners) {
        if (name == it.name) {
            const bool own = it.own_witness.support(it.name, it.incarnation, it.section.claims_number, now_);
            it.own_lease.record_ack(it.name, it.incarnation, {sequence, beat.sent_ms, own, 0, {}}, now_);
            it.own_witness.update_own_lease(it.own_lease.state(now_), now_);
            continue;
        }
        const int to = it.known_processes[name];
        ++totals_.heartbeat_messages;
        send(p, to, [this, p, to, beat] { answer_heartbeat(p, to, beat); });
    }
}

void world::answer_heartbeat(int from, int to, const claims::heartbeat& beat)
{
    auto& it = *processes_[static_cast<std::size_t>(to)];
    const auto& sender = *processes_[static_cast<std::size_t>(from)];
    auto& highest = it.highest_incarnations[sender.name];
    if (sender.incarnation < highest)
        return;
    highest = sender.incarnation;
    it.own_lease.record_incarnation(sender.name, sender.incarnation);
    const bool supported = it.own_witness.support(sender.name, sender.incarnation, beat.claims_number, now_);
    const claims::heartbeat_ack ack{beat.sequence, beat.sent_ms, supported, 0, {}};
    ++totals_.heartbeat_messages;
    send(to, from, [this, from, to, ack] {
        auto& owner = *processes_[static_cast<std::size_t>(from)];
        const auto& witness = *processes_[static_cast<std::size_t>(to)];
        owner.own_lease.record_ack(witness.name, witness.incarnation, ack, now_);
        owner.own_witness.update_own_lease(owner.own_lease.state(now_), now_);
    });
}

void world::pull_handover(int p)
{
    auto& it = *processes_[static_cast<std::size_t>(p)];
    if (rule_ != policy::owner_lease || !it.successor)
        return;
    if (now_ - it.start > 15s) {
        it.successor.reset();
        return;
    }
    for (const auto& name : it.section.owners) {
        const int to = it.known_processes[name];
        if (to == p)
            continue;
        send(p, to, [this, p, to] {
            auto& keeper = *processes_[static_cast<std::size_t>(to)];
            const auto& asker = *processes_[static_cast<std::size_t>(p)];
            const auto reply =
                keeper.keeper.answer_pull(keeper.own_witness, asker.name, asker.incarnation, now_);
            send(to, p, [this, p, to, reply] {
                auto& owner = *processes_[static_cast<std::size_t>(p)];
                if (!owner.successor)
                    return;
                owner.successor->record_reply(processes_[static_cast<std::size_t>(to)]->name, reply);
                const auto accepted = owner.successor->accepted();
                if (accepted && owner.records.import_records(*accepted, owner.own_lease.state(now_), now_))
                    owner.successor.reset();
            });
        });
    }
}

claims::lease_state world::lease_of(int p) const
{
    const auto& it = *processes_[static_cast<std::size_t>(p)];
    switch (rule_) {
    case policy::plain_owner:
        return {time_point{}, now_ + 1ms, now_ + 1ms, now_, now_ + 1ms};
    case policy::majority_vote:
        return {it.start, now_ + 1ms, now_ + 1ms, now_, now_ + 1ms};
    case policy::owner_lease:
        break;
    }
    return it.own_lease.state(now_);
}

} // namespace limpetlock::bench
