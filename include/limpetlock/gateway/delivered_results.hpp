/// \file
/// Results of stage tasks that were sent to the instance that asked for them.
#pragma once

#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

/// Identifies a stage task among all instances.
struct stage_task_id {
    std::string request_id;
    std::uint32_t stage{0};
    std::uint32_t run{0};

    friend auto operator<=>(const stage_task_id&,
                            const stage_task_id&) = default; // NOLINT(modernize-use-nullptr)
};

/// Keeps results for a while after their reply was sent. If the reply is lost with its connection, the
/// repeated order gets them; otherwise the pieces would run a second time, after their inputs were released.
class delivered_results {
public:
    void record(stage_task_id id, std::vector<piece_result> results, time_point now);

    /// Returns the results, or nullopt if there are none that are young enough.
    std::optional<std::vector<piece_result>> find(const stage_task_id& id, time_point now) const;

    /// Removes and returns the results; empty if there are none.
    std::vector<piece_result> remove(const stage_task_id& id);

    void remove_expired(time_point now);

    std::size_t size() const { return results_.size(); }

    /// Longer than a caller takes to notice a lost reply and to ask again, and shorter than endpoints keep
    /// results.
    static constexpr duration retention{2'500};

private:
    struct entry {
        std::vector<piece_result> results;
        time_point recorded{};
    };

    std::map<stage_task_id, entry> results_;
    std::deque<std::pair<time_point, stage_task_id>> order_; ///< by the time of the record
};

} // namespace limpetlock::gateway
