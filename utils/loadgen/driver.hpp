/// \file
/// Sends requests at their times, either to instances of the system or, in direct mode, to the endpoints.
#pragma once

#include "testkit/checker.hpp"

#include <limpetlock/http/client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace limpetlock::loadgen {

/// Addresses and options of a load run.
struct target {
    std::vector<http::address> instances;
    std::map<std::string, std::vector<http::address>> pools; ///< direct mode: endpoints by pool
    bool direct{false};
    double skew{0}; ///< 0 takes the instances in turn; else instance n has the weight 1 / (n + 1)^skew
    std::int64_t grace_ms{1000}; ///< time after its deadline that the driver still waits for an answer
    std::uint32_t seed{1};       ///< of the choice of instances and endpoints
};

/// Sends the requests of a load run and checks their answers.
class driver {
public:
    driver(boost::asio::io_context& context, target where, nlohmann::json deployment);

    /// Sends each request at its time and stores its outcome in its result. Returns when all requests have
    /// ended.
    boost::asio::awaitable<void> run(std::vector<testkit::request_result>& results);

    /// Sends a GET to a control port; returns a discarded value on failure.
    boost::asio::awaitable<nlohmann::json> get(http::address from, std::string path);

private:
    struct answer {
        int status{0};
        nlohmann::json body;
    };

    boost::asio::awaitable<void> run_request(testkit::request_result& out);
    boost::asio::awaitable<void> send_pipeline(testkit::request_result& out);
    boost::asio::awaitable<void> send_service(testkit::request_result& out);

    /// Sends attempt `number` with this key; true if the call may be sent again.
    boost::asio::awaitable<bool> send_service_attempt(testkit::request_result& out, std::size_t instance,
                                                      int number, const std::string& key);
    boost::asio::awaitable<void> send_pipeline_directly(testkit::request_result& out);

    /// Sends one request and records the attempt; status 0 without an answer.
    boost::asio::awaitable<answer> send(http::address to, http::request message, time_point deadline,
                                        testkit::attempt& record);

    /// Sends one request, records the attempt and checks the streamed answer.
    boost::asio::awaitable<testkit::verdict> send_streamed(http::address to, http::request message,
                                                           time_point deadline, testkit::request_result& out,
                                                           const testkit::expected_answer& expected);
    std::size_t pick_instance();
    http::address pick_endpoint(const std::string& pool);

    /// A request to an instance with the token of its team.
    http::request make_instance_request(const testkit::arrival& from, const std::string& path,
                                        const nlohmann::json& body) const;

    boost::asio::io_context& context_;
    target target_;
    nlohmann::json deployment_;
    http::client client_;
    boost::random::mt19937 random_;
    boost::random::discrete_distribution<std::size_t> instance_distribution_;
    std::size_t next_instance_{0};
    std::size_t open_requests_{0};
};

} // namespace limpetlock::loadgen
