// Randomized soak test of real processes. A seed determines a series of overlapping faults, while callers
// check their answers. LIMPETLOCK_SOAK_SEEDS ("7" or "1-50") selects the seeds, 1 and 2 by default, and
// LIMPETLOCK_SOAK_SECONDS the duration of each run, 5 by default.
#include "platform_fleet.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <thread>

using namespace limpetlock::test;
using limpetlock::platformkit::behaviour;
using limpetlock::platformkit::site;
using limpetlock::platformkit::store_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t instances = 3;
constexpr milliseconds request_gap{15};

/// The longest time until the answer of an instance: the deadline of a call plus 1 s that its caller allows.
constexpr milliseconds max_answer_time{6'000};

/// All instances serve requests again within this time after the last fault.
constexpr seconds recovery_timeout{8};

/// A fault of an instance.
struct disturbance {
    steady_clock::time_point from;
    steady_clock::time_point to;
    bool planned; ///< A planned stop, which answers all requests accepted before it.
};

struct sent_call {
    platform_call call;
    std::size_t instance;
    steady_clock::time_point sent_at;
    std::future<platform_answer> answer;
};

/// One series of faults. The seed determines all random choices, but not the timing of the processes.
class soak {
public:
    explicit soak(std::uint64_t seed)
        : seed_(seed), random_(seed), fleet_(instances), disturbances_(instances)
    {
    }

    void run(seconds run_time);

private:
    /// Returns a random number below n.
    std::size_t pick(std::size_t n)
    {
        return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }
    void send_one();
    void inject_fault();
    void disturb_instance(std::size_t which);
    void disturb_endpoints();
    void disturb_store();
    void limit_endpoint(bool is_engine);
    void lose_changes();
    /// Ends the faults whose end time has passed, or all faults if `all` is set.
    void end_due_faults(bool all);
    void end_endpoint_faults();
    void check_recovery();
    void check_answers();
    void check_answer(const sent_call& sent, const platform_answer& it);
    bool may_lack_answer(const sent_call& it) const;

    const std::uint64_t seed_;
    boost::random::mt19937_64 random_;
    platform_fleet fleet_;
    std::vector<std::vector<disturbance>> disturbances_;
    /// Actions that end faults, by the time at which they are due.
    std::multimap<steady_clock::time_point, std::function<void()>> pending_recoveries_;
    std::vector<sent_call> sent_;
    std::uint64_t next_id_{1};
};

void soak::send_one()
{
    static constexpr std::array<const char*, 4> routes{"stream", "resumable", "booking", "lookup"};
    const std::string route = routes.at(pick(routes.size()));
    platform_call it;
    it.path = "/" + route + "/x";
    it.request_id = fmt::format("{:016x}", next_id_++);
    const bool deadly = pick(25) == 0;
    it.prefix_hashes =
        fmt::format("1:50,{}{:x}:80,{:x}:30", deadly ? "dead:40," : "", pick(9) + 2, next_id_ + 1000);
    if (route == "stream")
        it.pieces = "2,1";
    const std::size_t to = pick(instances);
    auto answer = fleet_.send(to, it);
    sent_.push_back({std::move(it), to, steady_clock::now(), std::move(answer)});
}

/// Freezes, kills or stops an instance, and schedules its return.
void soak::disturb_instance(std::size_t which)
{
    auto& faults = disturbances_[which];
    const auto now = steady_clock::now();
    if (!faults.empty() && faults.back().to > now)
        return;
    const milliseconds fault_time(200 + pick(1'200));
    const std::size_t how = pick(3);
    faults.push_back({now, steady_clock::time_point::max(), how == 2});
    const auto restart = [this, which] {
        fleet_.start(which);
        const auto until = steady_clock::now() + recovery_timeout;
        while (!fleet_.is_ready(which) && steady_clock::now() < until)
            std::this_thread::sleep_for(request_gap);
        disturbances_[which].back().to = steady_clock::now();
    };
    if (how == 0) {
        fleet_.signal(which, SIGSTOP);
        pending_recoveries_.emplace(now + fault_time, [this, which] {
            fleet_.signal(which, SIGCONT);
            disturbances_[which].back().to = steady_clock::now() + seconds(1);
        });
    } else if (how == 1) {
        fleet_.signal(which, SIGKILL);
        pending_recoveries_.emplace(now + fault_time, restart);
    } else {
        fleet_.signal(which, SIGTERM);
        pending_recoveries_.emplace(now + fault_time, [this, which, restart] {
            const int code = fleet_.wait_exit(which, seconds(10));
            std::string steps;
            for (const auto& it : fleet_.log_lines(which, "event=stop"))
                steps += '\n' + it;
            cr_expect_eq(code, 0, "seed %lu: a planned stop of instance %zu ends with exit code %d:%s", seed_,
                         which, code, steps.c_str());
            restart();
        });
    }
}

void soak::disturb_endpoints()
{
    static constexpr std::array<behaviour, 8> behaviours{behaviour::refuse,
                                                         behaviour::fail,
                                                         behaviour::cut_answer,
                                                         behaviour::wrong_id,
                                                         behaviour::without_signature,
                                                         behaviour::wrong_endpoint,
                                                         behaviour::endless_body,
                                                         behaviour::endless_events};
    const auto how = behaviours.at(pick(behaviours.size()));
    const std::size_t count = 1 + pick(6);
    const std::size_t kind = pick(5);
    if (kind > 2) {
        limit_endpoint(kind == 3);
        return;
    }
    fleet_.with_site([&](site& it) {
        if (kind == 0)
            it.plain[pick(it.plain.size())]->behave(how, count);
        else if (kind == 1)
            it.engines[pick(it.engines.size())]->behave(how, count);
        else
            it.first_stage[pick(it.first_stage.size())]->behave(behaviour::cut_answer, count);
    });
}

/// An engine or plain endpoint limits the rate of its requests for a while.
void soak::limit_endpoint(bool is_engine)
{
    static constexpr std::array<const char*, 4> rates{"0", "0.5", "2", "20"};
    const std::string rate = rates.at(pick(rates.size()));
    const std::size_t n = pick(2);
    const auto state_limit = [this, is_engine, n](const std::string& text) {
        fleet_.with_site([&](site& it) { (is_engine ? it.engines : it.plain)[n]->limit.state(text); });
    };
    state_limit(rate);
    pending_recoveries_.emplace(steady_clock::now() + milliseconds(100 + pick(1'500)),
                                [state_limit] { state_limit(""); });
}

/// The store is away, and comes back without what was written since. Its writers write it again a little
/// later.
void soak::lose_changes()
{
    fleet_.with_site([this](site& it) {
        it.state.take_copy();
        for (std::size_t n = pick(3); n > 0; --n)
            it.publish_config();
        it.state.put("servers/i-plain-0", it.plain[0]->entry());
        it.state.set_mode(store_mode::refusing);
    });
    const auto back = steady_clock::now() + milliseconds(100 + pick(1'000));
    pending_recoveries_.emplace(back, [this] {
        fleet_.with_site([](site& it) {
            it.state.restore_copy();
            it.state.set_mode(store_mode::serving);
        });
    });
    pending_recoveries_.emplace(back + milliseconds(pick(400)),
                                [this] { fleet_.with_site([](site& it) { it.write_again(); }); });
}

void soak::disturb_store()
{
    if (pick(3) == 0) {
        lose_changes();
        return;
    }
    static constexpr std::array<store_mode, 3> modes{store_mode::refusing, store_mode::silent,
                                                     store_mode::silent_watches};
    const auto how = modes.at(pick(modes.size()));
    const bool forget = pick(2) == 0;
    const std::size_t lost = pick(4);
    fleet_.with_site([&](site& it) {
        it.state.set_mode(how);
        it.state.lose_answers("/v1/", lost);
        if (forget)
            it.state.forget_history();
        if (how == store_mode::silent_watches)
            it.publish_config();
    });
    pending_recoveries_.emplace(steady_clock::now() + milliseconds(100 + pick(1'500)), [this] {
        fleet_.with_site([](site& it) { it.state.set_mode(store_mode::serving); });
    });
}

void soak::inject_fault()
{
    switch (pick(4)) {
    case 0:
    case 1:
        return disturb_instance(pick(instances));
    case 2:
        return disturb_endpoints();
    default:
        return disturb_store();
    }
}

void soak::end_due_faults(bool all)
{
    while (!pending_recoveries_.empty() &&
           (all || pending_recoveries_.begin()->first <= steady_clock::now())) {
        const auto action = pending_recoveries_.begin()->second;
        pending_recoveries_.erase(pending_recoveries_.begin());
        action();
    }
}

/// Clears the remaining faults of endpoints. Otherwise they would continue during the recovery: six failed
/// stage calls in a row make all endpoints of a pool back off for longer than the recovery may take.
void soak::end_endpoint_faults()
{
    fleet_.with_site([](site& it) {
        for (const auto* list : {&it.plain, &it.engines})
            for (const auto& endpoint : *list)
                endpoint->behave(behaviour::normal, 0);
        it.write_again();
        for (const auto& endpoint : it.first_stage)
            endpoint->behave(behaviour::normal, 0);
    });
}

void soak::run(seconds run_time)
{
    cr_assert(fleet_.wait_ready());
    fleet_.with_site([](site& it) {
        for (const auto& engine : it.engines) {
            engine->crash_on("dead", milliseconds(500));
            engine->on_restart(
                [&it, &engine] { it.state.put("servers/" + engine->options().id, engine->entry()); });
        }
    });
    const auto end = steady_clock::now() + run_time;
    auto next_fault = steady_clock::now();
    while (steady_clock::now() < end) {
        send_one();
        end_due_faults(false);
        if (steady_clock::now() >= next_fault) {
            inject_fault();
            next_fault = steady_clock::now() + milliseconds(100 + pick(500));
        }
        std::this_thread::sleep_for(request_gap);
    }
    end_due_faults(true);
    end_endpoint_faults();
    check_recovery();
    check_answers();
}

void soak::check_recovery()
{
    cr_expect(fleet_.wait_ready(recovery_timeout), "not all instances are ready again");
    const auto until = steady_clock::now() + recovery_timeout;
    std::size_t served = 0;
    std::string failures;
    while (served < instances && steady_clock::now() < until) {
        served = 0;
        for (std::size_t n = 0; n < instances; ++n) {
            platform_call it;
            it.path = "/stream/x";
            it.request_id = fmt::format("{:016x}", next_id_++);
            it.pieces = "2,1";
            it.prefix_hashes = "1:50,2:80,3:30";
            const auto answer = fleet_.send_and_wait(n, it);
            const bool ok = answer.status == 200 && answer.complete;
            served += ok ? 1 : 0;
            if (!ok)
                failures += fmt::format(" {}: {} {};", n, answer.status, answer.body.substr(0, 120));
        }
    }
    cr_expect_eq(served, instances, "seed %lu: not all instances serve streams after the faults:%s", seed_,
                 failures.c_str());
}

/// Returns whether a request may have no answer, which holds only if its instance was killed, frozen or not
/// running meanwhile.
bool soak::may_lack_answer(const sent_call& it) const
{
    const auto& faults = disturbances_[it.instance];
    return std::any_of(faults.begin(), faults.end(), [&](const disturbance& s) {
        const auto latest = s.planned ? it.sent_at : it.sent_at + max_answer_time;
        return it.sent_at <= s.to && latest >= s.from;
    });
}

void soak::check_answer(const sent_call& sent, const platform_answer& it)
{
    const auto& id = sent.call.request_id;
    cr_expect(it.status != 0 || may_lack_answer(sent),
              "seed %lu: %s got no answer from an undisturbed instance", seed_, id.c_str());
    cr_expect(it.status < 400 || it.status >= 500, "seed %lu: %s was denied with %d", seed_, id.c_str(),
              it.status);
    if (it.status != 200)
        return;
    cr_expect_eq(it.header("Limpetlock-Request-Id"), id);
    std::string body = "answer to " + id;
    if (sent.call.path.starts_with("/stream") || sent.call.path.starts_with("/resumable")) {
        body.clear();
        for (std::size_t n = 1; n <= 8; ++n)
            body += fmt::format("id: {}\ndata: {}\n\n", n, std::string(55, 'x'));
    }
    if (it.complete)
        cr_expect_eq(it.body, body, "seed %lu: %s: %s", seed_, id.c_str(), it.body.c_str());
    else
        cr_expect(body.starts_with(it.body), "seed %lu: %s: a cut answer is not a prefix of the complete one",
                  seed_, id.c_str());
}

void soak::check_answers()
{
    std::map<std::string, int> status;
    for (auto& sent : sent_) {
        const auto answer = sent.answer.get();
        status[sent.call.request_id] = answer.status;
        check_answer(sent, answer);
    }
    std::map<std::string, std::size_t> runs;
    std::map<std::string, std::size_t> bookings;
    fleet_.with_site([&](site& it) {
        for (const auto* list : {&it.plain, &it.engines})
            for (const auto& endpoint : *list)
                for (const auto& run : endpoint->runs()) {
                    ++runs[run.request_id];
                    bookings[run.request_id] += run.target.starts_with("/booking/") ? 1 : 0;
                }
    });
    for (const auto& [id, count] : bookings)
        cr_expect_leq(count, 1, "seed %lu: booking %s ran %zu times", seed_, id.c_str(), count);
    for (const auto& [id, code] : status)
        cr_expect(code != 503 || runs[id] == 0 || bookings[id] == 0, "seed %lu: %s was refused and ran",
                  seed_, id.c_str());
}

std::pair<std::uint64_t, std::uint64_t> chosen_seeds()
{
    const char* const text = std::getenv("LIMPETLOCK_SOAK_SEEDS");
    std::uint64_t first = 1;
    std::uint64_t last = 2;
    if (text != nullptr) {
        std::istringstream in(text);
        char dash = 0;
        in >> first;
        if (!(in >> dash >> last))
            last = first;
    }
    return {first, last};
}

} // namespace

// Guards against double bookings, false refusals, lost and crossed answers, and a fleet that doesn't recover,
// under overlapping faults.
Test(soak, guarantees_hold_under_overlapping_faults, .timeout = 1'800)
{
    const char* const run_time = std::getenv("LIMPETLOCK_SOAK_SECONDS");
    const auto [first, last] = chosen_seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        soak it(seed);
        it.run(seconds(run_time == nullptr ? 5 : std::atoi(run_time)));
    }
}
