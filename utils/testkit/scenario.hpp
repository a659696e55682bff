/// \file
/// Scenarios of the load tool: what arrives when, from whom. Arrivals are a pure function of the scenario,
/// the deployment document and the seed.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetlock::testkit {

using team_weights = std::map<std::string, double>;

/// One kind of request: a pipeline, or a call of a service.
struct request_class {
    std::string name;
    std::string pipeline;
    std::string service;
    std::string call;
    std::string rank;            ///< empty: the rank of the deployment document
    std::int64_t deadline_ms{0}; ///< 0: the deadline or time limit of the deployment document
    double streamed{0};          ///< share of requests that ask for a stream
    std::int64_t max_tokens{32};
    std::size_t input_bytes{200};
    int attempts{1}; ///< calls with an idempotency key: tries on other instances after a failure or timeout
    double asserted{1}; ///< share of first attempts that say so (Idempotency-Attempt: 1)
    double new_key{
        0}; ///< share that takes a new key after "not run", which promises that the old one is unused
    team_weights teams; ///< empty: the weights of the phase
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(request_class, name, pipeline, service, call, rank,
                                                deadline_ms, streamed, max_tokens, input_bytes, attempts,
                                                asserted, new_key, teams)

/// size arrivals of a class within spread_ms, every every_ms.
struct burst {
    std::string name; ///< of the class
    double every_ms{1000};
    int size{10};
    double spread_ms{50};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(burst, name, every_ms, size, spread_ms)

struct phase {
    std::string name;
    double seconds{10};
    bool flood{false};                   ///< a label for the report
    std::map<std::string, double> rates; ///< requests a second by class
    std::vector<burst> bursts;
    team_weights teams; ///< empty: the weights of the scenario
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(phase, name, seconds, flood, rates, bursts, teams)

struct scenario {
    std::uint32_t seed{1};
    team_weights teams; ///< empty: all teams alike
    std::vector<request_class> classes;
    std::vector<phase> phases;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(scenario, seed, teams, classes, phases)

/// Parses a scenario and checks its references. Throws std::invalid_argument or nlohmann::json::exception.
scenario parse_scenario(const nlohmann::json& from, const nlohmann::json& deployment);

/// One request to send.
struct arrival {
    std::int64_t number{0};
    double at_ms{0};
    std::string phase;
    bool flood{false};
    std::string team;
    bool streamed{false};
    bool asserted{true};
    bool new_key{false};
    std::string input_id; ///< makes the input unique
    request_class what;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(arrival, number, at_ms, phase, flood, team, streamed,
                                                asserted, input_id, what)

/// All arrivals in order of time. run_id goes into every input and key, so that runs against the same
/// endpoints are told apart.
std::vector<arrival> make_arrivals(const scenario& from, const nlohmann::json& deployment,
                                   const std::string& run_id, double scale);

/// Text input of a pipeline request; it starts with a prefix that its team and class share.
std::string input_text(const arrival& it);

/// Body of a service call.
nlohmann::json service_body(const arrival& it);

} // namespace limpetlock::testkit
