/// \file
/// Runs the script of a golden file on the claim objects of simulated processes and prints their decisions.
#pragma once

#include <limpetlock/claims/handover.hpp>
#include <limpetlock/claims/holder.hpp>
#include <limpetlock/claims/table.hpp>
#include <limpetlock/claims/witness.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetlock::testing {

/// A process has a label such as a1: its name, one letter, and its incarnation. Every 500 ms the processes
/// that are neither killed nor frozen send heartbeats to all such processes on their side of a partition. The
/// commands are:
///
///   plain                          owners grant without a lease, to show the fault that the lease prevents
///   owners a b c [lifetime=MS] [max=N] [number=N]   sets the claims section for processes started later
///   start LABEL / kill LABEL / freeze LABEL / wake LABEL
///   replaced LABEL                 tells the process that it has been replaced
///   side N LABEL...                moves processes to side N of a network partition
///   adopt LABEL...                 puts the last claims section in force in processes
///   at MS                          advances the time
///   ask ID KEY HOLDER OWNER first|again [body=TEXT] [read=MS] [hold]
///                                  requests a claim; `hold` withholds the reply
///   reply ID                       delivers a withheld reply
///   dispatch ID ran|lost           sends the call; `ran` counts an execution of the key
///   result ID answered|broken|refused|not_sent
///   finish ID [lost]               responds to the caller and settles; `lost` drops the settlement
///   seal LABEL PEER                seals the claim table and hands its records to a peer
///   pull LABEL PEER...             pulls the handover of the predecessor from peers and imports it
///   executions KEY                 prints how often the key ran
class session {
public:
    /// Runs a script and returns it with the decisions after each command. Decisions already in the script
    /// are ignored.
    std::string run(const std::string& script);

private:
    /// A simulated process.
    struct member {
        std::string name;
        std::int64_t incarnation = 0;
        int partition = 0;
        bool alive = true;
        bool frozen = false;
        bool held = false; ///< Whether the lease was held when it was printed last.
        claims::claims_section section;
        claims::lease own_lease;
        claims::witness own_witness;
        claims::table table;
        claims::handover_keeper keeper;
        suspension_detector suspensions;
        std::map<std::string, std::int64_t> highest_incarnations;
        std::optional<claims::handover_collector> collector;
    };
    /// An attempt of the process `requester` at a key of the process `owner`, both as labels.
    struct attempt {
        std::string requester;
        std::string owner;
        claims::holder holder;
        std::optional<claims::claim_reply> withheld_reply;
    };
    using words = std::vector<std::string>;

    /// Runs one command.
    void execute(const words& line);
    void print_decision(std::string text);
    void set_owners(const words& line);
    void start(const std::string& label);
    void advance(time_point to);
    void send_heartbeats();
    void send_heartbeat_round(member& from);
    void show_leases();
    void request_claim(const words& line);
    void deliver_reply(attempt& it, const claims::claim_reply& reply);
    void finish(const words& line);
    void seal(const words& line);
    void pull(const words& line);
    void send_settlement(const attempt& it, const std::optional<claims::claim_settle>& outcome);
    claims::lease_state lease_of(const member& it) const;
    bool reaches(const member& from, const member& to) const;
    member& find(const std::string& label);
    attempt& find_attempt(const std::string& id);

    time_point now_{};
    bool without_lease_ = false;
    claims::claims_section section_;
    std::map<std::string, std::unique_ptr<member>> members_;
    std::map<std::string, std::unique_ptr<attempt>> attempts_;
    std::map<std::string, int> executions_;
    std::string out_;
};

} // namespace limpetlock::testing
