/// \file
/// What one instance has seen of each endpoint, and the choice of the endpoint for a request.
#pragma once

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// How one sending to an endpoint ended.
enum class attempt_outcome : std::uint8_t {
    answered,
    endpoint_error, ///< an error of the endpoint's own
    full,
    unreachable, ///< provably not sent
    broken,      ///< sent, and the connection failed before the end of the answer
    replaced,    ///< another endpoint has the address
    cancelled    ///< given up here; says nothing about the endpoint
};

struct selection_criteria {
    std::string pool;
    std::uint64_t affinity_hash{0}; ///< hash that prefers the same few endpoints each time; 0 for none
    std::string domain;             ///< preferred failure domain
    std::vector<std::string> tried;
    std::uint64_t session_hash{0}; ///< hash that prefers the same one of the few; 0 for the first of them
};

class endpoint_selector {
public:
    /// Takes a new list; what was seen of endpoints that stay is kept.
    void set_endpoints(const std::vector<endpoint>& endpoints, time_point now);

    /// The endpoint for a request, or nullopt when the pool has none that wasn't tried. Endpoints that failed
    /// lately are used only when there is no other.
    std::optional<endpoint> select(const selection_criteria& criteria, time_point now);

    void begin_attempt(const std::string& id, time_point now);
    void end_attempt(const std::string& id, attempt_outcome how, time_point now);
    void record_load(const std::string& id, const load_report& load, time_point now);

    /// All endpoints of a pool that take new work.
    std::vector<endpoint> available_endpoints(std::string_view pool) const;

    /// Whether requests wait at the endpoint, by its last report.
    bool has_waiting_requests(const std::string& id, time_point now) const;

    /// Whether the endpoint is still listed and takes new work.
    bool accepts_work(const std::string& id) const;

private:
    struct endpoint_state {
        endpoint listed;
        std::uint32_t in_flight{0};
        std::uint32_t failures{0};
        double error_share{0};
        time_point avoid_until{};
        load_report load;
        time_point load_at{};
    };

    struct candidate {
        const endpoint_state* state;
        bool avoided;
        bool overloaded;
        double load;        ///< part of its places that are in use
        std::uint64_t rank; ///< hash for the present choice
    };

    double load_of(const endpoint_state& it, time_point now) const;
    std::vector<candidate> candidates(const selection_criteria& criteria, time_point now) const;
    void penalize(endpoint_state& it, duration base, time_point now);

    std::map<std::string, endpoint_state, std::less<>> endpoints_;
    std::map<std::string, std::vector<std::string>, std::less<>> pools_;
};

} // namespace limpetlock::gateway
