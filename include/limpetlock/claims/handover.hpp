/// \file
/// Handover of sealed records at a planned stop: the peer that keeps them, and the successor that asks for
/// them.
#pragma once

#include <limpetlock/claims/messages.hpp>
#include <limpetlock/claims/owner_map.hpp>
#include <limpetlock/claims/witness.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::claims {

/// Keeps sealed records of owners that stopped, until the replacement asks for them. A keeper is an owner
/// itself.
class handover_keeper {
public:
    /// Keeps a handover until `now` + key lifetime. False for one that is not sealed or older than one kept.
    bool keep(handover records, duration key_lifetime, time_point now);

    /// The reply to a handover pull by an incarnation. It has the records when this witness vouched for the
    /// sealed incarnation last and no other successor took them; otherwise only the predecessor's
    /// incarnation.
    handover answer_pull(witness& own_witness, std::string_view owner, std::int64_t successor,
                         time_point now);

    void expire(time_point now);
    std::size_t size() const { return kept_.size(); }

private:
    struct entry {
        handover records;
        time_point expires;
        std::int64_t successor_incarnation = 0;
    };
    std::map<std::string, entry, std::less<>> kept_;
};

/// Successor side: collects the replies to a handover pull and accepts the records only when enough other
/// owners confirm that no incarnation came between the sealed one and this one.
class handover_collector {
public:
    handover_collector(std::string name, std::int64_t incarnation, owner_map map);

    void record_reply(std::string_view witness, const handover& reply);

    /// The handover to import, as soon as it is confirmed.
    std::optional<handover> accepted() const;

    std::string reason() const;

private:
    std::string name_;
    std::int64_t incarnation_;
    owner_map map_;
    std::map<std::string, std::int64_t, std::less<>> predecessors_;
    std::optional<handover> records_;
};

} // namespace limpetlock::claims
