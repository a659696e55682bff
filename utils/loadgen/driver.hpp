/// \file
/// Sends the arrivals, either to instances of the system or, in direct mode, to the endpoints themselves.
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

struct target {
    std::vector<http::address> instances;
    std::map<std::string, std::vector<http::address>> pools; ///< direct mode: endpoints by pool
    bool direct{false};
    double skew{0};              ///< 0 spreads evenly; else instance n gets a weight of 1 / (n + 1)^skew
    std::int64_t grace_ms{1000}; ///< how long after its deadline an answer is waited for
    std::uint32_t seed{1};
};

class driver {
public:
    driver(boost::asio::io_context& context, target where, nlohmann::json deployment);

    /// Sends each request at its time and fills in how it ended; ends when all have ended.
    boost::asio::awaitable<void> run(std::vector<testkit::request_result>& results);

    /// GET of a control port; a discarded value on failure.
    boost::asio::awaitable<nlohmann::json> get(http::address from, std::string path);

private:
    struct answer {
        int status{0};
        nlohmann::json body;
    };

    boost::asio::awaitable<void> run_request(testkit::request_result& out);
    boost::asio::awaitable<void> send_pipeline(testkit::request_result& out);
    boost::asio::awaitable<void> send_service(testkit::request_result& out);
    boost::asio::awaitable<bool> send_service_attempt(testkit::request_result& out, std::size_t instance,
                                                      int number, const std::string& key);
    boost::asio::awaitable<void> send_pipeline_directly(testkit::request_result& out);
    boost::asio::awaitable<answer> send(http::address to, http::request message, time_point deadline,
                                        testkit::attempt& record);
    boost::asio::awaitable<testkit::verdict> send_streamed(http::address to, http::request message,
                                                           time_point deadline, testkit::request_result& out,
                                                           const testkit::expected_answer& expected);
    std::size_t pick_instance();
    http::address pick_endpoint(const std::string& pool);
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
