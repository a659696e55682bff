#include "record.hpp"

#include <limpetlock/membership/view.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace limpetlock::membership {

namespace {
// Bound on the stored incarnations, which include those of instances that are no longer listed. The planned
// fleet has 370 nodes.
constexpr std::size_t max_incarnations = 4096;

constexpr std::array<std::string_view, 5> state_names{"live", "leaving", "suspect", "ejected", "probing"};
} // namespace

std::string_view to_string(endpoint_state it)
{
    return state_names.at(static_cast<std::size_t>(it));
}

const std::vector<endpoint>& snapshot::pool(std::string_view name) const
{
    static const std::vector<endpoint> none;
    const auto it = routable.find(name);
    return it == routable.end() ? none : it->second;
}

class view::impl {
public:
    using name_key = std::pair<std::string, std::string>; // pool, name

    explicit impl(const view_options& initial) : options(initial) {}

    bool apply(const instance_list& list);
    void record_success(record& it, time_point now);
    void record_failure(record& it, call_failure failure, time_point now);
    std::optional<leaving_evidence> record_leaving(record& it, time_point now);
    bool record_peer_evidence(const leaving_evidence& evidence, time_point now);
    bool record_contact(const std::string& name, std::int64_t incarnation, time_point now);
    bool tick(time_point now);
    std::shared_ptr<const snapshot> current_snapshot();

    /// Returns the record of an id; nullptr if it is no longer listed or the call was sent before the end of
    /// a timer gap.
    record* find(std::uint64_t id, time_point started);

    view_options options;
    std::int64_t version{-1};
    std::map<name_key, record> endpoints;
    std::map<std::string, time_point> last_contacts;
    counters counts;

private:
    void list_endpoint(const listed_instance& it);
    void list_entry(const listed_instance& it);
    bool may_eject(const std::string& pool) const;
    void eject(record& it, time_point now);
    void probe_ejected(const std::string& pool, time_point now);
    void eject_suspects(const std::string& pool, time_point now);
    void return_to_service(record& it);
    void set_leaving(record& it, time_point now);
    void reset_failure_state();

    std::unordered_map<std::uint64_t, name_key> names_;
    std::map<std::string, entry_instance> entries_;
    // Kept after a name leaves the list: a suspended process may resume after its replacement was listed and
    // removed.
    std::map<std::string, std::int64_t> incarnations_;
    std::map<name_key, std::int64_t> leaving_versions_;
    std::uint64_t next_id_{1};
    std::optional<time_point> last_tick_;
    std::optional<time_point> gap_end_;
    std::shared_ptr<const snapshot> snapshot_;
};

record* view::impl::find(std::uint64_t id, time_point started)
{
    const auto name = names_.find(id);
    if (name == names_.end() || (gap_end_ && started < *gap_end_)) {
        ++counts.stale_evidence;
        return nullptr;
    }
    return &endpoints.at(name->second);
}

void view::impl::list_endpoint(const listed_instance& it)
{
    const name_key key{it.pool, it.name};
    const auto [entry, added] = endpoints.try_emplace(key);
    auto& known = entry->second;
    const bool other_address = known.listed.address != it.address || known.listed.port != it.port;
    const bool back_to_live = known.listed.leaving && !it.leaving;
    if (added || other_address || back_to_live) {
        names_.erase(known.id);
        known = record{};
        known.id = next_id_++;
        known.listed_since_version = version;
        names_.emplace(known.id, key);
        const auto evidence = leaving_versions_.find(key);
        known.leaving_by_evidence = evidence != leaving_versions_.end() && evidence->second >= version;
    }
    known.listed = it;
}

void view::impl::list_entry(const listed_instance& it)
{
    auto& known = entries_[it.name];
    const auto known_incarnation = incarnations_.find(it.name);
    known.incarnation = known_incarnation == incarnations_.end() ? 0 : known_incarnation->second;
    known.name = it.name;
    known.address = it.address;
    known.port = it.port;
    known.peer_port = it.peer_port;
    known.failure_domain = it.failure_domain;
    known.leaving = it.leaving;
}

bool view::impl::apply(const instance_list& list)
{
    if (list.version <= version) {
        ++counts.lists_ignored;
        return false;
    }
    version = list.version;
    std::set<name_key> listed;
    for (const auto& it : list.instances) {
        listed.emplace(it.pool, it.name);
        it.pool == entry_pool ? list_entry(it) : list_endpoint(it);
    }
    std::erase_if(endpoints, [&](const auto& it) {
        if (listed.contains(it.first))
            return false;
        names_.erase(it.second.id);
        return true;
    });
    std::erase_if(entries_, [&](const auto& it) {
        return !listed.contains({std::string(entry_pool), it.first});
    });
    if (incarnations_.size() > max_incarnations)
        std::erase_if(incarnations_, [&](const auto& it) { return !entries_.contains(it.first); });
    std::erase_if(last_contacts, [&](const auto& it) { return !entries_.contains(it.first); });
    std::erase_if(leaving_versions_,
                  [&](const auto& it) { return !listed.contains(it.first) && it.second < version; });
    snapshot_.reset();
    return true;
}

