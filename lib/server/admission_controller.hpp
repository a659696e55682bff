/// \file
/// Puts the admission library in front of the stages: one queue for each pool that is the bottleneck of some
/// work, and a gate that releases work only while the endpoints of its pools have room.
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

/// Work of one kind: a pipeline or a service call. Immutable, made from the configuration.
struct work_profile {
    std::string name;
    std::string bottleneck; ///< pool with the largest share of the cost
    admission::pool_shares pool_shares;
    admission::stage_list stages;
};

/// Released work. Its end gives the room back.
class admission_permit {
public:
    admission_permit(admission_controller& owner, admission::ticket ticket,
                     std::shared_ptr<const work_profile> profile)
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

    /// Priority at the engines, 0 the highest. Work that was released by the minimum share of its rank gets
    /// the highest one: behind the urgent work at a busy engine it would lose the share that it was released
    /// for.
    int engine_priority() const { return ticket_.by_min_share ? 0 : static_cast<int>(ticket_.priority); }

    /// Adds endpoint time that the work took.
    void add_cost_ms(double milliseconds) { actual_cost_ms_ += milliseconds; }

private:
    admission_controller* owner_;
    admission::ticket ticket_;
    std::shared_ptr<const work_profile> profile_;
    double actual_cost_ms_{0};
};

struct queue_row {
    std::string pool;
    std::size_t waiting{0};
    std::array<std::size_t, admission::rank_count> waiting_by_rank{};
    std::array<double, admission::rank_count> served_ms{};
    double capacity{0};
    double occupied{0};
};

class admission_controller {
public:
    admission_controller(const boost::asio::any_io_executor& executor, endpoint_table& table);

    void start();
    void stop() { stopped_ = true; }
    void configure(const config::document& document);

    /// The profile of a pipeline, or of a service and call joined by '/'; nullptr when the configuration has
    /// none.
    std::shared_ptr<const work_profile> profile(const std::string& name) const;

    /// Waits until the work may start. nullopt leaves the refusal in `error`; nothing has run then.
    boost::asio::awaitable<std::optional<admission_permit>> admit(std::shared_ptr<const work_profile> profile,
                                                                  std::string team, admission::rank priority,
                                                                  time_point deadline, request_error& error);

    void record_stage_time(admission::stage_id stage, double took_ms);

    /// Whether an endpoint of the pool answered a call; holds back queued work while a pool is out.
    void record_call(const std::string& pool, bool answered);

    double expected_ms(admission::stage_id stage) const;

    std::vector<pool_usage> extract_usage();
    void add_peer_usage(const std::vector<pool_usage>& served);

    std::vector<queue_row> rows() const;

private:
    friend class admission_permit;

    struct waiter {
        std::shared_ptr<const work_profile> profile;
        std::shared_ptr<notification> wakeup;
        std::optional<admission::ticket> ticket;
        bool expired{false};
    };

    /// Takes a waiting request out again when its coroutine ends without a permit.
    class withdrawal_guard;

    boost::asio::awaitable<void> tick_loop();
    void tick();
    void refresh_capacities(time_point now);
    void release(const admission::ticket& ticket, const work_profile& profile, double actual_cost_ms);
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
    std::map<std::string, std::shared_ptr<const work_profile>> profiles_;
    std::map<std::uint64_t, waiter> waiting_;
    std::uint64_t last_id_{0};
    time_point capacities_due_{}; ///< used by the tick only
    std::atomic<bool> stopped_{false};
};

} // namespace limpetlock::server
