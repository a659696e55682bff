/// \file
/// Runs real limpetlock processes for tests, six by default, against a stand-in platform and endpoints
/// within the test process. Tests inject faults: signals to processes, network partitions between instances,
/// and faults of the stand-in platform and endpoints.
#pragma once

#include <limpetlock/support/time.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::test {

/// The answer to one call, or the reason why none came.
struct answer {
    int status{0}; ///< HTTP status, or 0 without a complete answer.
    std::string body;
    std::string failure; ///< Why no complete answer came; empty otherwise.

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
    /// Returns the error code of a refusal, or an empty string if the body holds no error.
    std::string code() const;
    /// Returns whether a refused call ran, "no" or "unknown", or an empty string if the body holds no error.
    std::string ran() const;
};

/// A streamed answer, as far as it came.
struct streamed_answer {
    int status{0}; ///< HTTP status, or 0 without an answer.
    std::vector<std::string> tokens;
    std::vector<std::int64_t> positions; ///< Index of each token within the generation.
    bool done{false};                    ///< The end event came.
    std::string error;                   ///< Code of an error event or of a refusal.
    std::string failure;                 ///< Why the connection failed; empty otherwise.
};

struct fleet_options {
    std::size_t instances{6};
    /// Number of endpoints in each pool.
    std::map<std::string, int> endpoints{{"encoder", 2}, {"retriever", 2}, {"reranker", 2},
                                         {"model", 3},   {"dispatch", 2},  {"plant-feed", 2}};
    std::int64_t key_lifetime_ms{60'000};
    std::int64_t lease_ms{1'000};
    std::int64_t balancer_lag_ms{300};
    std::int64_t stop_limit_ms{60'000};
    std::int64_t pipeline_deadline_ms{20'000};
};

using headers = std::vector<std::pair<std::string, std::string>>;

/// The processes of one test and the stand-in platform and endpoints that they use. Instances are
/// numbered from 0; instance n belongs to failure domain a, b or c in turn.
class fleet {
public:
    explicit fleet(fleet_options options = {});
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    std::size_t size() const;
    std::string name(std::size_t instance) const;

    // Processes. Signals go only to processes that this fleet started.
    void start(std::size_t instance);
    void kill(std::size_t instance);
    void freeze(std::size_t instance);
    void thaw(std::size_t instance);
    void terminate(std::size_t instance);
    /// Waits until a process ends. Returns its exit code, 128 plus the number of the signal that ended it, or
    /// nullopt after the timeout.
    std::optional<int> wait_exit(std::size_t instance, duration timeout);
    /// Starts a second process with the same name on new ports and puts it in the first one's place in the
    /// instance list, as a platform does that takes the first process for dead.
    void replace_at_new_address(std::size_t instance);
    /// Thaws all processes that replace_at_new_address() has replaced.
    void thaw_replaced();

    // Calls. They carry the token of the first team unless `more` has an Authorization header.
    answer post(std::size_t instance, const std::string& target, const nlohmann::json& body,
                const headers& more = {}, duration timeout = duration{10'000}) const;
    std::future<answer> post_async(std::size_t instance, const std::string& target,
                                   const nlohmann::json& body, const headers& more = {},
                                   duration timeout = duration{10'000}) const;
    std::future<streamed_answer> stream_async(std::size_t instance, const std::string& pipeline,
                                              const std::string& input, std::int64_t max_tokens) const;
    /// Books with an idempotency key. An attempt of 0 sends no attempt number.
    answer book(std::size_t instance, const std::string& key, int attempt,
                const nlohmann::json& body = {{"truck", 1}}, duration timeout = duration{10'000}) const;
    std::future<answer> book_async(std::size_t instance, const std::string& key, int attempt) const;
    /// Returns the admin state of an instance. The result is not an object if the instance doesn't answer.
    nlohmann::json state(std::size_t instance) const;
    answer call_admin(std::size_t instance, const std::string& method, const std::string& target,
                      const std::string& body = {}) const;
    bool ready(std::size_t instance) const;
    /// IP address on which all processes listen.
    std::string address() const;
    std::uint16_t caller_port(std::size_t instance) const;
    std::uint16_t admin_port(std::size_t instance) const;
    std::uint16_t peer_port(std::size_t instance) const;

    // The stand-in platform and endpoints.
    /// Publishes a configuration entry and returns its revision.
    std::int64_t publish(const nlohmann::json& entry) const;
    void change_instances(const nlohmann::json& change) const;
    void platform_fault(const nlohmann::json& fault) const;
    /// Returns the call counts of the platform's service since the start.
    nlohmann::json platform_call_counts() const;
    void endpoint_fault(const nlohmann::json& fault) const;
    /// Returns the configuration document that the fleet published first.
    nlohmann::json config_document() const;
    /// Returns the calls that the endpoints ran, with their counters.
    nlohmann::json runs() const;
    /// Returns the counters of all endpoints and the number of the newest run, without the runs.
    nlohmann::json run_totals() const;
    /// Returns the counters of one endpoint.
    nlohmann::json endpoint_totals(const std::string& endpoint) const;
    /// Returns how often a call with this idempotency key ran to completion.
    std::int64_t executions(const std::string& key) const;
    std::vector<std::string> endpoint_names(const std::string& pool) const;

    // Network partitions between instances, in both directions.
    void partition(const std::vector<std::size_t>& one_side, const std::vector<std::size_t>& other_side);
    void heal_partitions();

    /// Polls a condition until it holds. Returns false after the timeout.
    bool wait_until(const std::function<bool()>& condition, duration timeout = duration{20'000}) const;
    /// Waits until all instances are ready, each for at most the timeout.
    bool wait_ready(duration timeout = duration{30'000}) const;
    /// Waits until every owner has held its lease long enough to grant first attempts, or, if `all_attempts`
    /// is set, also later attempts. Returns false after a timeout.
    bool wait_owners_grant(bool all_attempts) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::test
