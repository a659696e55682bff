#include <limpetlock/lifecycle/stop_sequence.hpp>

#include <array>

namespace limpetlock::lifecycle {

std::string_view to_string(stop_state state)
{
    static constexpr std::array<std::string_view, 5> names{"running", "announcing", "draining",
                                                           "handing_over", "stopped"};
    return names[static_cast<std::size_t>(state)];
}

std::string_view to_string(stop_action action)
{
    static constexpr std::array<std::string_view, 5> names{"announce", "refuse_new_work", "cut_requests",
                                                           "seal_and_send", "close"};
    return names[static_cast<std::size_t>(action)];
}

void stop_sequence::record_signal(time_point now)
{
    if (signals_++ == 0)
        first_signal_time_ = now;
}

std::vector<stop_action> stop_sequence::step(time_point now, std::size_t in_flight, bool handed_over)
{
    std::vector<stop_action> actions;
    while (advance(now, in_flight, handed_over, actions)) {
    }
    return actions;
}

std::optional<time_point> stop_sequence::next_step_time() const
{
    switch (state_) {
    case stop_state::announcing:
        return state_entered_time_ + settings_.announce_time;
    case stop_state::draining:
        return first_signal_time_ + settings_.stop_timeout;
    case stop_state::handing_over:
        return state_entered_time_ + settings_.handover_timeout;
    case stop_state::running:
    case stop_state::stopped:
        break;
    }
    return std::nullopt;
}

bool stop_sequence::must_cut(time_point now) const
{
    return signals_ > 1 || now - first_signal_time_ >= settings_.stop_timeout;
}

bool stop_sequence::advance(time_point now, std::size_t in_flight, bool handed_over,
                            std::vector<stop_action>& actions)
{
    switch (state_) {
    case stop_state::running:
        if (signals_ == 0)
            return false;
        actions.push_back(stop_action::announce);
        enter(stop_state::announcing, now);
        return true;
    case stop_state::announcing:
        if (now - state_entered_time_ < settings_.announce_time && !must_cut(now))
            return false;
        actions.push_back(stop_action::refuse_new_work);
        enter(stop_state::draining, now);
        return true;
    case stop_state::draining:
        if (in_flight > 0 && !must_cut(now))
            return false;
        if (in_flight > 0)
            cut_requests(in_flight, actions);
        actions.push_back(stop_action::seal_and_send);
        enter(stop_state::handing_over, now);
        return true;
    case stop_state::handing_over:
        if (!handed_over && now - state_entered_time_ < settings_.handover_timeout)
            return false;
        actions.push_back(stop_action::close);
        enter(stop_state::stopped, now);
        return true;
    case stop_state::stopped:
        break;
    }
    return false;
}

void stop_sequence::enter(stop_state state, time_point now)
{
    state_ = state;
    state_entered_time_ = now;
}

void stop_sequence::cut_requests(std::size_t in_flight, std::vector<stop_action>& actions)
{
    cut_request_count_ = in_flight;
    cut_reason_ = signals_ > 1 ? "second signal" : "stop limit";
    actions.push_back(stop_action::cut_requests);
}

} // namespace limpetlock::lifecycle
