/// \file
/// Messages between the instances: membership, published state and its proofs, and stage tasks.
#pragma once

#include <limpetlock/gateway/endpoint_statements.hpp>
#include <limpetlock/gateway/fleet_view.hpp>
#include <limpetlock/gateway/loop_monitor.hpp>
#include <limpetlock/gateway/overload_detector.hpp>
#include <limpetlock/gateway/permit_issuer.hpp>
#include <limpetlock/gateway/prompt_quarantine.hpp>
#include <limpetlock/gateway/published_state.hpp>
#include <limpetlock/gateway/settings.hpp>
#include <limpetlock/peer/generated/peer_types.h>
#include <limpetlock/peer/messenger.hpp>
#include <limpetlock/support/metrics.hpp>
#include <limpetlock/support/suspension_detector.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace limpetlock::gateway {

namespace wire = peer::wire;

/// How far an instance has the published state.
struct state_positions {
    state_revision state;
    state_revision table;
    std::int64_t table_version{0};
};

/// Pings the other instances, which spreads the members of the fleet, the revisions of the published state
/// and the proofs of its age, the evidence on parts of prompts that crash engines, and what endpoints
/// state of themselves. Pulls newer state from peers.
class fleet {
public:
    /// Handlers of the messages about stage tasks and permits.
    struct handlers {
        std::function<boost::asio::awaitable<wire::stage_result_message>(wire::stage_order_message)>
            on_stage_task;
        std::function<void(const wire::stage_cancel_message&)> on_stage_cancel;
        std::function<void(const wire::stage_release_message&)> on_result_release;
        std::function<permit(const permit_request&)> on_permit_request;
        /// Called when the event loop was late.
        std::function<void(const loop_report&)> on_late_loop;
    };

    fleet(boost::asio::any_io_executor executor, const gateway_settings& settings, std::int64_t run_id,
          published_state& state, prompt_quarantine& quarantine, endpoint_statements& statements,
          loop_monitor& monitor, metrics::registry& metrics, handlers its_handlers);

    void start();

    /// Interval of the ticks that the monitor gets.
    static constexpr duration duty_tick{100};

    fleet_view& view()
    {
        detect_suspension(boot_clock::now());
        return view_;
    }

    /// Whether this process was suspended at some time since `begin`. What failed meanwhile, because its time
    /// limit passed, is no evidence against an endpoint or another instance.
    bool suspended_since(time_point begin) const
    {
        return suspensions_.suspended_since(begin, boot_clock::now());
    }

    /// The reply to a call, or what its lack says of the instance.
    struct peer_answer {
        std::optional<wire::frame> reply;
        /// Without a reply: the instance may well be alive, so the caller should ask it once more.
        bool unclear{false};
    };

    /// How long a call may take, and what its end says of the instance.
    struct call_terms {
        peer::call_limits limits;
        std::size_t unclear_before{0}; ///< calls in a row that were unclear
        /// The instance replies soon in any case, so its silence shows that it is gone.
        bool replies_soon{true};
    };

    /// Sends a request to another instance. Without a reply, marks the instance as unreachable unless the
    /// circumstances leave that unclear; see shows_unreachable().
    boost::asio::awaitable<peer_answer> call(std::string to, wire::frame message, call_terms terms);
    boost::asio::awaitable<peer_answer> call(std::string to, wire::frame message, time_point deadline)
    {
        return call(std::move(to), std::move(message), call_terms{{deadline}});
    }

    /// Status of the reply to a poll for a task that isn't open.
    static constexpr std::int32_t unknown_task_status = 5;

    void announce_stop() { view_.set_stopping(); }
    void stop() { messenger_.stop(); }
    peer::messenger_counters counters() const { return messenger_.counters(); }

private:
    /// A brief ping tells the positions only; a full one has members, evidence and statements too.
    enum class ping_content : std::uint8_t { full, brief };

    boost::asio::awaitable<void> ping_loop();
    boost::asio::awaitable<void> spread_loop();
    boost::asio::awaitable<void> duty_loop();
    boost::asio::awaitable<void> ping(std::string to, ping_content content);
    boost::asio::awaitable<void> pull(std::string from);
    boost::asio::awaitable<std::optional<wire::frame>> answer(wire::frame message);
    std::vector<std::string> ping_targets(time_point now);
    wire::member_pong_message make_pong(time_point now, ping_content content);
    std::vector<wire::member_message> members_for_peers(time_point now, ping_content content) const;
    void pack(wire::state_push_message& push, bool accepted, time_point now);
    bool busy_with_pushes(time_point now) const;
    wire::state_push_message make_push(const wire::state_pull_message& pull, time_point now);
    /// Returns the compressed value of an entry, and keeps it for the next pulls.
    const std::string& compressed_value(const state_entry& it);
    /// Decodes the entries of a push. Returns nullopt if a value can't be decompressed.
    std::optional<std::vector<state_entry>> decode_items(const wire::state_push_message& push);
    void record_members(const wire::member_message& own, const std::vector<wire::member_message>& known,
                        time_point now);
    void merge_suspects(const std::vector<wire::part_evidence_message>& list, time_point now);
    void merge_limits(const std::vector<wire::endpoint_limit_message>& list, time_point now);
    void merge_leavings(const std::vector<wire::endpoint_leaving_message>& list, time_point now);
    void merge_cold(const std::vector<wire::endpoint_cold_message>& list, time_point now);
    void process_pong(const std::string& from, const wire::member_pong_message& it, time_point sent);
    void pull_if_newer(const std::string& from, const state_positions& peer);
    /// Sets the own positions in a ping or pong.
    template <typename Message>
    void set_positions(Message& out) const;
    void refresh_links(time_point now);
    void detect_suspension(time_point now);
    void log_given_up();

    boost::asio::any_io_executor executor_;
    const gateway_settings& settings_;
    published_state& state_;
    prompt_quarantine& quarantine_;
    endpoint_statements& statements_;
    handlers handlers_;
    fleet_view view_;
    suspension_detector suspensions_;
    overload_detector overload_;
    loop_monitor& monitor_;
    metrics::counter& suspension_count_;
    metrics::counter& unclear_calls_;
    metrics::counter& whole_states_; ///< taken from peers
    metrics::registry& metrics_;
    peer::messenger messenger_;
    std::minstd_rand random_;
    std::map<std::string, peer::address> links_; ///< by name of the instance or of the seed
    std::uint64_t ping_rounds_{0};
    bool pulling_state_{false};
    /// An entry's value as it was compressed here or by a peer.
    struct compressed_entry {
        std::string key;
        state_revision revision;
        std::string bytes;
    };
    compressed_entry last_compressed_;
    std::size_t large_pushes_{0}; ///< since large_pushes_since_
    time_point large_pushes_since_{};
};

} // namespace limpetlock::gateway
