/// \file
/// The request rates to which endpoints limit the whole fleet, as they state them in their answers.
#pragma once

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// What an endpoint last stated about the rate of requests that it takes.
struct limit_statement {
    std::string endpoint;
    std::int64_t started_ms{0}; ///< start of its process, as in endpoint::started_ms
    std::optional<double>
        max_rate;         ///< requests a second from all instances; nullopt: it no longer has a limit
    std::string reporter; ///< instance that got the answer
    /// A limit holds from the arrival of the answer on, its end from the sending of the request that was
    /// answered without one. So an answer that was on its way when the limit was stated doesn't end it.
    time_point at{};

    friend bool operator==(const limit_statement&, const limit_statement&) = default;
};

/// The newest statement of each listed endpoint that has stated a limit.
class stated_limits {
public:
    /// `own_name` is the reporter of what this instance learns from answers.
    explicit stated_limits(std::string own_name) : own_name_(std::move(own_name)) {}

    /// Replaces the list of endpoints. Statements of endpoints that left or restarted are forgotten.
    void set_endpoints(const std::vector<endpoint>& endpoints);

    /// Records what an answer to a request that was sent at `sent` says. An answer that may not be the
    /// endpoint's own (`genuine` is false) doesn't end a limit.
    void record_answer(const std::string& endpoint_id, const answer_metadata& answer, bool genuine,
                       time_point sent, time_point now);

    /// Merges a statement that a peer knows.
    void merge(limit_statement it, time_point now);

    /// Up to `max_statements` of the limits in force and of those that ended within end_memory. Successive
    /// calls return the others, too.
    std::vector<limit_statement> statements_for_peers(time_point now, std::size_t max_statements);

    /// Number of changes of limits.
    std::uint64_t version() const { return version_; }

    /// The end of a limit is told to peers for this long, so that a peer that still has the limit learns of
    /// it.
    static constexpr duration end_memory{30'000};

    /// The limit in force of an endpoint; nullptr if it has none.
    const limit_statement* find(std::string_view endpoint_id) const;

    /// Id of the listed endpoint with this address; empty if there is none.
    std::string endpoint_at(const http::address& it) const;

    /// Number of limits in force.
    std::size_t count() const;

private:
    void update(limit_statement it, time_point now);

    std::string own_name_;
    std::map<std::string, endpoint, std::less<>> listed_;
    std::map<http::address, std::string> ids_;
    std::map<std::string, limit_statement, std::less<>> statements_;
    std::uint64_t version_{0};
    std::string last_told_; ///< endpoint of the last statement that was returned for peers
};

} // namespace limpetlock::gateway
