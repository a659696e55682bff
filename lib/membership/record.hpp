/// \file
/// What the view holds about one listed endpoint.
#pragma once

#include <limpetlock/membership/view.hpp>

namespace limpetlock::membership {

struct record {
    std::uint64_t id{0};
    listed_instance listed;
    std::int64_t listed_since_version{
        0};               ///< list version in which this address, or its return to live, first appeared
    int failure_score{0}; ///< consecutive failures, weighted
    int probe_successes{0};
    int ejections{0}; ///< in a row, for the doubling of the ejection time
    bool ejected{false};
    bool probing{false};
    bool leaving_by_evidence{false};
    time_point probe_at{};

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