void view::impl::return_to_service(record& it)
{
    it.ejected = it.probing = it.leaving_by_evidence = false;
    it.failure_score = it.probe_successes = it.ejections = 0;
    ++counts.reinstatements;
    snapshot_.reset();
}

void view::impl::record_success(record& it, time_point now)
{
    if (it.probing) {
        if (++it.probe_successes >= options.required_probe_successes)
            return_to_service(it);
        return;
    }
    // The success of a call that was sent before the ejection or the leaving answer does not undo either.
    if (it.ejected || it.leaving_by_evidence || it.failure_score == 0)
        return;
    if (it.failure_score >= options.ejection_threshold)
        probe_ejected(it.listed.pool, now);
    it.failure_score = 0;
    snapshot_.reset();
}

// Called after the success of an endpoint that only the ejection cap kept in service. The outage of the whole
// pool is over, so the ejected endpoints are probed before the end of their ejection time.
void view::impl::probe_ejected(const std::string& pool, time_point now)
{
    for (auto it = endpoints.lower_bound({pool, ""}); it != endpoints.end() && it->first.first == pool;
         ++it) {
        auto& known = it->second;
        if (known.ejected && !known.probing)
            known.probe_at = std::min(known.probe_at, now);
    }
}

void view::impl::record_failure(record& it, call_failure failure, time_point now)
{
    const bool was_live = it.failure_score == 0;
    it.failure_score += failure == call_failure::connection_refused ? options.refused_connection_weight : 1;
    if (it.probing)
        return it.leaving_by_evidence ? set_leaving(it, now) : eject(it, now);
    if (it.ejected || it.leaving_by_evidence)
        return;
    if (was_live)
        snapshot_.reset();
    if (it.failure_score >= options.ejection_threshold)
        eject_suspects(it.listed.pool, now);
}

// Leaving endpoints do not count towards the size of the pool, since they are out of service for another
// reason.
bool view::impl::may_eject(const std::string& pool) const
{
    int size = 0;
    int ejected = 0;
    for (auto it = endpoints.lower_bound({pool, ""}); it != endpoints.end() && it->first.first == pool;
         ++it) {
        if (it->second.listed.leaving || it->second.leaving_by_evidence)
            continue;
        ++size;
        ejected += it->second.ejected ? 1 : 0;
    }
    return ejected + 1 <= options.ejection_max_share * size;
}

void view::impl::eject(record& it, time_point now)
{
    constexpr int max_doublings = 20;
    const duration doubled = options.ejection_time * (1LL << std::min(it.ejections, max_doublings));
    it.ejected = true;
    it.probing = false;
    it.probe_successes = 0;
    it.probe_at = now + std::min(doubled, options.max_ejection_time);
    ++it.ejections;
    ++counts.ejections;
    snapshot_.reset();
}

// Ejects the endpoints with the highest failure scores first, up to the ejection cap.
void view::impl::eject_suspects(const std::string& pool, time_point now)
{
    std::vector<record*> due;
    for (auto it = endpoints.lower_bound({pool, ""}); it != endpoints.end() && it->first.first == pool;
         ++it) {
        auto& known = it->second;
        if (known.state() == endpoint_state::suspect && known.failure_score >= options.ejection_threshold)
            due.push_back(&known);
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const record* a, const record* b) { return a->failure_score > b->failure_score; });
    for (auto* it : due) {
        if (!may_eject(pool)) {
            ++counts.ejections_capped;
            return;
        }
        eject(*it, now);
    }
}

void view::impl::set_leaving(record& it, time_point now)
{
    it.leaving_by_evidence = true;
    it.ejected = it.probing = false;
    it.probe_successes = 0;
    it.probe_at = now + options.leaving_probe_delay;
    snapshot_.reset();
}

std::optional<leaving_evidence> view::impl::record_leaving(record& it, time_point now)
{
    const bool known = it.leaving_by_evidence && !it.probing;
    set_leaving(it, now);
    const name_key key{it.listed.pool, it.listed.name};
    leaving_versions_[key] = version;
    if (known)
        return std::nullopt;
    return leaving_evidence{key.first, key.second, version};
}

