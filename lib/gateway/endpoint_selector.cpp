#include <limpetlock/gateway/back_off.hpp>
#include <limpetlock/gateway/endpoint_selector.hpp>
#include <limpetlock/support/hash.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace limpetlock::gateway {

namespace {

/// Back-off after a failed attempt; for unreachable and broken ones it doubles with each further failure, up
/// to max_back_off.
constexpr duration unreachable_back_off{500};
constexpr duration broken_back_off{300};
constexpr duration overloaded_back_off{100};
constexpr duration max_back_off{6'000};
constexpr duration replaced_back_off{10'000};

/// Broken attempts in a row before the endpoint is backed off.
constexpr std::uint32_t tolerated_failures = 1;

/// Weight of one attempt in the moving average of errors.
constexpr double error_weight = 0.15;

/// Requests that an error share of 1 counts for in the load.
constexpr double error_cost = 3;

/// A load report is ignored when it is older than this.
constexpr duration report_lifetime{2'000};

/// An endpoint with a greater load per slot isn't selected by affinity.
constexpr double affinity_load_limit = 0.85;

/// Requests with the same affinity hash go to one endpoint for each `endpoints_per_copy` of the pool, and to
/// max_copies at most. A single endpoint can't serve a part of a prompt that a tenth of the requests begin
/// with, and with many instances each one gets load reports too rarely to spread these requests in time.
constexpr std::size_t endpoints_per_copy = 8;
constexpr std::size_t max_copies = 16;

/// A request goes to another failure domain only if the load per slot there is smaller by more than this.
constexpr double domain_cost = 0.02;

/// Bound of the handicap of an endpoint that has just ended its pause.
constexpr double min_return_share = 0.05;

} // namespace

void endpoint_selector::set_endpoints(const std::vector<endpoint>& endpoints, time_point now)
{
    std::map<std::string, endpoint_state, std::less<>> next;
    pools_.clear();
    evacuated_.clear();
    for (const auto& it : endpoints) {
        const auto found = endpoints_.find(it.id);
        const bool same = found != endpoints_.end() && found->second.listed.started_ms == it.started_ms &&
                          found->second.listed.address == it.address;
        endpoint_state entry = same ? found->second : endpoint_state{};
        entry.listed = it;
        next.emplace(it.id, std::move(entry));
        if (!it.leaving && !it.evacuated)
            pools_[it.pool].push_back(it.id);
        else if (!it.leaving)
            ++evacuated_[it.pool];
    }
    // Endpoints with attempts in flight are kept until these end.
    for (auto& [id, it] : endpoints_)
        if (it.in_flight > 0 && !next.contains(id)) {
            it.listed.leaving = true;
            it.avoid_until = now + max_back_off;
            next.emplace(id, it);
        }
    endpoints_ = std::move(next);
}

double endpoint_selector::load_of(const endpoint_state& it, time_point now) const
{
    double load = it.in_flight;
    if (it.load_at != time_point{} && now - it.load_at < report_lifetime)
        load = std::max(load, static_cast<double>(it.load.running + it.load.waiting));
    return (load + it.error_share * error_cost) / std::max<double>(1, it.listed.slots) /
           return_share(it.listed.id, now);
}

double endpoint_selector::return_share(const std::string& id, time_point now) const
{
    return statements_ == nullptr ? 1 : statements_->return_share(id, now);
}

/// Whether the endpoint is left out at this moment so that it gets its share of the usual requests only. The
/// load alone doesn't thin out the requests to an idle endpoint.
bool endpoint_selector::is_left_out(const endpoint_state& it, time_point now) const
{
    const double share = statements_ == nullptr ? 1 : statements_->return_share(it.listed.id, now);
    if (share >= 1)
        return false;
    const std::uint64_t point = hash64(it.listed.id, static_cast<std::uint64_t>(to_ms(now))) >> 11;
    return static_cast<double>(point) * 0x1p-53 >= share;
}

bool endpoint_selector::is_paused(const std::string& id, time_point now) const
{
    return statements_ != nullptr && statements_->paused_until(id, now).has_value();
}

bool endpoint_selector::is_cold(const std::string& id, time_point now) const
{
    return statements_ != nullptr && statements_->is_cold(id, now);
}

std::optional<time_point> endpoint_selector::next_pause_end(const selection_criteria& criteria,
                                                            time_point now) const
{
    std::optional<time_point> out;
    if (statements_ == nullptr)
        return out;
    for (const auto* it : untried(criteria))
        if (const auto until = statements_->paused_until(it->listed.id, now))
            out = std::min(*until, out.value_or(*until));
    return out;
}

std::vector<const endpoint_selector::endpoint_state*>
endpoint_selector::untried(const selection_criteria& criteria) const
{
    std::vector<const endpoint_state*> out;
    const auto found = pools_.find(criteria.pool);
    if (found == pools_.end())
        return out;
    for (const auto& id : found->second)
        if (std::find(criteria.tried.begin(), criteria.tried.end(), id) == criteria.tried.end())
            out.push_back(&endpoints_.at(id));
    return out;
}

std::vector<endpoint_selector::candidate> endpoint_selector::candidates(const selection_criteria& criteria,
                                                                        time_point now) const
{
    std::vector<candidate> out;
    for (const auto* it : untried(criteria)) {
        if (it->held_until > now || is_paused(it->listed.id, now))
            continue;
        const double load = load_of(*it, now);
        const bool suspected = std::find(criteria.suspected.begin(), criteria.suspected.end(),
                                         it->listed.id) != criteria.suspected.end();
        const bool overloaded = criteria.affinity_hash != 0 && load > affinity_load_limit;
        out.push_back({it, it->avoid_until > now, is_left_out(*it, now), is_cold(it->listed.id, now),
                       suspected, overloaded, load, 0});
    }
    const bool warm_has_room = std::any_of(out.begin(), out.end(), [](const candidate& it) {
        return !it.avoided && !it.returning && !it.cold && !it.suspected && it.load <= affinity_load_limit;
    });
    if (!warm_has_room)
        for (auto& it : out)
            it.cold = false;
    return out;
}

void endpoint_selector::hold_back(const std::string& id, time_point until)
{
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end())
        it->second.held_until = until;
}

std::optional<endpoint> endpoint_selector::next_held_back(const selection_criteria& criteria,
                                                          time_point now) const
{
    const endpoint_state* best = nullptr;
    for (const auto* it : untried(criteria))
        if (it->held_until > now && !is_paused(it->listed.id, now) &&
            (best == nullptr || it->held_until < best->held_until))
            best = it;
    if (best == nullptr)
        return std::nullopt;
    return best->listed;
}

std::optional<endpoint> endpoint_selector::select(const selection_criteria& criteria, time_point now) const
{
    return select_among(candidates(criteria, now), criteria, now);
}

/// Endpoints with affinity are selected by rendezvous hashing, so most hashes keep their endpoints when the
/// list changes.
std::optional<endpoint> endpoint_selector::select_among(std::vector<candidate> all,
                                                        const selection_criteria& criteria,
                                                        time_point now) const
{
    if (all.empty())
        return std::nullopt;
    const auto by_state = [](const candidate& a, const candidate& b) {
        return std::tie(a.avoided, a.suspected, a.returning, a.cold, a.overloaded) <
               std::tie(b.avoided, b.suspected, b.returning, b.cold, b.overloaded);
    };
    const candidate best = *std::min_element(all.begin(), all.end(), by_state);
    std::erase_if(all, [&](const candidate& it) { return by_state(best, it); });
    if (criteria.affinity_hash == 0 || best.overloaded) {
        const auto cost = [&](const candidate& it) {
            // Differs between endpoints and from one millisecond to the next, and stays below domain_cost.
            const double tie_break =
                static_cast<double>(hash64(it.state->listed.id, static_cast<std::uint64_t>(to_ms(now))) >>
                                    40) *
                1e-10;
            return it.load + (it.state->listed.domain == criteria.domain ? 0 : domain_cost) + tie_break;
        };
        return std::min_element(all.begin(), all.end(),
                                [&](const candidate& a, const candidate& b) { return cost(a) < cost(b); })
            ->state->listed;
    }
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(sort_homes(all, criteria));
    if (criteria.session_hash == 0)
        return all.front().state->listed;
    for (auto it = all.begin(); it != end; ++it)
        it->hash_score = hash64(it->state->listed.id, criteria.session_hash);
    const auto higher = [](const candidate& a, const candidate& b) { return a.hash_score > b.hash_score; };
    return std::min_element(all.begin(), end, higher)->state->listed;
}

std::size_t endpoint_selector::sort_homes(std::vector<candidate>& all,
                                          const selection_criteria& criteria) const
{
    for (auto& it : all)
        it.hash_score = hash64(it.state->listed.id, criteria.affinity_hash);
    const auto higher = [](const candidate& a, const candidate& b) { return a.hash_score > b.hash_score; };
    const std::size_t copies = std::clamp<std::size_t>(pools_.at(criteria.pool).size() / endpoints_per_copy,
                                                       1, std::min(max_copies, all.size()));
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(copies), all.end(), higher);
    return copies;
}

eligible_endpoints endpoint_selector::eligible(const selection_criteria& criteria, time_point now) const
{
    eligible_endpoints out;
    auto all = candidates(criteria, now);
    const auto usual = select_among(all, criteria, now);
    if (!usual)
        return out;
    const auto by_state = [](const candidate& a, const candidate& b) {
        return std::tie(a.avoided, a.suspected) < std::tie(b.avoided, b.suspected);
    };
    const candidate best = *std::min_element(all.begin(), all.end(), by_state);
    std::erase_if(all, [&](const candidate& it) { return by_state(best, it); });
    const std::size_t homes = criteria.affinity_hash == 0 ? 0 : sort_homes(all, criteria);
    for (const auto& it : all) {
        const double share = std::max(min_return_share, return_share(it.state->listed.id, now));
        out.all.push_back({&it.state->listed, (1 + it.state->error_share * error_cost) / share});
        if (it.state->listed.id == usual->id)
            out.homes.insert(out.homes.begin(), out.all.back());
        else if (out.all.size() <= homes)
            out.homes.push_back(out.all.back());
    }
    return out;
}

bool endpoint_selector::has_waiting_requests(const std::string& id, time_point now) const
{
    const auto it = endpoints_.find(id);
    return it != endpoints_.end() && it->second.load_at != time_point{} &&
           now - it->second.load_at < report_lifetime && it->second.load.waiting > 0;
}

endpoint_selector::waiting_count endpoint_selector::count_waiting(const selection_criteria& criteria,
                                                                  time_point now) const
{
    waiting_count out;
    for (const auto* it : untried(criteria)) {
        if (it->load_at == time_point{} || now - it->load_at >= report_lifetime)
            continue;
        ++out.reporting;
        out.waiting += it->load.waiting > 0 ? 1 : 0;
    }
    return out;
}

bool endpoint_selector::is_backed_off(const std::string& id, time_point now) const
{
    const auto it = endpoints_.find(id);
    return it != endpoints_.end() && it->second.avoid_until > now;
}

void endpoint_selector::begin_attempt(const std::string& id, time_point)
{
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end())
        ++it->second.in_flight;
}

