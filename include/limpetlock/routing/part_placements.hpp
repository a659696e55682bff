/// \file
/// The endpoints to which this process recently sent each shared part of a prompt.
#pragma once

#include <limpetlock/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpetlock::routing {

class part_placements {
public:
    void record(std::uint64_t part, const std::string& endpoint, time_point now);

    /// Whether the part was sent to the endpoint within `lifetime`.
    bool has(std::uint64_t part, std::string_view endpoint, time_point now) const;

    std::size_t size() const { return parts_.size(); }

    /// Engines evict a part that isn't used. At the usual rate a cache of 786,000 tokens turns over in about
    /// this time.
    static constexpr duration lifetime{30'000};

    /// Bounds of the memory: parts, and endpoints of one part.
    static constexpr std::size_t max_parts = 2'048;
    static constexpr std::size_t max_endpoints = 4;

private:
    struct placement {
        std::string endpoint;
        time_point at;
    };

    std::unordered_map<std::uint64_t, std::vector<placement>> parts_;
};

} // namespace limpetlock::routing
