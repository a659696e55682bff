/// \file
/// Assigns the pieces of one stage pool to its endpoints.
#pragma once

#include <limpetlock/gateway/piece_queue.hpp>
#include <limpetlock/support/suspension_detector.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// Outcome of a stage call, as far as it concerns the endpoint.
enum class call_outcome : std::uint8_t {
    answered,
    overloaded,  ///< the endpoint refused the call for lack of capacity
    unreachable, ///< no byte was sent
    broken,      ///< sent, but no valid answer came
    replaced     ///< another endpoint now has the address
};

/// Why an endpoint gets no calls although it is listed and not busy.
enum class avoidance : std::uint8_t {
    none,
    slow,        ///< a faster endpoint is expected to finish sooner
    unreachable, ///< as the call_outcome
    broken,
    overloaded,
    replaced,
    no_storage, ///< it had no memory for a result
    held_back   ///< see hold_back
};

std::string_view to_string(avoidance it);

/// An endpoint that gets no calls, or only some, at one moment.
struct avoided_endpoint {
    std::string id;
    avoidance reason{avoidance::none};
    duration left{0};   ///< time until it gets calls again; 0 if that depends on the other endpoints
    double slowness{1}; ///< ratio of measured to expected call time
};

/// A stage call that is to be made.
struct stage_dispatch {
    std::uint64_t call_id{0}; ///< for finish_call
    endpoint to;
    std::vector<queued_piece> pieces;
    time_point timeout_at{}; ///< the endpoint is taken as hung if it has not answered by then
    batch_vacancy vacancy;
};

/// A point of an outline of the waiting pieces of a pool.
struct backlog_point {
    time_point order_key{};
    duration before{0}; ///< time that the pool needs for the pieces up to this key

    friend bool operator==(const backlog_point&, const backlog_point&) = default;
};

/// The time that a pool needs, at least, for the pieces that go before one with this order key. `age` is the
/// age of the outline, which is sorted by the key; the pool has worked meanwhile.
duration time_before(const std::vector<backlog_point>& outline, time_point order_key, duration age);

/// Running calls and waiting pieces of a pool at one moment, for estimates of waiting times.
class backlog_profile {
public:
    /// Time that the pool needs for the running calls and for the waiting pieces with a smaller order key.
    duration time_before(time_point order_key) const;

    /// The same for what goes before a new task at its place among all teams.
    duration time_before(const order_item& it) const;

    /// The same for the decision whether a new task has room: while no endpoint is available, it is the time
    /// until the first one is. `slack` is the time until the task is late for its objective. One that would
    /// be late by then has to wait for the late tasks as well, with the part of the capacity that the recent
    /// arrivals leave, since tasks that can meet their objective go first.
    duration least_time_before(const order_item& it, duration slack) const;

    /// Time of a call with the typical number of pieces.
    duration typical_call_time() const;

    /// Time of a call with this many pieces, or of the calls that run one after the other if they don't fit
    /// into one call.
    duration call_time(std::size_t pieces) const;

    /// Counts pieces that will wait as well: those of a later stage of a request.
    void add(order_item it);

    /// A few points of the distribution of the waiting pieces that go before a new task with a greater key
    /// of any team; none if no piece waits.
    std::vector<backlog_point> outline() const;

private:
    friend class stage_dispatcher;

    /// Pieces of the tasks up to one in the order of the keys.
    struct key_step {
        time_point key{};
        std::size_t pieces{0};
    };

    const std::vector<key_step>& steps() const;
    std::size_t pieces_below(time_point key) const;
    std::size_t pieces_up_to(time_point key) const;
    time_point key_of_piece(std::size_t n) const;
    std::size_t late_pieces_for(const order_item& it) const;
    bool is_contested() const;
    const queue_positions& positions() const;

    std::vector<order_item> items_;                      ///< the waiting tasks
    std::size_t pieces_{0};                              ///< of the waiting tasks
    bool team_turns_{true};                              ///< see batch_options::team_turns
    mutable std::optional<std::vector<key_step>> steps_; ///< of items_; nullopt until they are needed
    mutable std::optional<bool> contested_;              ///< of items_; nullopt until it is needed
    rank_shares shares_;
    team_order_options team_options_;
    mutable std::optional<queue_positions> positions_; ///< of items_; nullopt until they are needed
    double inflow_share_{0};        ///< of the capacity, for recent arrivals that can meet their objective
    double effective_endpoints_{0}; ///< endpoints that aren't backed off, each divided by its slowness
    duration until_first_{0};       ///< until an endpoint is available, if all are backed off
    double running_ms_{0};          ///< sum of the remaining times of the running calls
    double typical_pieces_{1};      ///< pieces of a typical call
    double max_pieces_{1};          ///< of one call
    double call_ms_{0};
    double piece_ms_{0};

    duration time_for(std::size_t pieces) const;
};

/// Holds the queue of one stage pool and the state of its endpoints. It makes no calls: the owner asks for
/// the next one and reports its end.
class stage_dispatcher {
public:
    /// Replaces the capacity and the list of endpoints. The state of endpoints that stay is kept unless they
    /// have restarted.
    void configure(const stage_capacity& capacity, std::vector<endpoint> endpoints);

    /// Whether teams take turns while one of them floods the pool. They do unless this is called.
    void set_team_turns(bool enabled) { options_.team_turns = enabled; }

    /// Whether the estimates of the backlog are those by which stages are admitted, and calls are filled with
    /// parts of tasks. They are unless this is called before configure(). Without admission, estimates count
    /// small calls and endpoints that are avoided for a moment as lost capacity, which keeps requests out
    /// that would come late.
    void set_admission(bool enabled) { admission_ = enabled; }

