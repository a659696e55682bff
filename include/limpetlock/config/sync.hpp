/// \file
/// Decides when an instance reads the configuration service, when it pulls a version from a peer, whether it
/// is ready and whether instances diverge. It does no I/O: a controller executes the commands and reports
/// their results.
#pragma once

#include <limpetlock/config/fold.hpp>
#include <limpetlock/config/watchers.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/random/linear_congruential.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::config {

/// Timing of reads, pulls and reports. Durations are in milliseconds.
struct sync_settings {
    /// Instances in each failure domain that watch the service. Two, so that a domain that loses one does not
    /// depend on the fallback reads.
    std::size_t watchers_per_domain{2};
    /// How long the service holds the request of a watch while there is no new entry.
    duration watch_wait{10'000};
    /// Shortest time between the starts of two reads by this instance.
    duration min_read_interval{250};
    /// Time after the end of its wait at which a read without an answer counts as failed.
    duration read_timeout{2000};
    /// First and longest delay after a failed read or pull. A watch that hangs at a dead or stale replica of
    /// the service delays a change by watch_wait + read_timeout + max_back_off, which must stay below the 18
    /// s of promise P7.
    duration initial_back_off{500};
    duration max_back_off{4000};
    /// Longest random delay of the first read after a start or a pause. It spreads the reads of a fleet that
    /// restarts.
    duration max_start_delay{500};
    /// How long a new instance that has peers waits for a first report from one of them before it is ready.
    duration max_peer_wait{2000};
    /// Age at which a peer's report expires.
    duration report_lifetime{5000};
    /// An instance that does not watch reads the service itself if no watcher has reported for this long.
    /// Together with the time of a read it stays below the 18 s of promise P7.
    duration watcher_timeout{10'000};
    /// Mean time between reads by the instances of a failure domain that do not watch, while the
    /// configuration does not change. The reads cover the case that the watchers are alive but cannot reach
    /// the service. The rate is per domain, so that it does not grow with the fleet.
    duration quiet_read_interval{10'000};
    /// Time after which a pull without an answer counts as failed. A peer is not asked again for the same
    /// time after a failed pull.
    duration pull_timeout{2000};
    /// Shortest time between the starts of two pulls.
    duration min_pull_interval{200};
    /// How long an instance with a running watch waits for the watch to answer before it pulls from a peer
    /// that is ahead. The watch transfers only a patch, a pull the whole document.
    duration pull_delay{500};
    /// A call of decide() that is later than the requested time by more than this means that the process was
    /// paused.
    duration pause_threshold{1000};

    friend bool operator==(const sync_settings&, const sync_settings&) = default;
};

/// The number, digest and revision that the fold of this instance has reached.
struct fold_position {
    std::int64_t number{};
    std::string digest;
    std::int64_t revision{};

    friend bool operator==(const fold_position&, const fold_position&) = default;
};

fold_position to_fold_position(const fold& it);

/// A command to read the entries after revision `after` from the service, which holds the request for up to
/// `wait` while there are none.
struct read_command {
    std::int64_t id{};
    std::int64_t after{};
    duration wait{};

    friend bool operator==(const read_command&, const read_command&) = default;
};

/// A command to pull from a peer its version, which has a number above `after_number`.
struct pull_command {
    std::int64_t id{};
    std::string peer;
    std::int64_t after_number{};

    friend bool operator==(const pull_command&, const pull_command&) = default;
};

/// A peer's report of different content under the number in force.
struct divergence {
    std::int64_t number{};
    std::string digest;
    std::string peer;
    std::string peer_digest;

    friend bool operator==(const divergence&, const divergence&) = default;
};

/// The commands for the controller and the state of this instance.
struct decision {
    std::optional<read_command> read;
    std::optional<pull_command> pull;
    /// A divergence that was not returned before. diverged() returns whether one persists.
    std::optional<divergence> new_divergence;
    bool ready{};
    /// Latest time of the next call of decide(), which is also called after every event.
    time_point next_call_time{};

    friend bool operator==(const decision&, const decision&) = default;
};

struct sync_counters {
    std::int64_t reads{};
    std::int64_t read_failures{};
    /// Reads by an instance that does not watch.
    std::int64_t fallback_reads{};
    /// Answers to reads with a lower revision than one that is already known.
    std::int64_t stale_revisions{};
    /// Reports by peers of a lower number than the one in force here.
    std::int64_t stale_numbers{};
    std::int64_t pulls{};
    std::int64_t pull_failures{};
    std::int64_t divergences{};
    std::int64_t pauses{};

    friend bool operator==(const sync_counters&, const sync_counters&) = default;
};

/// Decides on reads and pulls from reported events.
///
/// The controller calls decide() after every event, and no later than the next_call_time of the last
/// decision, and executes the commands that it returns. At most one read and one pull are running. Each runs
/// until its answer or failure is reported or its timeout passes; an answer or failure with the id of an
/// earlier command is ignored.
class synchronizer {
public:
    /// `seed` makes the jitter differ between instances. The incarnation is a suitable value.
    synchronizer(const sync_settings& settings, std::string self, std::uint64_t seed, time_point now);

    /// Sets the entry instances of a new instance list. While the list is empty, this instance watches the
    /// service.
    void set_instances(const std::vector<instance>& it, time_point now);

    /// Sets the position of the fold after it folded an answer or adopted a version from a peer.
    void set_position(const fold_position& it, time_point now);

    /// Records the answer to a read. The caller folds the entries of the answer and calls set_position()
    /// first. \param revision the latest revision that the service has. \param entries the number of entries
    /// in the answer.
    void record_read_answer(std::int64_t id, std::int64_t revision, std::size_t entries, time_point now);
    /// Records that a read failed: it was refused, it timed out, or its body could not be parsed.
    void record_read_failure(std::int64_t id, time_point now);

    /// Records a peer's number and digest from a heartbeat or an acknowledgement.
    void record_peer_report(std::string_view peer, std::int64_t number, std::string_view digest,
                            time_point now);
    /// Records the answer to a pull. The caller first lets the fold try to adopt the version, and calls
    /// set_position(). A version that did not raise the number counts as a failure, so that it is not pulled
    /// repeatedly without a delay.
    void record_pull_answer(std::int64_t id, time_point now);
    void record_pull_failure(std::int64_t id, time_point now);

    /// Returns the commands to execute now, the readiness and the latest time of the next call.
    decision decide(time_point now);

    bool ready() const { return ready_; }
    /// Whether this instance watches the service.
    bool watches() const { return watches_; }
    /// Whether an unexpired report of a peer has different content under the number in force.
    bool diverged(time_point now) const;
    /// The largest number known in the fleet, whether or not it is in force here.
    std::int64_t known_number() const { return known_number_; }
    const sync_counters& counters() const { return counters_; }

private:
    struct report {
        std::int64_t number{};
        std::string digest;
        time_point received{};
        time_point avoid_until{};
    };

    struct running_read {
        read_command command;
        time_point started{};
    };

    struct running_pull {
        pull_command command;
        time_point started{};
    };

    duration random_duration(duration least, duration most);
    duration with_jitter(duration longest) { return random_duration(longest * 3 / 4, longest); }
    bool is_recent(const report& it, time_point now) const
    {
        return now - it.received < settings_.report_lifetime;
    }
    bool is_watcher(std::string_view peer) const;
    bool is_only_instance() const;
    bool is_peer_ahead(time_point now) const;
    bool has_peer_version(time_point now) const;
    bool may_pull(const report& it, time_point now) const;
    duration next_back_off(duration& former);
    duration quiet_interval();
    void detect_pause(time_point now);
    void expire_overdue_calls(time_point now);
    void remove_expired_reports(time_point now);
    void end_pull(bool success, time_point now);
    time_point next_read_time() const;
    std::optional<read_command> decide_read(time_point now);
    std::optional<pull_command> decide_pull(time_point now);
    std::optional<divergence> decide_divergence(time_point now);
    void decide_ready(time_point now);
    time_point next_call_time(time_point now) const;

    sync_settings settings_;
    std::string self_;
    boost::random::minstd_rand random_;
    fold_position position_;
    std::vector<instance> instances_;
    std::vector<std::string> watchers_;
    /// Number of listed instances in the own failure domain that do not watch, including this one; 1 if this
    /// instance watches or is not listed. Scales quiet_read_interval.
    std::int64_t non_watchers_in_domain_{1};
    std::map<std::string, std::string, std::less<>> domains_;
    std::map<std::string, report, std::less<>> reports_;
    std::optional<running_read> read_;
    std::optional<running_pull> pull_;
    std::int64_t last_id_{};
    std::int64_t known_revision_{};
    std::int64_t known_number_{};
    time_point started_;
    time_point expected_call_time_;
    time_point earliest_read_;
    time_point earliest_pull_;
    /// When an instance that does not watch reads the service because no watcher has reported, or because the
    /// configuration has not changed.
    time_point watcher_read_time_;
    time_point quiet_read_time_;
    std::optional<time_point> peer_ahead_since_;
    duration read_back_off_{};
    duration pull_back_off_{};
    /// Divergent digests under the number in force that were already returned.
    std::set<std::string, std::less<>> reported_digests_;
    bool watches_{true};
    bool ready_{};
    sync_counters counters_;
};

} // namespace limpetlock::config
