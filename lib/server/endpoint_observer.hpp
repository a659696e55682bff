/// \file
/// Interface to which the request path reports the results of calls as evidence of the endpoints' health.
#pragma once

#include <limpetlock/membership/view.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>

namespace limpetlock::server {

class endpoint_observer {
public:
    virtual ~endpoint_observer() = default;

    /// Record the result of a call to the endpoint `id` that was sent at `started`.
    virtual void record_success(std::uint64_t id, time_point started) = 0;
    virtual void record_failure(std::uint64_t id, membership::call_failure failure, time_point started) = 0;
    /// Records that the endpoint answered that it is leaving.
    virtual void record_leaving(std::uint64_t id) = 0;

protected:
    endpoint_observer() = default;
    endpoint_observer(const endpoint_observer&) = default;
    endpoint_observer& operator=(const endpoint_observer&) = default;
};

} // namespace limpetlock::server
