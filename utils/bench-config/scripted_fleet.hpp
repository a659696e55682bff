/// \file
/// Drives the fold and sync modules of several instances with a simulated clock and a simulated configuration
/// service, without threads or sockets. The golden tests and the measurement program use it.
#pragma once

#include <limpetlock/config/fold.hpp>
#include <limpetlock/config/sync.hpp>

#include <boost/random/linear_congruential.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetlock::config {

enum class service_mode { ok, down, stale };

struct fleet_settings {
    sync_settings sync;
    /// Time between two heartbeats of an instance.
    duration heartbeat{500};
    /// Number of random peers that receive each heartbeat; 0 means all.
    std::size_t partners{};
    /// Response time of the service and of peers.
    duration latency{10};
};

struct fleet_totals {
    std::int64_t service_calls{};
    std::int64_t pulls{};
    std::int64_t pulled_bytes{};
    std::int64_t heartbeats{};
};

class scripted_fleet {
public:
    /// Receives a line of text for each decision and each result of an instance.
    using observer = std::function<void(time_point, const std::string& instance, const std::string& what)>;

    scripted_fleet(const fleet_settings& settings, observer observe);

    void set_instances(const std::vector<instance>& it);
    void start(const std::string& name);
    void stop(const std::string& name);
    /// In mode `stale`, the service returns no entry with a revision above `stale_revision`.
    void set_service(service_mode mode, std::int64_t stale_revision = 0);
    /// Publishes an entry with the next revision.
    void publish(entry it);
    /// Publishes an entry with its own revision, and shows it only to `reader`.
    void publish_to(const std::string& reader, entry it);
    /// Disconnects two instances, or an instance and "service".
    void cut(const std::string& a, const std::string& b);
    /// Removes all disconnections.
    void heal() { disconnected_pairs_.clear(); }
    void run(duration length);

    time_point now() const { return now_; }
    std::int64_t revision() const { return revision_; }
    const fleet_totals& totals() const { return totals_; }
    /// Returns the largest number of pulls that one instance answered since the last call, and resets the
    /// counts.
    std::int64_t extract_most_served();
    bool is_running(const std::string& name) const { return replicas_.count(name) != 0; }
    /// Returns the names of the running instances.
    std::vector<std::string> running() const;
    const fold& fold_of(const std::string& name) const { return replicas_.at(name)->store; }
    const synchronizer& sync_of(const std::string& name) const { return replicas_.at(name)->decisions; }
    /// Returns whether every running instance has version `number` or a later one in force.
    bool all_reached(std::int64_t number) const;

private:
    struct replica {
        std::string name;
        fold store;
        synchronizer decisions;
        time_point next_decision{};
        time_point next_heartbeat{};
        bool ready{};
        std::optional<std::pair<read_command, time_point>> read;
        std::optional<std::pair<pull_command, time_point>> pull;
    };

    struct published {
        entry it;
        std::string only_reader;
    };

    bool connected(const std::string& a, const std::string& b) const;
    std::int64_t visible_revision() const;
    void notify_observer(const replica& it, const std::string& what);
    void notify_outcome(const replica& it, const outcome& made);
    void update_position(replica& it);
    void step(replica& it);
    bool answer_read(replica& it);
    bool answer_pull(replica& it);
    void send_heartbeat(replica& it);
    void decide(replica& it);

    fleet_settings settings_;
    observer observe_;
    boost::random::minstd_rand random_{1};
    time_point now_{};
    std::int64_t start_count_{};
    service_mode mode_{service_mode::ok};
    std::int64_t stale_revision_{};
    std::int64_t revision_{};
    std::vector<published> entries_;
    std::vector<instance> instances_;
    std::map<std::string, std::unique_ptr<replica>> replicas_;
    std::set<std::pair<std::string, std::string>> disconnected_pairs_;
    fleet_totals totals_;
    std::map<std::string, std::int64_t> served_pulls_;
};

} // namespace limpetlock::config
