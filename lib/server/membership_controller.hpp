/// \file
/// Keeps the view of endpoints and instances: watches the platform's list, takes evidence from calls and
/// peers, polls load, and publishes snapshots for the request path.
#pragma once

#include "endpoint_observer.hpp"
#include "endpoint_table.hpp"

#include <limpetlock/http/client.hpp>
#include <limpetlock/membership/view.hpp>
#include <limpetlock/server/settings.hpp>
#include <limpetlock/support/snapshot_cell.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace limpetlock::server {

class membership_controller : public endpoint_observer {
public:
    /// Called on the controller's strand.
    struct callbacks {
        std::function<void(const std::shared_ptr<const membership::snapshot>&)> on_members_changed;
        std::function<void(const membership::leaving_evidence&)> on_endpoint_leaving;
        std::function<void()> on_timer_gap;
    };

    membership_controller(const boost::asio::any_io_executor& executor, const instance_settings& settings,
                          http::client& client, endpoint_table& table,
                          snapshot_cell<membership::snapshot>& members);

    void start(callbacks calls);
    void stop() { stopped_ = true; }

    void configure(const config::limit_settings& limits);

    void record_success(std::uint64_t id, time_point started) override;
    void record_failure(std::uint64_t id, membership::call_failure failure, time_point started) override;
    void record_leaving(std::uint64_t id) override;

    void record_peer_evidence(const membership::leaving_evidence& evidence);
    bool record_contact(const std::string& name, std::int64_t incarnation);

    struct unroutable_endpoint {
        std::string pool;
        std::string name;
        membership::endpoint_state state{};
    };

    /// Listed endpoints that take no calls now, with the reason: leaving or ejected.
    std::vector<unroutable_endpoint> unroutable() const;

    /// The list in force as the platform gave it; empty before the first one.
    std::string list_text() const;

    /// Takes a list that a peer sent, when there is none yet.
    void adopt_list(const std::string& text, const std::string& peer);

    /// Leaving evidence of the last seconds, for peers that missed the first message.
    std::vector<membership::leaving_evidence> recent_evidence() const;

    membership::view::counters counts() const;
    std::int64_t list_version() const;
    std::uint64_t list_failures() const { return list_failures_; }
    std::uint64_t load_polls() const { return load_polls_; }

private:
    struct received_evidence {
        membership::leaving_evidence evidence;
        time_point received_at;
    };

    boost::asio::awaitable<void> watch_list();
    boost::asio::awaitable<bool> read_list();
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> poll_loads();
    boost::asio::awaitable<void> poll_load(membership::endpoint it);
    void publish();
    bool apply_list(const membership::instance_list& list, const std::string& text,
                    const std::string& source);
    void record_evidence(const membership::leaving_evidence& evidence, time_point now);

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    const instance_settings& settings_;
    http::client& client_;
    endpoint_table& table_;
    snapshot_cell<membership::snapshot>& members_;
    callbacks callbacks_;
    mutable std::mutex mutex_;
    membership::view view_;
    std::vector<received_evidence> recent_evidence_;
    std::string list_text_;
    std::vector<membership::listed_instance> listed_instances_;
    std::shared_ptr<const membership::snapshot> published_;
    std::atomic<bool> stopped_{false};
    std::atomic<std::uint64_t> list_failures_{0};
    std::atomic<std::uint64_t> load_polls_{0};
};

} // namespace limpetlock::server
