#include "request_metrics.hpp"

namespace limpetlock::server {

namespace {

constexpr double ms_per_second = 1000;

std::string team_class_of(const request_context& it)
{
    if (!it.version)
        return "none";
    const auto& teams = it.version->document.teams();
    const auto found = teams.find(it.team);
    return found == teams.end() ? "none" : found->second.size_class;
}

double to_seconds(duration it)
{
    return static_cast<double>(it.count()) / ms_per_second;
}

} // namespace

void request_metrics::record_request(const request_context& it, duration elapsed)
{
    const std::string rank(config::to_string(it.priority));
    const std::string size_class = team_class_of(it);
    const std::string outcome(it.error_code ? to_string(*it.error_code) : "ok");
    registry_
        .get_counter("limpetlock_requests_total", "Finished requests.",
                     {{"rank", rank}, {"team_class", size_class}, {"outcome", outcome}})
        .add();
    if (it.error_code)
        return;
    registry_
        .get_summary("limpetlock_request_seconds", "Time from the request's header to the end of its answer.",
                     {{"rank", rank}, {"team_class", size_class}})
        .observe(to_seconds(elapsed));
    if (it.time_to_first_token)
        registry_
            .get_summary("limpetlock_first_token_seconds",
                         "Time from the request's header to its first token.",
                         {{"rank", rank}, {"team_class", size_class}})
            .observe(to_seconds(*it.time_to_first_token));
    if (it.tokens > 0)
        registry_.get_counter("limpetlock_tokens_total", "Tokens delivered to callers.", {{"rank", rank}})
            .add(static_cast<std::uint64_t>(it.tokens));
}

} // namespace limpetlock::server
