/// \file
/// Notifies the producers of stage results of the results that are no longer needed.
#pragma once

#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/evacuations.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>
#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/support/metrics.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>
#include <vector>

namespace limpetlock::gateway {

/// Gathers releases for a short time, so that one call to a producer covers several results. Those of a
/// producer with a limit are gathered until it has a permit.
class result_releaser {
public:
    result_releaser(boost::asio::any_io_executor executor, const platform_codec& codec, http::client& client,
                    endpoint_statements& statements, const evacuations& orders, permit_issuer& issuer,
                    metrics::registry& metrics);

    /// Queues results for release at their producers. Malformed handles are ignored.
    void release(const std::vector<std::string>& handles);

private:
    bool drop_if_evacuated(const http::address& producer, std::size_t results);
    boost::asio::awaitable<void> flush_later();
    boost::asio::awaitable<void> send_with_permit(http::address producer, duration wait);
    boost::asio::awaitable<void> send(http::address producer, std::vector<std::string> handles);

    boost::asio::any_io_executor executor_;
    const platform_codec& codec_;
    http::client& client_;
    endpoint_statements& statements_;
    const evacuations& evacuations_;
    permit_issuer& issuer_;
    metrics::counter& dropped_;
    std::map<http::address, std::vector<std::string>> pending_;
    std::map<http::address, std::vector<std::string>> without_permit_;
    bool flushing_{false};
};

} // namespace limpetlock::gateway
