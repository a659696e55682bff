/// \file
/// Single-threaded discrete-event simulation of callers, faults and the claim objects of a few processes. It
/// counts violations of the guarantees of the protocol: at most one execution per key, and no response
/// "not run" for a key that ran. The claim objects are the production classes; messages are closures in one
/// event queue, so the simulation shows the protocol's decisions and says nothing about performance.
#pragma once

#include <limpetlock/claims/handover.hpp>
#include <limpetlock/claims/holder.hpp>
#include <limpetlock/claims/table.hpp>
#include <limpetlock/claims/witness.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::bench {

/// Rules that grant a claim: one owner without a lease, one owner with a lease that a majority supports, or a
/// majority of the owners for each claim.
enum class policy { plain_owner, owner_lease, majority_vote };
/// Faults of a run; `mixed` draws each fault from most of the others.
enum class fault_mix {
    none,
    freeze,
    freeze_and_replace,
    kill,
    cut_off,
    majority_cut_off,
    planned_stop,
    map_change,
    witness_replaced,
    pair_frozen_and_replaced,
    all_replaced,
    mixed
};

inline constexpr int policy_count = 3;
inline constexpr int fault_mix_count = 12;

std::string_view to_string(policy it);
std::string_view to_string(fault_mix it);

/// Counts of one run, or sums over several runs.
struct totals {
    std::uint64_t keys = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    /// Most executions of one key; above 1 the guarantee is violated.
    std::uint64_t max_executions = 0;
    /// Keys that ran more than once.
    std::uint64_t doubled_keys = 0;
    /// Responses "not run" for keys that ran.
    std::uint64_t false_not_run = 0;
    std::uint64_t attempts = 0;
    std::uint64_t claim_messages = 0;
    std::uint64_t round_trips = 0;
    std::uint64_t heartbeat_messages = 0;

    void add(const totals& it);
};

/// One run of one policy under one mix of faults. Equal seeds give every policy the same faults and
/// the same times of requests.
class world {
public:
    /// Injects a single fault when `repeat` is false.
    world(policy rule, fault_mix mix, std::uint64_t seed, bool repeat = true);
    world(const world&) = delete;
    world& operator=(const world&) = delete;
    ~world();

    totals run();

private:
    struct process {
        std::string name;
        std::int64_t incarnation = 0;
        /// Side of the network partition; messages between different sides are lost.
        int side = 0;
        bool alive = true;
        time_point frozen_until{};
        claims::claims_section section;
        claims::lease own_lease;
        claims::witness own_witness;
        claims::table records;
        claims::handover_keeper keeper;
        suspension_detector suspensions;
        /// Process index by instance name, as of the last refresh_configuration() of this process.
        std::map<std::string, int> known_processes;
        /// Highest incarnation seen, by instance name.
        std::map<std::string, std::int64_t> highest_incarnations;
        time_point start{};
        std::optional<claims::handover_collector> successor;
    };

    struct request;
    struct attempt;
    using shared_request = std::shared_ptr<request>;
    using shared_attempt = std::shared_ptr<attempt>;
    using action = std::function<void()>;

    struct event {
        time_point when;
        std::uint64_t order;
        action run;
        bool operator>(const event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    // Event queue and messages.
    void schedule(duration after, action run);
    void deliver(int to, action run);
    void send(int from, int to, action run);
    duration random_ms(int low, int high);
    bool chance(double share);

    // Processes (world.cpp).
    int start_process(const std::string& name, int side);
    void tick(int p);
    void refresh_configuration(int p);
    void send_heartbeats(int p);
    void answer_heartbeat(int from, int to, const claims::heartbeat& beat);
    void pull_handover(int p);
    claims::lease_state lease_of(int p) const;

    // Callers (callers.cpp).
    void create_request();
    void send_attempt(const shared_request& to);
    void retry_later(const shared_request& it, duration after);
    void give_up(const shared_attempt& it);
    void handle(int p, const shared_attempt& it);
    void ask_owner(int p, const shared_attempt& it);
    void ask_voters(int p, const shared_attempt& it);
    void count_votes(int p, const shared_attempt& it, bool last);
    void on_reply(int p, const shared_attempt& it, const claims::claim_reply& reply);
    void call_endpoint(int p, const shared_attempt& it);
    void record_execution(const shared_attempt& it);
    void finish(int p, const shared_attempt& it);
    void settle(int p, const shared_attempt& it, const claims::claim_settle& outcome);
    void receive_response(const shared_attempt& it, const claims::caller_response& response);

    // Faults (faults.cpp).
    void schedule_fault();
    void apply_fault(fault_mix kind);
    void freeze(int p, duration length);
    void replace_later(const std::string& name, duration after);
    void freeze_owner(bool replaced);
    void freeze_pair();
    void kill_process(const std::string& name);
    void cut_off(std::size_t owners, duration longest);
    void stop_owner();
    void change_map();
    int pick_live();
    const std::string& pick_owner();

    policy rule_;
    fault_mix mix_;
    bool repeat_faults_;
    std::mt19937_64 random_;
    std::mt19937_64 fault_random_;
    time_point now_{};
    std::uint64_t event_count_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::unique_ptr<process>> processes_;
    std::map<std::string, int> current_processes_;
    claims::claims_section section_;
    std::int64_t incarnations_ = 0;
    bool cut_off_ = false;
    std::vector<shared_request> requests_;
    totals totals_;
};

} // namespace limpetlock::bench