bool view::impl::record_peer_evidence(const leaving_evidence& evidence, time_point now)
{
    const name_key key{evidence.pool, evidence.name};
    const auto it = endpoints.find(key);
    if (it == endpoints.end() && evidence.list_version <= version) {
        ++counts.stale_evidence;
        return false;
    }
    auto& evidence_version = leaving_versions_.try_emplace(key, evidence.list_version).first->second;
    evidence_version = std::max(evidence_version, evidence.list_version);
    if (it == endpoints.end() || it->second.leaving_by_evidence)
        return false;
    if (evidence.list_version < it->second.listed_since_version) {
        ++counts.stale_evidence;
        return false;
    }
    set_leaving(it->second, now);
    return true;
}

bool view::impl::record_contact(const std::string& name, std::int64_t incarnation, time_point now)
{
    auto& highest = incarnations_.try_emplace(name, incarnation).first->second;
    if (incarnation < highest) {
        ++counts.stale_frames;
        return false;
    }
    highest = incarnation;
    const auto it = entries_.find(name);
    if (it == entries_.end())
        return true;
    last_contacts[name] = now;
    if (it->second.incarnation != incarnation)
        snapshot_.reset();
    it->second.incarnation = incarnation;
    return true;
}

// Failures and missing messages before the end of a pause were probably caused by the pause of this process.
// Evidence that comes from an endpoint itself is kept.
void view::impl::reset_failure_state()
{
    for (auto& [key, it] : endpoints) {
        it.ejected = false;
        it.probing = it.probing && it.leaving_by_evidence;
        it.failure_score = it.ejections = it.probe_successes = 0;
    }
    last_contacts.clear();
    ++counts.timer_gaps;
    snapshot_.reset();
}

bool view::impl::tick(time_point now)
{
    const bool gap = last_tick_ && now - *last_tick_ > options.max_tick_interval;
    last_tick_ = now;
    if (gap) {
        gap_end_ = now;
        reset_failure_state();
    }
    for (auto& [key, it] : endpoints) {
        const bool out = it.ejected || (it.leaving_by_evidence && !it.listed.leaving);
        if (!out || it.probing || now < it.probe_at)
            continue;
        it.probing = true;
        snapshot_.reset();
    }
    return gap;
}

std::shared_ptr<const snapshot> view::impl::current_snapshot()
{
    if (snapshot_)
        return snapshot_;
    auto it = std::make_shared<snapshot>();
    it->list_version = version;
    for (const auto& [key, known] : endpoints) {
        const auto state = known.state();
        if (state == endpoint_state::leaving || state == endpoint_state::ejected)
            continue;
        const auto& listed = known.listed;
        it->routable[key.first].push_back(
            {known.id, listed.name, listed.address, listed.port, listed.failure_domain, state});
    }
    for (const auto& [name, known] : entries_)
        it->entry_instances.push_back(known);
    snapshot_ = std::move(it);
    return snapshot_;
}

view::view(view_options options) : impl_(std::make_unique<impl>(options)) {}

view::~view() = default;

void view::configure(const view_options& options)
{
    impl_->options = options;
}

bool view::apply(const instance_list& list, time_point now)
{
    static_cast<void>(now);
    return impl_->apply(list);
}

void view::record_success(std::uint64_t id, time_point started, time_point now)
{
    if (auto* it = impl_->find(id, started))
        impl_->record_success(*it, now);
}

void view::record_failure(std::uint64_t id, call_failure failure, time_point started, time_point now)
{
    if (auto* it = impl_->find(id, started))
        impl_->record_failure(*it, failure, now);
}

std::optional<leaving_evidence> view::record_leaving(std::uint64_t id, time_point now)
{
    auto* it = impl_->find(id, now);
    if (it == nullptr)
        return std::nullopt;
    return impl_->record_leaving(*it, now);
}

bool view::record_peer_evidence(const leaving_evidence& evidence, time_point now)
{
    return impl_->record_peer_evidence(evidence, now);
}

bool view::record_contact(const std::string& name, std::int64_t incarnation, time_point now)
{
    return impl_->record_contact(name, incarnation, now);
}

bool view::tick(time_point now)
{
    return impl_->tick(now);
}

std::optional<endpoint_state> view::state(std::string_view pool, std::string_view name) const
{
    const auto it = impl_->endpoints.find({std::string(pool), std::string(name)});
    if (it == impl_->endpoints.end())
        return std::nullopt;
    return it->second.state();
}

std::optional<time_point> view::last_contact(const std::string& name) const
{
    const auto it = impl_->last_contacts.find(name);
    if (it == impl_->last_contacts.end())
        return std::nullopt;
    return it->second;
}

std::int64_t view::list_version() const
{
    return impl_->version;
}

std::shared_ptr<const snapshot> view::current_snapshot() const
{
    return impl_->current_snapshot();
}

const view::counters& view::counts() const
{
    return impl_->counts;
}

} // namespace limpetlock::membership
