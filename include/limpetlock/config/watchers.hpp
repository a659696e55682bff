/// \file
/// Which instances watch the configuration service.
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

/// The instances that watch the service: in each failure domain the `per_domain` instances with the highest
/// rendezvous hash, sorted by name. Leaving instances watch only where a domain has no other. The result does
/// not depend on the order of the list, and one instance more or less changes the watchers of its own domain
/// only.
std::vector<std::string> choose_watchers(const std::vector<instance>& instances, std::size_t per_domain);

} // namespace limpetlock::config
