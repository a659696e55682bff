#include <limpetlock/claims/table.hpp>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

#include <algorithm>
#include <utility>

namespace limpetlock::claims {

namespace {

namespace mi = boost::multi_index;

/// Record of one key.
struct record {
    std::string id; ///< Made by make_id().
    std::uint32_t team_size = 0;
    record_state state = record_state::granted;
    bool answer_stored = false;
    std::string body_digest;
    std::string attempt_id;
    std::string answer;
    time_point changed_at{}; ///< Last change of state.
    time_point expires{};    ///< When expire() ends the grant or drops the record.
};

struct by_id;
struct by_expiry;

using record_set = mi::multi_index_container<
    record, mi::indexed_by<mi::hashed_unique<mi::tag<by_id>, mi::member<record, std::string, &record::id>>,
                           mi::ordered_non_unique<mi::tag<by_expiry>,
                                                  mi::member<record, time_point, &record::expires>>>>;
using record_iterator = record_set::index<by_id>::type::iterator;

/// Returns the identifier of a key of a team. The length prefix makes it unique even if the concatenations of
/// two such pairs are equal.
std::string make_id(const std::string& team, const std::string& key)
{
    return std::to_string(team.size()) + ':' + team + key;
}

std::string team_of(const record& it)
{
    return it.id.substr(it.id.find(':') + 1, it.team_size);
}

std::string key_of(const record& it)
{
    return it.id.substr(it.id.find(':') + 1 + it.team_size);
}

record_state state_of(claim_outcome outcome)
{
    switch (outcome) {
    case claim_outcome::done:
        return record_state::done;
    case claim_outcome::not_run:
        return record_state::not_run;
    case claim_outcome::unknown:
        break;
    }
    return record_state::unknown;
}

/// Returns whether a record may store the answer. In a handover an empty answer stands for one that was not
/// stored. Calls always answer with some JSON, so no real answer is empty.
bool storable(const std::string& answer)
{
    return !answer.empty() && answer.size() <= max_stored_answer_bytes;
}

} // namespace

class table::implementation {
public:
    implementation(std::string name, std::int64_t incarnation, claims_section section)
        : name_(std::move(name)), incarnation_(incarnation), map_(std::move(section))
    {
    }

    claim_reply claim(const claim_request& request, const lease_state& own_lease, time_point now);
    bool settle(const claim_settle& outcome, time_point now);
    std::size_t expire(time_point now);
    void seal(const lease_state& own_lease, time_point now);
    handover export_records(time_point now) const;
    std::optional<std::size_t> import_records(const handover& from, const lease_state& own_lease,
                                              time_point now);
    void reconfigure(claims_section section, time_point now);

    bool sealed() const { return sealed_; }
    std::size_t size() const { return records_.size(); }
    const table_counters& counters() const { return counters_; }
    const basic_error<table_errc>& last_error() const { return error_.last(); }

private:
    auto& ids() { return records_.get<by_id>(); }

    /// How far back the records contain every grant of the owner's keys, from any incarnation.
    duration coverage(const lease_state& own_lease, time_point now) const;

    /// The reason why the lack of a record does not show that the key never ran; nullptr if it does.
    const char* inconclusive_absence_reason(const claim_request& request, const lease_state& own_lease,
                                            time_point now) const;

    /// The reason why this table may not grant the key at all; nullptr if it may.
    const char* not_owner_reason(const claim_request& request, const lease_state& own_lease,
                                 time_point now) const;

    claim_reply decide(const claim_request& request, const lease_state& own_lease, time_point now);
    claim_reply claim_recorded(record_iterator it, const claim_request& request, const lease_state& own_lease,
                               time_point now);
    claim_reply claim_not_run(record_iterator it, const claim_request& request, const lease_state& own_lease,
                              time_point now);
    claim_reply claim_unrecorded(const claim_request& request, const lease_state& own_lease, time_point now);
    claim_reply grant(record it, time_point now);
    void insert_or_replace(record it);
    void count(const claim_reply& reply);
    time_point expiry_of(const record& it, time_point now) const;

