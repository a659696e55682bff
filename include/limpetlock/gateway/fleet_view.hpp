/// \file
/// The gateway instances that this instance regards as live.
#pragma once

#include <limpetlock/http/client.hpp>
#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::gateway {

/// One gateway instance.
struct member {
    std::string name;
    http::address address;       ///< where it accepts peer connections
    std::string domain;          ///< failure domain
    std::int64_t capacity{1000}; ///< thousandths of a core
    std::int64_t run_id{0};      ///< random; distinguishes two processes of one name
    bool stopping{false};        ///< takes no new work
    bool overloaded{false};      ///< gives up the duties that others can take

    friend bool operator==(const member&, const member&) = default;
};

/// The data of an instance and its age.
struct member_report {
    member info;
    duration age{0}; ///< time since the last contact
};

/// The instances of the fleet and the time of the last contact with each.
class fleet_view {
public:
    explicit fleet_view(member own) : own_(std::move(own)) {}

    /// Records a report that came from the instance itself (age 0) or from another one (greater age).
    void record_contact(const member_report& report, time_point now);

    /// Records that a call to the instance got no answer. It isn't live until it sends a message itself:
    /// reports of others don't count, because only the link to this instance may be cut.
    void mark_unreachable(std::string_view name);

    /// Whether the instance is marked so, or unknown.
    bool is_unreachable(std::string_view name) const;

    /// Records that this process was suspended for this long until `now`. No contact could arrive meanwhile,
    /// so the instances that were live before stay so for as long as without the suspension.
    void record_suspension(duration length, time_point now);

    void set_stopping()
    {
        own_.stopping = true;
        ++version_;
    }

    /// Records whether this instance gives up its duties.
    void set_overloaded(bool it)
    {
        own_.overloaded = it;
        ++version_;
    }

    /// Records that the instance stated in a reply that it gives up its duties.
    void mark_overloaded(std::string_view name);

    /// Grows when an instance appears, is removed, becomes unreachable or reachable again, or changes its
    /// data. It doesn't show that an instance stops being live for lack of contact.
    std::uint64_t version() const { return version_; }

    const member& own() const { return own_; }

    /// This instance and the other live ones, ordered by name. Stopping ones are left out if
    /// `exclude_stopping` is set.
    std::vector<member> live_instances(time_point now, bool exclude_stopping) const;

    /// Reports of the instances with a contact within `retention`, the most recent first.
    std::vector<member_report> recent_reports(time_point now, std::size_t max_reports) const;

    /// Upper estimate of the number of instances: all with a contact within `retention`, and at least
    /// `min_size`, because a new instance has not met all others yet.
    std::size_t size_estimate(time_point now, std::size_t min_size) const;

    /// Removes the instances without a contact within `retention`.
    void remove_expired(time_point now);

    /// An instance without a contact for this long isn't live. In a large fleet reports pass over several
    /// instances, so the time grows with the size of the fleet.
    duration timeout() const;

    /// How long an instance is kept after the last contact.
    static constexpr duration retention{30'000};

private:
    struct entry {
        member info;
        time_point last_contact{};
        bool unreachable{false}; ///< a call got no answer since its last own message
    };

    bool is_live(const entry& it, time_point now) const;

    member own_;
    duration suspension_{0}; ///< length of the last suspension
    time_point resumed_at_{};
    std::map<std::string, entry, std::less<>> others_;
    std::uint64_t version_{0};
};

/// Weight of an instance of this capacity in the order of by_responsibility.
double responsibility_weight(std::int64_t capacity);

/// Score by which by_responsibility orders the instances that aren't overloaded; the highest is first. `seed`
/// is the hash of the key.
double responsibility_score(std::uint64_t seed, std::string_view name, double weight);

/// Returns the instances in the order in which they are responsible for a key. It is rendezvous hashing with
/// weights that strongly prefer instances of large capacity. Overloaded instances are last.
std::vector<member> by_responsibility(std::string_view key, std::vector<member> members);

} // namespace limpetlock::gateway
