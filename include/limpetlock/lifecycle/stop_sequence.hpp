/// \file
/// The planned stop: which state the instance is in and what it does on entering the next one.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace limpetlock::lifecycle {

enum class stop_state { running, announcing, draining, handing_over, stopped };

/// How an instance ended.
enum class exit_reason { graceful, requests_cut };

/// What the caller of step() does. Each action is given at most once.
enum class stop_action {
    announce,        ///< Report not ready and tell the peers; go on accepting requests.
    refuse_new_work, ///< Answer new requests with a true "not run".
    cut_requests,    ///< Close the requests in flight; log how many.
    seal_and_send,   ///< Seal the claim table and send its records to a peer.
    close            ///< Close the listeners and the peer links and return from serve.
};

struct stop_settings {
    /// The load balancer's lag: requests still arrive for this long after "not ready".
    duration announce_time{3000};
    /// Longest time from the first signal to the cut of what is still in flight.
    duration stop_timeout{60'000};
    /// Longest wait for the peer that keeps the claim records.
    duration handover_timeout{2000};

    friend bool operator==(const stop_settings&, const stop_settings&) = default;
};

std::string_view to_string(stop_state state);
std::string_view to_string(stop_action action);

/// Passes through the states in order. A second signal or the limit cuts requests in flight; nothing else
/// does.
class stop_sequence {
public:
    explicit stop_sequence(stop_settings settings) : settings_(settings) {}

    /// Notes a stop signal.
    void record_signal(time_point now);

    /// Decides what to do now. `in_flight` counts the requests and streams of this instance, `handed_over`
    /// says that the peer confirmed the records or that there are none.
    std::vector<stop_action> step(time_point now, std::size_t in_flight, bool handed_over);

    stop_state state() const { return state_; }
    bool accepts_work() const { return state_ == stop_state::running || state_ == stop_state::announcing; }

    /// Requests that were cut, and why; 0 and empty after a graceful stop.
    std::size_t cut_request_count() const { return cut_request_count_; }
    std::string_view cut_reason() const { return cut_reason_; }

    /// When step() is to be called next at the latest; nullopt while running or stopped.
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
