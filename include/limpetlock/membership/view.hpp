/// \file
/// Combines the platform's instance list with evidence from calls and peers about endpoints and entry
/// instances.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::membership {

/// Name of the pool of the system's own instances, which are called entry instances.
inline constexpr std::string_view entry_pool = "entry";

/// An instance as the platform lists it: an endpoint, or an entry instance when its pool is entry_pool.
struct listed_instance {
    std::string name;
    std::string pool;
    std::string address;
    std::uint16_t port{0};
    std::uint16_t peer_port{0};
    std::string failure_domain;
    bool leaving{false};

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// One version of the platform's instance list.
struct instance_list {
    std::int64_t version{0};
    std::vector<listed_instance> instances;

    friend bool operator==(const instance_list&, const instance_list&) = default;
};

/// live: takes requests. leaving: listed as leaving, or known from an answer or a peer to be leaving.
/// suspect: takes requests, but its latest calls failed. ejected: takes no requests after consecutive
/// failures. probing: takes probes, whose results decide whether it returns to service.
enum class endpoint_state : std::uint8_t { live, leaving, suspect, ejected, probing };
std::string_view to_string(endpoint_state it);

/// An endpoint that may receive requests. `id` identifies one listing: an endpoint that is listed again under
/// the same name with another address has another id.
struct endpoint {
    std::uint64_t id{0};
    std::string name;
    std::string address;
    std::uint16_t port{0};
    std::string failure_domain;
    endpoint_state state{endpoint_state::live};

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// An instance of the system as the list shows it, with its highest known incarnation.
struct entry_instance {
    std::string name;
    std::string address;
    std::uint16_t port{0};
    std::uint16_t peer_port{0};
    std::string failure_domain;
    bool leaving{false};
    std::int64_t incarnation{0}; ///< highest known incarnation; 0 before the first frame

    friend bool operator==(const entry_instance&, const entry_instance&) = default;
};

/// The view at one time. Immutable, since concurrent requests read it.
struct snapshot {
    std::int64_t list_version{0};
    std::map<std::string, std::vector<endpoint>, std::less<>>
        routable; ///< the live, suspect and probing endpoints, by pool
    std::vector<entry_instance> entry_instances;

    /// Returns the routable endpoints of a pool; empty for an unknown pool.
    const std::vector<endpoint>& pool(std::string_view name) const;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// A report that an endpoint answered that it is leaving, in the form that peers exchange.
struct leaving_evidence {
    std::string pool;
    std::string name;
    std::int64_t list_version{0}; ///< list version of the instance that received the answer

    friend bool operator==(const leaving_evidence&, const leaving_evidence&) = default;
};

/// Bounds of ejection and probing. Durations are in milliseconds.
struct view_options {
    double ejection_max_share{0.5};   ///< largest share of a pool that may be ejected at one time
    int ejection_threshold{3};        ///< weighted consecutive failures that eject an endpoint
    int refused_connection_weight{2}; ///< failures that one refused connection counts as
    int required_probe_successes{2};  ///< successful probes after which an endpoint returns to service
    duration ejection_time{1000};     ///< time until the first probe; each failed probe doubles it
    duration max_ejection_time{
        8000}; ///< bound of the doubling; below the 10 s allowed for recovery from an outage
    /// Time after which an endpoint that answered that it is leaving is probed, because it may have restarted
    /// at the same address without a change of the list. Far above the delay of the list.
    duration leaving_probe_delay{30000};
    duration max_tick_interval{1000}; ///< longest time between two ticks of a process that was not paused

    friend bool operator==(const view_options&, const view_options&) = default;
};

/// How a call to an endpoint failed.
enum class call_failure : std::uint8_t { connection_refused, other };

/// Tracks the state of each listed endpoint and the last contact with each entry instance.
///
/// Failures eject an endpoint, up to a share of its pool; probes return it to service. Not thread-safe.
class view {
public:
    explicit view(view_options options = {});
    view(const view&) = delete;
    view& operator=(const view&) = delete;
    ~view();

    void configure(const view_options& options);

    /// Applies a list. Returns false when its version is not newer than the current one.
    bool apply(const instance_list& list, time_point now);

    /// Record the result of a call that was sent at `started`. The result of a call that was sent before the
    /// end of a timer gap says nothing about the endpoint and is ignored, as is a result for an id that is no
    /// longer listed.
    void record_success(std::uint64_t id, time_point started, time_point now);
    void record_failure(std::uint64_t id, call_failure failure, time_point started, time_point now);

    /// Records that the endpoint answered that it is leaving. Returns the evidence to send to the peers if it
    /// is new.
    std::optional<leaving_evidence> record_leaving(std::uint64_t id, time_point now);

    /// Records a peer's report that an endpoint is leaving. Returns whether the view changed.
    bool record_peer_evidence(const leaving_evidence& evidence, time_point now);

    /// Records the arrival of a frame of an entry instance. Returns false when a higher incarnation is known;
    /// the caller then drops the frame.
    bool record_contact(const std::string& name, std::int64_t incarnation, time_point now);

    /// Moves endpoints whose ejection time is over to probing. Returns whether this process was paused since
    /// the last tick. The caller calls it every 200 ms.
    bool tick(time_point now);

    /// Returns the state of a listed endpoint; nullopt if it is not listed.
    std::optional<endpoint_state> state(std::string_view pool, std::string_view name) const;
    /// Returns the version of the current list; -1 before the first one.
    std::int64_t list_version() const;

    /// Returns the arrival time of the last frame of an entry instance; nullopt before the first one and
    /// after a timer gap.
    std::optional<time_point> last_contact(const std::string& name) const;

    /// Returns the current snapshot: the same object until something changes.
    std::shared_ptr<const snapshot> current_snapshot() const;

    /// reinstatements: endpoints that probes returned to service. stale_evidence: results and reports that
    /// were ignored because of their age. stale_frames: frames of former incarnations.
    struct counters {
        std::uint64_t lists_ignored{0};
        std::uint64_t ejections{0};
        std::uint64_t ejections_capped{0};
        std::uint64_t reinstatements{0};
        std::uint64_t timer_gaps{0};
        std::uint64_t stale_evidence{0};
        std::uint64_t stale_frames{0};

        friend bool operator==(const counters&, const counters&) = default;
    };
    const counters& counts() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace limpetlock::membership
