#include <limpetlock/admission/team_shares.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>
#include <limpetlock/gateway/team_counters.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace limpetlock;
using namespace limpetlock::gateway;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

/// Requests of one team that arrive at regular intervals.
struct demand {
    std::string team;
    std::size_t pieces{4};
    std::int64_t interval_ms{100};
    int priority{0};
    std::int64_t first_ms{0};
    std::size_t repeats{0}; ///< how often a request that came late is sent again

    /// Key of the outcome.
    std::string name() const { return team + "/" + std::to_string(priority); }
};

/// Orders that the fair one is compared with.
enum class order : std::uint8_t { fair, first_come, rank_alone, without_teams };

struct outcome {
    std::size_t asked{0};
    std::size_t served{0};
    std::size_t pieces{0}; ///< that were called

    double share() const
    {
        return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(1, asked));
    }
};

/// A pool of two endpoints: 12 pieces in 360 ms each, 66 pieces a second in all.
class simulation {
public:
    explicit simulation(order how) : how_(how)
    {
        options_.max_pieces = 12;
        options_.call_ms = 240;
        options_.piece_ms = 10;
        options_.overload_threshold = 12;
        options_.fill_threshold = 24;
        options_.max_team_lead_ms = 4'000;
        if (how == order::first_come)
            options_.oldest_first_interval = 1;
        if (how == order::rank_alone)
            options_.order_key_offset_per_priority = duration(100'000);
    }

    std::map<std::string, outcome> run(const std::vector<demand>& demands)
    {
        std::vector<std::int64_t> free(2, 0);
        for (std::int64_t now = 0; now < run_ms; now += 10) {
            for (const auto& it : demands)
                if (now >= it.first_ms && (now - it.first_ms) % it.interval_ms == 0)
                    submit(it, now, it.repeats);
            for (const auto& it : queue_.expire(options_, at(now)))
                if (left_.erase(it.task->request_id) > 0 && repeats_[it.task->request_id] > 0)
                    submit(demand_of_.at(it.task->request_id), now, repeats_[it.task->request_id] - 1);
            for (auto& until : free)
                if (until <= now)
                    until = now + call(now);
        }
        return outcomes_;
    }

private:
    static constexpr std::int64_t run_ms = 30'000;

    void submit(const demand& it, std::int64_t now, std::size_t repeats)
    {
        auto task = std::make_shared<stage_task>();
        task->request_id = std::to_string(++requests_);
        for (std::uint32_t n = 0; n < it.pieces; ++n)
            task->pieces.push_back(n);
        task->objective_time = at(now + 1'500);
        task->deadline = at(now + 3'000);
        task->priority = it.priority;
        if (how_ != order::without_teams)
            task->team = how_ == order::fair ? it.team : "";
        if (repeats == it.repeats)
            ++outcomes_[it.name()].asked;
        left_[task->request_id] = it.pieces;
        repeats_[task->request_id] = repeats;
        demand_of_.emplace(task->request_id, it);
        for (std::size_t n = 0; n < it.pieces; ++n)
            queue_.push({task, n, 0, at(now)});
    }

    /// Returns the time of the next call; a short one if nothing waits.
    std::int64_t call(std::int64_t now)
    {
        const auto batch = queue_.pop_batch(options_, "", {}, UINT64_MAX, {}, at(now));
        const std::int64_t took = batch.pieces.empty() ? 10 : options_.call_time(batch.pieces.size()).count();
        for (const auto& it : batch.pieces) {
            const auto left = left_.find(it.task->request_id);
            auto& out = outcomes_[demand_of_.at(it.task->request_id).name()];
            ++out.pieces;
            if (left != left_.end() && --left->second == 0)
                out.served += at(now + took) <= it.task->deadline ? 1 : 0;
        }
        return took;
    }

    order how_;
    batch_options options_;
    piece_queue queue_;
    std::size_t requests_{0};
    std::map<std::string, std::size_t> left_;
    std::map<std::string, std::size_t> repeats_;
    std::map<std::string, demand> demand_of_;
    std::map<std::string, outcome> outcomes_;
};

std::vector<demand> small_teams(int count, std::int64_t interval_ms)
{
    std::vector<demand> out;
    for (int n = 0; n < count; ++n)
        out.push_back({"small-" + std::to_string(n), 4, interval_ms, 0, 10 * n, 0});
    return out;
}

double worst_share(const std::map<std::string, outcome>& from, const std::string& prefix)
{
    double out = 1;
    for (const auto& [team, it] : from)
        if (team.starts_with(prefix))
            out = std::min(out, it.share());
    return out;
}

} // namespace

// Guards against a team whose flood displaces the requests of all others.
Test(team_order, one_team_floods)
{
    const auto quiet = small_teams(5, 1'000);
    auto flooded = quiet;
    flooded.push_back({"large", 6, 30, 0, 0, 0});
    const double before = worst_share(simulation(order::fair).run(quiet), "small");
    const auto fair = simulation(order::fair).run(flooded);
    cr_expect_geq(worst_share(fair, "small"), before - 0.05, "%.2f of %.2f", worst_share(fair, "small"),
                  before);
    for (const auto how : {order::first_come, order::rank_alone, order::without_teams}) {
        const double share = worst_share(simulation(how).run(flooded), "small");
        cr_expect_lt(share, before - 0.3, "order %d: %.2f", static_cast<int>(how), share);
    }
    cr_expect_geq(fair.at("large/0").pieces, 30 * 66 * 6 / 10, "what the others leave is used: %zu",
                  fair.at("large/0").pieces);
}

// Guards against an order that costs capacity or changes anything while many teams share it evenly.
Test(team_order, many_small_teams)
{
    const auto demands = small_teams(60, 4'000);
    const auto fair = simulation(order::fair).run(demands);
    const auto today = simulation(order::without_teams).run(demands);
    cr_expect_geq(worst_share(fair, "small"), worst_share(today, "small") - 0.05);
}

// Guards against a larger share for a team that sends its refused requests again and again.
Test(team_order, repeaters)
{
    const std::vector<demand> demands{{"patient", 4, 80, 0, 0, 0}, {"repeating", 4, 80, 0, 0, 20}};
    const auto fair = simulation(order::fair).run(demands);
    const auto pieces = [&fair](const std::string& team) {
        return static_cast<double>(fair.at(team + "/0").pieces);
    };
    cr_expect_lt(pieces("repeating"), pieces("patient") * 1.1, "%.0f and %.0f", pieces("repeating"),
                 pieces("patient"));
    cr_expect_gt(pieces("repeating"), pieces("patient") * 0.9);
}

// Guards against another order where the teams aren't known or only one is active, and against a debt for
// capacity that no other team wanted.
Test(team_order, one_team_has_the_order_of_the_keys)
{
    const std::vector<demand> alone{{"large", 6, 30, 0, 0, 0}, {"large", 3, 50, 2, 5, 0}};
    const auto fair = simulation(order::fair).run(alone);
    const auto today = simulation(order::without_teams).run(alone);
    for (const auto& [name, it] : fair) {
        cr_expect_eq(it.served, today.at(name).served);
        cr_expect_eq(it.pieces, today.at(name).pieces);
    }
    admission::team_shares shares;
    for (int n = 0; n < 100; ++n) {
        shares.set_waiting({"large"});
        shares.charge("large", 360, 4'000);
    }
    shares.set_waiting({"large", "small"});
    cr_expect_leq(shares.lead("large"), 360);
    shares.charge("small", 400, 4'000);
    shares.set_waiting({"large", "small"});
    cr_expect_eq(shares.lead("large"), 0);
    for (int n = 0; n < 1'000; ++n)
        shares.charge("t" + std::to_string(n), 1, 4'000);
    shares.set_waiting({});
    cr_expect_eq(shares.size(), 0, "only teams that are ahead are held");
}

// Guards against the most valuable request of a large team that waits behind the rest of its flood, or for
// ever behind other teams.
Test(team_order, the_most_valuable_request_of_a_flooding_team_is_served)
{
    auto demands = small_teams(3, 800);
    demands.push_back({"large", 6, 30, 3, 0, 0});
    demands.push_back({"large", 10, 5'000, 0, 1'020, 0});
    const auto fair = simulation(order::fair).run(demands);
    cr_expect_eq(fair.at("large/0").asked, 6);
    cr_expect_eq(fair.at("large/0").served, 6);
    cr_expect_geq(worst_share(fair, "small"), 0.95);
    const std::vector<order_item> items{{at(100), 6, 3, false, "large"}, {at(50), 10, 0, false, "large"}};
    rank_shares shares;
    shares.charge(3, "large", 100, {30, 360, 4'000});
    const auto places = team_order(items, shares, {30, 360, 4'000});
    cr_expect_eq(places.front().item, 1);
    cr_expect_eq(places.front().turn, 0, "its share is counted for each priority");
}

// Guards against a flood that makes the admission refuse the other teams: their place is before the flood.
Test(team_order, a_flood_leaves_room_for_the_other_teams)
{
    stage_dispatcher pool;
    stage_capacity capacity;
    capacity.max_batch_pieces = 12;
    capacity.call_ms = 240;
    capacity.piece_ms = 10;
    endpoint one;
    one.id = "one";
    pool.configure(capacity, {one});
    for (int n = 0; n < 40; ++n) {
        auto task = std::make_shared<stage_task>();
        task->request_id = std::to_string(n);
        task->pieces = {0, 1, 2, 3, 4, 5};
        task->objective_time = at(1'000 + n);
        task->deadline = at(60'000);
        task->team = "large";
        pool.submit(task, at(0));
    }
    const auto profile = pool.profile(at(0));
    const auto before = [&profile](const std::string& team) {
        return profile.least_time_before({at(20'000), 6, 0, false, team}, duration(100'000));
    };
    cr_expect_geq(before("large"), duration(20 * 360));
    cr_expect_leq(before("small"), duration(360), "%ld", static_cast<long>(before("small").count()));
    cr_expect_leq(profile.time_before({at(20'000), 6, 0, false, "small"}), duration(360),
                  "its first stage isn't deferred for the flood");
    for (const auto& it : profile.outline())
        cr_expect_leq(it.before, duration(360), "the entry instances don't know whose request comes next");
}

// Guards against an estimate that differs from the order of the queue: the place of a new task is found
// without sorting all tasks again.
Test(team_order, a_position_agrees_with_the_order)
{
    const team_order_options options{30, 360, 4'000};
    std::vector<order_item> items;
    rank_shares shares;
    std::uint32_t random = 7;
    const auto next = [&random](std::uint32_t bound) {
        random = random * 1'664'525 + 1'013'904'223;
        return (random >> 8) % bound;
    };
    for (int n = 0; n < 200; ++n) {
        const order_item it{at(next(20'000)), 1 + next(8), static_cast<int>(next(3)), next(5) == 0,
                            "team-" + std::to_string(next(n % 2 == 0 ? 2 : 6))};
        const queue_positions positions(items, shares, options);
        auto all = items;
        all.push_back(it);
        std::size_t before = 0;
        for (const auto& place : team_order(all, shares, options)) {
            if (place.item == items.size())
                break;
            before += all[place.item].pieces;
        }
        const auto found = positions.pieces_before(it);
        // Tasks of its own team that go after it may fall back by one turn, behind other tasks.
        cr_expect_leq(before, found + 16, "task %d: %zu and %zu", n, before, found);
        cr_expect_leq(found, before + 16, "task %d: %zu and %zu", n, before, found);
        items.push_back(it);
        if (n % 3 == 0)
            shares.charge(it.priority, it.team, 4, options);
    }
}

// Guards against series without bound where callers have many teams.
Test(team_counters, the_series_are_bounded)
{
    metrics::registry registry;
    team_counters counters(registry);
    for (int n = 0; n < 300; ++n) {
        const std::string team = "team-" + std::to_string(n);
        counters.count_asked(team, 1);
        counters.count_refused(team, 1, stage_refusal::no_room);
    }
    counters.count_asked("team-3", 1);
    const auto asked = [&registry](const std::string& team) {
        return registry
            .get_counter("limpetlock_stage_requests_asked_total", "", {{"team", team}, {"rank", "1"}})
            .value();
    };
    cr_expect_eq(asked("team-3"), 2);
    cr_expect_eq(asked("other"), 300 - team_counters::max_teams);
    const std::string page = registry.render();
    cr_expect_eq(page.find("team-64"), std::string::npos);
    cr_expect_neq(page.find("reason=\"no_room\""), std::string::npos);
}
