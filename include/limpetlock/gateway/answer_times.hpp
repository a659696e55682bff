/// \file
/// Estimates how long endpoints take for whole answers.
#pragma once

#include <limpetlock/support/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlock::gateway {

/// Moving averages of the time from sending a request to the end of its answer, for each route.
class answer_times {
public:
    void record(const std::string& route, duration took);

    /// The time within which most answers of the route end: the average and twice the average deviation.
    /// nullopt for a route without an answer yet.
    std::optional<duration> expected(std::string_view route) const;

private:
    struct averages {
        double time_ms{0};
        double deviation_ms{0};
    };

    std::map<std::string, averages, std::less<>> routes_;
};

} // namespace limpetlock::gateway
