/// \file
/// Measures the processor time of the decisions of an instance that schedules a stage pool, by the number of
/// waiting tasks and of endpoints.
#include <limpetlock/gateway/fleet_view.hpp>
#include <limpetlock/gateway/stage_dispatcher.hpp>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

DEFINE_uint32(repetitions, 15, "measurements of each cost; the least one is printed");
DEFINE_bool(team_turns, false, "whether the teams of a pool take turns");

namespace limpetlock::gateway {

namespace {

constexpr std::size_t pieces_per_task = 8;
constexpr std::size_t teams = 40;

time_point at(std::int64_t ms)
{
    return time_point(duration(1'000'000 + ms));
}

std::shared_ptr<const stage_task> make_task(std::size_t n)
{
    auto out = std::make_shared<stage_task>();
    out->request_id = fmt::format("{:016x}", n);
    for (std::uint32_t piece = 0; piece < pieces_per_task; ++piece)
        out->pieces.push_back(piece);
    out->objective_time = at(1'000 + static_cast<std::int64_t>(n * 37 % 4'000));
    out->deadline = at(60'000);
    out->domain = "a";
    out->result_bytes = 1'000;
    out->team = fmt::format("team-{}", n % teams);
    return out;
}

stage_dispatcher make_pool(std::size_t tasks, std::size_t endpoint_count)
{
    stage_dispatcher out;
    out.set_team_turns(FLAGS_team_turns);
    stage_capacity capacity;
    capacity.max_batch_pieces = 24;
    capacity.call_ms = 240;
    capacity.piece_ms = 8.6;
    std::vector<endpoint> endpoints(endpoint_count);
    for (std::size_t n = 0; n < endpoint_count; ++n) {
        endpoints[n].id = fmt::format("i-{}", n);
        endpoints[n].domain = "a";
        endpoints[n].started_ms = 1;
    }
    out.configure(capacity, std::move(endpoints));
    for (std::size_t n = 0; n < tasks; ++n)
        out.submit(make_task(n), at(0));
    return out;
}

double processor_us()
{
    timespec it{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e6 + static_cast<double>(it.tv_nsec) / 1e3;
}

/// Least processor time of `work` on a new pool, in microseconds.
double cost_of(std::size_t tasks, std::size_t endpoint_count,
               const std::function<void(stage_dispatcher&)>& work)
{
    double out = 1e12;
    for (std::uint32_t n = 0; n < FLAGS_repetitions; ++n) {
        auto pool = make_pool(tasks, endpoint_count);
        const double begin = processor_us();
        work(pool);
        out = std::min(out, processor_us() - begin);
    }
    return out;
}

/// Answers for all tasks of one pool whether they wait for a later one with the same queue.
task_filter make_filter(const stage_dispatcher& next)
{
    const auto profile = std::make_shared<backlog_profile>(next.profile(at(10)));
    return [profile, &next](const stage_task& task) {
        return profile->time_before(make_order_item(task, pieces_per_task, next.options(), at(10))) >
               duration(3'600'000);
    };
}

struct decision {
    const char* name;
    std::function<void(stage_dispatcher&)> run;
};

std::vector<decision> decisions()
{
    return {
        {"profile of the queue", [](stage_dispatcher& it) { it.profile(at(10)); }},
        {"first place in a profile",
         [](stage_dispatcher& it) {
             it.profile(at(10)).time_before(
                 make_order_item(*make_task(7), pieces_per_task, it.options(), at(10)));
         }},
        {"backlog of a reply", [](stage_dispatcher& it) { it.backlog_ahead(at(10), make_filter(it)); }},
        {"next call", [](stage_dispatcher& it) { it.next_call(at(10), make_filter(it)); }},
        {"next call, all deferred",
         [](stage_dispatcher& it) { it.next_call(at(10), [](const stage_task&) { return true; }); }},
        {"search for expired tasks", [](stage_dispatcher& it) { it.expire(at(10)); }},
        {"removal of a task", [](stage_dispatcher& it) { it.cancel("0000000000000005", 0, 0); }},
    };
}

void print_costs()
{
    fmt::print("{:<26}{:>8}{:>11}{:>10}\n", "decision", "tasks", "endpoints", "us");
    for (const auto& it : decisions())
        for (const auto& [tasks, endpoints] :
             {std::pair<std::size_t, std::size_t>{100, 6}, {400, 6}, {1'600, 6}, {400, 24}, {400, 96}})
            fmt::print("{:<26}{:>8}{:>11}{:>10.1f}\n", it.name, tasks, endpoints,
                       cost_of(tasks, endpoints, it.run));
}

} // namespace

} // namespace limpetlock::gateway

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    limpetlock::gateway::print_costs();
}
