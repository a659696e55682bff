#include <limpetlock/gateway/back_off.hpp>
#include <limpetlock/gateway/load_aware_selector.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace limpetlock::gateway {

namespace {

/// Cost of an endpoint in another failure domain: two messages that take 1.4 ms longer each way, and the
/// transfer of stage results over the links between domains. Differences in load of one or two requests
/// aren't worth it.
constexpr double other_domain_ms = 6;
constexpr double results_elsewhere_ms = 25;

/// Shared parts of one prompt that are remembered, so that a prompt of many parts doesn't displace the
/// others.
constexpr std::size_t max_recorded_parts = 16;

/// Probes in a row without an answer in time after which an endpoint isn't probed, at first and at most.
constexpr std::uint32_t tolerated_unanswered = 2;
constexpr duration min_probe_pause{1'000};
constexpr duration max_probe_pause{16'000};

routing::drawable_endpoint candidate_of(const eligible_endpoint& it)
{
    return {it.listed->id, it.listed->domain};
}

const eligible_endpoint* find(const std::vector<eligible_endpoint>& list, std::string_view id)
{
    const auto it = std::find_if(list.begin(), list.end(),
                                 [id](const eligible_endpoint& one) { return one.listed->id == id; });
    return it == list.end() ? nullptr : &*it;
}

} // namespace

load_aware_selector::load_aware_selector(const endpoint_selector& selector,
                                         const endpoint_statements& statements, std::uint64_t seed)
    : selector_(selector), statements_(statements), random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

void load_aware_selector::set_endpoints(const std::vector<endpoint>& endpoints)
{
    std::set<std::string, std::less<>> ids;
    std::set<std::string, std::less<>> pools;
    for (const auto& it : endpoints) {
        ids.insert(it.id);
        pools.insert(it.pool);
    }
    estimator_.retain(ids, pools);
    std::erase_if(unanswered_probes_, [&ids](const auto& it) { return !ids.contains(it.first); });
}

void load_aware_selector::record_probe(const std::string& endpoint_id, bool in_time, time_point now)
{
    if (in_time) {
        unanswered_probes_.erase(endpoint_id);
        return;
    }
    auto& it = unanswered_probes_[endpoint_id];
    if (++it.unanswered >= tolerated_unanswered)
        it.not_before =
            now + back_off(min_probe_pause, it.unanswered - tolerated_unanswered, max_probe_pause);
}

bool load_aware_selector::may_probe(const std::string& endpoint_id, time_point now) const
{
    const auto it = unanswered_probes_.find(endpoint_id);
    return !statements_.limit_of(endpoint_id, now) &&
           (it == unanswered_probes_.end() || it->second.not_before <= now);
}

bool load_aware_selector::is_enabled(std::string_view pool, time_point now) const
{
    return estimator_.states_time_factor(pool, now);
}

void load_aware_selector::record_load(const endpoint& from, const load_report& load, time_point as_of)
{
    constexpr double percent = 100;
    routing::stated_load it{load.running, load.waiting, std::nullopt};
    if (load.time_percent)
        it.time_factor = *load.time_percent / percent;
    else if (!is_enabled(from.pool, as_of))
        return;
    estimator_.record_report(from.pool, from.id, it, as_of);
}

/// An engine is assumed to have the leading parts that requests with the same affinity share if it is one of
/// their homes, those of the same session if it is the first home, and those that were sent there.
routing::request_work load_aware_selector::work_at(const endpoint& to, const request_profile& it,
                                                   const eligible_endpoints& eligible, time_point now) const
{
    const bool with_affinity = it.criteria.affinity_hash != 0;
    const bool home = with_affinity && find(eligible.homes, to.id) != nullptr;
    const bool first_home = home && eligible.homes.front().listed->id == to.id;
    routing::request_work out;
    out.prompt_tokens = it.prompt_tokens;
    double sum = 0;
    bool leading = true;
    bool shared_by_homes = home;
    for (std::size_t n = 0; n < it.prompt.size(); ++n) {
        const auto& part = it.prompt[n];
        sum += part.tokens;
        const bool shared = n + 1 < it.prompt.size();
        leading =
            leading && shared && (first_home || shared_by_homes || placements_.has(part.id, to.id, now));
        if (leading)
            out.cached_tokens += part.tokens;
        shared_by_homes = shared_by_homes && part.id != it.affinity_part;
    }
    out.prompt_tokens = std::max(out.prompt_tokens, sum);
    return out;
}

double load_aware_selector::domain_cost(const endpoint& to, const request_profile& it) const
{
    if (!it.results_domain.empty())
        return to.domain == it.results_domain ? 0 : results_elsewhere_ms;
    return to.domain == it.criteria.domain ? 0 : other_domain_ms;
}

routing::time_estimate load_aware_selector::expected_time(const endpoint& to, const request_profile& it,
                                                          time_point now) const
{
    const auto eligible = selector_.eligible(it.criteria, now);
    return estimator_.expected_time(to.pool, to.id, work_at(to, it, eligible, now), now);
}

std::vector<drawn_endpoint> load_aware_selector::draw(const request_profile& it, time_point now)
{
    std::vector<drawn_endpoint> out;
    if (!is_enabled(it.criteria.pool, now))
        return out;
    const auto eligible = selector_.eligible(it.criteria, now);
    if (eligible.homes.empty())
        return out;
    // Those with a limit need a permit and must not be preferred, so only the usual endpoint may have one.
    std::vector<routing::drawable_endpoint> homes;
    std::vector<routing::drawable_endpoint> others;
    for (const auto& one : eligible.homes)
        if (homes.empty() || !statements_.limit_of(one.listed->id, now))
            homes.push_back(candidate_of(one));
    for (const auto& one : eligible.all)
        if (find(eligible.homes, one.listed->id) == nullptr && !statements_.limit_of(one.listed->id, now))
            others.push_back(candidate_of(one));
    const auto& domain = it.results_domain.empty() ? it.criteria.domain : it.results_domain;
    const auto& usual = *eligible.homes.front().listed;
    const auto usual_time =
        estimator_.expected_time(usual.pool, usual.id, work_at(usual, it, eligible, now), now);
    for (const auto& one : routing::draw_candidates(homes, others, domain, random_)) {
        const auto& listed = *find(eligible.all, one.endpoint)->listed;
        out.push_back({listed, usual_time.ms >= min_probed_ms && may_probe(listed.id, now) &&
                                   !estimator_.has_fresh_report(listed.id, now)});
    }
    return out;
}

std::optional<load_aware_choice>
load_aware_selector::pick(const request_profile& it, const std::vector<drawn_endpoint>& drawn, time_point now)
{
    const auto eligible = selector_.eligible(it.criteria, now);
    std::vector<routing::rated_candidate> rated;
    for (const auto& one : drawn) {
        const auto* const now_eligible = find(eligible.all, one.to.id);
        if (now_eligible == nullptr)
            continue;
        const auto& to = *now_eligible->listed;
        const auto estimate = estimator_.expected_time(to.pool, to.id, work_at(to, it, eligible, now), now);
        rated.push_back({to.id, estimate, estimate.ms * (now_eligible->handicap - 1) + domain_cost(to, it)});
    }
    if (rated.empty())
        return std::nullopt;
    const auto order = routing::pick_candidate(rated, random_);
    load_aware_choice out;
    out.winner = rated[order.winner];
    out.to = *find(eligible.all, out.winner.endpoint)->listed;
    out.usual = out.to.id == eligible.homes.front().listed->id;
    if (order.runner_up)
        out.runner_up = rated[*order.runner_up];
    return out;
}

load_aware_selector::begun_request
load_aware_selector::begin_request(const endpoint& to, const request_profile& it, time_point now)
{
    const auto work = work_at(to, it, selector_.eligible(it.criteria, now), now);
    const begun_request out{++requests_begun_, estimator_.expected_time(to.pool, to.id, work, now)};
    estimator_.begin_request(to.pool, to.id, out.number, work, now);
    for (std::size_t n = 0; n + 1 < it.prompt.size() && n < max_recorded_parts; ++n)
        placements_.record(it.prompt[n].id, to.id, now);
    return out;
}

std::optional<double> estimated_request::record_first_event(time_point now)
{
    if (std::exchange(measured_, true))
        return std::nullopt;
    selector_.end_request(to_.id, begun_.number);
    selector_.record_time(to_, begun_.estimate, now - sent_, now);
    return static_cast<double>((now - sent_).count()) / std::max(1.0, begun_.estimate.ms);
}

} // namespace limpetlock::gateway
