#include "session.hpp"

#include <array>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace limpetlock::testing {

namespace {

constexpr duration heartbeat_interval{500};

bool has(const std::vector<std::string>& line, std::string_view word)
{
    for (const auto& it : line)
        if (it == word)
            return true;
    return false;
}

std::optional<std::string> option(const std::vector<std::string>& line, const std::string& name)
{
    for (const auto& it : line)
        if (it.rfind(name + "=", 0) == 0)
            return it.substr(name.size() + 1);
    return std::nullopt;
}

const char* to_text(claims::claim_verdict it)
{
    static constexpr std::array names{"",        "granted", "answered",  "in_progress",
                                      "unknown", "refused", "key_reused"};
    return names[static_cast<std::size_t>(it)];
}

const char* to_text(claims::response_kind it)
{
    static constexpr std::array names{"answer", "not_run", "unknown", "in_progress", "key_reused"};
    return names[static_cast<std::size_t>(it)];
}

const char* to_text(claims::claim_outcome it)
{
    static constexpr std::array names{"", "done", "not_run", "unknown"};
    return names[static_cast<std::size_t>(it)];
}

claims::call_result parse_result(const std::string& text)
{
    if (text == "answered")
        return claims::call_result::answered;
    if (text == "refused")
        return claims::call_result::refused;
    return text == "broken" ? claims::call_result::broken : claims::call_result::not_sent;
}

} // namespace

std::string session::run(const std::string& script)
{
    std::istringstream in(script);
    std::string text;
    while (std::getline(in, text)) {
        if (text.rfind("  -> ", 0) == 0)
            continue;
        out_ += text + "\n";
        std::istringstream line(text);
        words it;
        for (std::string word; line >> word && word[0] != '#';)
            it.push_back(word);
        if (!it.empty())
            execute(it);
    }
    return out_;
}

void session::execute(const words& line)
{
    const auto& verb = line[0];
    if (verb == "plain")
        without_lease_ = true;
    else if (verb == "owners")
        set_owners(line);
    else if (verb == "start")
        start(line.at(1));
    else if (verb == "kill")
        find(line.at(1)).alive = false;
    else if (verb == "freeze")
        find(line.at(1)).frozen = true;
    else if (verb == "wake")
        find(line.at(1)).frozen = false;
    else if (verb == "replaced") {
        find(line.at(1)).own_lease.supersede();
        find(line.at(1)).own_witness.retire();
    } else if (verb == "side")
        for (std::size_t n = 2; n < line.size(); ++n)
            find(line[n]).partition = std::stoi(line[1]);
    else if (verb == "adopt")
        for (std::size_t n = 1; n < line.size(); ++n) {
            auto& it = find(line[n]);
            it.section = section_;
            it.own_lease.reconfigure(section_);
            it.own_witness.reconfigure(section_, now_);
            it.table.reconfigure(section_, now_);
        }
    else if (verb == "at")
        advance(time_point(duration(std::stoll(line.at(1)))));
    else if (verb == "ask")
        request_claim(line);
    else if (verb == "reply")
        deliver_reply(find_attempt(line.at(1)), *find_attempt(line.at(1)).withheld_reply);
    else if (verb == "dispatch") {
        auto& it = find_attempt(line.at(1));
        const bool sent = it.holder.begin_dispatch(now_);
        if (sent && has(line, "ran"))
            ++executions_[it.holder.request().key];
        print_decision(line[1] + (sent ? " sent" : " not sent: " + it.holder.refusal()));
    } else if (verb == "result")
        find_attempt(line.at(1)).holder.record_result(parse_result(line.at(2)), "ok");
    else if (verb == "finish")
        finish(line);
    else if (verb == "seal")
        seal(line);
    else if (verb == "pull")
        pull(line);
    else if (verb == "executions")
        print_decision(line.at(1) + " ran " + std::to_string(executions_[line[1]]));
    else
        throw std::runtime_error("unknown command " + verb);
}

void session::print_decision(std::string text)
{
    out_ += "  -> " + std::to_string(to_ms(now_)) + " " + std::move(text) + "\n";
}

void session::set_owners(const words& line)
{
    section_.owners.clear();
    for (std::size_t n = 1; n < line.size(); ++n)
        if (line[n].find('=') == std::string::npos)
            section_.owners.push_back(line[n]);
    section_.key_lifetime = duration(std::stoll(option(line, "lifetime").value_or("600000")));
    section_.max_claims = std::stoul(option(line, "max").value_or("20000"));
    section_.claims_number = std::stoll(option(line, "number").value_or("1"));
}

void session::start(const std::string& label)
{
    const auto name = label.substr(0, 1);
    const auto incarnation = std::stoll(label.substr(1));
    members_[label] = std::make_unique<member>(
        member{name,
               incarnation,
               0,
               true,
               false,
               false,
               section_,
               claims::lease(name, incarnation, section_),
               claims::witness(section_, now_),
               claims::table(name, incarnation, section_),
               {},
               suspension_detector(now_, claims::max_tick_gap),
               {},
               claims::handover_collector(name, incarnation, claims::owner_map(section_))});
}

void session::advance(time_point to)
{
    while (now_ + heartbeat_interval <= to) {
        now_ += heartbeat_interval;
        send_heartbeats();
        show_leases();
    }
    now_ = to;
    show_leases();
}

