/// \file
/// Interface to which the request path reports the results of calls as evidence of the endpoints' health.
#pragma once

#include <limpetlock/membership/view.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>

namespace limpetlock::server {

/// Receives the results of calls to endpoints.
class endpoint_observer {
public:
    virtual ~endpoint_observer() = default;

    /// Records that a call to the endpoint `id`, sent at `started`, succeeded.
    virtual void record_success(std::uint64_t id, time_point started) = 0;
    /// Records that a call to the endpoint `id`, sent at `started`, failed.
    virtual void record_failure(std::uint64_t id, membership::call_failure failure, time_point started) = 0;
    /// Records that the endpoint `id` reported in an answer that it is leaving.
    virtual void record_leaving(std::uint64_t id) = 0;

protected:
    endpoint_observer() = default;
    endpoint_observer(const endpoint_observer&) = default;
    endpoint_observer& operator=(const endpoint_observer&) = default;
};

} // namespace limpetlock::server
