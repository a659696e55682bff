#include "world.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace limpetlock::bench {

namespace {

using namespace std::chrono_literals;

duration between(std::mt19937_64& random, int low, int high)
{
    return duration{std::uniform_int_distribution<int>(low, high)(random)};
}

} // namespace

void world::schedule_fault()
{
    auto kind = mix_;
    if (kind == fault_mix::mixed) {
        static constexpr std::array kinds{fault_mix::freeze,
                                          fault_mix::freeze_and_replace,
                                          fault_mix::kill,
                                          fault_mix::cut_off,
                                          fault_mix::planned_stop,
                                          fault_mix::map_change,
                                          fault_mix::pair_frozen_and_replaced,
                                          fault_mix::majority_cut_off};
        kind = kinds[std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1)(fault_random_)];
    }
    apply_fault(kind);
    if (!repeat_faults_)
        return;
    const int gap = mix_ == fault_mix::mixed ? 4000 : 8000;
    schedule(between(fault_random_, gap / 2, gap * 2), [this] { schedule_fault(); });
}

void world::apply_fault(fault_mix kind)
{
    switch (kind) {
    case fault_mix::freeze:
        freeze(pick_live(), between(fault_random_, 500, 6000));
        return;
    case fault_mix::freeze_and_replace:
        freeze_owner(true);
        return;
    case fault_mix::kill:
        kill_process(pick_owner());
        return;
    case fault_mix::witness_replaced:
        // A replaced witness has lost its state while an owner that it supported is cut off and replaced.
        cut_off(1, 20s);
        kill_process(pick_owner());
        return;
    case fault_mix::cut_off:
        cut_off(1, 40s);
        return;
    case fault_mix::majority_cut_off:
        // The protocol covers the replacement of a majority that still runs only while the cut is shorter
        // than the key lifetime.
        cut_off(2, 18s);
        return;
    case fault_mix::planned_stop:
        stop_owner();
        return;
    case fault_mix::map_change:
        change_map();
        return;
    case fault_mix::pair_frozen_and_replaced:
        freeze_pair();
        return;
    case fault_mix::all_replaced:
        for (const char* name : {"a", "b", "c", "d", "e"})
            kill_process(name);
        return;
    case fault_mix::none:
    case fault_mix::mixed:
        return;
    }
}

void world::freeze(int p, duration length)
{
    auto& until = processes_[static_cast<std::size_t>(p)]->frozen_until;
    until = std::max(until, now_ + length);
}

void world::replace_later(const std::string& name, duration after)
{
    const int old = current_processes_[name];
    schedule(after, [this, name, old] {
        if (current_processes_[name] == old)
            start_process(name, 0);
    });
}

void world::freeze_owner(bool replaced)
{
    const auto& name = pick_owner();
    freeze(current_processes_[name], between(fault_random_, 3000, 6000));
    if (replaced)
        replace_later(name, between(fault_random_, 500, 2500));
}

void world::freeze_pair()
{
    // Both suspended processes resume at the same time, still reach each other at their former addresses, and
    // hold a majority of the owner names.
    const auto length = between(fault_random_, 3000, 6000);
    const auto skipped =
        std::uniform_int_distribution<std::size_t>(0, section_.owners.size() - 1)(fault_random_);
    for (std::size_t n = 0; n < section_.owners.size(); ++n) {
        if (n == skipped)
            continue;
        freeze(current_processes_[section_.owners[n]], length);
        replace_later(section_.owners[n], length / 2);
    }
}

void world::kill_process(const std::string& name)
{
    processes_[static_cast<std::size_t>(current_processes_[name])]->alive = false;
    replace_later(name, between(fault_random_, 300, 3000));
}

void world::cut_off(std::size_t owners, duration longest)
{
    // Allows one cut at a time: if two sets of owners were cut off and replaced in turn, every owner would
    // run twice. docs/notes/claims.md describes this limit of the protocol.
    if (cut_off_)
        return;
    cut_off_ = true;
    std::vector<int> cut{current_processes_["d"]};
    const auto first =
        std::uniform_int_distribution<std::size_t>(0, section_.owners.size() - 1)(fault_random_);
    const bool replaced = std::bernoulli_distribution(0.8)(fault_random_);
    for (std::size_t n = 0; n < owners; ++n) {
        const auto& name = section_.owners[(first + n) % section_.owners.size()];
        cut.push_back(current_processes_[name]);
        if (replaced)
            replace_later(name, between(fault_random_, 500, 4000));
    }
    for (const int p : cut)
        processes_[static_cast<std::size_t>(p)]->side = 1;
    schedule(between(fault_random_, 2000, static_cast<int>(longest.count())), [this, cut] {
        for (const int p : cut)
            processes_[static_cast<std::size_t>(p)]->side = 0;
        cut_off_ = false;
    });
}

void world::stop_owner()
{
    const auto name = pick_owner();
    const int p = current_processes_[name];
    auto& it = *processes_[static_cast<std::size_t>(p)];
    if (!it.alive || now_ < it.frozen_until)
        return;
    it.records.seal(lease_of(p), now_);
    const auto records = it.records.export_records(now_);
    for (const auto& peer : it.section.owners) {
        if (peer == name)
            continue;
        const int to = it.known_processes[peer];
        send(p, to, [this, to, records] {
            processes_[static_cast<std::size_t>(to)]->keeper.keep(records, section_.key_lifetime, now_);
        });
        break;
    }
    schedule(500ms, [this, p] { processes_[static_cast<std::size_t>(p)]->alive = false; });
    replace_later(name, between(fault_random_, 1000, 5000));
}

void world::change_map()
{
    auto next = section_;
    ++next.claims_number;
    if (next.owners.size() > 3)
        next.owners.pop_back();
    else
        next.owners.emplace_back(std::bernoulli_distribution(0.5)(fault_random_) ? "d" : "e");
    section_ = next;
}

int world::pick_live()
{
    std::vector<int> live;
    for (const auto& [name, p] : current_processes_)
        if (processes_[static_cast<std::size_t>(p)]->alive)
            live.push_back(p);
    if (live.empty())
        return 0;
    return live[std::uniform_int_distribution<std::size_t>(0, live.size() - 1)(fault_random_)];
}

const std::string& world::pick_owner()
{
    const auto n = std::uniform_int_distribution<std::size_t>(0, section_.owners.size() - 1)(fault_random_);
    return section_.owners[n];
}

} // namespace limpetlock::bench
