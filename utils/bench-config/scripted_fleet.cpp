#include "scripted_fleet.hpp"

#include <limpetlock/support/hash.hpp>

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace limpetlock::config {

namespace {

constexpr duration step_length{10};
constexpr const char* service_name = "service";

} // namespace

scripted_fleet::scripted_fleet(const fleet_settings& settings, observer observe)
    : settings_(settings), observe_(std::move(observe))
{
}

void scripted_fleet::set_instances(const std::vector<instance>& it)
{
    instances_ = it;
    for (auto& [name, n] : replicas_)
        n->decisions.set_instances(instances_, now_);
}

void scripted_fleet::start(const std::string& name)
{
    const auto seed = static_cast<std::uint64_t>(++start_count_);
    auto it = std::make_unique<replica>(
        replica{name, {}, synchronizer(settings_.sync, name, seed, now_), now_, {}, {}, {}, {}});
    it->next_heartbeat = now_ + duration(static_cast<std::int64_t>(
                                    hash64(name) % static_cast<std::uint64_t>(settings_.heartbeat.count())));
    it->decisions.set_instances(instances_, now_);
    replicas_[name] = std::move(it);
}

void scripted_fleet::stop(const std::string& name)
{
    replicas_.erase(name);
}

void scripted_fleet::set_service(service_mode mode, std::int64_t stale_revision)
{
    mode_ = mode;
    stale_revision_ = stale_revision;
}

void scripted_fleet::publish(entry it)
{
    it.revision = ++revision_;
    entries_.push_back({std::move(it), ""});
}

void scripted_fleet::publish_to(const std::string& reader, entry it)
{
    revision_ = std::max(revision_, it.revision);
    entries_.push_back({std::move(it), reader});
}

void scripted_fleet::cut(const std::string& a, const std::string& b)
{
    disconnected_pairs_.insert(std::minmax(a, b));
}

void scripted_fleet::run(duration length)
{
    for (const time_point end = now_ + length; now_ < end; now_ += step_length)
        for (auto& [name, it] : replicas_)
            step(*it);
}

std::vector<std::string> scripted_fleet::running() const
{
    std::vector<std::string> names;
    for (const auto& [name, it] : replicas_)
        names.push_back(name);
    return names;
}

bool scripted_fleet::all_reached(std::int64_t number) const
{
    return std::all_of(replicas_.begin(), replicas_.end(),
                       [&](const auto& it) { return it.second->store.number() >= number; });
}

std::int64_t scripted_fleet::extract_most_served()
{
    std::int64_t most = 0;
    for (const auto& [name, n] : served_pulls_)
        most = std::max(most, n);
    served_pulls_.clear();
    return most;
}

bool scripted_fleet::connected(const std::string& a, const std::string& b) const
{
    return disconnected_pairs_.count(std::minmax(a, b)) == 0;
}

std::int64_t scripted_fleet::visible_revision() const
{
    return mode_ == service_mode::stale ? std::min(stale_revision_, revision_) : revision_;
}

void scripted_fleet::notify_observer(const replica& it, const std::string& what)
{
    if (observe_)
        observe_(now_, it.name, what);
}

void scripted_fleet::notify_outcome(const replica& it, const outcome& made)
{
    notify_observer(it, fmt::format("{} revision={} author={} base={} number={}{}{}", to_string(made.result),
                                    made.revision, made.author, made.base, made.number,
                                    made.reason.empty() ? "" : " reason=", made.reason));
}

void scripted_fleet::update_position(replica& it)
{
    it.decisions.set_position(to_fold_position(it.store), now_);
}

void scripted_fleet::step(replica& it)
{
    bool changed = answer_read(it);
    changed = answer_pull(it) || changed;
    if (now_ >= it.next_heartbeat)
        send_heartbeat(it);
    if (changed || now_ >= it.next_decision)
        decide(it);
}

bool scripted_fleet::answer_read(replica& it)
{
    if (!it.read || now_ < it.read->second + settings_.latency)
        return false;
    const auto [command, started] = *it.read;
    if (mode_ == service_mode::down || !connected(it.name, service_name)) {
        it.read.reset();
        notify_observer(it, "read failed");
        it.decisions.record_read_failure(command.id, now_);
        return true;
    }
    service_reply reply{visible_revision(), {}};
    for (const published& n : entries_)
        if (n.it.revision > command.after && n.it.revision <= reply.revision &&
            (n.only_reader.empty() || n.only_reader == it.name))
            reply.entries.push_back(n.it);
    if (reply.entries.empty() && now_ < started + command.wait)
        return false;
    it.read.reset();
    notify_observer(it, fmt::format("reply revision={} entries={}", reply.revision, reply.entries.size()));
    for (const outcome& made : it.store.apply(reply))
        notify_outcome(it, made);
    update_position(it);
    it.decisions.record_read_answer(command.id, reply.revision, reply.entries.size(), now_);
    return true;
}

bool scripted_fleet::answer_pull(replica& it)
{
    if (!it.pull || now_ < it.pull->second + settings_.latency)
        return false;
    const pull_command command = it.pull->first;
    it.pull.reset();
    const auto peer = replicas_.find(command.peer);
    const auto version = peer == replicas_.end() ? nullptr : peer->second->store.in_force();
    if (!version || !connected(it.name, command.peer)) {
        notify_observer(it, fmt::format("pull failed peer={}", command.peer));
        it.decisions.record_pull_failure(command.id, now_);
        return true;
    }
    ++served_pulls_[command.peer];
    const auto made = it.store.adopt(to_peer_version(*version), command.peer);
    totals_.pulled_bytes += static_cast<std::int64_t>(version->document.text().size());
    notify_outcome(it, made);
    update_position(it);
    it.decisions.record_pull_answer(command.id, now_);
    return true;
}

void scripted_fleet::send_heartbeat(replica& it)
{
    it.next_heartbeat += settings_.heartbeat;
    const fold_position own = to_fold_position(it.store);
    const auto deliver = [&](replica& peer) {
        if (peer.name == it.name || !connected(it.name, peer.name))
            return;
        ++totals_.heartbeats;
        peer.decisions.record_peer_report(it.name, own.number, own.digest, now_);
        peer.next_decision = now_;
    };
    if (settings_.partners == 0) {
        for (auto& [name, peer] : replicas_)
            deliver(*peer);
        return;
    }
    boost::random::uniform_int_distribution<std::size_t> pick(0, instances_.size() - 1);
    for (std::size_t n = 0; n < settings_.partners; ++n) {
        const auto peer = replicas_.find(instances_[pick(random_)].name);
        if (peer != replicas_.end())
            deliver(*peer->second);
    }
}

void scripted_fleet::decide(replica& it)
{
    const decision made = it.decisions.decide(now_);
    it.next_decision = made.next_call_time;
    if (made.new_divergence)
        notify_observer(it, fmt::format("divergence number={} peer={}", made.new_divergence->number,
                                        made.new_divergence->peer));
    if (made.read) {
        notify_observer(it, fmt::format("read after={} wait={}", made.read->after, made.read->wait.count()));
        ++totals_.service_calls;
        it.read.emplace(*made.read, now_);
    }
    if (made.pull) {
        notify_observer(it, fmt::format("pull peer={} after={}", made.pull->peer, made.pull->after_number));
        ++totals_.pulls;
        it.pull.emplace(*made.pull, now_);
    }
    if (made.ready && !it.ready)
        notify_observer(it, "ready");
    it.ready = made.ready;
}

} // namespace limpetlock::config
