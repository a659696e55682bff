/// \file
/// Chooses the instances that watch the configuration service.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlock::config {

/// An entry instance from the instance list.
struct instance {
    std::string name;
    std::string failure_domain;
    bool leaving{};

    friend bool operator==(const instance&, const instance&) = default;
};

/// Returns the names of the instances that watch the service, sorted: in each failure domain the `per_domain`
/// instances with the highest rendezvous hashes. Leaving instances are chosen only if a domain has too few
/// others. The result does not depend on the order of the list, and adding or removing an instance changes
/// only the watchers of its own domain.
std::vector<std::string> choose_watchers(const std::vector<instance>& instances, std::size_t per_domain);

} // namespace limpetlock::config
