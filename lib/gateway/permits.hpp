/// \file
/// Gets permits for requests to endpoints that limit the rate of their requests.
#pragma once

#include "fleet.hpp"

#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>
#include <limpetlock/support/metrics.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace limpetlock::gateway {

/// Asks the instance that is responsible for an endpoint, which issues the permits for all instances. The
/// permits of stage endpoints are issued by the instance that schedules their pool, and not asked for.
class permits {
public:
    permits(fleet& peers, const endpoint_statements& statements, permit_issuer& issuer,
            metrics::registry& metrics);

    /// Requests a permit. A permit that isn't used is lost.
    boost::asio::awaitable<permit> acquire(permit_request it);

    /// Answers a request of another instance.
    permit answer(const permit_request& it, time_point now);

private:
    fleet& fleet_;
    const endpoint_statements& statements_;
    permit_issuer& issuer_;
    metrics::counter& granted_;
    metrics::counter& denied_;
    metrics::counter& unanswered_;
};

} // namespace limpetlock::gateway