void endpoint_selector::penalize(endpoint_state& it, duration base, time_point now)
{
    it.avoid_until = now + back_off(base, it.failures, max_back_off);
}

void endpoint_selector::end_attempt(const std::string& id, attempt_outcome outcome, time_point now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    endpoint_state& it = found->second;
    if (it.in_flight > 0)
        --it.in_flight;
    switch (outcome) {
    case attempt_outcome::answered:
        it.failures = 0;
        it.error_share -= error_weight * it.error_share;
        break;
    case attempt_outcome::endpoint_error:
        it.failures = 0;
        it.error_share += error_weight * (1 - it.error_share);
        break;
    case attempt_outcome::overloaded:
        it.avoid_until = std::max(it.avoid_until, now + overloaded_back_off);
        break;
    case attempt_outcome::unreachable:
        penalize(it, unreachable_back_off, now);
        ++it.failures;
        break;
    case attempt_outcome::broken:
        it.error_share += error_weight * (1 - it.error_share);
        if (++it.failures > tolerated_failures)
            penalize(it, broken_back_off, now);
        break;
    case attempt_outcome::replaced:
        it.avoid_until = now + replaced_back_off;
        break;
    case attempt_outcome::cancelled:
        break;
    }
}

void endpoint_selector::record_load(const std::string& id, const load_report& load, time_point now)
{
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end())
        return;
    it->second.load = load;
    it->second.load_at = now;
}

std::vector<endpoint> endpoint_selector::available_endpoints(std::string_view pool) const
{
    std::vector<endpoint> out;
    const auto found = pools_.find(pool);
    if (found != pools_.end())
        for (const auto& id : found->second)
            out.push_back(endpoints_.at(id).listed);
    return out;
}

std::size_t endpoint_selector::count_evacuated(std::string_view pool) const
{
    const auto found = evacuated_.find(pool);
    return found == evacuated_.end() ? 0 : found->second;
}

std::map<std::string, std::uint64_t> endpoint_selector::in_flight_by_domain() const
{
    std::map<std::string, std::uint64_t> out;
    for (const auto& [id, it] : endpoints_)
        if (it.in_flight > 0)
            out[it.listed.domain] += it.in_flight;
    return out;
}

bool endpoint_selector::accepts_work(const std::string& id) const
{
    const auto it = endpoints_.find(id);
    return it != endpoints_.end() && !it->second.listed.leaving && !it->second.listed.evacuated;
}

} // namespace limpetlock::gateway
