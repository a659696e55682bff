/// \file
/// Stand-in for the platform: the configuration service and the instance list, both with long polls, and
/// control calls that publish changes and inject faults.
#pragma once

#include "testkit/wire.hpp"

#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetlock::testkit {

/// The platform's server, with its control calls on the same port.
class platform {
public:
    platform(boost::asio::io_context& context, std::uint16_t port);

    std::uint16_t port() const { return listener_.port(); }

    /// Appends a configuration entry under the next revision, which it returns.
    std::int64_t publish(nlohmann::json entry);

    /// Publishes a new version of the instance list. `change` has any of {"instances":[...]} (replaces the
    /// list),
    /// {"update":[...]} (merges by name) and {"remove":[names]}.
    void change_instances(const nlohmann::json& change);

private:
    struct list_version {
        std::int64_t at_ms{0}; ///< time of publication, of boot_clock
        nlohmann::json instances;
    };

    boost::asio::awaitable<void> handle(connection& it);
    boost::asio::awaitable<void> handle_control(connection& it);

    /// Answers a read of the configuration, or of the instance list, as soon as it has changed.
    boost::asio::awaitable<void> serve_poll(connection& it, bool config);
    nlohmann::json config_after(std::int64_t revision) const;
    nlohmann::json instance_list() const;

    /// Version of the instance list that readers see under the present faults.
    std::int64_t visible_version() const;
    bool is_down(bool config) const;
    nlohmann::json set_fault(const nlohmann::json& fault);
    void wake_all();

    std::vector<nlohmann::json> entries_;     ///< entry of revision n is at n - 1
    std::vector<list_version> list_versions_; ///< list of version n is at n - 1
    std::set<connection*> waiting_;           ///< connections of long polls
    std::map<std::string, std::int64_t> call_counts_;
    std::string mode_{"ok"}; ///< ok, stale or down
    bool config_down_{false};
    std::int64_t delay_ms_{0};       ///< before each answer
    std::int64_t list_lag_ms_{0};    ///< between publication of a list and its first read
    std::int64_t stale_revision_{0}; ///< newest visible revision while mode_ is stale
    std::int64_t stale_version_{0};  ///< newest visible list while mode_ is stale
    listener listener_;
};

} // namespace limpetlock::testkit
