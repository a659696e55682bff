/// \file
/// Issues the permits for requests to endpoints that limit the rate of their requests.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace limpetlock::gateway {

/// Permits that an endpoint with a limit has at most. The platform allows a burst of 5.
inline constexpr double max_saved_permits = 3;

/// A request for a permit: the right to send one request to an endpoint.
struct permit_request {
    std::string endpoint;
    double max_rate{0};                  ///< limit of the endpoint in requests a second
    duration max_wait{0};                ///< longest time that the request can wait until it is sent
    std::string team;                    ///< that the request belongs to; empty if unknown
    double max_saved{max_saved_permits}; ///< permits that accumulate at most
    bool cold{false};                    ///< the endpoint is cold, as far as the one that asks knows

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

struct permit {
    bool granted{false};
    /// If granted, the time until the request may be sent; otherwise the time after which to ask again.
    duration wait{0};
    duration lifetime{0}; ///< longest time from then until its use; 0 if the issuer doesn't say

    friend bool operator==(const permit&, const permit&) = default;
};

/// Issues the permits of the endpoints for which this instance is responsible. Dividing a limit among the
/// instances would not keep it: the permits that each one saves up are used in the same burst.
///
/// Permits accumulate up to max_saved. An endpoint that is new here starts without any, because another
/// instance may have issued its permits until now. A request that can wait may take a permit of the future.
/// While permits are short, a team that got more than its share takes no permits of the future.
class permit_issuer {
public:
    static constexpr double max_saved = max_saved_permits;

    /// Least rate of permits, in permits a second. An endpoint that takes nothing would otherwise never be
    /// asked again whether it does.
    static constexpr double min_rate = 0.1;

    /// Instances that get no permit ask again one after the other, but after this time at the latest.
    static constexpr duration max_stagger{1'000};

    /// Time constant of the moving averages of what teams get.
    static constexpr duration share_time{5'000};

    /// Permits of an endpoint that nobody asked for are forgotten after this time.
    static constexpr duration retention{60'000};

    permit request(const permit_request& it, time_point now);

    /// Time until a permit is available, without taking it.
    duration time_to_permit(std::string_view endpoint, double max_rate, double max_permits, time_point now);

private:
    void remove_expired(time_point now);
    struct team_share {
        double requested{0};
        double granted{0};
    };
    struct account {
        double permits{0}; ///< below 0 while permits of the future are taken
        double rate{min_rate};
        time_point at{};       ///< time of the last update
        std::size_t denied{0}; ///< requests denied since the last grant
        std::map<std::string, team_share, std::less<>> teams;
    };

    account& update(std::string_view endpoint, double max_rate, double max_permits, time_point now);
    static duration time_to_permit(const account& it);
    static bool exceeds_share(const account& it, const std::string& team);

    std::map<std::string, account, std::less<>> accounts_;
};

} // namespace limpetlock::gateway
