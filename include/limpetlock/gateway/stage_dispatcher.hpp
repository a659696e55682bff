/// \file
/// Decides which pieces go to which endpoint of one stage pool, and when.
#pragma once

#include <limpetlock/gateway/piece_queue.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// How a call with a batch ended.
enum class call_outcome : std::uint8_t {
    answered,
    full,        ///< the endpoint had no place for the call
    unreachable, ///< provably not sent
    broken,      ///< sent and not answered
    replaced     ///< another endpoint has the address
};

struct stage_dispatch {
    std::uint64_t call_id{0};
    endpoint to;
    std::vector<queued_piece> pieces;
    time_point timeout_at{}; ///< the endpoint counts as hung after this
};

/// What runs and waits in a pool at one moment.
class backlog_profile {
public:
    /// Time that the pool needs for what runs and for the pieces that go before the given rank.
    duration time_before(time_point rank) const;

    /// Time of a call with the usual number of pieces.
    duration typical_call_time() const;

private:
    friend class stage_dispatcher;

    std::vector<time_point> ranks_; ///< of the waiting pieces, in order
    double effective_endpoints_{0}; ///< usable endpoints, slow ones counting for less
    double running_ms_{0};
    double typical_pieces_{1}; ///< pieces of a usual call
    double call_ms_{0};
    double piece_ms_{0};

    duration time_for(std::size_t pieces) const;
};

class stage_dispatcher {
public:
    void configure(const stage_capacity& capacity, std::vector<endpoint> endpoints);

    void submit(const std::shared_ptr<const stage_task>& task, time_point now);
    void cancel(std::string_view request_id, std::uint32_t stage) { queue_.cancel(request_id, stage); }

    /// The next call to make now; nullopt when nothing waits or no endpoint is free. Orders that `held` names
    /// are left waiting.
    std::optional<stage_dispatch> next_call(time_point now, const task_filter& deferred = {});

    /// Records the end of a call. What becomes of its pieces is up to the caller.
    void finish_call(std::uint64_t call, call_outcome how, time_point now);

    /// Results of this size are no longer kept at the endpoint.
    void release_result_bytes(std::string_view endpoint_id, std::uint64_t bytes);

    /// The endpoint had no room for the result of a piece. The piece waits again, and the endpoint gets no
    /// call until results may have left it.
    void requeue_for_lack_of_storage(std::string_view endpoint_id, queued_piece it, time_point now);

    /// Queues a piece again after it failed; false when it was tried too often.
    bool retry(queued_piece it, time_point now);

    std::vector<queued_piece> expire(time_point now) { return queue_.expire(options_, now); }

    backlog_profile profile(time_point now) const;
    const batch_options& options() const { return options_; }

    /// Time that the pool needs for what runs and goes before a new order: orders that `held` names and late
    /// ones don't.
    duration backlog_ahead(time_point now, const task_filter& deferred) const;

    /// Expected time of a call with this many pieces.
    duration call_time(std::size_t pieces) const { return options_.call_time(pieces); }

    bool has_endpoints() const { return !endpoints_.empty(); }
    std::size_t waiting() const { return queue_.size(); }

    static constexpr std::uint32_t max_attempts = 4;

private:
    struct endpoint_state {
        endpoint listed;
        bool busy{false};
        time_point busy_until{};
        time_point avoid_until{};
        std::uint32_t failures{0};
        std::uint64_t stored_bytes{0}; ///< results that wait to be fetched, or are being made
        double slowness{1};            ///< measured time of calls in relation to the expected time
    };
    struct running_call {
        std::string endpoint_id;
        time_point started{};
        std::size_t pieces{0};
        std::uint64_t bytes{0};
    };

    endpoint_state* pick_endpoint(time_point now, const std::vector<std::string>& excluded);
    domain_free_times free_times(time_point now) const;
    bool usable(const endpoint_state& it, time_point now) const;
    void penalize(endpoint_state& it, duration base, time_point now);
    std::uint64_t free_result_bytes(const endpoint_state& it) const;
    void record_batch_size(std::size_t pieces);
    backlog_profile capacity_profile(time_point now) const;

    stage_capacity capacity_;
    batch_options options_;
    piece_queue queue_;
    std::map<std::string, endpoint_state, std::less<>> endpoints_;
    std::map<std::uint64_t, running_call> calls_;
    std::uint64_t last_call_{0};
    double typical_pieces_{0}; ///< pieces of a call while more wait than fit
};

} // namespace limpetlock::gateway
