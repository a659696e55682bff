/// \file
/// Decides when an instance reads the configuration service, when it pulls a version from a peer, whether it
/// is ready and whether instances diverge. It does no I/O: a controller carries out the decisions and reports
/// what happened.
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

struct sync_settings {
    /// Watchers of the service in each failure domain. Two, so that the loss of one does not leave a domain
    /// to the fallback reads.
    std::size_t watchers_per_domain{2};
    /// How long a watch waits at the service.
    duration watch_wait{10'000};
    /// Least time between the starts of two calls of this instance to the service.
    duration min_read_interval{250};
    /// Time beyond the wait after which a read without an answer counts as failed.
    duration read_timeout{2000};
    /// First and longest delay after a failed read or pull. A watch that hangs at a dead or stale replica of
    /// the service costs watch_wait + read_timeout + max_back_off, which stays under the 18 s of promise P7.
    duration initial_back_off{500};
    duration max_back_off{4000};
    /// The first read of an instance comes within this time of its start, so that a restarted fleet spreads
    /// its reads.
    duration max_start_delay{500};
    /// How long a new instance that has peers waits to hear from one before it is ready.
    duration max_peer_wait{2000};
    /// A peer's report counts for this long.
    duration report_lifetime{5000};
    /// An instance that does not watch reads the service itself when no watcher has reported for this long.
    /// With a read it stays under the 18 s of promise P7.
    duration watcher_timeout{10'000};
    /// In a failure domain where nothing has changed for this long, one of the instances that don't watch
    /// reads the service too, on average once in this time, in case the watchers are alive but do not reach
    /// the service. The rate is per domain, so that it does not grow with the fleet.
    duration quiet_read_interval{10'000};
    /// Time after which a pull without an answer counts as failed, and how long a peer whose pull failed is
    /// avoided.
    duration pull_timeout{2000};
    /// Least time between the starts of two pulls.
    duration min_pull_interval{200};
    /// How long an instance with a watch at the service waits for its answer before it pulls from a peer that
    /// is ahead. The watch brings a patch, a pull the whole document.
    duration pull_delay{500};
    /// A call of decide() later than it asked for by more than this means that the process was paused.
    duration pause_threshold{1000};

    friend bool operator==(const sync_settings&, const sync_settings&) = default;
};

/// Where the fold of this instance stands.
struct fold_position {
    std::int64_t number{};
    std::string digest;
    std::int64_t revision{};

    friend bool operator==(const fold_position&, const fold_position&) = default;
};

fold_position to_fold_position(const fold& it);

/// A call to the service: entries after `after`, waiting up to `wait`.
struct read_command {
    std::int64_t id{};
    std::int64_t after{};
    duration wait{};

    friend bool operator==(const read_command&, const read_command&) = default;
};

/// A request to a peer for its version, which is newer than `after_number`.
struct pull_command {
    std::int64_t id{};
    std::string peer;
    std::int64_t after_number{};

    friend bool operator==(const pull_command&, const pull_command&) = default;
};

/// Other content under the number in force, reported by a peer.
struct divergence {
    std::int64_t number{};
    std::string digest;
    std::string peer;
    std::string peer_digest;

    friend bool operator==(const divergence&, const divergence&) = default;
};

struct decision {
    std::optional<read_command> read;
    std::optional<pull_command> pull;
    /// A divergence that was not raised before. diverged() tells whether one is going on.
    std::optional<divergence> new_divergence;
    bool ready{};
    /// decide() wants to be called again no later than this, and after every event.
    time_point next_call_time{};

    friend bool operator==(const decision&, const decision&) = default;
};

struct sync_counters {
    std::int64_t reads{};
    std::int64_t read_failures{};
    std::int64_t fallback_reads{};
    /// Replies with a lower revision than already known.
    std::int64_t stale_revisions{};
    /// Reports of a lower number than the one in force here.
    std::int64_t stale_numbers{};
    std::int64_t pulls{};
    std::int64_t pull_failures{};
    std::int64_t divergences{};
    std::int64_t pauses{};

    friend bool operator==(const sync_counters&, const sync_counters&) = default;
};

/// A controller calls decide() at the wake time of the former decision and after every event, and carries out
/// what it returns. A read or pull that it ordered is running until its answer or failure is reported, or
/// until it is overdue; a report with the id of an earlier one changes nothing.
class synchronizer {
public:
    /// `seed` makes the jitter of instances differ; the incarnation is a good value.
    synchronizer(const sync_settings& settings, std::string self, std::uint64_t seed, time_point now);

    /// The entry instances of a new instance list. While the list is empty, the instance watches the service.
    void set_instances(const std::vector<instance>& it, time_point now);

    /// The fold moved, by a reply or by a version from a peer.
    void set_position(const fold_position& it, time_point now);

    /// A read was answered. Call it after the reply's entries were folded and set_position was called.
    /// \param revision the service's revision; \param entries how many entries the reply had.
    void record_read_answer(std::int64_t id, std::int64_t revision, std::size_t entries, time_point now);
    /// A read failed: refused, timed out, or its body could not be read.
    void record_read_failure(std::int64_t id, time_point now);

    /// A heartbeat or its acknowledgement told a peer's number and digest.
    void record_peer_report(std::string_view peer, std::int64_t number, std::string_view digest,
                            time_point now);
    /// A pull brought a version. Call it after the fold has tried to adopt it and set_position was called: a
    /// version that left this instance behind the peer counts as a failure, so that it is not pulled again
    /// and again.
    void record_pull_answer(std::int64_t id, time_point now);
    void record_pull_failure(std::int64_t id, time_point now);

    decision decide(time_point now);

    bool ready() const { return ready_; }
    bool watches() const { return watches_; }
    /// Whether a peer that reported lately has other content under the number in force.
    bool diverged(time_point now) const;
    /// The largest number known in the fleet, in force here or not.
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
    /// Instances of the own failure domain that don't watch, this one included.
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
    /// When an instance that does not watch reads the service for want of a watcher's report, or of any
    /// change.
    time_point watcher_due_;
    time_point quiet_due_;
    std::optional<time_point> peer_ahead_since_;
    duration read_back_off_{};
    duration pull_back_off_{};
    /// Digests that were raised as divergent under the number in force.
    std::set<std::string, std::less<>> reported_digests_;
    bool watches_{true};
    bool ready_{};
    sync_counters counters_;
};

} // namespace limpetlock::config
