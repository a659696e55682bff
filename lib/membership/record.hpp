/// \file
/// The state that the view keeps for one listed endpoint.
#pragma once

#include <limpetlock/membership/view.hpp>

namespace limpetlock::membership {

struct record {
    std::uint64_t id{0};
    listed_instance listed;
    std::int64_t listed_since_version{
        0}; ///< first list version with this address, or in which the endpoint is live again after leaving
    int failure_score{0}; ///< weighted consecutive failures
    int probe_successes{0};
    int ejections{0}; ///< ejections since the endpoint was last in service; each doubles the ejection time
    bool ejected{false};
    bool probing{false};
    bool leaving_by_evidence{false}; ///< the endpoint itself answered, or a peer reported, that it is leaving
    time_point probe_at{};           ///< when an ejected or leaving endpoint is probed

    endpoint_state state() const
    {
        if (listed.leaving)
            return endpoint_state::leaving;
        if (leaving_by_evidence)
            return probing ? endpoint_state::probing : endpoint_state::leaving;
        if (ejected)
            return probing ? endpoint_state::probing : endpoint_state::ejected;
        return failure_score > 0 ? endpoint_state::suspect : endpoint_state::live;
    }
};

} // namespace limpetlock::membership
