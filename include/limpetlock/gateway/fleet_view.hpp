/// \file
/// Which instances of the gateway live, as one of them sees it.
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

struct member {
    std::string name;
    http::address address;
    std::string domain;
    std::int64_t capacity{1000}; ///< thousandths of a core
    std::int64_t incarnation{0}; ///< random number of the process
    bool stopping{false};

    friend bool operator==(const member&, const member&) = default;
};

struct member_report {
    member info;
    duration age{0}; ///< since it was last heard
};

class fleet_view {
public:
    explicit fleet_view(member own) : own_(std::move(own)) {}

    /// News from the instance itself (age 0) or from another one.
    void record_contact(const member_report& report, time_point now);

    /// A call to the instance got no answer. It doesn't count as live until it is heard
    /// directly again; that others still hear it may be a cut between the two.
    void mark_unreachable(std::string_view name);

    void set_stopping() { own_.stopping = true; }

    const member& own() const { return own_; }

    /// This instance and the others that were heard lately, in the order of their names. Stopping ones are
    /// left out when `working` is set.
    std::vector<member> live_members(time_point now, bool exclude_stopping) const;

    /// All that were heard within forget_after, with their age, the most recent first.
    std::vector<member_report> recent_reports(time_point now, std::size_t max_reports) const;

    /// Upper estimate of the number of instances: all that were heard within forget_after. Never below
    /// `least`, which stands for those that a new instance has not met yet.
    std::size_t size_estimate(time_point now, std::size_t min_size) const;

    /// Drops those that were not heard for forget_after.
    void remove_expired(time_point now);

    /// An instance that was not heard for this long counts as gone. News travel over several instances in a
    /// large fleet, so the time grows with it.
    duration timeout() const;

    static constexpr duration retention{30'000};

private:
    struct entry {
        member info;
        time_point last_contact{};
        bool unreachable{false};
    };

    bool is_live(const entry& it, time_point now) const;

    member own_;
    std::map<std::string, entry, std::less<>> others_;
};

/// The instances in the order in which they are responsible for a key: rendezvous hashing that
/// strongly prefers large ones.
std::vector<member> by_responsibility(std::string_view key, std::vector<member> members);

} // namespace limpetlock::gateway
