/// \file
/// Chooses how long the responsible instance may take to reply to the stage orders of this instance.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace limpetlock::gateway {

/// Of the calls to an instance, one is to get a reply soon, done or not, so that a dead instance is noticed.
/// The others wait longer: the polls of all tasks would take the processor time of the instance when most
/// tasks wait.
class reply_waits {
public:
    static constexpr duration prompt{500};
    static constexpr duration relaxed{1'200};

    /// Chooses the wait of a call. `must_be_prompt` is set after a call that left open whether the instance
    /// is gone.
    duration choose(std::string_view instance, bool must_be_prompt) const
    {
        return must_be_prompt || !prompt_calls_.contains(instance) ? prompt : relaxed;
    }

    /// Counts a call with this wait until it ends.
    void begin(const std::string& instance, duration wait)
    {
        if (wait == prompt)
            ++prompt_calls_[instance];
    }

    void end(const std::string& instance, duration wait)
    {
        const auto it = prompt_calls_.find(instance);
        if (wait == prompt && it != prompt_calls_.end() && --it->second == 0)
            prompt_calls_.erase(it);
    }

private:
    std::map<std::string, std::size_t, std::less<>> prompt_calls_; ///< in progress, by instance
};

} // namespace limpetlock::gateway
