/// \file
/// Queue of the pieces of one stage pool. It decides the order of the pieces and forms batches for stage
/// calls.
#pragma once

#include <limpetlock/gateway/chain_admission.hpp>
#include <limpetlock/gateway/model.hpp>
#include <limpetlock/gateway/team_order.hpp>
#include <limpetlock/support/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// The pieces that one request needs of one stage.
struct stage_task {
    std::string request_id;
    std::uint32_t stage{0};
    std::uint32_t run{0}; ///< distinguishes the runs of the stages for the same request
    std::vector<std::uint32_t> pieces;
    std::string key;                  ///< only for a stage without dependencies
    std::vector<result_group> inputs; ///< results of the stages that this one depends on
    time_point deadline{};            ///< last time at which the results are of use
    time_point objective_time{};      ///< results by this time let the request meet its latency objective
    std::string domain;            ///< failure domain of the endpoint that is expected to fetch the results
    std::uint64_t result_bytes{0}; ///< size of the result of one piece, in bytes
    /// Bytes of the inputs and results of all pieces that endpoints fetch. Transfers between failure domains
    /// are expensive.
    std::uint64_t transfer_bytes{0};
    std::vector<std::string> next_pools; ///< pools of the stages that depend on this one, also indirectly
    int priority{0};                     ///< 0 is the most urgent
    double tokens_per_piece{0};          ///< tokens of the request divided by its pieces; 0 if unknown
    /// This stage and those that depend on it, also indirectly; empty if unknown.
    std::vector<chain_stage> chain;
    bool admitted{false}; ///< an instance has admitted the stages of the request already
    std::string team;     ///< whose request it is; empty if unknown
};

/// The task of a later stage of the chain, as far as it is known now: all that its order key depends on.
stage_task later_task(const stage_task& it, const chain_stage& later);

/// A piece that waits in the queue or is part of a stage call.
struct queued_piece {
    std::shared_ptr<const stage_task> task;
    std::size_t index{0};             ///< into task->pieces
    std::uint32_t failed_attempts{0}; ///< failed stage calls with this piece
    time_point queued_at{};           ///< time of the first submission
};

/// Rules for the order of the pieces and for the batches of one stage pool.
struct batch_options {
    std::size_t max_pieces{1}; ///< of one batch
    bool team_turns{true};     ///< teams take turns while one of them floods the pool
    double call_ms{0};         ///< fixed time of a call, in milliseconds
    double piece_ms{0};        ///< time of each piece of a call, in milliseconds
    /// Pieces wait for an endpoint in their own failure domain, because transfers between domains are
    /// expensive: up to this many milliseconds for each megabyte of transfers, and no longer than
    /// max_locality_wait.
    double locality_wait_ms_per_mb{250};
    duration max_locality_wait{600};
    /// Pieces that can still meet their objective wait no longer than this share of their slack, which is the
    /// time from their submission to the latest start of their call.
    double locality_slack_share{0.4};
    /// Added to the order key for each step of priority: a task goes before one of the next lower priority
    /// unless the objective time of that one is earlier by more than this.
    duration order_key_offset_per_priority{800};
    /// Added to the order key each time tokens_per_piece halves: a task goes before one with half its tokens
    /// per piece unless the objective time of that one is earlier by more than this. When a pool is
    /// overloaded, the same number of calls then completes requests with more tokens.
    duration order_key_offset_per_halving{2'000};
    /// While more pieces than this wait, a call also takes pieces that wait for an endpoint of their own
    /// failure domain.
    std::size_t overload_threshold{SIZE_MAX};
    /// While more pieces than this could be dispatched, the last places of a call take a part of a task that
    /// doesn't fit, and tasks with pieces in earlier calls go first. Not before, because a task ends with its
    /// last call.
    std::size_t fill_threshold{SIZE_MAX};
    /// Every n-th batch begins with the pieces that have waited longest, so that none waits for ever.
    std::uint32_t oldest_first_interval{4};
    /// A team that has used this much more than another one owes no more, in milliseconds of calls.
    double max_team_lead_ms{0};

    /// Expected time of a call with this many pieces.
    duration call_time(std::size_t pieces) const
    {
        return duration(static_cast<std::int64_t>(call_ms + piece_ms * static_cast<double>(pieces)));
    }
};

/// For each failure domain the times until each of its endpoints is free, in ascending order.
using domain_free_times = std::map<std::string, std::vector<duration>, std::less<>>;

/// Returns whether a task has to wait although an endpoint is free.
using task_filter = std::function<bool(const stage_task&)>;

/// Sort key of a task in the queue; smaller keys go first. Tasks that can still meet their objective come
/// first, ordered by objective time plus the offsets for priority and tokens per piece. Tasks that are late
/// already follow.
time_point order_key(const stage_task& it, const batch_options& options, time_point now);

/// Why a waiting piece isn't part of a batch that has places left.
enum class pass_over_reason : std::uint8_t {
    size,     ///< its task has more pieces than places are left
    storage,  ///< the results of its task don't fit into the storage of the endpoint
    locality, ///< it waits for an endpoint in its own failure domain
    deferred, ///< a later stage of its request is congested
    deadline  ///< it can't be done before its deadline
};

inline constexpr std::size_t pass_over_reason_count = 5;

std::string_view to_string(pass_over_reason it);

/// Places of a batch that stayed empty, and the waiting pieces that were passed over.
struct batch_vacancy {
    std::size_t places{0};                                    ///< that stayed empty
    std::array<std::size_t, pass_over_reason_count> pieces{}; ///< that were passed over for each reason

