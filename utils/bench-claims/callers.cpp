#include "world.hpp"
#include "world_types.hpp"

#include <algorithm>
#include <utility>

namespace limpetlock::bench {

namespace {

using namespace std::chrono_literals;

constexpr duration caller_timeout = 3500ms;
constexpr duration vote_timeout = 500ms;
/// Longest time from the first attempt to a retry. It leaves a suspended instance enough time to handle its
/// buffered attempts within the key lifetime.
constexpr duration max_retry_age = 6s;

bool any(const std::vector<claims::claim_reply>& votes, claims::claim_verdict verdict)
{
    return std::any_of(votes.begin(), votes.end(), [&](const auto& it) { return it.verdict == verdict; });
}

} // namespace

void world::create_request()
{
    auto it = std::make_shared<request>();
    it->key = "k" + std::to_string(requests_.size());
    it->first_sent = now_;
    it->sends_retry_twice = chance(0.2);
    requests_.push_back(it);
    send_attempt(it);
}

void world::send_attempt(const shared_request& to)
{
    if (to->answered)
        return;
    std::vector<int> reachable;
    for (std::size_t p = 0; p < processes_.size(); ++p)
        if (processes_[p]->alive)
            reachable.push_back(static_cast<int>(p));
    if (reachable.empty()) {
        ++to->attempts;
        retry_later(to, 1s);
        return;
    }
    const auto n = std::uniform_int_distribution<std::size_t>(0, reachable.size() - 1)(random_);
    const int p = reachable[n];
    auto it = std::make_shared<attempt>();
    it->parent = to;
    it->number = ++to->attempts;
    ++totals_.attempts;
    schedule(caller_timeout, [this, it] { give_up(it); });
    schedule(random_ms(1, 10), [this, p, it] { deliver(p, [this, p, it] { handle(p, it); }); });
}

void world::retry_later(const shared_request& it, duration after)
{
    if (it->answered || now_ + after - it->first_sent > max_retry_age)
        return;
    schedule(after, [this, it] { send_attempt(it); });
    if (it->sends_retry_twice && it->attempts == 1)
        schedule(after, [this, it] { send_attempt(it); });
}

void world::give_up(const shared_attempt& it)
{
    if (it->given_up)
        return;
    it->given_up = true;
    it->parent->last = claims::response_kind::unknown;
    retry_later(it->parent, random_ms(0, 500));
}

void world::handle(int p, const shared_attempt& it)
{
    const auto& here = *processes_[static_cast<std::size_t>(p)];
    const auto read_at = now_;
    const bool first = claims::first_attempt_assertion_holds(
        it->number == 1, read_at, now_, here.suspensions.last_resumed(now_), here.section.lease_time);
    it->holder.emplace(claims::claim_request{"team", it->parent->key, "body",
                                             it->parent->key + "/" + std::to_string(it->number), first,
                                             here.section.claims_number},
                       now_);
    schedule(claims::longest_deadline, [this, p, it] { deliver(p, [this, p, it] { finish(p, it); }); });
    ++totals_.round_trips;
    if (rule_ == policy::majority_vote)
        ask_voters(p, it);
    else
        ask_owner(p, it);
}

void world::ask_owner(int p, const shared_attempt& it)
{
    auto& here = *processes_[static_cast<std::size_t>(p)];
    const auto& ask = it->holder->request();
    const claims::owner_map map(here.section);
    const int owner = here.known_processes[std::string(map.owner(ask.team, ask.key))];
    ++totals_.claim_messages;
    send(p, owner, [this, p, owner, it, ask] {
        auto& table = processes_[static_cast<std::size_t>(owner)]->records;
        const auto reply = table.claim(ask, lease_of(owner), now_);
        ++totals_.claim_messages;
        send(owner, p, [this, p, it, reply] { on_reply(p, it, reply); });
    });
}

void world::ask_voters(int p, const shared_attempt& it)
{
    auto& here = *processes_[static_cast<std::size_t>(p)];
    const auto ask = it->holder->request();
    it->voters_asked = static_cast<int>(here.section.owners.size());
    for (const auto& name : here.section.owners) {
        const int voter = here.known_processes[name];
        ++totals_.claim_messages;
        send(p, voter, [this, p, voter, it, ask] {
            auto& table = processes_[static_cast<std::size_t>(voter)]->records;
            const auto vote = table.claim(ask, lease_of(voter), now_);
            ++totals_.claim_messages;
            send(voter, p, [this, p, it, vote] {
                it->votes.push_back(vote);
                count_votes(p, it, static_cast<int>(it->votes.size()) == it->voters_asked);
            });
        });
    }
    schedule(vote_timeout, [this, p, it] { deliver(p, [this, p, it] { count_votes(p, it, true); }); });
}

void world::count_votes(int p, const shared_attempt& it, bool last)
{
    if (it->votes_counted)
        return;
    const auto granted = std::count_if(it->votes.begin(), it->votes.end(), [](const auto& vote) {
        return vote.verdict == claims::claim_verdict::granted;
    });
    const bool enough = granted * 2 > it->voters_asked;
    if (!enough && !last)
        return;
    it->votes_counted = true;
    claims::claim_reply sum{claims::claim_verdict::unknown, "no majority", {}, 0};
    const auto done = std::find_if(it->votes.begin(), it->votes.end(), [](const auto& vote) {
        return vote.verdict == claims::claim_verdict::answered;
    });
    if (done != it->votes.end())
        sum = *done;
    else if (enough)
        sum = {claims::claim_verdict::granted, {}, {}, claims::longest_deadline.count()};
    else if (any(it->votes, claims::claim_verdict::in_progress))
        sum.verdict = claims::claim_verdict::in_progress;
    else if (it->holder->request().first_attempt && !any(it->votes, claims::claim_verdict::unknown))
        sum.verdict = claims::claim_verdict::refused;
    on_reply(p, it, sum);
    // Releases the granted votes when there is no majority.
    if (!enough && granted > 0) {
        const auto& ask = it->holder->request();
        settle(p, it, {ask.team, ask.key, ask.attempt_id, claims::claim_outcome::not_run, {}});
    }
}

void world::on_reply(int p, const shared_attempt& it, const claims::claim_reply& reply)
{
    if (const auto late = it->holder->record_reply(reply)) {
        settle(p, it, *late);
        return;
    }
    if (it->holder->may_dispatch(now_)) {
        call_endpoint(p, it);
        return;
    }
    finish(p, it);
}

void world::call_endpoint(int p, const shared_attempt& it)
{
    if (!it->holder->begin_dispatch(now_))
        return;
    struct outcome {
        double share;
        claims::call_result result;
        bool runs;
    };
    static constexpr outcome outcomes[] = {{0.06, claims::call_result::not_sent, false},
                                           {0.06, claims::call_result::refused, false},
                                           {0.05, claims::call_result::broken, false},
                                           {0.05, claims::call_result::broken, true},
                                           {1.0, claims::call_result::answered, true}};
    double dice = std::uniform_real_distribution<double>(0, 1)(random_);
    const outcome* chosen = outcomes;
    while (dice >= chosen->share) {
        dice -= chosen->share;
        ++chosen;
    }
    if (chosen->runs)
        schedule(random_ms(1, 50), [this, it] { record_execution(it); });
    schedule(random_ms(51, 300), [this, p, it, result = chosen->result] {
        deliver(p, [this, p, it, result] {
            it->holder->record_result(result, "answer to " + it->parent->key);
            if (it->holder->may_dispatch(now_) && chance(0.5))
                call_endpoint(p, it);
            else
                finish(p, it);
        });
    });
}

void world::record_execution(const shared_attempt& it)
{
    ++it->parent->executions;
    totals_.false_not_run += it->reported_not_run ? 1 : 0;
}

void world::finish(int p, const shared_attempt& it)
{
    const auto response = it->holder->finish();
    if (const auto outcome = it->holder->settlement())
        settle(p, it, *outcome);
    if (processes_[static_cast<std::size_t>(p)]->side == it->parent->side || chance(0.5))
        schedule(random_ms(1, 10), [this, it, response] { receive_response(it, response); });
}

void world::settle(int p, const shared_attempt& it, const claims::claim_settle& outcome)
{
    auto& here = *processes_[static_cast<std::size_t>(p)];
    const claims::owner_map map(here.section);
    const bool vote = rule_ == policy::majority_vote;
    const auto& ask = it->holder->request();
    for (const auto& name : here.section.owners) {
        if (!vote && name != map.owner(ask.team, ask.key))
            continue;
        const int owner = here.known_processes[name];
        ++totals_.claim_messages;
        send(p, owner, [this, owner, outcome] {
            processes_[static_cast<std::size_t>(owner)]->records.settle(outcome, now_);
        });
    }
}

void world::receive_response(const shared_attempt& it, const claims::caller_response& response)
{
    if (it->given_up)
        return;
    it->given_up = true;
    it->parent->last = response.kind;
    if (response.kind == claims::response_kind::answer) {
        it->parent->answered = true;
        return;
    }
    if (response.kind == claims::response_kind::not_run) {
        it->reported_not_run = true;
        totals_.false_not_run += it->parent->executions > 0 ? 1 : 0;
    }
    retry_later(it->parent, random_ms(200, 1500));
}

} // namespace limpetlock::bench