void session::send_heartbeats()
{
    for (auto& [label, it] : members_)
        if (it->alive && !it->frozen)
            it->suspensions.tick(now_);
    for (auto& [label, it] : members_)
        if (it->alive && !it->frozen)
            send_heartbeat_round(*it);
}

void session::send_heartbeat_round(member& from)
{
    const auto sequence = from.own_lease.start_round(now_);
    for (auto& [label, to] : members_) {
        if (!reaches(from, *to) || (to.get() != &from && to->name == from.name))
            continue;
        auto& highest = to->highest_incarnations[from.name];
        if (from.incarnation < highest)
            continue;
        highest = from.incarnation;
        const bool supports =
            to->own_witness.support(from.name, from.incarnation, from.section.claims_number, now_);
        from.own_lease.record_ack(to->name, to->incarnation, {sequence, to_ms(now_), supports, 0, {}}, now_);
        from.own_witness.update_own_lease(from.own_lease.state(now_), now_);
    }
}

void session::show_leases()
{
    if (without_lease_)
        return;
    for (auto& [label, it] : members_) {
        const bool held = it->alive && it->own_lease.held(now_);
        if (held != it->held)
            print_decision(label + (held ? " holds the lease" : " has no lease"));
        it->held = held;
    }
}

void session::request_claim(const words& line)
{
    auto& from = find(line.at(3));
    const auto body = option(line, "body").value_or("body");
    const time_point read_at(
        duration(std::stoll(option(line, "read").value_or(std::to_string(to_ms(now_))))));
    const bool first = claims::first_attempt_assertion_holds(
        line.at(5) == "first", read_at, now_, from.suspensions.last_resumed(now_), from.section.lease_time);
    claims::holder holder({"team", line.at(2), body, line[1], first, from.section.claims_number}, now_);
    auto& it =
        *(attempts_[line[1]] = std::make_unique<attempt>(attempt{line[3], line.at(4), holder, std::nullopt}));
    auto& owner = find(line[4]);
    if (!reaches(from, owner) && !has(line, "hold")) {
        print_decision(line[1] + " no reply" + (first ? "" : ", not a first attempt"));
        return;
    }
    const auto reply = owner.table.claim(it.holder.request(), lease_of(owner), now_);
    print_decision(line[1] + " " + to_text(reply.verdict) +
                   (reply.reason.empty() ? "" : ": " + reply.reason));
    if (has(line, "hold"))
        it.withheld_reply = reply;
    else
        deliver_reply(it, reply);
}

void session::deliver_reply(attempt& it, const claims::claim_reply& reply)
{
    if (const auto late = it.holder.record_reply(reply))
        send_settlement(it, late);
}

void session::finish(const words& line)
{
    auto& it = find_attempt(line.at(1));
    const auto response = it.holder.finish();
    print_decision(line[1] + " tells " + to_text(response.kind) +
                   (response.reason.empty() ? "" : ": " + response.reason));
    if (!has(line, "lost"))
        send_settlement(it, it.holder.settlement());
}

void session::send_settlement(const attempt& it, const std::optional<claims::claim_settle>& outcome)
{
    if (!outcome || !reaches(find(it.requester), find(it.owner)))
        return;
    const bool counted = find(it.owner).table.settle(*outcome, now_);
    print_decision(outcome->attempt_id + " settled " + to_text(outcome->outcome) +
                   (counted ? "" : ", ignored"));
}

void session::seal(const words& line)
{
    auto& it = find(line.at(1));
    it.table.seal(lease_of(it), now_);
    const auto records = it.table.export_records(now_);
    const bool kept = find(line.at(2)).keeper.keep(records, section_.key_lifetime, now_);
    print_decision(line[1] + " sealed " + std::to_string(records.records.size()) + " records, " +
                   (kept ? "kept by " : "not kept by ") + line[2]);
}

void session::pull(const words& line)
{
    auto& it = find(line.at(1));
    for (std::size_t n = 2; n < line.size(); ++n) {
        auto& peer = find(line[n]);
        it.collector->record_reply(peer.name,
                                   peer.keeper.answer_pull(peer.own_witness, it.name, it.incarnation, now_));
    }
    const auto accepted = it.collector->accepted();
    if (!accepted) {
        print_decision(line[1] + " imports nothing: " + it.collector->reason());
        return;
    }
    const auto n = it.table.import_records(*accepted, lease_of(it), now_);
    print_decision(line[1] + (n ? " imports " + std::to_string(*n) + " records"
                                : " imports nothing: " + it.table.last_error().reason));
}

claims::lease_state session::lease_of(const member& it) const
{
    if (without_lease_)
        return {now_ - 3 * it.section.key_lifetime, now_ + duration{1}, now_ + duration{1}, now_,
                now_ + duration{1}};
    return it.own_lease.state(now_);
}

bool session::reaches(const member& from, const member& to) const
{
    return from.alive && to.alive && !from.frozen && !to.frozen && from.partition == to.partition;
}

session::member& session::find(const std::string& label)
{
    const auto it = members_.find(label);
    if (it == members_.end())
        throw std::runtime_error("no process " + label);
    return *it->second;
}

session::attempt& session::find_attempt(const std::string& id)
{
    const auto it = attempts_.find(id);
    if (it == attempts_.end())
        throw std::runtime_error("no attempt " + id);
    return *it->second;
}

} // namespace limpetlock::testing
