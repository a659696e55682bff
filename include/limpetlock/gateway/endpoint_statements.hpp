/// \file
/// The request rates to which endpoints limit the whole fleet, as they state them in their answers.
#pragma once

#include <limpetlock/gateway/cold_rate.hpp>
#include <limpetlock/gateway/model.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// What an endpoint last stated about the rate of requests that it takes.
struct limit_statement {
    std::string endpoint;
    std::int64_t started_ms{0}; ///< start of its process, as in endpoint::started_ms
    std::optional<double>
        max_rate;         ///< requests a second from all instances; nullopt: it no longer has a limit
    std::string reporter; ///< instance that got the answer
    /// A limit holds from the arrival of the answer on, its end from the sending of the request that was
    /// answered without one. So an answer that was on its way when the limit was stated doesn't end it.
    time_point at{};

    friend bool operator==(const limit_statement&, const limit_statement&) = default;
};

/// The statement of an endpoint that it leaves. It holds until the endpoint starts again.
struct leaving_statement {
    std::string endpoint;
    std::int64_t started_ms{0}; ///< start of its process, as in endpoint::started_ms
    std::string reporter;       ///< instance that got the answer
    time_point at{};            ///< of the arrival of the answer

    friend bool operator==(const leaving_statement&, const leaving_statement&) = default;
};

/// That an endpoint is cold, so that it tolerates few requests.
struct cold_statement {
    std::string endpoint;
    std::int64_t started_ms{0}; ///< start of its process, as in endpoint::started_ms
    time_point until{};         ///< when it is warm
    std::string reporter;       ///< instance that got the answer; empty if its entry or an evacuation says so
    std::int64_t number{0};     ///< tells the statements of one reporter apart
    time_point at{};            ///< of the arrival of the answer or entry

    friend bool operator==(const cold_statement&, const cold_statement&) = default;
};

/// Coldness of the endpoints of a pool.
struct pool_coldness {
    duration max_time{0};            ///< longer statements are cut to this
    std::optional<cold_terms> terms; ///< nullopt: cold endpoints get nothing

    friend bool operator==(const pool_coldness&, const pool_coldness&) = default;
};

/// How many requests an endpoint takes from all instances together.
struct sending_limit {
    double max_rate{0};   ///< requests a second
    double max_saved{0};  ///< permits that accumulate at most
    duration lifetime{0}; ///< longest time from that of a permit until its use
    bool cold{false};

    friend bool operator==(const sending_limit&, const sending_limit&) = default;
};

/// What the listed endpoints state of themselves in their answers: the rate of requests that they take from
/// all instances together, that they leave, and for how long they want no requests of this instance. Limits
/// and leavings spread to the other instances.
class endpoint_statements {
public:
    /// `own_name` is the reporter of what this instance learns from answers.
    explicit endpoint_statements(std::string own_name) : own_name_(std::move(own_name)) {}

    /// Sets the function that is called when another endpoint is known to leave.
    void set_leaving_handler(std::function<void()> handler) { on_leaving_ = std::move(handler); }

    /// Replaces the list of endpoints. Statements of endpoints that left or restarted are forgotten.
    void set_endpoints(const std::vector<endpoint>& endpoints);

    /// Records what an answer to a request that was sent at `sent` says. An answer that may not be the
    /// endpoint's own (`genuine` is false) doesn't end a limit.
    void record_answer(const std::string& endpoint_id, const answer_metadata& answer, bool genuine,
                       time_point sent, time_point now);

    /// The same for an answer to a request that was sent to this entry of the list. It says nothing of
    /// another process that the list has under the same id by now.
    void record_answer(const endpoint& from, const answer_metadata& answer, bool genuine, time_point sent,
                       time_point now);

    /// Merge a statement that a peer knows.
    void merge(limit_statement it, time_point now);
    void merge(leaving_statement it, time_point now);

    /// Marks the endpoints that stated that they leave, whatever their entries say. What only peers know
    /// holds unless the pool would have no endpoint left: a single faulty instance must not take a whole pool
    /// away.
    void mark_leaving(std::vector<endpoint>& list) const;

    /// Lets the endpoint return gradually, as after a pause that ends now.
    void record_return(const endpoint& it, time_point now);

    /// Sets the pools whose endpoints take few requests while they are cold.
    void set_cold_pools(std::map<std::string, pool_coldness, std::less<>> pools);

    /// Records what a new entry of the endpoint says: it is cold for endpoint::cold_left.
    void record_entry(const endpoint& it, time_point now);

    /// Takes the endpoint as cold for as long as its pool says, since it got no requests.
    void record_idleness(const endpoint& it, time_point now);

    /// Merges a statement that a peer knows.
    void merge(cold_statement it, time_point now);

