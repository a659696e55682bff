/// \file
/// Pieces of stages that wait for an endpoint of their pool, and the batches that are formed of them.
#pragma once

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/support/time.hpp>

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
    std::vector<std::uint32_t> pieces;
    std::string key;
    std::vector<result_group> inputs;
    time_point deadline{};         ///< after this the results are of no use
    time_point objective_time{};   ///< results by this time let the request meet its objective
    std::string domain;            ///< where the results will be fetched
    std::uint64_t result_bytes{0}; ///< of one piece
    /// Bytes that endpoints fetch for these pieces, and from them. They are dear across failure domains.
    std::uint64_t transfer_bytes{0};
    std::vector<std::string> next_pools; ///< of the stages that follow
    int priority{0};
    double tokens_per_piece{0}; ///< tokens of the request for each of its pieces; 0 when unknown
};

/// A piece in the queue or in a call.
struct queued_piece {
    std::shared_ptr<const stage_task> task;
    std::size_t index{0}; ///< into task->pieces
    std::uint32_t failed_attempts{0};
    time_point queued_at{};
};

struct batch_options {
    std::size_t max_pieces{1};
    double call_ms{0};
    double piece_ms{0};
    /// Pieces wait for an endpoint in their own domain, because results that cross domains are dear: up to
    /// this long for each megabyte of transfers, and in all.
    double locality_wait_ms_per_mb{250};
    duration max_locality_wait{600};
    /// While they can be in time, they wait for this part of their slack at most.
    double locality_slack_share{0.4};
    /// An order goes before another one of the next lower priority unless that one is wanted earlier by more.
    duration rank_offset_per_priority{800};
    /// An order goes before another one that is worth half as much a piece unless that one is wanted earlier
    /// by more. When a pool is short, the same calls then serve more of what callers wait for.
    duration rank_offset_per_halving{2'000};
    /// While more pieces than this wait, a call also takes pieces that wait for an endpoint of their own
    /// domain.
    std::size_t overload_threshold{SIZE_MAX};
    /// Every n-th batch begins with the pieces that wait longest, so that nothing is passed over for ever.
    std::uint32_t oldest_first_interval{4};

    /// Expected time of a call with this many pieces.
    duration call_time(std::size_t pieces) const
    {
        return duration(static_cast<std::int64_t>(call_ms + piece_ms * static_cast<double>(pieces)));
    }
};

/// For each failure domain the times until its endpoints are free, the soonest first.
using domain_free_times = std::map<std::string, std::vector<duration>, std::less<>>;

/// Whether an order should wait although an endpoint is free.
using task_filter = std::function<bool(const stage_task&)>;

/// Place of an order in a queue; smaller ones go first. Orders that can still be in time go first, by the
/// time at which they are wanted, with a lead for more urgent and more valuable ones; then those that are
/// late already.
time_point queue_rank(const stage_task& it, const batch_options& options, time_point now);

class piece_queue {
public:
    void push(queued_piece it);

    /// Takes the pieces of the next batch for an endpoint in `domain`. Pieces of another domain are left to
    /// its endpoints when those will be free within their patience. Pieces whose deadline can't be met are
    /// not taken, nor are those whose results don't fit into `room` bytes.
    std::vector<queued_piece> pop_batch(const batch_options& options, std::string_view domain,
                                        const domain_free_times& free, std::uint64_t free_bytes,
                                        const task_filter& deferred, time_point now);

    /// Drops the pieces that can't be done before their deadline and returns them.
    std::vector<queued_piece> expire(const batch_options& options, time_point now);

    /// Drops the pieces of an order.
    void cancel(std::string_view request_id, std::uint32_t stage);

    /// Pieces that are wanted at that time or later and are not held.
    std::size_t count_with_objective_from(time_point wanted, const task_filter& deferred) const;

    /// Ranks of all pieces, the first one in front.
    std::vector<time_point> ranks(const batch_options& options, time_point now) const;

    bool empty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }

private:
    std::list<queued_piece> waiting_;
    std::uint32_t batches_{0};
};

} // namespace limpetlock::gateway
