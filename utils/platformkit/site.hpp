/// \file
/// A whole stand-in of the platform on one address: the store, a configuration with a streamed route over two
/// stages and a plain one, and the endpoints that serve them.
#pragma once

#include "endpoints.hpp"
#include "store.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace limpetlock::platformkit {

struct site_options {
    std::string address{"127.0.0.1"};
    std::size_t engines{3};
    std::size_t stage_endpoints{2}; ///< in each of the two stage pools
    std::size_t plain{2};
    std::size_t events{8};
    std::chrono::milliseconds event_gap{2};
    std::chrono::milliseconds stage_call_time{20};
    std::size_t max_batch_pieces{8};
    std::size_t result_capacity{64}; ///< results at one stage endpoint
};

class site {
public:
    site(const boost::asio::any_io_executor& executor, site_options options);

    /// Writes the configuration and lists the endpoints.
    void publish();

    /// Publishes the present content of `config` under the next version.
    void publish_config();

    /// Settings of one instance, with its listeners on the given ports.
    std::string settings(const std::string& name, std::uint16_t caller, std::uint16_t ready,
                         std::uint16_t peer, const std::vector<std::uint16_t>& seeds) const;

    const site_options options;
    store state;
    std::vector<std::unique_ptr<service_endpoint>> engines;
    std::vector<std::unique_ptr<service_endpoint>> plain;
    std::vector<std::unique_ptr<stage_endpoint>> first_stage;
    std::vector<std::unique_ptr<stage_endpoint>> second_stage;
    nlohmann::json config;

    static constexpr const char* host = "site.example";
    static constexpr const char* key = "key-one";
    static constexpr const char* team = "team-one";
};

} // namespace limpetlock::platformkit