    /// Whether the endpoint takes few requests because it is cold.
    bool is_cold(std::string_view endpoint_id, time_point now) const
    {
        return cold_until(endpoint_id, now).has_value();
    }

    /// Number of cold endpoints.
    std::size_t count_cold(time_point now) const;

    /// The limit that holds for an endpoint, because it states one or because it is cold. The lower one holds
    /// if both are so.
    std::optional<sending_limit> limit_of(std::string_view endpoint_id, time_point now) const;

    /// Up to `max_statements` of the coldness that answers stated. Successive calls return the others, too.
    std::vector<cold_statement> cold_for_peers(time_point now, std::size_t max_statements);

    /// End of the time for which the endpoint wants no requests of this instance, or is cold and tolerates
    /// none; nullopt if there is none.
    std::optional<time_point> paused_until(std::string_view endpoint_id, time_point now) const;

    /// Share of the usual requests that an endpoint gets: it rises to 1 in return_time after a pause.
    double return_share(std::string_view endpoint_id, time_point now) const;

    /// Whether any endpoint wants no requests of this instance, or few because it is cold.
    bool any_paused(time_point now) const;

    /// Up to `max_statements` of the limits in force and of those that ended within end_memory. Successive
    /// calls return the others, too.
    std::vector<limit_statement> statements_for_peers(time_point now, std::size_t max_statements);

    /// Up to `max_statements` of the leavings. Successive calls return the others, too.
    std::vector<leaving_statement> leavings_for_peers(time_point now, std::size_t max_statements);

    /// Number of changes of limits, and of new leavings.
    std::uint64_t version() const { return version_; }

    /// The end of a limit is told to peers for this long, so that a peer that still has the limit learns of
    /// it.
    static constexpr duration end_memory{30'000};

    /// A leaving of an endpoint that isn't listed any more is kept for this long, since a store that comes
    /// back from an older copy may list it again.
    static constexpr duration leaving_memory{300'000};

    /// Longest pause that is kept. A longer one is taken as a mistake.
    static constexpr duration max_pause{300'000};

    /// Pause of an endpoint that states one that can't be read.
    static constexpr duration default_pause{1'000};

    /// A permit for an endpoint with a stated limit can be used for this long. Requests that come late by up
    /// to this time don't make the endpoint exceed its limit within the window in which the platform counts.
    static constexpr duration permit_lifetime{2'000};

    /// Longest coldness that is believed, whatever the pool allows.
    static constexpr duration max_cold_time{300'000};

    /// An entry may have been written this long before it arrives: it doesn't end or shorten a coldness that
    /// was stated since.
    static constexpr duration entry_delay{1'500};

    /// Time after a pause in which the endpoint gets fewer requests than usual.
    static constexpr duration return_time{3'000};

    /// The limit in force of an endpoint; nullptr if it has none.
    const limit_statement* find(std::string_view endpoint_id) const;

    /// Id of the listed endpoint with this address; empty if there is none.
    std::string endpoint_at(const http::address& it) const;

    /// The entry of the list with this id; nullptr if there is none.
    const endpoint* listed(std::string_view endpoint_id) const;

    /// Number of limits in force.
    std::size_t count() const;

    /// Number of endpoints that stated that they leave.
    std::size_t leaving_count() const { return leavings_.size(); }

private:
    void update(limit_statement it, time_point now);
    void record_limit(const endpoint& from, const answer_metadata& answer, bool genuine, time_point sent,
                      time_point now);
    void record_leaving(leaving_statement it, time_point now);
    void record_pause(const endpoint& from, const answer_metadata& answer, time_point now);

    std::optional<time_point> cold_until(std::string_view endpoint_id, time_point now) const;
    const pool_coldness* coldness_of(const std::string& pool) const;
    void record_answered_cold(const endpoint& from, const answer_metadata& answer, time_point sent,
                              time_point now);
    void update_cold(cold_statement it, const std::string& pool, std::string_view source, time_point now);

    struct pause {
        std::int64_t started_ms{0};
        time_point until{};
    };

    std::string own_name_;
    std::map<std::string, endpoint, std::less<>> listed_;
    std::map<http::address, std::string> ids_;
    std::map<std::string, limit_statement, std::less<>> statements_;
    std::map<std::string, leaving_statement, std::less<>> leavings_;
    std::map<std::string, pause, std::less<>> pauses_;
    std::map<std::string, pool_coldness, std::less<>> cold_pools_;
    std::map<std::string, cold_statement, std::less<>> cold_;
    std::function<void()> on_leaving_;
    std::uint64_t version_{0};
    std::string last_told_; ///< endpoint of the last statement that was returned for peers
    std::string last_told_leaving_;
    std::string last_told_cold_;
};

} // namespace limpetlock::gateway
