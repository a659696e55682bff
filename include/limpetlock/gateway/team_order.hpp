/// \file
/// Order of the tasks of several teams in the queue of a stage pool that is short of capacity.
#pragma once

#include <limpetlock/admission/team_shares.hpp>
#include <limpetlock/support/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::gateway {

/// All that the place of a task in the queue depends on.
struct order_item {
    time_point key{}; ///< order of the tasks of one team; see order_key
    std::size_t pieces{0};
    int priority{0};
    bool late{false};
    std::string team;

    friend bool operator==(const order_item&, const order_item&) = default;
};

/// The place of a task in the queue.
struct order_place {
    std::size_t item{0};   ///< index of the task
    time_point key{};      ///< in ascending order
    std::uint64_t turn{0}; ///< number of full batches that the team is ahead when the task begins

    friend bool operator==(const order_place&, const order_place&) = default;
};

/// Costs of the pieces of a pool, in milliseconds.
struct team_order_options {
    double piece_cost{1}; ///< of one piece, with its part of the fixed time of a full call
    double turn_cost{1};  ///< that a team uses in one turn: the time of a full call
    double max_lead{0};   ///< see team_shares::charge

    friend bool operator==(const team_order_options&, const team_order_options&) = default;
};

/// Shares of the teams in one pool, for each priority.
class rank_shares {
public:
    /// Updates the shares by the tasks that wait now.
    void set_waiting(const std::vector<order_item>& items);

    void charge(int priority, const std::string& team, std::size_t pieces, const team_order_options& options);
    double lead(int priority, const std::string& team) const { return of(priority).lead(team); }

    /// Number of pairs of a priority and a team that is ahead.
    std::size_t size() const;

private:
    static constexpr std::size_t ranks = 10;
    static std::size_t rank_of(int priority);
    const admission::team_shares& of(int priority) const { return shares_[rank_of(priority)]; }

    std::array<admission::team_shares, ranks> shares_;
};

/// Whether more than one batch waits and one team has more pieces among them than all other teams together.
/// Otherwise the order of the keys serves every team: to interleave teams of different size only makes the
/// urgent tasks of the larger ones late.
bool is_contested(const std::vector<order_item>& items, std::size_t max_pieces);

/// Returns the places of the tasks. Among the tasks of one priority, a team that has used one or more full
/// batches more than another waiting team yields to it. The tasks of a team, and of teams in the same turn,
/// are ordered by their keys. Between priorities the keys decide as well: a task that yields gets the key of
/// the one to which it yields. Tasks that are late already stay behind the others. With one team in each
/// priority the order is that of the keys.
std::vector<order_place> team_order(const std::vector<order_item>& items, const rank_shares& shares,
                                    const team_order_options& options);

/// Finds the place that a further task would have among the tasks of a pool, without sorting them again.
class queue_positions {
public:
    queue_positions(const std::vector<order_item>& items, const rank_shares& shares,
                    const team_order_options& options);

    /// Pieces that go before a new task.
    std::size_t pieces_before(const order_item& it) const;

    /// Pieces that wait although they are late, and on whose account a new task must not start: those of its
    /// own team, and those of other teams whose turn comes before. Only tasks of its own priority and of more
    /// urgent ones count.
    std::size_t late_pieces_for(const order_item& it) const;

    /// Keys of all pieces at their places, in ascending order.
    const std::vector<time_point>& keys() const { return keys_; }

    /// The same for the pieces of the first turn of each team: they go before any new task with a greater
    /// key.
    const std::vector<time_point>& first_turn_keys() const { return first_turn_keys_; }

private:
    /// The tasks that compete by turns: all of one priority, either late or not.
    using level = std::pair<bool, int>;

    struct level_place {
        std::uint64_t turn{0};
        time_point own_key{};
        time_point key{}; ///< at its place
        std::size_t pieces{0};
        std::string team;
    };

    /// A task of a team and the team's lead after it.
    struct team_step {
        time_point key{};
        double lead{0};
    };

    std::uint64_t turn_of(const order_item& it) const;

    rank_shares shares_;
    team_order_options options_;
    std::vector<time_point> keys_;
    std::vector<time_point> first_turn_keys_;
    std::map<level, std::vector<level_place>> levels_;
    std::map<std::pair<int, std::string>, std::vector<team_step>> teams_;
};

} // namespace limpetlock::gateway
