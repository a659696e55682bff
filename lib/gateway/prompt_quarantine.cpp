#include <limpetlock/gateway/prompt_quarantine.hpp>
#include <limpetlock/support/log.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace limpetlock::gateway {

namespace {

/// Changed evidence goes to peers for this long, which is enough rounds of pings for a fleet of hundreds.
constexpr duration spread_time{5'000};

bool same_crash(const crash_sighting& a, const crash_sighting& b)
{
    return a.endpoint == b.endpoint && a.started_ms == b.started_ms;
}

bool in_crash_order(const crash_sighting& a, const crash_sighting& b)
{
    return std::tie(a.endpoint, a.started_ms) < std::tie(b.endpoint, b.started_ms);
}

/// Crashes that no complete answer clears the part of.
std::vector<crash_sighting> open_crashes(const part_evidence& it)
{
    std::vector<crash_sighting> out;
    for (const auto& crash : it.crashes)
        if (!it.answered || *it.answered + prompt_quarantine::answer_memory < crash.at)
            out.push_back(crash);
    return out;
}

time_point last_crash(const std::vector<crash_sighting>& crashes)
{
    time_point out{};
    for (const auto& it : crashes)
        out = std::max(out, it.at);
    return out;
}

/// Those of the crashes in which the engine had begun to answer.
std::vector<crash_sighting> begun_crashes(std::vector<crash_sighting> crashes)
{
    std::erase_if(crashes, [](const crash_sighting& it) { return it.silent; });
    return crashes;
}

std::size_t count_endpoints(const std::vector<crash_sighting>& crashes)
{
    std::set<std::string_view> out;
    for (const auto& it : crashes)
        out.insert(it.endpoint);
    return out.size();
}

bool includes_crashes(const std::vector<crash_sighting>& all, const std::vector<crash_sighting>& some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end(), in_crash_order);
}

} // namespace

std::optional<time_point> prompt_quarantine::last_answer(std::uint64_t part) const
{
    for (const auto* generation : {&answers_, &older_answers_})
        if (const auto it = generation->find(part); it != generation->end())
            return it->second;
    return std::nullopt;
}

void prompt_quarantine::record_crash(const std::vector<std::uint64_t>& parts, const crash_sighting& crash)
{
    const auto end =
        parts.begin() + static_cast<std::ptrdiff_t>(std::min(parts.size(), max_parts_per_request));
    // Known suspects first: new ones may take the place of those with the fewest crashes.
    for (const bool known : {true, false})
        for (auto it = parts.begin(); it != end; ++it)
            if (suspects_.contains(*it) == known)
                update(*it, {crash}, std::nullopt, crash.at);
}

void prompt_quarantine::record_silent_loss(const std::vector<std::uint64_t>& parts, crash_sighting loss)
{
    const time_point now = loss.at;
    loss.silent = true;
    while (!silent_losses_.empty() && (silent_losses_.size() >= max_silent_losses ||
                                       now - silent_losses_.front().crash.at > silent_loss_memory))
        silent_losses_.pop_front();
    silent_losses_.push_back({parts, std::move(loss)});
}

/// Counts the silent losses whose process has ended as crashes.
template <typename Predicate>
void prompt_quarantine::confirm_losses(time_point now, Predicate ended)
{
    const auto rest = std::stable_partition(silent_losses_.begin(), silent_losses_.end(),
                                            [&ended](const silent_loss& it) { return !ended(it.crash); });
    const std::vector<silent_loss> confirmed(rest, silent_losses_.end());
    silent_losses_.erase(rest, silent_losses_.end());
    for (const auto& it : confirmed)
        if (now - it.crash.at <= silent_loss_memory)
            record_crash(it.parts, it.crash);
}

void prompt_quarantine::end_of_process(std::string_view endpoint, time_point now)
{
    confirm_losses(now, [endpoint](const crash_sighting& it) { return it.endpoint == endpoint; });
}

void prompt_quarantine::set_endpoints(const std::vector<endpoint>& list, time_point now)
{
    if (silent_losses_.empty())
        return;
    confirm_losses(now, [&list](const crash_sighting& it) {
        return std::none_of(list.begin(), list.end(), [&it](const endpoint& other) {
            return other.id == it.endpoint && other.started_ms == it.started_ms;
        });
    });
}

