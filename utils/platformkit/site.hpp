/// \file
/// Stand-in for a whole platform on one address: the store, a configuration with streamed routes, one of them
/// over two stages, and plain routes, and the endpoints that serve them.
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

/// Sizes and delays of a site.
struct site_options {
    std::string address{"127.0.0.1"};
    std::size_t engines{3};
    std::size_t stage_endpoints{2}; ///< in each of the two stage pools
    std::size_t plain{2};           ///< endpoints of the plain service
    std::size_t events{8};          ///< of each streamed answer
    std::chrono::milliseconds event_gap{2};
    std::chrono::milliseconds engine_time{5};      ///< before the first event of a streamed answer
    std::chrono::milliseconds stage_call_time{20}; ///< time that each stage call takes
    std::size_t max_batch_pieces{8};               ///< pieces of one stage call
    std::size_t result_capacity{64};               ///< results that one stage endpoint stores
    int retry_extra{52};                           ///< retries of all instances beyond the ratio
    /// Failure domains among which the endpoints of each pool are divided in turn. The instances are in "a".
    std::vector<std::string> domains{"a"};
    bool follows_evacuations{false}; ///< the instances have the bound for orders to evacuate
    double cold_rate{0};      ///< requests a second that a cold engine tolerates; 0: as many as a warm one
    bool relays_store{false}; ///< the instances reach the store through a relay of the test
    std::string second_store_user; ///< instance that uses the second listener of the store
};

/// The servers of the platform and its configuration.
class site {
public:
    site(const boost::asio::any_io_executor& executor, site_options options);

    /// Writes the configuration and the entries of all endpoints to the store.
    void publish();

    /// Writes the present content of `config` to the store under the next version.
    void publish_config();

    /// Writes the configuration, under the version that it has, and the entries of all endpoints to the
    /// store, as their writers do after the store lost them.
    void write_again();

    /// Gives the order to evacuate a failure domain, and withdraws it.
    void evacuate(const std::string& domain) { state.put("op/evacuate/" + domain, "{}"); }
    void end_evacuation(const std::string& domain) { state.remove("op/evacuate/" + domain); }

    /// All requests, stage calls and releases that the endpoints of a failure domain received since then.
    std::size_t count_arrivals(const std::string& domain, std::chrono::steady_clock::time_point since) const;

    /// Settings file of one instance with its listeners on the given ports; `seeds` are ports of peers.
    std::string settings(const std::string& name, std::uint16_t caller, std::uint16_t ready,
                         std::uint16_t peer, const std::vector<std::uint16_t>& seeds) const;

    const site_options options;
    store state;
    std::vector<std::unique_ptr<service_endpoint>> engines;
    std::vector<std::unique_ptr<service_endpoint>> plain;
    std::vector<std::unique_ptr<stage_endpoint>> first_stage;
    std::vector<std::unique_ptr<stage_endpoint>> second_stage;
    nlohmann::json config;
    std::uint16_t store_port{0}; ///< in the settings of the instances, if it isn't the store's own

    static constexpr const char* host = "site.example";
    static constexpr const char* key = "key-one";
    static constexpr const char* team = "team-one";
};

} // namespace limpetlock::platformkit
