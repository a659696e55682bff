/// \file
/// The states of a planned stop and the actions on entering each.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace limpetlock::lifecycle {

/// running: no stop signal yet. announcing: not ready, but still accepts requests. draining: refuses new
/// requests and waits for those in flight. handing_over: waits for the peer to confirm the claim records.
enum class stop_state { running, announcing, draining, handing_over, stopped };

/// Whether an instance stopped without cutting requests.
enum class exit_reason { graceful, requests_cut };

/// An action for the caller of step(). Each one is returned at most once.
enum class stop_action {
    announce,        ///< Report not ready and notify the peers; continue to accept requests.
    refuse_new_work, ///< Answer new requests with "not run"; none of them may reach an endpoint.
    cut_requests,    ///< Close the requests in flight and log their count.
    seal_and_send,   ///< Seal the claim table and send its records to a peer.
    close            ///< Close the listeners and the peer links and return from serve.
};

/// Durations are in milliseconds.
struct stop_settings {
    /// How long requests are accepted after the instance reports not ready. The load balancer's delay: it
    /// still sends requests for this long.
    duration announce_time{3000};
    /// Time from the first signal after which the requests that are still in flight are cut.
    duration stop_timeout{60'000};
    /// Longest wait for the peer's confirmation of the claim records.
    duration handover_timeout{2000};

    friend bool operator==(const stop_settings&, const stop_settings&) = default;
};

std::string_view to_string(stop_state state);
std::string_view to_string(stop_action action);

/// Passes through the states in order. Only a second signal or the stop timeout cuts requests in flight.
class stop_sequence {
public:
    explicit stop_sequence(stop_settings settings) : settings_(settings) {}

    /// Records a stop signal.
    void record_signal(time_point now);

    /// Advances the state and returns the actions to take, in order.
    /// \param in_flight number of requests and streams in flight on this instance.
    /// \param handed_over whether a peer confirmed the claim records, or there are none.
    std::vector<stop_action> step(time_point now, std::size_t in_flight, bool handed_over);

    stop_state state() const { return state_; }
    bool accepts_work() const { return state_ == stop_state::running || state_ == stop_state::announcing; }

    /// The number of requests that were cut and the reason; 0 and empty after a graceful stop.
    std::size_t cut_request_count() const { return cut_request_count_; }
    std::string_view cut_reason() const { return cut_reason_; }

    /// The latest time for the next call of step(); nullopt while running or stopped.
    std::optional<time_point> next_step_time() const;

private:
    bool must_cut(time_point now) const;
    bool advance(time_point now, std::size_t in_flight, bool handed_over, std::vector<stop_action>& actions);
    void enter(stop_state state, time_point now);
    void cut_requests(std::size_t in_flight, std::vector<stop_action>& actions);

    stop_settings settings_;
    stop_state state_ = stop_state::running;
    std::size_t signals_ = 0;
    time_point first_signal_time_{};
    time_point state_entered_time_{};
    std::size_t cut_request_count_ = 0;
    std::string_view cut_reason_;
};

} // namespace limpetlock::lifecycle
