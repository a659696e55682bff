/// \file
/// Reads the platform's published state from its store.
#pragma once

#include <limpetlock/gateway/platform_codec.hpp>
#include <limpetlock/gateway/proof_schedule.hpp>
#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/gateway/settings.hpp>
#include <limpetlock/gateway/watch_schedule.hpp>
#include <limpetlock/http/client.hpp>
#include <limpetlock/support/metrics.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// Repeats a linearizable read of the routing table as a proof of the table's age, and watches the store for
/// changes.
class store_reader {
public:
    /// Whether this instance watches the store on behalf of all, and the number of instances.
    struct role {
        bool watches{true};
        std::size_t instances{1};
    };

    store_reader(boost::asio::any_io_executor executor, const gateway_settings& settings,
                 const platform_codec& codec, published_state& state, metrics::registry& metrics,
                 std::function<role()> current_role);

    void start();

    /// Whether a request should wait for confirm_table() before it is decided by the table.
    bool needs_confirmation(time_point now) const
    {
        return state_.is_era_settled(now) && schedule_.needs_confirmation(state_.proof_age(now));
    }

    /// Waits until the table is proven to be recent, until a read of it has failed, or for as long as a read
    /// waits for its header.
    boost::asio::awaitable<void> confirm_table();

private:
    /// How a call is made. A large answer may arrive slowly once it has begun.
    struct call_limits {
        duration header; ///< from the sending to the header of the answer
        duration body;   ///< from the header to the end of the answer
        duration whole;  ///< from the sending to the end of the answer
        http::connection_policy policy;
    };

    boost::asio::awaitable<void> proof_loop();
    boost::asio::awaitable<void> watch_loop();
    /// Sets `had_header` when the answer has begun to arrive.
    boost::asio::awaitable<bool> read_table(http::connection_policy policy, bool& had_header);
    bool is_usable(const std::optional<http::response>& answer, const http::call_error& error,
                   const std::string& target);
    boost::asio::awaitable<bool> list_state();
    boost::asio::awaitable<void> list_evacuations();
    boost::asio::awaitable<bool> list_prefix(std::string prefix, std::vector<state_entry>& entries,
                                             std::optional<state_revision>& first_revision);
    /// Reads the changes after those that are known. The store waits up to `wait` for the first one.
    boost::asio::awaitable<store_answer_status> read_changes(duration wait, duration timeout,
                                                             http::connection_policy policy);
    /// Waits for changes, until the watch is given up as silent.
    boost::asio::awaitable<store_answer_status> watch_once(http::connection_policy policy, bool& abandoned);
    /// Calls `on_header` when the answer has begun to arrive.
    boost::asio::awaitable<std::optional<http::response>> call(
        http::request message, call_limits limits, std::function<void()> on_header = [] {});
    boost::asio::awaitable<void> renew_proof(http::connection_policy policy);
    boost::asio::awaitable<void> catch_up();
    void draw_renewal_age();
    bool expects_state_from_peers(time_point now) const;
    void merge(std::vector<state_entry> entries, std::string_view source);
    /// Logs the table in force if it isn't the one of the previous revision.
    void log_received_table(state_revision previous, std::string_view source) const;
    bool record_read(state_revision revision, time_point sent);
    static void log_rejected(const state_page& page);
    void log_failed_read(const std::string& reason, time_point sent) const;
    /// Counts a failed call, and logs when the store is lost or regained.
    void record_answer(bool answered, const std::string& target, const std::string& reason);

    boost::asio::any_io_executor executor_;
    http::address store_address_;
    const platform_codec& codec_;
    published_state& state_;
    http::client client_;
    std::minstd_rand random_;
    std::function<role()> role_;
    const bool is_seed_;
    const time_point started_;
    proof_schedule schedule_;
    boost::asio::steady_timer read_ended_; ///< never expires; cancelled when a read ends
    metrics::counter& calls_;
    metrics::counter& failures_;
    bool reachable_{false};
    watch_schedule watches_;
    boost::asio::steady_timer
        watch_abandoned_; ///< never expires; cancelled when the watch is found to be silent
    bool catching_up_{false};
    std::size_t changes_arriving_{0}; ///< reads of changes whose answer has begun to arrive
    time_point next_evacuation_listing_{};
};

} // namespace limpetlock::gateway
