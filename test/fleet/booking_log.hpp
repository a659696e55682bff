/// \file
/// Records every attempt at a booking and checks the answers against the calls that the endpoints ran.
#pragma once

#include "fleet.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpetlock::test {

/// One attempt at a booking and its answer.
struct booking_attempt {
    std::string key; ///< Idempotency key.
    std::size_t instance{0};
    int attempt{0};              ///< Number of the attempt, from 1.
    std::int64_t sent_ms{0};     ///< Time on the boot clock.
    std::int64_t received_ms{0}; ///< Time on the boot clock.
    answer reply;
};

/// Numbers of bookings by outcome, and the violations of the guarantees: at most one execution of a key, no
/// false refusal as not run, no answer without an execution and no answer of another call.
struct booking_totals {
    std::size_t keys{0};
    std::size_t answered{0};
    std::size_t unknown{0}; ///< No answer, "outcome_unknown" or "in_progress".
    std::size_t refused{0}; ///< Refused as not run.
    std::int64_t max_executions_per_key{0};
    std::vector<std::string> false_refusals; ///< Keys that were refused as not run although they ran.
    /// Descriptions of double runs, false refusals, wrong answers and answers without a run.
    std::vector<std::string> violations;
};

/// Sends bookings and records each attempt. Its member functions are for one thread; attempts in the
/// background run on threads of the log.
class booking_log {
public:
    explicit booking_log(fleet& it);
    ~booking_log();
    booking_log(const booking_log&) = delete;
    booking_log& operator=(const booking_log&) = delete;

    /// Sends one attempt and waits for the answer.
    answer send(std::size_t instance, const std::string& key, int attempt,
                duration timeout = duration{10'000});
    /// Sends one attempt in the background.
    void send_async(std::size_t instance, const std::string& key, int attempt);
    /// Sends one attempt for each key in the background.
    void send_all_async(std::size_t instance, const std::vector<std::string>& keys, int attempt);
    /// Sends one attempt for each key at the same time and waits for the answers.
    void send_all(std::size_t instance, const std::vector<std::string>& keys, int attempt);
    /// Repeats attempts for all keys, at one instance after another, until each key is answered. Returns
    /// false after the timeout.
    bool send_until_answered(const std::vector<std::string>& keys, int attempt, duration timeout);
    /// Waits for the attempts in the background.
    void wait_pending();

    /// Starts threads that book new keys at these instances. Each repeats a key at the next instance until it
    /// is answered or refused, for at most 8 s.
    void start_callers(const std::vector<std::size_t>& instances, int callers, const std::string& prefix);
    void stop_callers();
    /// Returns the number of attempts that were answered with status 200.
    std::size_t answered_count() const;
    /// Returns the number of attempts that are complete, with or without an answer.
    std::size_t attempt_count() const;

    /// Stops the callers, waits for pending attempts and until the endpoints are idle, and then checks every
    /// key. Prints the totals and returns them.
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

/// Returns the instance that owns a key of the first team. All instances are owners, in the order of their
/// indexes.
std::size_t owner_of(const fleet& it, const std::string& key);

/// Returns `count` keys with a prefix that the given instance owns.
std::vector<std::string> keys_of_owner(const fleet& it, std::size_t owner, const std::string& prefix,
                                       std::size_t count);

/// Returns `count_per_owner` keys of each owner.
std::vector<std::string> keys_of_each_owner(const fleet& it, const std::string& prefix,
                                            std::size_t count_per_owner);

/// Returns the claims section of an instance's admin state, or an empty object if the instance doesn't
/// answer.
nlohmann::json claims_state(const fleet& it, std::size_t instance);
/// Returns the claims and peers of all instances, one instance a line, for the message of a failed check.
std::string describe_claims(const fleet& it);
/// Returns whether an instance reports that it holds its lease.
bool holds_lease(const fleet& it, std::size_t instance);

/// Returns the number of calls that the endpoints of pool dispatch run at the moment.
std::int64_t running_bookings(const fleet& it);
/// Returns the number of calls that the endpoints of pool dispatch have received.
std::int64_t received_bookings(const fleet& it);

} // namespace limpetlock::test
