/// \file
/// A fleet for tests: stand-ins of the platform and the endpoints inside the test, six real limpetlock
/// processes around them, and the faults that a test brings about: signals, cuts between instances, faults of
/// the stand-ins.
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

struct answer {
    int status{0}; ///< 0 when there was no whole answer
    std::string body;
    std::string failure;

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
    /// The error code of a refusal; empty for an answer.
    std::string code() const;
    /// "no" or "unknown" of a refusal.
    std::string ran() const;
};

struct streamed_answer {
    int status{0};
    std::vector<std::string> tokens;
    std::vector<std::int64_t> positions;
    bool done{false};
    std::string error; ///< code of an error event or of a refusal
    std::string failure;
};

struct fleet_options {
    std::size_t instances{6};
    std::map<std::string, int> endpoints{{"encoder", 2}, {"retriever", 2}, {"reranker", 2},
                                         {"model", 3},   {"dispatch", 2},  {"plant-feed", 2}};
    std::int64_t key_lifetime_ms{60'000};
    std::int64_t lease_ms{1'000};
    std::int64_t balancer_lag_ms{300};
    std::int64_t stop_limit_ms{60'000};
    std::int64_t pipeline_deadline_ms{20'000};
};

using headers = std::vector<std::pair<std::string, std::string>>;

class fleet {
public:
    explicit fleet(fleet_options options = {});
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    std::size_t size() const;
    std::string name(std::size_t instance) const;

    // Processes. Each signal goes to a process that this fleet started.
    void start(std::size_t instance);
    void kill(std::size_t instance);
    void freeze(std::size_t instance);
    void thaw(std::size_t instance);
    void terminate(std::size_t instance);
    /// Waits for the end of a process and returns its exit code, or nullopt after the patience.
    std::optional<int> wait_exit(std::size_t instance, duration timeout);
    /// Starts a second process under the same name at a new address, as a platform does that believes the
    /// first one dead, and lists it in place of the first.
    void replace_at_new_address(std::size_t instance);
    /// Lets the processes go on that replace_elsewhere has replaced.
    void thaw_replaced();

    // Calls. They carry the token of the first team unless `more` has an Authorization.
    answer post(std::size_t instance, const std::string& target, const nlohmann::json& body,
                const headers& more = {}, duration timeout = duration{10'000}) const;
    std::future<answer> post_async(std::size_t instance, const std::string& target,
                                   const nlohmann::json& body, const headers& more = {},
                                   duration timeout = duration{10'000}) const;
    std::future<streamed_answer> stream_async(std::size_t instance, const std::string& pipeline,
                                              const std::string& input, std::int64_t max_tokens) const;
    answer book(std::size_t instance, const std::string& key, int attempt,
                const nlohmann::json& body = {{"truck", 1}}, duration timeout = duration{10'000}) const;
    std::future<answer> book_async(std::size_t instance, const std::string& key, int attempt) const;
    nlohmann::json state(std::size_t instance) const;
    answer call_admin(std::size_t instance, const std::string& method, const std::string& target,
                      const std::string& body = {}) const;
    bool ready(std::size_t instance) const;
    /// Address of all listeners of the processes.
    std::string address() const;
    std::uint16_t caller_port(std::size_t instance) const;
    std::uint16_t admin_port(std::size_t instance) const;
    std::uint16_t peer_port(std::size_t instance) const;

    // The platform and the endpoints.
    std::int64_t publish(const nlohmann::json& entry) const;
    void change_instances(const nlohmann::json& change) const;
    void platform_fault(const nlohmann::json& fault) const;
    /// How often the platform's service was called so far.
    nlohmann::json platform_call_counts() const;
    void endpoint_fault(const nlohmann::json& fault) const;
    nlohmann::json config_document() const;
    nlohmann::json runs() const;
    /// The totals of the endpoints and the number of the newest run, without the runs.
    nlohmann::json run_totals() const;
    /// Counters of one endpoint, without its runs.
    nlohmann::json endpoint_totals(const std::string& endpoint) const;
    /// How often the call with a key ran to its end.
    std::int64_t executions(const std::string& key) const;
    std::vector<std::string> endpoint_names(const std::string& pool) const;

    // Cuts between instances, in both directions.
    void partition(const std::vector<std::size_t>& one_side, const std::vector<std::size_t>& other_side);
    void heal_partitions();

    bool wait_until(const std::function<bool()>& condition, duration timeout = duration{20'000}) const;
    bool wait_ready(duration timeout = duration{30'000}) const;
    /// Waits until every owner has held its lease long enough to grant first attempts, or all attempts.
    bool wait_owners_grant(bool all_attempts) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::test
