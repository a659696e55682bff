#include <limpetlock/routing/load_reports.hpp>

#include <algorithm>

namespace limpetlock::routing {

namespace {

/// Weight of one report in the moving average of the time factor. Slow periods last about 0.6 s and an
/// instance sees an endpoint every few seconds, so the reports are nearly independent samples.
constexpr double usual_factor_weight = 0.1;

} // namespace

void load_reports::retain(const std::set<std::string, std::less<>>& endpoints)
{
    std::erase_if(endpoints_, [&](const auto& it) { return !endpoints.contains(it.first); });
}

bool load_reports::record(const std::string& endpoint, const stated_load& load, time_point as_of)
{
    auto& it = endpoints_[endpoint];
    if (it.last && it.last->as_of > as_of)
        return false;
    double usual = it.last ? it.last->usual_time_factor : 1;
    if (load.time_factor)
        usual += usual_factor_weight * (*load.time_factor - usual);
    it.last = report{load, as_of, usual};
    return true;
}

const load_reports::report* load_reports::find(std::string_view endpoint) const
{
    const auto it = endpoints_.find(endpoint);
    return it == endpoints_.end() || !it->second.last ? nullptr : &*it->second.last;
}

std::optional<duration> load_reports::age(std::string_view endpoint, time_point now) const
{
    const auto* const it = find(endpoint);
    if (it == nullptr)
        return std::nullopt;
    return std::max(duration{0}, now - it->as_of);
}

void load_reports::begin_request(const std::string& endpoint, std::uint64_t request, double tokens,
                                 time_point now)
{
    auto& open = endpoints_[endpoint].open;
    std::erase_if(open, [now](const open_request& it) { return now - it.sent > max_request_age; });
    if (open.size() < max_open_requests)
        open.push_back({request, tokens, now});
}

void load_reports::end_request(std::string_view endpoint, std::uint64_t request)
{
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end())
        std::erase_if(it->second.open, [request](const open_request& open) { return open.id == request; });
}

own_requests load_reports::requests_since(std::string_view endpoint, time_point from, time_point now) const
{
    own_requests out;
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return out;
    for (const auto& it : found->second.open)
        if (it.sent >= from && now - it.sent <= max_request_age) {
            ++out.count;
            out.tokens += it.tokens;
        }
    return out;
}

} // namespace limpetlock::routing
