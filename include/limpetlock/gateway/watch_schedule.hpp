/// \file
/// How long a watch of the store may stay without an answer, and when it is known to be silent.
#pragma once

#include <limpetlock/gateway/model.hpp>
#include <limpetlock/support/time.hpp>

#include <optional>

namespace limpetlock::gateway {

/// A connection can go silent without a reset, and a waiting watch looks the same then. Two signs tell them
/// apart: a watch has a time limit, and a read of a key on another connection names the store's revision.
class watch_schedule {
public:
    /// `contact_time` is the time after a disturbance within which changes have to arrive as usual. A watch
    /// that went silent is given up, and another one waits, within it.
    explicit watch_schedule(duration contact_time) : contact_time_(contact_time) {}

    /// Time for which the store waits for a change before it answers.
    duration wait() const { return contact_time_ * 2 / 5; }

    /// A watch without the header of an answer within this time has failed.
    duration timeout() const { return contact_time_ * 3 / 4; }

    /// A watch without the whole answer within this time after its header has failed.
    duration body_timeout() const { return contact_time_ / 2; }

    /// Records a read that named the store's revision, while this instance had every change up to `known`.
    void record_read(state_revision known, state_revision of_store, time_point now);

    /// Whether no change has arrived since a read named a newer revision.
    bool misses_changes(state_revision known) const { return missing_ && missing_->known == known; }

    /// Whether that has lasted although the watch of this instance or of another one had the time to deliver
    /// the changes. A watch doesn't go on in another era.
    bool is_behind(state_revision known, bool watches, time_point now) const;

    /// Whether the read named another era than the one of the changes that have arrived.
    bool is_in_another_era() const { return missing_ && missing_->other_era; }

    /// Forgets the read, because the missing changes have been asked for.
    void restart() { missing_.reset(); }

    /// Time in which a watch delivers a change, with the pause between two watches.
    static constexpr duration watch_delivery_time{400};
    /// Time in which a change reaches all instances, if one of them has it from its watch.
    static constexpr duration peer_delivery_time{1'000};

private:
    /// Changes that the store has and this instance lacks.
    struct missing_changes {
        state_revision known;
        time_point since;
        bool other_era{false};
    };

    duration contact_time_;
    std::optional<missing_changes> missing_;
};

} // namespace limpetlock::gateway