void prompt_quarantine::record_answer(const std::vector<std::uint64_t>& parts, time_point now)
{
    if (answers_.size() >= max_answered_parts || now - generation_began_ > answer_memory) {
        older_answers_ = std::exchange(answers_, {});
        generation_began_ = now;
    }
    const std::size_t n = std::min(parts.size(), max_parts_per_request);
    for (std::size_t k = 0; k < n; ++k) {
        answers_[parts[k]] = now;
        if (const auto it = suspects_.find(parts[k]);
            it != suspects_.end() && !open_crashes(it->second.evidence).empty())
            update(parts[k], {}, now, now);
    }
}

void prompt_quarantine::merge(const part_evidence& evidence, time_point now)
{
    if (last_crash(evidence.crashes) + evidence_lifetime > now)
        update(evidence.part, evidence.crashes, evidence.answered, now);
}

/// Adds crashes and an answer to what is known of a part, together with the answers that this instance has
/// seen itself.
void prompt_quarantine::update(std::uint64_t part, const std::vector<crash_sighting>& crashes,
                               std::optional<time_point> answered, time_point now)
{
    if (!suspects_.contains(part))
        make_room();
    suspect& it = suspects_[part];
    const part_evidence before = it.evidence;
    it.evidence.part = part;
    for (const auto& crash : crashes) {
        auto& known = it.evidence.crashes;
        const auto same = std::find_if(known.begin(), known.end(), [&crash](const crash_sighting& other) {
            return same_crash(crash, other);
        });
        if (same != known.end()) {
            same->silent = same->silent && crash.silent;
            continue;
        }
        if (known.size() >= max_crashes_per_part)
            known.erase(std::min_element(known.begin(), known.end(),
                                         [](const auto& a, const auto& b) { return a.at < b.at; }));
        known.insert(std::upper_bound(known.begin(), known.end(), crash, in_crash_order), crash);
    }
    const bool cleared_before = open_crashes(it.evidence).empty();
    for (const auto& time : {answered, last_answer(part)})
        if (time && (!it.evidence.answered || *time > *it.evidence.answered))
            it.evidence.answered = time;
    // A later answer tells peers nothing new once all crashes are cleared.
    const bool known = it.evidence.crashes == before.crashes && cleared_before;
    if (known || it.evidence == before)
        return;
    it.changed = now;
    ++version_;
    log_change(it, now);
}

/// Removes the suspect with the fewest crashes, the oldest of several, if there are too many.
void prompt_quarantine::make_room()
{
    if (suspects_.size() < max_suspects)
        return;
    const auto weight = [](const auto& it) {
        return std::make_tuple(it.second.evidence.crashes.size(), last_crash(it.second.evidence.crashes));
    };
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
                                     [&](const auto& a, const auto& b) { return weight(a) < weight(b); }));
}

void prompt_quarantine::log_change(suspect& it, time_point now) const
{
    std::string crashes;
    for (const auto& crash : it.evidence.crashes)
        crashes += fmt::format("{}{}@{}", crashes.empty() ? "" : ",", crash.endpoint, crash.reporter);
    const bool quarantined = is_quarantined(it.evidence, now);
    const auto& answered = it.evidence.answered;
    if (quarantined || it.quarantine_logged)
        log::warning("prompt_part_suspected",
                     {{"part", fmt::format("{:x}", it.evidence.part)},
                      {"quarantined", quarantined ? "yes" : "no"},
                      {"crashes", crashes},
                      {"answer_age_ms", answered ? fmt::to_string((now - *answered).count()) : "-"}});
    else
        log::info("prompt_part_suspected",
                  {{"part", fmt::format("{:x}", it.evidence.part)},
                   {"quarantined", "no"},
                   {"crashes", crashes},
                   {"answer_age_ms", answered ? fmt::to_string((now - *answered).count()) : "-"}});
    it.quarantine_logged = quarantined;
}

/// Crashes in which the answer had begun come first: what only waited at an engine must not blur them.
std::vector<crash_sighting> prompt_quarantine::convicting_crashes(const part_evidence& it) const
{
    auto all = open_crashes(it);
    auto begun = begun_crashes(all);
    const std::size_t begun_endpoints = count_endpoints(begun);
    if (begun_endpoints >= min_crashed_endpoints || explains_crashes_of_one(begun))
        return begun;
    // An endpoint without a begun answer counts half.
    if (begun_endpoints + count_endpoints(all) >= 2 * min_crashed_endpoints)
        return all;
    return {};
}

