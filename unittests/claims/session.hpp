/// \file
/// Runs the text script of a golden file over the claim objects and records their decisions.
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

/// Processes have labels like a1: the name and the incarnation. Heartbeats flow by themselves every 500 ms
/// between the processes of one side that are neither killed nor frozen.
///
///   plain                          grant without a lease, as the unsafe variant does
///   owners a b c [lifetime=MS] [max=N] [number=N]   the claims section for processes started from now on
///   start LABEL / kill LABEL / freeze LABEL / wake LABEL / replaced LABEL
///   side N LABEL...                moves processes to one side of a cut
///   adopt LABEL...                 adopts the claims section given last
///   at MS                          advances the time
///   ask ID KEY HOLDER OWNER first|again [body=TEXT] [read=MS] [hold]   asks; `hold` keeps the reply back
///   reply ID                       delivers a reply that was kept back
///   dispatch ID ran|lost           sends the call; `ran` counts an execution of the key
///   result ID answered|broken|refused|not_sent
///   finish ID [lost]               tells the caller and settles; `lost` drops the settlement
///   seal LABEL PEER / pull LABEL PEER...   handover at a planned stop
///   executions KEY
class session {
public:
    /// Runs all lines that are not decisions and returns the script with its decisions.
    std::string run(const std::string& script);

private:
    struct member {
        std::string name;
        std::int64_t incarnation = 0;
        int partition = 0;
        bool alive = true;
        bool frozen = false;
        bool held = false;
        claims::settings section;
        claims::lease own_lease;
        claims::witness own_witness;
        claims::table table;
        claims::handover_keeper keeper;
        claims::suspension_detector suspensions;
        std::map<std::string, std::int64_t> highest_incarnations;
        std::optional<claims::handover_collector> collector;
    };
    struct attempt {
        std::string requester;
        std::string owner;
        claims::holder holder;
        std::optional<claims::claim_reply> withheld_reply;
    };
    using words = std::vector<std::string>;

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
    claims::settings section_;
    std::map<std::string, std::unique_ptr<member>> members_;
    std::map<std::string, std::unique_ptr<attempt>> attempts_;
    std::map<std::string, int> executions_;
    std::string out_;
};

} // namespace limpetlock::testing
