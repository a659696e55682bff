/// \file
/// The last load report of each endpoint, and the own requests that a report can't include yet.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::routing {

/// Load of an endpoint as it stated it with an answer.
struct stated_load {
    std::uint32_t running{0}; ///< requests
    std::uint32_t waiting{0}; ///< requests
    /// Time that work takes now as a multiple of the usual time; nullopt if not stated.
    std::optional<double> time_factor{};

    friend bool operator==(const stated_load&, const stated_load&) = default;
};

/// Requests of this process at one endpoint, whose answer hasn't begun.
struct own_requests {
    std::size_t count{0};
    double tokens{0}; ///< prompt tokens that the endpoint has to read for them

    friend bool operator==(const own_requests&, const own_requests&) = default;
};

/// Answers and probes share the reports. An older report never replaces a newer one.
class load_reports {
public:
    struct report {
        stated_load load;
        time_point as_of{};          ///< the load was measured at this time or later
        double usual_time_factor{1}; ///< moving average of the stated factors
    };

    /// Forgets the endpoints that aren't in the list.
    void retain(const std::set<std::string, std::less<>>& endpoints);

    /// Records a report. Returns false if a newer one is known.
    bool record(const std::string& endpoint, const stated_load& load, time_point as_of);

    /// nullptr if the endpoint never reported its load.
    const report* find(std::string_view endpoint) const;

    /// Age of the report; nullopt if there is none.
    std::optional<duration> age(std::string_view endpoint, time_point now) const;

    /// A request counts from begin_request until end_request, but for max_request_age at most. Beyond
    /// max_open_requests of one endpoint, further requests aren't counted.
    void begin_request(const std::string& endpoint, std::uint64_t request, double tokens, time_point now);
    void end_request(std::string_view endpoint, std::uint64_t request);

    /// The open requests that were sent at `from` or later.
    own_requests requests_since(std::string_view endpoint, time_point from, time_point now) const;

    std::size_t size() const { return endpoints_.size(); }

    static constexpr duration max_request_age{10'000};
    static constexpr std::size_t max_open_requests = 256;

private:
    struct open_request {
        std::uint64_t id;
        double tokens;
        time_point sent;
    };
    struct endpoint_state {
        std::optional<report> last;
        std::vector<open_request> open;
    };

    std::map<std::string, endpoint_state, std::less<>> endpoints_;
};

} // namespace limpetlock::routing
