/// \file
/// Applies the admission library to requests. Each pool that is the bottleneck of a pipeline or service call
/// has a queue, and a gate admits requests only while the endpoints of all their pools have free capacity.
#pragma once

#include "endpoint_table.hpp"
#include "notification.hpp"
#include "pool_usage.hpp"
#include "request_error.hpp"

#include <limpetlock/admission/gate.hpp>
#include <limpetlock/admission/queue.hpp>
#include <limpetlock/admission/stage_time_estimator.hpp>
#include <limpetlock/config/document.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::server {

class admission_controller;

/// Expected cost and stages of the requests of one pipeline or service call. Immutable, made from the
/// configuration.
struct request_profile {
    std::string name;       ///< pipeline, or service and call joined by '/'
    std::string bottleneck; ///< pool with the largest share of the cost
    admission::pool_shares pool_shares;
    admission::stage_list stages;
};

/// An admitted request. The destructor releases its capacity and charges the added cost to its team and rank.
class admission_permit {
public:
    admission_permit(admission_controller& owner, admission::ticket ticket,
                     std::shared_ptr<const request_profile> profile)
        : owner_(&owner), ticket_(std::move(ticket)), profile_(std::move(profile))
    {
    }
    admission_permit(admission_permit&& other) noexcept
        : owner_(std::exchange(other.owner_, nullptr)), ticket_(std::move(other.ticket_)),
          profile_(std::move(other.profile_)), actual_cost_ms_(other.actual_cost_ms_)
    {
    }
    admission_permit& operator=(admission_permit&& other) noexcept
    {
        std::swap(owner_, other.owner_);
        std::swap(ticket_, other.ticket_);
        std::swap(profile_, other.profile_);
        std::swap(actual_cost_ms_, other.actual_cost_ms_);
        return *this;
    }
    admission_permit(const admission_permit&) = delete;
    admission_permit& operator=(const admission_permit&) = delete;
    ~admission_permit();

    /// Priority at the engines; 0 is the highest. Requests that were admitted by the minimum share of their
    /// rank get the highest priority. With a lower one, a busy engine would run urgent requests first, and
    /// the rank would lose its share there.
    int engine_priority() const { return ticket_.by_min_share ? 0 : static_cast<int>(ticket_.priority); }

    /// Adds time that the request took at endpoints.
    void add_cost_ms(double milliseconds) { actual_cost_ms_ += milliseconds; }

private:
    admission_controller* owner_;
    admission::ticket ticket_;
    std::shared_ptr<const request_profile> profile_;
    double actual_cost_ms_{0};
};

/// State of one queue, for the admin interface and the metrics.
struct queue_row {
    std::string pool;
    std::size_t waiting{0};
    std::array<std::size_t, admission::rank_count> waiting_by_rank{};
    std::array<double, admission::rank_count> served_ms{}; ///< total cost of the admitted requests, by rank
    double capacity{0};                                    ///< slots of the pool; may be fractional
    double occupied{0};                                    ///< slots in use; may be fractional
};

/// Admits requests to the pools of this instance. Thread-safe.
class admission_controller {
public:
    /// The table must outlive the controller.
    admission_controller(const boost::asio::any_io_executor& executor, endpoint_table& table);

    /// Starts the periodic check of deadlines and capacities.
    void start();

    /// Ends the periodic check at its next tick.
    void stop() { stopped_ = true; }

    /// Applies the shares, weights, limits, pipelines and services of a configuration. Requests that already
    /// wait keep their profiles.
    void configure(const config::document& document);

    /// Returns the profile of a pipeline, or of a service and call joined by '/', or nullptr if the
    /// configuration doesn't have it.
    std::shared_ptr<const request_profile> profile(const std::string& name) const;

    /// Waits until the request is admitted. Otherwise returns nullopt and sets `error`; no part of the
    /// request has run then.
    boost::asio::awaitable<std::optional<admission_permit>>
    admit(std::shared_ptr<const request_profile> profile, std::string team, admission::rank priority,
          time_point deadline, request_error& error);

    /// Records the measured time of a stage.
    void record_stage_time(admission::stage_id stage, double took_ms);

    /// Records whether an endpoint of the pool answered a call. While a pool is failing, most requests are
    /// held in the queue (see admission::gate::can_admit()).
    void record_call(const std::string& pool, bool answered);

    /// Returns the expected time of a stage.
    double expected_ms(admission::stage_id stage) const;

    /// Returns the cost that was served here since the last call, for the peers.
    std::vector<pool_usage> extract_usage();

    /// Adds cost that peers have served. Usage of pools without a queue here is dropped.
    void add_peer_usage(const std::vector<pool_usage>& served);

    /// Returns the state of each queue.
    std::vector<queue_row> rows() const;

private:
    friend class admission_permit;

    struct waiter {
        std::shared_ptr<const request_profile> profile;
        std::shared_ptr<notification> wakeup;
        std::optional<admission::ticket> ticket;
        bool expired{false}; // dropped by the queue
    };

    /// Withdraws a waiting request at the end of the scope. A ticket that no permit has taken over is
    /// released.
    class withdrawal_guard;

    boost::asio::awaitable<void> tick_loop();
    void tick();
    void refresh_capacities(time_point now);
    void release(const admission::ticket& ticket, const request_profile& profile, double actual_cost_ms);
    void withdraw(std::uint64_t id, const std::string& team, admission::rank priority);
    admission::queue& find_or_create_queue(const std::string& pool);
    void admit_waiting_locked(time_point now);
    void admit_from_queue_locked(admission::queue& queue, time_point now);
    void expire_locked(const std::string& pool, admission::queue& queue, time_point now);

    boost::asio::any_io_executor executor_;
    endpoint_table& table_;
    mutable std::mutex mutex_;
    admission::stage_time_estimator estimator_;
    admission::gate gate_;
    admission::queue_options options_;
    std::map<std::string, std::unique_ptr<admission::queue>> queues_;
    std::map<std::string, std::shared_ptr<const request_profile>> profiles_;
    std::map<std::uint64_t, waiter> waiting_;
    std::uint64_t last_id_{0};
    time_point capacities_due_{}; ///< next refresh of the capacities; used only by tick()
    std::atomic<bool> stopped_{false};
};

} // namespace limpetlock::server
