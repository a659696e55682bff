/// \file
/// Records every attempt at a booking and compares the answers with what the endpoints ran.
#pragma once

#include "fleet.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpetlock::test {

struct booking_attempt {
    std::string key;
    std::size_t instance{0};
    int attempt{0};
    std::int64_t sent_ms{0};
    std::int64_t received_ms{0};
    answer reply;
};

/// Bookings by their last outcome, and the broken promises.
struct booking_totals {
    std::size_t keys{0};
    std::size_t answered{0};
    std::size_t unknown{0}; ///< no answer, "outcome_unknown" or "in_progress"
    std::size_t refused{0}; ///< "not run"
    std::int64_t max_executions_per_key{0};
    std::vector<std::string> false_refusals;
    std::vector<std::string> violations; ///< double runs, false refusals, wrong or invented answers
};

class booking_log {
public:
    explicit booking_log(fleet& it);
    ~booking_log();
    booking_log(const booking_log&) = delete;
    booking_log& operator=(const booking_log&) = delete;

    /// One attempt; waits for the answer.
    answer send(std::size_t instance, const std::string& key, int attempt,
                duration timeout = duration{10'000});
    /// One attempt that goes on while the test does.
    void send_async(std::size_t instance, const std::string& key, int attempt);
    void send_all_async(std::size_t instance, const std::vector<std::string>& keys, int attempt);
    /// Attempts for all keys at once; waits for the answers.
    void send_all(std::size_t instance, const std::vector<std::string>& keys, int attempt);
    /// Repeats all keys at the instances in turn until each has its answer.
    bool send_until_answered(const std::vector<std::string>& keys, int attempt, duration timeout);
    /// Waits for the attempts that go on.
    void wait_pending();

    /// Starts callers that book with new keys at these instances, and repeat a key at the next instance until
    /// it is answered or refused.
    void start_callers(const std::vector<std::size_t>& instances, int callers, const std::string& prefix);
    void stop_callers();
    std::size_t answered_count() const;
    std::size_t attempt_count() const;

    /// Ends everything, waits until the endpoints are idle, prints the totals and returns them.
    booking_totals check(const std::string& title);

private:
    void repeat_until_answered_or_refused(const std::vector<std::size_t>& instances, std::size_t at,
                                          const std::string& key);
    void wait_idle();

    fleet& fleet_;
    mutable std::mutex mutex_;
    std::vector<booking_attempt> attempts_;
    std::vector<std::thread> pending_;
    std::vector<std::thread> callers_;
    std::atomic<bool> stopping_{false};
};

/// The instance that owns a key of the first team; all instances are owners, in their order.
std::size_t owner_of(const fleet& it, const std::string& key);

/// Keys with a prefix whose owner is the given instance.
std::vector<std::string> keys_of_owner(const fleet& it, std::size_t owner, const std::string& prefix,
                                       std::size_t count);

/// As many keys of each owner.
std::vector<std::string> keys_of_each_owner(const fleet& it, const std::string& prefix,
                                            std::size_t count_per_owner);

/// What an instance shows of its claims; an empty object when it doesn't answer.
nlohmann::json claims_state(const fleet& it, std::size_t instance);
/// The claims of all instances, one a line, for the message of a failed check.
std::string describe_claims(const fleet& it);
bool holds_lease(const fleet& it, std::size_t instance);

/// Calls that the endpoints of the booked service run now.
std::int64_t running_bookings(const fleet& it);
/// Calls that the endpoints of the booked service have received.
std::int64_t received_bookings(const fleet& it);

} // namespace limpetlock::test
