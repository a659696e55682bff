/// \file
/// Handover of the claim records of an owner at a planned stop. A peer keeps the sealed records until the
/// successor, which is the next incarnation of the owner, pulls them.
#pragma once

#include <limpetlock/claims/messages.hpp>
#include <limpetlock/claims/owner_map.hpp>
#include <limpetlock/claims/witness.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::claims {

/// Keeps the sealed records of stopped owners until their successors pull them. The process that keeps them
/// is itself an owner.
class handover_keeper {
public:
    /// Keeps a handover until `now` + `key_lifetime`. Returns false if it is not sealed, or if a handover of
    /// the same or a newer incarnation of this owner is already kept.
    bool keep(handover records, duration key_lifetime, time_point now);

    /// Returns the reply to a handover pull by the incarnation `successor`. The reply has the records if the
    /// sealed incarnation is the one that this witness supported last and no other successor received them.
    /// Otherwise it has only the incarnation of the predecessor.
    handover answer_pull(witness& own_witness, std::string_view owner, std::int64_t successor,
                         time_point now);

    /// Drops the handovers whose time is over.
    void expire(time_point now);

    /// Number of owners whose handover is kept.
    std::size_t size() const { return kept_.size(); }

private:
    struct entry {
        handover records;
        time_point expires;
        std::int64_t successor_incarnation = 0; ///< The incarnation that received the records, 0 for none.
    };
    std::map<std::string, entry, std::less<>> kept_;
};

/// Successor side of a handover: collects the replies to a handover pull. It accepts the records only after
/// enough other owners confirmed that no incarnation ran between the sealed one and this one.
class handover_collector {
public:
    handover_collector(std::string name, std::int64_t incarnation, owner_map map);

    /// Records the reply of another owner. Ignores replies from other processes, replies about another owner,
    /// and those that name this incarnation or a newer one as the predecessor.
    void record_reply(std::string_view witness, const handover& reply);

    /// Returns the handover to import, or nullopt until it is confirmed.
    std::optional<handover> accepted() const;

    /// Says why accepted() returns a handover or none.
    std::string reason() const;

private:
    std::string name_;
    std::int64_t incarnation_;
    owner_map map_;
    std::map<std::string, std::int64_t, std::less<>> predecessors_;
    std::optional<handover> records_;
};

} // namespace limpetlock::claims