bool prompt_quarantine::is_quarantined(const part_evidence& it, time_point now) const
{
    const auto crashes = convicting_crashes(it);
    return !crashes.empty() && now - last_crash(crashes) < quarantine_time;
}

/// Whether these are enough crashes of one endpoint, and no other one of it is known since the first of them.
bool prompt_quarantine::explains_crashes_of_one(const std::vector<crash_sighting>& crashes) const
{
    if (crashes.size() < min_crashes_of_one_endpoint)
        return false;
    const time_point begin =
        std::min_element(crashes.begin(), crashes.end(), [](const auto& a, const auto& b) {
            return a.at < b.at;
        })->at;
    for (const auto& [part, other] : suspects_)
        for (const auto& crash : other.evidence.crashes)
            if (crash.endpoint == crashes.front().endpoint && crash.at >= begin &&
                !std::binary_search(crashes.begin(), crashes.end(), crash, in_crash_order))
                return false;
    return true;
}

std::vector<std::string> prompt_quarantine::suspected_endpoints(const std::vector<std::uint64_t>& parts,
                                                                time_point now) const
{
    std::vector<std::string> out;
    for (const auto part : parts) {
        const auto it = suspects_.find(part);
        if (it == suspects_.end())
            continue;
        for (const auto& crash : open_crashes(it->second.evidence))
            if (now - crash.at < quarantine_time &&
                std::find(out.begin(), out.end(), crash.endpoint) == out.end())
                out.push_back(crash.endpoint);
    }
    return out;
}

/// Whether a request with these parts is held back because of one of them.
bool prompt_quarantine::blocks(const part_evidence& it, const std::vector<std::uint64_t>& parts,
                               time_point now) const
{
    if (!is_quarantined(it, now))
        return false;
    const auto crashes = convicting_crashes(it);
    const bool with_silent =
        std::any_of(crashes.begin(), crashes.end(), [](const crash_sighting& crash) { return crash.silent; });
    for (const auto& [part, other] : suspects_) {
        auto others = open_crashes(other.evidence);
        if (!with_silent)
            others = begun_crashes(std::move(others));
        if (part == it.part || !includes_crashes(others, crashes))
            continue;
        const bool same = others.size() == crashes.size();
        const bool present = std::find(parts.begin(), parts.end(), part) != parts.end();
        if (!same || !present)
            return false;
    }
    return true;
}

std::optional<prompt_quarantine::verdict>
prompt_quarantine::find_quarantined(const std::vector<std::uint64_t>& parts, time_point now) const
{
    for (const auto part : parts) {
        const auto it = suspects_.find(part);
        if (it == suspects_.end() || !blocks(it->second.evidence, parts, now))
            continue;
        const auto& evidence = it->second.evidence;
        return verdict{evidence, last_crash(convicting_crashes(evidence)) + quarantine_time - now};
    }
    return std::nullopt;
}

std::vector<part_evidence> prompt_quarantine::evidence_for_peers(time_point now, std::size_t max_parts)
{
    struct entry {
        bool in_turn; ///< one crash: as likely as all other parts of that prompt
        bool told;    ///< in this turn
        const suspect* it;
    };
    std::vector<entry> found;
    for (const auto& [part, it] : suspects_)
        if (now - it.changed < spread_time || is_quarantined(it.evidence, now))
            found.push_back({it.evidence.crashes.size() < min_crashed_endpoints, part <= last_told_, &it});
    std::sort(found.begin(), found.end(), [](const entry& a, const entry& b) {
        const auto weight = [](const entry& e) {
            return std::make_tuple(e.in_turn, e.in_turn && e.told, e.it->evidence.part);
        };
        return weight(a) < weight(b);
    });
    std::vector<part_evidence> out;
    for (const auto& it : found) {
        if (out.size() == max_parts)
            break;
        out.push_back(it.it->evidence);
        if (it.in_turn)
            last_told_ = it.it->evidence.part;
    }
    return out;
}

void prompt_quarantine::remove_expired(time_point now)
{
    std::erase_if(suspects_, [now](const auto& it) {
        return now - last_crash(it.second.evidence.crashes) >= evidence_lifetime;
    });
}

} // namespace limpetlock::gateway
