/// \file
/// Maintains the view of endpoints and instances: watches the platform's instance list, records evidence from
/// calls and peers, polls the load of endpoints, and publishes snapshots for the request path.
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

/// Owns the membership::view of this instance. Safe for use from any thread.
class membership_controller : public endpoint_observer {
public:
    /// Callbacks for changes of the view. They are called on the controller's strand.
    /// on_endpoint_leaving: an endpoint answered this instance that it is leaving, and the peers need the
    /// evidence. on_timer_gap: this process was paused.
    struct callbacks {
        std::function<void(const std::shared_ptr<const membership::snapshot>&)> on_members_changed;
        std::function<void(const membership::leaving_evidence&)> on_endpoint_leaving;
        std::function<void()> on_timer_gap;
    };

    membership_controller(const boost::asio::any_io_executor& executor, const instance_settings& settings,
                          http::client& client, endpoint_table& table,
                          snapshot_cell<membership::snapshot>& members);

    /// Starts the watch of the list, the timer and the load polls.
    void start(callbacks calls);
    void stop() { stopped_ = true; }

    void configure(const config::limit_settings& limits);

    void record_success(std::uint64_t id, time_point started) override;
    void record_failure(std::uint64_t id, membership::call_failure failure, time_point started) override;
    void record_leaving(std::uint64_t id) override;

    /// Records a peer's report that an endpoint is leaving.
    void record_peer_evidence(const membership::leaving_evidence& evidence);
    /// Records the arrival of a frame. Returns false if a higher incarnation of the sender is known.
    bool record_contact(const std::string& name, std::int64_t incarnation);

    /// A listed endpoint that gets no calls.
    struct unroutable_endpoint {
        std::string pool;
        std::string name;
        membership::endpoint_state state{};
    };

    /// Returns the listed endpoints that are leaving or ejected.
    std::vector<unroutable_endpoint> unroutable() const;

    /// Returns the text of the list in force as the platform sent it; empty before the first one.
    std::string list_text() const;

    /// Applies a list that a peer sent, if there is none in force yet.
    void adopt_list(const std::string& text, const std::string& peer);

    /// Returns the leaving evidence of the last 30 s, to repeat it to peers that missed the first message.
    std::vector<membership::leaving_evidence> recent_evidence() const;

    membership::view::counters counts() const;
    std::int64_t list_version() const;
    /// Failed reads of the list.
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
