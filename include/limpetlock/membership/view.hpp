/// \file
/// Joins the platform's instance list with direct evidence about endpoints and entry instances.
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

/// The pool name of the system's own instances.
inline constexpr std::string_view entry_pool = "entry";

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

struct instance_list {
    std::int64_t version{0};
    std::vector<listed_instance> instances;

    friend bool operator==(const instance_list&, const instance_list&) = default;
};

enum class endpoint_state : std::uint8_t { live, leaving, suspect, ejected, probing };
std::string_view to_string(endpoint_state it);

/// An endpoint that may be chosen. `id` is unique to one listing: an endpoint that is listed anew under the
/// same name with another address has another id.
struct endpoint {
    std::uint64_t id{0};
    std::string name;
    std::string address;
    std::uint16_t port{0};
    std::string failure_domain;
    endpoint_state state{endpoint_state::live};

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

struct entry_instance {
    std::string name;
    std::string address;
    std::uint16_t port{0};
    std::uint16_t peer_port{0};
    std::string failure_domain;
    bool leaving{false};
    std::int64_t incarnation{0}; ///< highest one heard; 0 before the first frame

    friend bool operator==(const entry_instance&, const entry_instance&) = default;
};

/// Immutable; the request path reads it.
struct snapshot {
    std::int64_t list_version{0};
    std::map<std::string, std::vector<endpoint>, std::less<>>
        routable; ///< by pool: live, suspect and probing ones
    std::vector<entry_instance> entry_instances;

    /// The endpoints of a pool; empty for an unknown pool.
    const std::vector<endpoint>& pool(std::string_view name) const;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// "Leaving" as heard from an endpoint, in the form that peers exchange.
struct leaving_evidence {
    std::string pool;
    std::string name;
    std::int64_t list_version{0}; ///< version of the list that the witness held

    friend bool operator==(const leaving_evidence&, const leaving_evidence&) = default;
};

struct view_options {
    double ejection_max_share{0.5};
    int ejection_threshold{3};        ///< consecutive failures that eject
    int refused_connection_weight{2}; ///< what a refused connection counts for
    int required_probe_successes{2};  ///< that bring a probed endpoint back
    duration ejection_time{1000};     ///< before the first probe; doubled by each failed probe
    duration ejection_time_max{
        8000}; ///< bound of the doubling; below the 10 s that recovery from an outage may take
    /// An endpoint that said it leaves is probed after this time, in case that it was restarted under the
    /// same address and the list never showed it. It is far above the lag of the list.
    duration leaving_probe_delay{30000};
    duration timer_gap{1000}; ///< between two ticks; more means that this process was paused

    friend bool operator==(const view_options&, const view_options&) = default;
};

enum class call_failure : std::uint8_t { connection_refused, other };

class view {
public:
    explicit view(view_options options = {});
    view(const view&) = delete;
    view& operator=(const view&) = delete;
    ~view();

    void configure(const view_options& options);

    /// Applies a list; false when its version is not newer than the one held.
    bool apply(const instance_list& list, time_point now);

    /// Call results. `started` is when the call was sent: a call that was sent before the end of a timer gap
    /// says nothing about the endpoint. Results for an id that is no longer listed are ignored.
    void record_success(std::uint64_t id, time_point started, time_point now);
    void record_failure(std::uint64_t id, call_failure how, time_point started, time_point now);

    /// The endpoint answered that it leaves. Returns the evidence to send to peers when it is new.
    std::optional<leaving_evidence> record_leaving(std::uint64_t id, time_point now);

    /// A peer heard that an endpoint leaves; true when this changed the view.
    bool record_peer_evidence(const leaving_evidence& evidence, time_point now);

    /// A frame of an entry instance arrived; false when a higher incarnation is known, and the frame must be
    /// dropped.
    bool record_contact(const std::string& name, std::int64_t incarnation, time_point now);

    /// To be called every 200 ms. Moves ejected endpoints to probing; true when a timer gap was seen.
    bool tick(time_point now);

    std::optional<endpoint_state> state(std::string_view pool, std::string_view name) const;
    std::int64_t list_version() const;

    /// When the last frame of an entry instance arrived; empty before the first one and after a timer gap.
    std::optional<time_point> last_contact(const std::string& name) const;

    /// The present snapshot; the same object until something changes.
    std::shared_ptr<const snapshot> current_snapshot() const;

    struct counters {
        std::uint64_t lists_ignored{0};
        std::uint64_t ejections{0};
        std::uint64_t ejections_capped{0};
        std::uint64_t returns{0};
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
