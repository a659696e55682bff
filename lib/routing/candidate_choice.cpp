#include <limpetlock/routing/candidate_choice.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::routing {

namespace {

/// Costs that differ by less than this count as equal. Estimates aren't more exact than that.
constexpr double tie_ms = 2;
constexpr double tie_share = 0.03;

/// Without a fresh report, an estimate isn't more exact than this, so a candidate has to be better by as much
/// for a request to leave the usual endpoint. With less, requests wander between endpoints that hardly differ
/// and spoil the caches: the median time rises by a quarter when no probe is answered.
constexpr double uncertainty = 0.25;

bool is_fresh(const rated_candidate& it)
{
    return it.estimate.report_age && *it.estimate.report_age <= time_estimator::fresh_report_age;
}

/// Moves a random element out of the list.
drawable_endpoint take_random(std::vector<drawable_endpoint>& from, std::minstd_rand& random)
{
    const auto at = from.begin() + static_cast<std::ptrdiff_t>(random() % from.size());
    drawable_endpoint out = std::move(*at);
    *at = std::move(from.back());
    from.pop_back();
    return out;
}

} // namespace

std::vector<drawable_endpoint> draw_candidates(const std::vector<drawable_endpoint>& homes,
                                               const std::vector<drawable_endpoint>& others,
                                               const std::string& domain, std::minstd_rand& random)
{
    std::vector<drawable_endpoint> out;
    if (homes.empty())
        return out;
    out.push_back(homes.front());
    bool outside = homes.front().domain != domain;
    const auto add_from = [&](std::vector<drawable_endpoint> from, std::size_t count) {
        std::vector<drawable_endpoint> inside;
        std::vector<drawable_endpoint> elsewhere;
        for (auto& it : from)
            (it.domain == domain ? inside : elsewhere).push_back(std::move(it));
        for (; count > 0 && !inside.empty(); --count)
            out.push_back(take_random(inside, random));
        if (count > 0 && !elsewhere.empty() && (!outside || out.size() == 1)) {
            out.push_back(take_random(elsewhere, random));
            outside = true;
        }
    };
    add_from({homes.begin() + 1, homes.end()}, 1);
    add_from(others, max_candidates - out.size());
    return out;
}

ranking pick_candidate(const std::vector<rated_candidate>& rated, std::minstd_rand& random)
{
    const auto cost = [&](std::size_t n) {
        const double margin = n == 0 || is_fresh(rated[n]) ? 1 : 1 + uncertainty;
        return rated[n].estimate.ms * margin + rated[n].cost_ms;
    };
    std::vector<std::size_t> order;
    for (std::size_t n = 0; n < rated.size(); ++n)
        order.push_back(n);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return cost(a) < cost(b); });
    const double bound = cost(order.front()) * (1 + tie_share) + tie_ms;
    const auto tied_end =
        std::find_if(order.begin(), order.end(), [&](std::size_t n) { return cost(n) > bound; });
    const auto tied = static_cast<std::size_t>(tied_end - order.begin());
    auto winner = std::find(order.begin(), tied_end, std::size_t{0});
    if (winner == tied_end || is_fresh(rated.front()))
        winner = order.begin() + static_cast<std::ptrdiff_t>(random() % tied);
    std::rotate(order.begin(), winner, winner + 1);
    ranking out{order.front(), std::nullopt};
    if (order.size() > 1)
        out.runner_up = order[1];
    return out;
}

} // namespace limpetlock::routing
