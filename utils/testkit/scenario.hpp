/// \file
/// Scenarios of the load tool: the classes, times and teams of the requests. The arrivals are a pure function
/// of the scenario, which has the seed, and the deployment document. The names of the fields are JSON keys.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetlock::testkit {

/// Relative shares of requests by team.
using team_weights = std::map<std::string, double>;

/// One kind of request: a pipeline, or a call of a service.
struct request_class {
    std::string name;
    std::string pipeline;
    std::string service;
    std::string call;
    std::string rank;            ///< empty for the rank of the deployment document
    std::int64_t deadline_ms{0}; ///< 0 for the deadline or timeout of the deployment document
    double streamed{0};          ///< share of requests that ask for a stream
    std::int64_t max_tokens{32};
    std::size_t input_bytes{200};
    int attempts{1}; ///< limit of attempts of a call with an idempotency key; each goes to the next instance
    double asserted{1}; ///< share of first attempts that state their number (Idempotency-Attempt: 1)
    double new_key{0}; ///< share of requests that take a new key after a "not run", which guarantees that the
                       ///< old key is unused
    team_weights teams; ///< empty for the weights of the phase
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(request_class, name, pipeline, service, call, rank,
                                                deadline_ms, streamed, max_tokens, input_bytes, attempts,
                                                asserted, new_key, teams)

/// `size` arrivals of a class spread over spread_ms, repeated every every_ms.
struct burst {
    std::string name; ///< name of the request class
    double every_ms{1000};
    int size{10};
    double spread_ms{50};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(burst, name, every_ms, size, spread_ms)

/// A part of the scenario with constant rates.
struct phase {
    std::string name;
    double seconds{10};
    bool flood{false};                   ///< only labels the phase in the report
    std::map<std::string, double> rates; ///< requests per second by class
    std::vector<burst> bursts;
    team_weights teams; ///< empty for the weights of the scenario
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(phase, name, seconds, flood, rates, bursts, teams)

/// A load that can be reproduced.
struct scenario {
    std::uint32_t seed{1};
    team_weights teams; ///< empty for equal weights
    std::vector<request_class> classes;
    std::vector<phase> phases;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(scenario, seed, teams, classes, phases)

/// Parses a scenario and checks its references. Throws std::invalid_argument or nlohmann::json::exception.
scenario parse_scenario(const nlohmann::json& from, const nlohmann::json& deployment);

/// One request to send.
struct arrival {
    std::int64_t number{0};
    double at_ms{0}; ///< from the start of the load
    std::string phase;
    bool flood{false};
    std::string team;
    bool streamed{false};
    bool asserted{true};  ///< the first attempt states its number
    bool new_key{false};  ///< takes a new key after a "not run"
    std::string input_id; ///< makes the input unique
    request_class what;   ///< with the values of the deployment document
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(arrival, number, at_ms, phase, flood, team, streamed,
                                                asserted, input_id, what)

/// All arrivals in order of time. `run_id` is part of every input and key and so distinguishes runs against
/// the same endpoints. `scale` multiplies rates and sizes of bursts.
std::vector<arrival> make_arrivals(const scenario& from, const nlohmann::json& deployment,
                                   const std::string& run_id, double scale);

/// Text input of a pipeline request; it starts with a prefix common to the requests of its team and class.
std::string input_text(const arrival& it);

/// Body of a service call.
nlohmann::json service_body(const arrival& it);

} // namespace limpetlock::testkit