    void submit(const std::shared_ptr<const stage_task>& task, time_point now);
    void cancel(std::string_view request_id, std::uint32_t stage, std::uint32_t run)
    {
        queue_.cancel(request_id, stage, run);
    }

    /// Returns the next call to make now; nullopt if nothing waits or no endpoint is free. Tasks for which
    /// `deferred` returns true stay in the queue.
    std::optional<stage_dispatch> next_call(time_point now, const task_filter& deferred = {});

    /// Records the end of a call. The owner decides whether its pieces are retried.
    void finish_call(std::uint64_t call, call_outcome outcome, time_point now);

    /// Has to be called every 25 ms, since a longer gap shows a suspension of this process. The time that a
    /// call took across a suspension says nothing about its endpoint.
    void tick(time_point now);

    /// Endpoints that get no calls now for another reason than a running call, ordered by id.
    std::vector<avoided_endpoint> avoided_endpoints(time_point now) const;

    /// Makes no calls to the endpoint until then.
    void hold_back(std::string_view endpoint_id, time_point until);

    /// Records that the endpoint no longer stores results of this size.
    void release_result_bytes(std::string_view endpoint_id, std::uint64_t bytes);

    /// Queues a piece again because the endpoint had no memory for its result. The endpoint gets no calls for
    /// a short time, in which some of its results may be fetched.
    void requeue_for_lack_of_storage(std::string_view endpoint_id, queued_piece it, time_point now);

    /// Queues a piece again after it failed. Returns false if it has failed too often or its deadline has
    /// passed.
    bool retry(queued_piece it, time_point now);

    /// Queues the pieces of a call again that was not made, since its endpoint takes no more work.
    void requeue(std::vector<queued_piece> pieces)
    {
        for (auto& it : pieces)
            queue_.push(std::move(it));
    }

    /// Whether the endpoint may get calls, now or later.
    bool has_endpoint(std::string_view id) const { return endpoints_.contains(id); }

    /// Removes and returns the pieces that can't be done before their deadline.
    std::vector<queued_piece> expire(time_point now) { return queue_.expire(options_, now); }

    /// Tasks for which `deferred` returns true aren't counted.
    backlog_profile profile(time_point now, const task_filter& deferred = {}) const;
    const batch_options& options() const { return options_; }

    /// Time that the pool needs for the running calls and for the waiting pieces that a new task has to wait
    /// for: all but those that are late already or whose task is deferred.
    duration backlog_ahead(time_point now, const task_filter& deferred) const;

    /// Expected time of a call with this many pieces.
    duration call_time(std::size_t pieces) const { return options_.call_time(pieces); }

    /// Whether the endpoint has shown lately that it gets calls of another instance, too: it refused a call
    /// for lack of capacity or took much longer than expected.
    bool is_contended(std::string_view endpoint_id, time_point now) const;

    bool has_endpoints() const { return !endpoints_.empty(); }

    /// Whether no piece waits and no call runs.
    bool idle() const { return queue_.empty() && calls_.empty(); }

    /// Number of waiting pieces.
    std::size_t waiting() const { return queue_.size(); }

    /// Most stage calls with the same piece.
    static constexpr std::uint32_t max_attempts = 4;

private:
    struct endpoint_state {
        endpoint listed; ///< its entry in the list of endpoints
        bool busy{false};
        time_point busy_until{};                ///< expected end of its call
        time_point avoid_until{};               ///< end of its back-off, or of a wait for a permit
        avoidance reason{avoidance::none};      ///< for which it is avoided until then
        std::uint32_t failures{0};              ///< failed calls since the last answer
        std::uint64_t stored_bytes{0};          ///< of results that are stored or being produced
        std::optional<time_point> contended_at; ///< see is_contended
        /// Moving average of the ratio of measured to expected call time, when it was measured last. See
        /// slowness_of.
        double slowness{1};
        time_point slowness_at{};
    };
    struct running_call {
        std::string endpoint_id;
        time_point started{};
        std::size_t pieces{0};
        std::uint64_t bytes{0}; ///< of the expected results
    };

    endpoint_state* pick_endpoint(time_point now, const std::vector<std::string>& excluded);
    domain_free_times free_times(time_point now) const;
    bool usable(const endpoint_state& it, time_point now) const;
    void penalize(endpoint_state& it, duration base, avoidance reason, time_point now);
    static void avoid(endpoint_state& it, time_point until, avoidance reason);
    /// The slowness as far as it still counts: an endpoint that is avoided for it gets no calls that could
    /// show that it has become faster, so it returns to 1 with time.
    static double slowness_of(const endpoint_state& it, time_point now);
    void record_call_time(endpoint_state& it, const running_call& ended, time_point now) const;
    std::uint64_t free_result_bytes(const endpoint_state& it) const;
    double inflow_at(time_point now) const;
    void record_batch_size(std::size_t pieces, const batch_vacancy& vacancy);
    backlog_profile capacity_profile(time_point now) const;

    stage_capacity capacity_;
    batch_options options_;
    piece_queue queue_;
    std::map<std::string, endpoint_state, std::less<>> endpoints_;
    std::map<std::uint64_t, running_call> calls_;
    std::uint64_t last_call_{0};
    std::optional<suspension_detector> suspensions_; ///< nullopt before the first tick
    double inflow_ms_{0}; ///< decaying sum of the cost of tasks that arrived in time; see inflow_at
    time_point inflow_since_{};
    bool admission_{true};     ///< see set_admission
    double typical_pieces_{0}; ///< moving average of the pieces of a call while more wait than fit
};

} // namespace limpetlock::gateway
