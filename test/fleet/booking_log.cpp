#include "booking_log.hpp"

#include <limpetlock/support/hash.hpp>

#include <fmt/format.h>
#include <testkit/outputs.hpp>

#include <algorithm>
#include <cstdio>

namespace limpetlock::test {

using nlohmann::json;

namespace {

constexpr duration pause_between_attempts{100};
constexpr duration key_timeout{8'000};

/// Lets callers move on from a frozen instance.
constexpr duration caller_timeout{3'000};

/// The endpoints are idle after this time without a new or running booking.
constexpr std::int64_t idle_ms = 1'000;
constexpr auto team = "plant-01";

const json body{{"truck", 1}};

std::string describe(const booking_attempt& it)
{
    return fmt::format("{} attempt {} at {} [{}..{}]: {} {}", it.key, it.attempt, it.instance, it.sent_ms,
                       it.received_ms, it.reply.status, it.reply.body + it.reply.failure);
}

bool refused(const booking_attempt& it)
{
    return it.reply.ran() == "no";
}

/// Returns whether an attempt at a key that ran was falsely refused as not run. The refusal is correct if an
/// attempt that was sent later was not refused, since that one may have run the key.
bool false_refusal(const booking_attempt& it, const std::vector<booking_attempt>& attempts)
{
    return refused(it) && std::none_of(attempts.begin(), attempts.end(), [&](const booking_attempt& other) {
               return other.sent_ms > it.sent_ms && !refused(other);
           });
}

std::int64_t dispatch_total(const fleet& it, const char* total)
{
    std::int64_t n = 0;
    const json page = it.run_totals();
    for (const auto& name : it.endpoint_names("dispatch"))
        n += page["totals"][name].value(total, std::int64_t{0});
    return n;
}

void check_key(const std::string& key, const std::vector<booking_attempt>& attempts, std::int64_t executions,
               booking_totals& out)
{
    const auto last = std::max_element(attempts.begin(), attempts.end(), [](const auto& a, const auto& b) {
        return a.received_ms < b.received_ms;
    });
    const bool answered = std::any_of(attempts.begin(), attempts.end(),
                                      [](const booking_attempt& it) { return it.reply.status == 200; });
    ++out.keys;
    ++(answered ? out.answered : refused(*last) ? out.refused : out.unknown);
    out.max_executions_per_key = std::max(out.max_executions_per_key, executions);
    std::string history;
    for (const auto& it : attempts)
        history += "\n  " + describe(it);
    if (executions > 1)
        out.violations.push_back(fmt::format("{} ran {} times:{}", key, executions, history));
    if (answered && executions == 0)
        out.violations.push_back(fmt::format("{} was answered and did not run:{}", key, history));
    for (const auto& it : attempts) {
        if (it.reply.status == 200 && it.reply.json()["result"] != testkit::service_result("book", body))
            out.violations.push_back(fmt::format("{} has the answer of another call:{}", key, history));
        const bool as_last = &it == &*last && refused(it);
        if (executions > 0 && (as_last || false_refusal(it, attempts))) {
            out.false_refusals.push_back(key);
            out.violations.push_back(fmt::format("{} ran and was refused as not run:{}", key, history));
            break;
        }
    }
}

} // namespace

booking_log::booking_log(fleet& it) : fleet_(it) {}

booking_log::~booking_log()
{
    stop_callers();
    wait_pending();
}

answer booking_log::send(std::size_t instance, const std::string& key, int attempt, duration timeout)
{
    booking_attempt it{key, instance, attempt, to_ms(boot_clock::now()), 0, {}};
    it.reply = fleet_.book(instance, key, attempt, body, timeout);
    it.received_ms = to_ms(boot_clock::now());
    const std::lock_guard lock(mutex_);
    attempts_.push_back(it);
    return it.reply;
}

void booking_log::send_async(std::size_t instance, const std::string& key, int attempt)
{
    pending_.emplace_back([=, this] { send(instance, key, attempt); });
}

void booking_log::send_all_async(std::size_t instance, const std::vector<std::string>& keys, int attempt)
{
    for (const auto& it : keys)
        send_async(instance, it, attempt);
}

void booking_log::send_all(std::size_t instance, const std::vector<std::string>& keys, int attempt)
{
    std::vector<std::thread> threads;
    threads.reserve(keys.size());
    for (const auto& it : keys)
        threads.emplace_back([=, this] { send(instance, it, attempt); });
    for (auto& it : threads)
        it.join();
}

bool booking_log::send_until_answered(const std::vector<std::string>& keys, int attempt, duration timeout)
{
    std::vector<std::string> left = keys;
    return fleet_.wait_until(
        [&] {
            std::erase_if(left, [&](const std::string& it) {
                return send(static_cast<std::size_t>(attempt) % fleet_.size(), it, attempt).status == 200;
            });
            ++attempt;
            return left.empty();
        },
        timeout);
}

void booking_log::wait_pending()
{
    for (auto& it : pending_)
        it.join();
    pending_.clear();
}

void booking_log::start_callers(const std::vector<std::size_t>& instances, int callers,
                                const std::string& prefix)
{
    for (int n = 0; n < callers; ++n)
        callers_.emplace_back([=, this] {
            for (std::size_t i = 0; !stopping_; ++i)
                repeat_until_answered_or_refused(instances, i + static_cast<std::size_t>(n),
                                                 fmt::format("{}-{}-{}", prefix, n, i));
        });
}

void booking_log::repeat_until_answered_or_refused(const std::vector<std::size_t>& instances, std::size_t at,
                                                   const std::string& key)
{
    const time_point deadline = boot_clock::now() + key_timeout;
    for (int attempt = 1; attempt == 1 || boot_clock::now() < deadline; ++attempt) {
        const answer it = send(instances[at++ % instances.size()], key, attempt, caller_timeout);
        std::this_thread::sleep_for(pause_between_attempts);
        if (it.status == 200 || it.ran() == "no")
            return;
    }
}

void booking_log::stop_callers()
{
    stopping_ = true;
    for (auto& it : callers_)
        it.join();
    callers_.clear();
    stopping_ = false;
}

std::size_t booking_log::answered_count() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(attempts_.begin(), attempts_.end(),
                                                  [](const auto& it) { return it.reply.status == 200; }));
}

std::size_t booking_log::attempt_count() const
{
    const std::lock_guard lock(mutex_);
    return attempts_.size();
}

void booking_log::wait_idle()
{
    std::int64_t since = to_ms(boot_clock::now());
    std::int64_t newest = -1;
    fleet_.wait_until([&] {
        const auto now = to_ms(boot_clock::now());
        const auto seen = fleet_.run_totals()["newest"].get<std::int64_t>();
        if (seen != newest || running_bookings(fleet_) > 0)
            since = now;
        newest = seen;
        return now - since >= idle_ms;
    });
}

booking_totals booking_log::check(const std::string& title)
{
    stop_callers();
    wait_pending();
    wait_idle();
    std::map<std::string, std::int64_t> executions;
    const json page = fleet_.runs();
    booking_totals out;
    for (const auto& it : page["runs"])
        if (it.value("call", "") == "book" && it.value("done", false))
            ++executions[it.value("key", "")];
    std::map<std::string, std::vector<booking_attempt>> by_key;
    for (const auto& it : attempts_)
        by_key[it.key].push_back(it);
    for (const auto& [key, attempts] : by_key)
        check_key(key, attempts, executions[key], out);
    fmt::print(stderr,
               "{}: keys {}, answered {}, unknown {}, refused {}, executions per key at most {}, false \"not "
               "run\" {}\n",
               title, out.keys, out.answered, out.unknown, out.refused, out.max_executions_per_key,
               out.false_refusals.size());
    for (const auto& it : out.violations)
        fmt::print(stderr, "{}: {}\n", title, it);
    return out;
}

std::size_t owner_of(const fleet& it, const std::string& key)
{
    return hash64(key, hash64(team)) % it.size();
}

std::vector<std::string> keys_of_owner(const fleet& it, std::size_t owner, const std::string& prefix,
                                       std::size_t count)
{
    std::vector<std::string> out;
    for (int n = 0; out.size() < count; ++n) {
        std::string key = fmt::format("{}-{}", prefix, n);
        if (owner_of(it, key) == owner)
            out.push_back(std::move(key));
    }
    return out;
}

std::vector<std::string> keys_of_each_owner(const fleet& it, const std::string& prefix,
                                            std::size_t count_per_owner)
{
    std::vector<std::string> out;
    for (std::size_t n = 0; n < it.size(); ++n)
        for (auto& key : keys_of_owner(it, n, fmt::format("{}-{}", prefix, n), count_per_owner))
            out.push_back(std::move(key));
    return out;
}

json claims_state(const fleet& it, std::size_t instance)
{
    const json state = it.state(instance);
    return state.is_object() ? state.value("claims", json::object()) : json::object();
}

std::string describe_claims(const fleet& it)
{
    std::string out;
    for (std::size_t n = 0; n < it.size(); ++n)
        out += fmt::format("\n{}: {} peers {}", it.name(n), claims_state(it, n).dump(),
                           it.state(n).value("peers", json()).dump());
    return out;
}

bool holds_lease(const fleet& it, std::size_t instance)
{
    return claims_state(it, instance).value("lease_held", false);
}

std::int64_t running_bookings(const fleet& it)
{
    return dispatch_total(it, "running");
}

std::int64_t received_bookings(const fleet& it)
{
    return dispatch_total(it, "calls");
}

} // namespace limpetlock::test