    std::string name_;
    std::int64_t incarnation_;
    owner_map map_;
    record_set records_;
    bool sealed_ = false;
    bool sealed_with_lease_ = false;
    duration sealed_coverage_{0};
    std::int64_t sealed_claims_number_ = 0;
    /// Start of the hold of the lease during which a handover was imported. The imported coverage counts only
    /// during that hold.
    std::optional<time_point> import_held_since_;
    duration imported_coverage_{0};
    /// Set by an increase of the key lifetime: older records were dropped under the former one.
    std::optional<time_point> records_complete_since_;
    table_counters counters_;
    error_slot<table_errc> error_;
};

claim_reply table::implementation::claim(const claim_request& request, const lease_state& own_lease,
                                         time_point now)
{
    expire(now);
    auto reply = decide(request, own_lease, now);
    count(reply);
    return reply;
}

claim_reply table::implementation::decide(const claim_request& request, const lease_state& own_lease,
                                          time_point now)
{
    const auto it = ids().find(make_id(request.team, request.key));
    if (it != ids().end())
        return claim_recorded(it, request, own_lease, now);
    return claim_unrecorded(request, own_lease, now);
}

claim_reply table::implementation::claim_recorded(record_iterator it, const claim_request& request,
                                                  const lease_state& own_lease, time_point now)
{
    if (it->body_digest != request.body_digest)
        return {claim_verdict::key_reused, "the key was used with another body", {}, 0};
    switch (it->state) {
    case record_state::granted:
        // A request that the holder of the grant repeats gets the same grant. This is safe because the holder
        // dispatches once per attempt.
        if (it->attempt_id == request.attempt_id)
            return {claim_verdict::granted, "repeated ask", {}, longest_deadline.count()};
        return {claim_verdict::in_progress, "another attempt holds the grant", {}, 0};
    case record_state::done:
        if (!it->answer_stored)
            return {claim_verdict::unknown, "done, but the answer was too long to keep", {}, 0};
        return {claim_verdict::answered, "done", it->answer, 0};
    case record_state::not_run:
        return claim_not_run(it, request, own_lease, now);
    case record_state::unknown:
        break;
    }
    return {claim_verdict::unknown, "the outcome of an attempt is unknown", {}, 0};
}

claim_reply table::implementation::claim_not_run(record_iterator it, const claim_request& request,
                                                 const lease_state& own_lease, time_point now)
{
    if (it->attempt_id == request.attempt_id)
        return {claim_verdict::unknown, "this attempt is already settled", {}, 0};
    if (const char* reason = not_owner_reason(request, own_lease, now))
        return {claim_verdict::unknown, reason, {}, 0};
    // If the lease was interrupted after this record, another incarnation may have granted the key meanwhile.
    if (now - it->changed_at > coverage(own_lease, now))
        return {claim_verdict::unknown, "the record is older than the hold of the lease", {}, 0};
    auto granted = *it;
    granted.attempt_id = request.attempt_id;
    return grant(std::move(granted), now);
}

claim_reply table::implementation::claim_unrecorded(const claim_request& request,
                                                    const lease_state& own_lease, time_point now)
{
    const auto denied = request.first_attempt ? claim_verdict::refused : claim_verdict::unknown;
    if (const char* reason = not_owner_reason(request, own_lease, now)) {
        ++counters_.refused_lease;
        return {denied, reason, {}, 0};
    }
    if (const char* reason = inconclusive_absence_reason(request, own_lease, now)) {
        ++counters_.refused_lease;
        return {denied, reason, {}, 0};
    }
    if (records_.size() >= map_.section().max_claims) {
        ++counters_.refused_full;
        return {claim_verdict::refused, "the claim table is full", {}, 0};
    }
    record it;
    it.id = make_id(request.team, request.key);
    it.team_size = static_cast<std::uint32_t>(request.team.size());
    it.body_digest = request.body_digest;
    it.attempt_id = request.attempt_id;
    return grant(std::move(it), now);
}

const char* table::implementation::not_owner_reason(const claim_request& request,
                                                    const lease_state& own_lease, time_point now) const
{
    if (request.claims_number != map_.section().claims_number)
        return "another claims number is in force here";
    if (map_.owner(request.team, request.key) != name_)
        return "not the owner of this key";
    if (sealed_)
        return "the owner is stopping";
    if (!own_lease.held(now))
        return "the owner has no lease";
    return nullptr;
}

const char* table::implementation::inconclusive_absence_reason(const claim_request& request,
                                                               const lease_state& own_lease,
                                                               time_point now) const
{
    const auto& section = map_.section();
    const auto needed =
        request.first_attempt ? first_attempt_hold(section.lease_time) : retry_hold(section.key_lifetime);
    if (coverage(own_lease, now) < needed)
        return "the lease is not held for long enough";
    // Replaced owners that are cut off together can be a majority and support each other while newer
    // incarnations grant elsewhere. An owner whose support is missing shows that this may be the case.
    if (!request.first_attempt && !own_lease.unanimous(now))
        return "an owner does not vouch, so records may exist elsewhere";
    if (now - own_lease.last_unanimous >= missing_owner_limit(section.key_lifetime))
        return "an owner has been missing for too long";
    return nullptr;
}

duration table::implementation::coverage(const lease_state& own_lease, time_point now) const
{
    auto covered = own_lease.held_for(now);
    if (import_held_since_ && own_lease.held_since == import_held_since_)
        covered += imported_coverage_;
    if (records_complete_since_)
        covered = std::min(covered, now - *records_complete_since_);
    return covered;
}

claim_reply table::implementation::grant(record it, time_point now)
{
    it.state = record_state::granted;
    it.changed_at = now;
    it.expires = expiry_of(it, now);
    insert_or_replace(std::move(it));
    return {claim_verdict::granted, {}, {}, longest_deadline.count()};
}

void table::implementation::insert_or_replace(record it)
{
    const auto old = ids().find(it.id);
    if (old == ids().end())
        ids().insert(std::move(it));
    else
        ids().replace(old, std::move(it));
}

time_point table::implementation::expiry_of(const record& it, time_point now) const
{
    if (it.state == record_state::granted)
        return now + settlement_timeout;
    return it.changed_at + map_.section().key_lifetime;
}

bool table::implementation::settle(const claim_settle& outcome, time_point now)
{
    const auto it = ids().find(make_id(outcome.team, outcome.key));
    // A done record is final. Settlements can arrive out of order, so an older one of the same attempt must
    // not revoke the answer.
    if (it == ids().end() || it->attempt_id != outcome.attempt_id || it->state == record_state::done) {
        ++counters_.settle_ignored;
        return false;
    }
    auto settled = *it;
    settled.state = state_of(outcome.outcome);
    settled.changed_at = now;
    settled.answer_stored = settled.state == record_state::done && storable(outcome.answer);
    settled.answer = settled.answer_stored ? outcome.answer : std::string();
    settled.expires = expiry_of(settled, now);
    insert_or_replace(std::move(settled));
    ++counters_.settled;
    return true;
}

std::size_t table::implementation::expire(time_point now)
{
    auto& by_time = records_.get<by_expiry>();
    std::size_t dropped = 0;
    while (!by_time.empty() && by_time.begin()->expires <= now) {
        const auto it = by_time.begin();
        if (it->state != record_state::granted) {
            by_time.erase(it);
            ++dropped;
            continue;
        }
        by_time.modify(it, [&](record& expired) {
            expired.state = record_state::unknown;
            expired.changed_at = now;
            expired.expires = expiry_of(expired, now);
        });
        ++counters_.expired_grants;
    }
    counters_.expired_records += dropped;
    return dropped;
}

void table::implementation::seal(const lease_state& own_lease, time_point now)
{
    if (sealed_)
        return;
    sealed_ = true;
    sealed_with_lease_ = own_lease.held(now);
    sealed_coverage_ = coverage(own_lease, now);
    sealed_claims_number_ = map_.section().claims_number;
}

handover table::implementation::export_records(time_point now) const
{
    handover it{name_, incarnation_,         sealed_ && sealed_with_lease_, sealed_coverage_.count(),
                {},    sealed_claims_number_};
    it.records.reserve(records_.size());
    for (const auto& from : records_.get<by_expiry>())
        it.records.push_back({team_of(from), key_of(from), from.body_digest, from.attempt_id, from.state,
                              from.answer, (now - from.changed_at).count()});
    return it;
}

std::optional<std::size_t> table::implementation::import_records(const handover& from,
                                                                 const lease_state& own_lease, time_point now)
{
    if (!from.sealed)
        return error_.fail(table_errc::not_sealed, "the handover is not sealed");
    if (from.owner != name_)
        return error_.fail(table_errc::other_owner, "the handover is of another owner");
    if (from.incarnation >= incarnation_)
        return error_.fail(table_errc::not_predecessor, "the handover is not of a former incarnation");
    if (from.claims_number != map_.section().claims_number)
        return error_.fail(table_errc::other_section, "the handover is of another claims section");
    if (import_held_since_)
        return error_.fail(table_errc::already_imported, "a handover is already imported");
    if (!own_lease.held(now) || sealed_)
        return error_.fail(table_errc::no_lease, "the lease is not held");
    import_held_since_ = own_lease.held_since;
    imported_coverage_ = duration{from.lease_age_ms};
    std::size_t n = 0;
    for (const auto& it : from.records) {
        record copy{make_id(it.team, it.key),
                    static_cast<std::uint32_t>(it.team.size()),
                    it.state,
                    false,
                    it.body_digest,
                    it.attempt_id,
                    it.answer,
                    now - duration{it.age_ms},
                    {}};
        copy.answer_stored = it.state == record_state::done && storable(it.answer);
        copy.expires = expiry_of(copy, now);
        n += ids().insert(std::move(copy)).second ? 1 : 0;
    }
    counters_.imported += n;
    return n;
}

void table::implementation::reconfigure(claims_section section, time_point now)
{
    const auto& old = map_.section();
    // No hold of the lease begins at the epoch, so this ends the imported coverage. It also refuses a later
    // import.
    if (old.owners != section.owners)
        import_held_since_ = time_point{};
    if (section.key_lifetime > old.key_lifetime)
        records_complete_since_ = now - old.key_lifetime;
    map_ = owner_map(std::move(section));
}

void table::implementation::count(const claim_reply& reply)
{
    switch (reply.verdict) {
    case claim_verdict::granted:
        ++counters_.granted;
        return;
    case claim_verdict::answered:
        ++counters_.answered;
        return;
    case claim_verdict::in_progress:
        ++counters_.in_progress;
        return;
    case claim_verdict::unknown:
        ++counters_.unknown;
        return;
    case claim_verdict::refused:
        ++counters_.refused;
        return;
    case claim_verdict::key_reused:
        ++counters_.key_reused;
        return;
    }
}

table::table(std::string name, std::int64_t incarnation, claims_section section)
    : impl_(std::make_unique<implementation>(std::move(name), incarnation, std::move(section)))
{
}

table::table(table&&) noexcept = default;
table& table::operator=(table&&) noexcept = default;
table::~table() = default;

claim_reply table::claim(const claim_request& request, const lease_state& own_lease, time_point now)
{
    return impl_->claim(request, own_lease, now);
}

bool table::settle(const claim_settle& outcome, time_point now)
{
    return impl_->settle(outcome, now);
}

std::size_t table::expire(time_point now)
{
    return impl_->expire(now);
}

void table::seal(const lease_state& own_lease, time_point now)
{
    impl_->seal(own_lease, now);
}

handover table::export_records(time_point now) const
{
    return impl_->export_records(now);
}

std::optional<std::size_t> table::import_records(const handover& from, const lease_state& own_lease,
                                                 time_point now)
{
    return impl_->import_records(from, own_lease, now);
}

void table::reconfigure(claims_section section, time_point now)
{
    impl_->reconfigure(std::move(section), now);
}

bool table::sealed() const
{
    return impl_->sealed();
}

std::size_t table::size() const
{
    return impl_->size();
}

const table_counters& table::counters() const
{
    return impl_->counters();
}

const basic_error<table_errc>& table::last_error() const
{
    return impl_->last_error();
}

} // namespace limpetlock::claims