    std::size_t passed_over(pass_over_reason reason) const
    {
        return pieces[static_cast<std::size_t>(reason)];
    }

    /// Whether another endpoint might get pieces that were passed over.
    bool depends_on_endpoint() const
    {
        return passed_over(pass_over_reason::size) + passed_over(pass_over_reason::storage) +
                   passed_over(pass_over_reason::locality) >
               0;
    }

    /// Empty places for each reason: each one counts for the first reason for which a piece is left that was
    /// passed over. The last element is the number of places for which no piece waited.
    std::array<std::size_t, pass_over_reason_count + 1> places_by_reason() const;

    friend bool operator==(const batch_vacancy&, const batch_vacancy&) = default;
};

/// The pieces of one stage call.
struct piece_batch {
    std::vector<queued_piece> pieces;
    batch_vacancy vacancy;
};

/// The task as far as its place in the queue depends on it, with this number of pieces.
order_item make_order_item(const stage_task& it, std::size_t pieces, const batch_options& options,
                           time_point now);

team_order_options to_team_order_options(const batch_options& options);

/// The pieces that wait for an endpoint of one stage pool.
class piece_queue {
public:
    void push(queued_piece it);

    /// Removes and returns the pieces of the next batch for an endpoint in `domain`. Pieces of another domain
    /// stay in the queue if `free` shows that an endpoint of their domain will be free within their locality
    /// wait. Pieces whose deadline can't be met stay, as do those whose results don't fit into `free_bytes`
    /// and those of tasks for which `deferred` returns true and of which no piece was dispatched.
    piece_batch pop_batch(const batch_options& options, std::string_view domain,
                          const domain_free_times& free, std::uint64_t free_bytes,
                          const task_filter& deferred, time_point now);

    /// Removes and returns the pieces that can't be done before their deadline.
    std::vector<queued_piece> expire(const batch_options& options, time_point now);

    /// Removes the pieces of a task.
    void cancel(std::string_view request_id, std::uint32_t stage, std::uint32_t run);

    /// Number of pieces whose objective time is not before `objective` and whose task isn't deferred.
    std::size_t count_with_objective_from(time_point objective, const task_filter& deferred) const;

    /// The waiting tasks without the deferred ones.
    std::vector<order_item> items(const batch_options& options, const task_filter& deferred,
                                  time_point now) const;

    /// What the teams have used.
    const rank_shares& shares() const { return shares_; }

    bool empty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }

    struct waiting_task;

private:
    void sort(std::vector<waiting_task>& tasks, const batch_options& options);

    std::list<queued_piece> waiting_;
    std::uint32_t batches_{0}; ///< batches formed so far
    rank_shares shares_;
};

} // namespace limpetlock::gateway
