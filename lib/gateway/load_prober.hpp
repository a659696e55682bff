/// \file
/// Asks endpoints for their load before a request is sent to one of them.
#pragma once

#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/load_aware_selector.hpp>
#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/support/metrics.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// What the probes for one decision gave.
struct probe_outcome {
    std::size_t wanted{0};   ///< endpoints without a fresh report
    std::size_t answered{0}; ///< of these, in time
    duration waited{0};
};

/// Requests the health path of endpoints and records the load in their answers. A probe is no evidence of
/// whether an endpoint works, and its failure changes nothing.
class load_prober {
public:
    load_prober(boost::asio::any_io_executor executor, http::client& client, const platform_codec& codec,
                endpoint_statements& statements, load_aware_selector& selector, metrics::registry& metrics);

    /// Probes the endpoints and waits until all have answered, but for decision_wait at most. Later answers
    /// are still recorded. An endpoint with a probe on its way isn't probed again; its answer counts here
    /// too.
    boost::asio::awaitable<probe_outcome> probe(std::vector<endpoint> targets, std::string path);

    /// Records the load in an answer to a probe or a request. A report that can't be read is counted.
    void record_load(const endpoint& from, const answer_metadata& answer, time_point as_of);

    /// Longest time that a request waits for the answers. Between failure domains an answer takes 3 ms, or 6
    /// with a new connection.
    static constexpr duration decision_wait{12};

    /// Time after which a probe is given up. Its report would count for little by then.
    static constexpr duration probe_timeout{100};

    /// Most probes on their way at the same time. Beyond that, requests go by what is known.
    static constexpr std::size_t max_probes = 32;

private:
    struct decision;

    void start(const endpoint& to, const std::string& path, const std::shared_ptr<decision>& waiting);
    boost::asio::awaitable<void> run(endpoint to, std::string path);
    /// Returns the outcome for the metrics.
    std::string_view record_answer(const endpoint& from, const http::response& answer, time_point sent);
    void count(std::string_view outcome);

    boost::asio::any_io_executor executor_;
    http::client& client_;
    const platform_codec& codec_;
    endpoint_statements& statements_;
    load_aware_selector& selector_;
    metrics::registry& metrics_;
    metrics::counter& refused_reports_;
    std::map<std::string, std::vector<std::weak_ptr<decision>>> open_; ///< by id of the probed endpoint
};

} // namespace limpetlock::gateway
