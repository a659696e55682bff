#include <limpetlock/config/sync.hpp>
#include <limpetlock/support/hash.hpp>

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace limpetlock::config {

namespace {

/// Longest time until the next call of decide(), so that a pause of the process is detected soon after it
/// ends.
constexpr duration max_sleep{1000};
/// Shortest time until the next call of decide().
constexpr duration min_sleep{10};

} // namespace

fold_position to_fold_position(const fold& it)
{
    const auto version = it.in_force();
    return {it.number(), version ? version->digest() : std::string(), it.revision()};
}

synchronizer::synchronizer(const sync_settings& settings, std::string self, std::uint64_t seed,
                           time_point now)
    : settings_(settings), self_(std::move(self)),
      random_(static_cast<std::uint32_t>(hash64(self_, seed) >> 33)), started_(now), expected_call_time_(now),
      earliest_read_(now + random_duration({}, settings_.max_start_delay)), earliest_pull_(now),
      watcher_read_time_(now + with_jitter(settings_.watcher_timeout)),
      quiet_read_time_(now + quiet_interval())
{
}

void synchronizer::set_instances(const std::vector<instance>& it, time_point now)
{
    instances_ = it;
    watchers_ = choose_watchers(instances_, settings_.watchers_per_domain);
    watches_ = instances_.empty() || is_watcher(self_);
    domains_.clear();
    for (const instance& n : instances_)
        domains_.emplace(n.name, n.failure_domain);
    const auto own = domains_.find(self_);
    const std::int64_t former = std::exchange(non_watchers_in_domain_, 1);
    if (own != domains_.end() && !watches_)
        non_watchers_in_domain_ = std::count_if(domains_.begin(), domains_.end(), [&](const auto& n) {
            return n.second == own->second && !is_watcher(n.first);
        });
    if (non_watchers_in_domain_ != former)
        quiet_read_time_ = now + quiet_interval();
}

void synchronizer::set_position(const fold_position& it, time_point now)
{
    if (it.number > position_.number) {
        quiet_read_time_ = now + quiet_interval();
        reported_digests_.clear();
    }
    position_ = it;
    known_number_ = std::max(known_number_, it.number);
    known_revision_ = std::max(known_revision_, it.revision);
}

void synchronizer::record_read_answer(std::int64_t id, std::int64_t revision, std::size_t entries,
                                      time_point now)
{
    if (!read_ || read_->command.id != id)
        return;
    const running_read done = *std::exchange(read_, std::nullopt);
    if (revision < known_revision_) {
        ++counters_.stale_revisions;
        earliest_read_ = now + next_back_off(read_back_off_);
        return;
    }
    known_revision_ = revision;
    // Without the back-off, a service that answers a watch at once without new entries would be read every
    // min_read_interval.
    const bool waited = now - done.started >= done.command.wait / 2;
    if (entries == 0 && !waited) {
        earliest_read_ = std::max(earliest_read_, now + next_back_off(read_back_off_));
        return;
    }
    read_back_off_ = {};
    watcher_read_time_ = std::max(watcher_read_time_, now + with_jitter(settings_.watcher_timeout));
}

void synchronizer::record_read_failure(std::int64_t id, time_point now)
{
    if (!read_ || read_->command.id != id)
        return;
    read_.reset();
    ++counters_.read_failures;
    earliest_read_ = now + next_back_off(read_back_off_);
}

void synchronizer::record_peer_report(std::string_view peer, std::int64_t number, std::string_view digest,
                                      time_point now)
{
    if (peer == self_)
        return;
    report& it = reports_[std::string(peer)];
    it.number = number;
    it.digest = digest;
    it.received = now;
    if (number < position_.number)
        ++counters_.stale_numbers;
    known_number_ = std::max(known_number_, number);
    if (is_watcher(peer))
        watcher_read_time_ = now + with_jitter(settings_.watcher_timeout);
}

void synchronizer::record_pull_answer(std::int64_t id, time_point now)
{
    if (pull_ && pull_->command.id == id)
        end_pull(position_.number > pull_->command.after_number, now);
}

void synchronizer::record_pull_failure(std::int64_t id, time_point now)
{
    if (pull_ && pull_->command.id == id)
        end_pull(false, now);
}

decision synchronizer::decide(time_point now)
{
    detect_pause(now);
    expire_overdue_calls(now);
    remove_expired_reports(now);
    if (!is_peer_ahead(now))
        peer_ahead_since_.reset();
    else if (!peer_ahead_since_)
        peer_ahead_since_ = now;
    decision it;
    it.new_divergence = decide_divergence(now);
    it.pull = decide_pull(now);
    it.read = decide_read(now);
    decide_ready(now);
    it.ready = ready_;
    it.next_call_time = next_call_time(now);
    expected_call_time_ = it.next_call_time;
    return it;
}

bool synchronizer::diverged(time_point now) const
{
    return std::any_of(reports_.begin(), reports_.end(), [&](const auto& it) {
        const report& r = it.second;
        return is_recent(r, now) && r.number == position_.number && r.number > 0 &&
               r.digest != position_.digest;
    });
}

duration synchronizer::random_duration(duration least, duration most)
{
    boost::random::uniform_int_distribution<std::int64_t> pick(least.count(), most.count());
    return duration(pick(random_));
}

bool synchronizer::is_watcher(std::string_view peer) const
{
    return std::binary_search(watchers_.begin(), watchers_.end(), peer);
}

bool synchronizer::is_only_instance() const
{
    return instances_.size() == 1 && instances_.front().name == self_;
}

bool synchronizer::is_peer_ahead(time_point now) const
{
    return std::any_of(reports_.begin(), reports_.end(), [&](const auto& it) {
        return is_recent(it.second, now) && it.second.number > position_.number;
    });
}

bool synchronizer::has_peer_version(time_point now) const
{
    return std::any_of(reports_.begin(), reports_.end(),
                       [&](const auto& it) { return is_recent(it.second, now) && it.second.number > 0; });
}

bool synchronizer::may_pull(const report& it, time_point now) const
{
    return is_recent(it, now) && it.number > position_.number && now >= it.avoid_until;
}

duration synchronizer::next_back_off(duration& former)
{
    former = former == duration{} ? settings_.initial_back_off : std::min(former * 2, settings_.max_back_off);
    return random_duration(former / 2, former);
}

duration synchronizer::quiet_interval()
{
    const duration mean = settings_.quiet_read_interval * non_watchers_in_domain_;
    return random_duration(mean / 2, mean + mean / 2);
}

void synchronizer::detect_pause(time_point now)
{
    if (now <= expected_call_time_ + settings_.pause_threshold)
        return;
    // Reports from before the pause are outdated. The reads are spread over time, since a pause can affect
    // many instances at once.
    ++counters_.pauses;
    reports_.clear();
    read_back_off_ = {};
    pull_back_off_ = {};
    earliest_read_ = now + random_duration({}, settings_.max_start_delay);
    watcher_read_time_ = earliest_read_;
    earliest_pull_ = now;
}

void synchronizer::expire_overdue_calls(time_point now)
{
    if (read_ && now - read_->started >= read_->command.wait + settings_.read_timeout)
        record_read_failure(read_->command.id, now);
    if (pull_ && now - pull_->started >= settings_.pull_timeout)
        end_pull(false, now);
}

void synchronizer::remove_expired_reports(time_point now)
{
    for (auto it = reports_.begin(); it != reports_.end();)
        it = is_recent(it->second, now) ? std::next(it) : reports_.erase(it);
}

void synchronizer::end_pull(bool success, time_point now)
{
    const running_pull done = *std::exchange(pull_, std::nullopt);
    if (success) {
        pull_back_off_ = {};
        return;
    }
    ++counters_.pull_failures;
    earliest_pull_ = std::max(earliest_pull_, now + next_back_off(pull_back_off_));
    const auto it = reports_.find(done.command.peer);
    if (it != reports_.end())
        it->second.avoid_until = now + settings_.pull_timeout;
}

time_point synchronizer::next_read_time() const
{
    if (watches_)
        return earliest_read_;
    if (position_.number == 0)
        return std::max(earliest_read_, started_ + settings_.max_peer_wait);
    return std::max(earliest_read_, std::min(watcher_read_time_, quiet_read_time_));
}

std::optional<read_command> synchronizer::decide_read(time_point now)
{
    if (read_ || now < next_read_time())
        return std::nullopt;
    // A version from a peer makes it unnecessary to read all entries from the service.
    if (position_.number == 0 && pull_)
        return std::nullopt;
    const bool waits = watches_ || position_.number == 0;
    read_ = running_read{{++last_id_, position_.revision, waits ? settings_.watch_wait : duration{}}, now};
    earliest_read_ = now + settings_.min_read_interval + random_duration({}, settings_.min_read_interval / 2);
    quiet_read_time_ = now + quiet_interval();
    ++counters_.reads;
    if (!watches_)
        ++counters_.fallback_reads;
    return read_->command;
}

std::optional<pull_command> synchronizer::decide_pull(time_point now)
{
    if (pull_ || now < earliest_pull_ || !peer_ahead_since_)
        return std::nullopt;
    if (watches_ && read_ && position_.number > 0 && now < *peer_ahead_since_ + settings_.pull_delay)
        return std::nullopt;
    // Prefers the largest number, then a peer in the own failure domain. A random choice among equal peers
    // spreads the load.
    const auto own = domains_.find(self_);
    std::tuple<std::int64_t, bool, duration> best;
    const std::string* chosen = nullptr;
    for (const auto& [peer, it] : reports_) {
        if (!may_pull(it, now))
            continue;
        const auto domain = domains_.find(peer);
        const bool near = own != domains_.end() && domain != domains_.end() && own->second == domain->second;
        const std::tuple rating(it.number, near, random_duration({}, max_sleep));
        if (chosen != nullptr && rating <= best)
            continue;
        best = rating;
        chosen = &peer;
    }
    if (chosen == nullptr)
        return std::nullopt;
    pull_ = running_pull{{++last_id_, *chosen, position_.number}, now};
    earliest_pull_ = now + settings_.min_pull_interval;
    ++counters_.pulls;
    return pull_->command;
}

std::optional<divergence> synchronizer::decide_divergence(time_point now)
{
    if (position_.number == 0)
        return std::nullopt;
    for (const auto& [peer, it] : reports_) {
        if (!is_recent(it, now) || it.number != position_.number || it.digest == position_.digest)
            continue;
        if (!reported_digests_.insert(it.digest).second)
            continue;
        ++counters_.divergences;
        return divergence{position_.number, position_.digest, peer, it.digest};
    }
    return std::nullopt;
}

void synchronizer::decide_ready(time_point now)
{
    if (ready_ || position_.number == 0 || is_peer_ahead(now))
        return;
    // The first read may have reached a stale replica of the service, so an instance that has peers waits for
    // a report from one of them.
    ready_ = has_peer_version(now) || is_only_instance() || now >= started_ + settings_.max_peer_wait;
}

time_point synchronizer::next_call_time(time_point now) const
{
    time_point it = now + max_sleep;
    const auto at_most = [&](time_point t) { it = std::min(it, t); };
    at_most(read_ ? read_->started + read_->command.wait + settings_.read_timeout : next_read_time());
    if (pull_)
        at_most(pull_->started + settings_.pull_timeout);
    else if (peer_ahead_since_)
        at_most(std::max(earliest_pull_, *peer_ahead_since_ + settings_.pull_delay));
    if (!ready_ && now < started_ + settings_.max_peer_wait)
        at_most(started_ + settings_.max_peer_wait);
    return std::max(it, now + min_sleep);
}

} // namespace limpetlock::config
