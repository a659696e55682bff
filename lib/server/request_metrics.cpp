#include "request_metrics.hpp"

#include <fmt/format.h>

namespace limpetlock::server {

void request_metrics::finished(const request_context& it, duration)
{
    std::string size_class = "none";
    if (it.version)
        if (const auto team = it.version->document.teams().find(it.team);
            team != it.version->document.teams().end())
            size_class = team->second.size_class;
    const auto outcome = it.refused ? to_string(*it.refused) : std::string_view("ok");
    const std::lock_guard lock(mutex_);
    ++counts_[fmt::format("{}/{}/{}", config::to_string(it.priority), size_class, outcome)];
}

std::map<std::string, std::uint64_t> request_metrics::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace limpetlock::server
