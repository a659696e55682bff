/// \file
/// Stand-in of the platform: the configuration service and the instance list with long polls, and the control
/// calls that publish and inject faults.
#pragma once

#include "testkit/wire.hpp"

#include <limpetlock/support/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetlock::testkit {

class platform {
public:
    platform(boost::asio::io_context& context, std::uint16_t port);

    std::uint16_t port() const { return listener_.port(); }

    /// Appends an entry without a revision; returns its revision.
    std::int64_t publish(nlohmann::json entry);

    /// Takes {"instances":[...]} (replaces all), {"update":[...]} (merges by name) and {"remove":[names]}.
    void change_instances(const nlohmann::json& change);

private:
    struct list_version {
        std::int64_t at_ms{0};
        nlohmann::json instances;
    };

    boost::asio::awaitable<void> handle(connection& it);
    boost::asio::awaitable<void> handle_control(connection& it);
    boost::asio::awaitable<void> serve_poll(connection& it, bool config);
    nlohmann::json config_after(std::int64_t revision) const;
    nlohmann::json instance_list() const;
    std::int64_t visible_version() const;
    bool is_down(bool config) const;
    nlohmann::json set_fault(const nlohmann::json& fault);
    void wake_all();

    std::vector<nlohmann::json> entries_;     ///< entry of revision n is at n - 1
    std::vector<list_version> list_versions_; ///< list of version n is at n - 1
    std::set<connection*> waiting_;
    std::map<std::string, std::int64_t> call_counts_;
    std::string mode_{"ok"};
    bool config_down_{false};
    std::int64_t delay_ms_{0};
    std::int64_t list_lag_ms_{0};
    std::int64_t stale_revision_{0};
    std::int64_t stale_version_{0};
    listener listener_;
};

} // namespace limpetlock::testkit
