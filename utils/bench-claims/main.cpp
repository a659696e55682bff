/// \file
/// Compares three policies for at-most-once execution under faults, and measures the time and memory of claim
/// records.
#include "world.hpp"

#include <limpetlock/support/hash.hpp>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>

DEFINE_uint64(seeds, 50, "Seeds per policy and fault");
DEFINE_uint64(first_seed, 1, "First seed");
DEFINE_bool(one_fault, false, "One fault per run instead of one about every eight seconds");
DEFINE_bool(json, true, "Print JSON lines before the tables");
DEFINE_bool(records, true, "Measure time and memory per record too");

namespace {

using namespace limpetlock;
using bench::totals;

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

totals run_seeds(bench::policy rule, bench::fault_mix mix)
{
    totals sum;
    for (std::uint64_t n = 0; n < FLAGS_seeds; ++n)
        sum.add(bench::world(rule, mix, FLAGS_first_seed + n, !FLAGS_one_fault).run());
    return sum;
}

void print_json(bench::policy rule, bench::fault_mix mix, const totals& it)
{
    const nlohmann::ordered_json line{{"policy", bench::to_string(rule)},
                                      {"fault", bench::to_string(mix)},
                                      {"seeds", FLAGS_seeds},
                                      {"one_fault", FLAGS_one_fault},
                                      {"keys", it.keys},
                                      {"max_executions", it.max_executions},
                                      {"doubled_keys", it.doubled_keys},
                                      {"false_not_run", it.false_not_run},
                                      {"answered", share(it.answered, it.keys)},
                                      {"not_run", share(it.not_run, it.keys)},
                                      {"unknown", share(it.unknown, it.keys)},
                                      {"messages_per_claim", share(it.claim_messages, it.attempts)},
                                      {"round_trips_per_claim", share(it.round_trips, it.attempts)},
                                      {"heartbeat_messages", it.heartbeat_messages}};
    fmt::print("{}\n", line.dump());
}

std::string table_row(bench::policy rule, bench::fault_mix mix, const totals& it)
{
    return fmt::format("{:24} {:13} {:4} {:7} {:9} {:8.2f}% {:7.2f}% {:7.2f}% {:8.2f} {:6.2f}\n",
                       bench::to_string(mix), bench::to_string(rule), it.max_executions, it.doubled_keys,
                       it.false_not_run, 100 * share(it.answered, it.keys), 100 * share(it.not_run, it.keys),
                       100 * share(it.unknown, it.keys), share(it.claim_messages, it.attempts),
                       share(it.round_trips, it.attempts));
}

std::string compare_policies()
{
    auto text =
        fmt::format("{:24} {:13} {:>4} {:>7} {:>9} {:>9} {:>8} {:>8} {:>8} {:>6}\n", "fault", "policy", "max",
                    "doubled", "false n-r", "answered", "not run", "unknown", "messages", "trips");
    for (int m = 0; m < bench::fault_mix_count; ++m) {
        for (int r = 0; r < bench::policy_count; ++r) {
            const auto mix = static_cast<bench::fault_mix>(m);
            const auto rule = static_cast<bench::policy>(r);
            const auto sum = run_seeds(rule, mix);
            if (FLAGS_json)
                print_json(rule, mix, sum);
            text += table_row(rule, mix, sum);
        }
    }
    return text;
}

double elapsed_us(std::chrono::steady_clock::time_point since)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - since).count();
}

claims::claim_request make_claim_request(std::size_t n)
{
    // The fields have the sizes of production data: a digest of 32 hex digits, a key of a UUID's size, and an
    // attempt id of the form incarnation-request-stage-attempt.
    const auto digest = digest128(std::to_string(n));
    return {"plant-01", digest, digest, fmt::format("1700000000000-{}-0-1", n), true, 1};
}

std::string measure_table(std::size_t records)
{
    claims::claims_section section{1, {"a"}, std::chrono::hours(1), std::chrono::seconds(2), records};
    claims::table table("a", 1, section);
    const time_point now{std::chrono::hours(2)};
    const auto end = now + std::chrono::hours(1);
    const claims::lease_state own{time_point{}, end, end, now, end};
    std::vector<claims::claim_request> requests;
    for (std::size_t n = 0; n < records; ++n)
        requests.push_back(make_claim_request(n));
    const auto before = mallinfo2().uordblks;
    auto start = std::chrono::steady_clock::now();
    for (const auto& it : requests)
        table.claim(it, own, now);
    const auto granted_us = elapsed_us(start) / static_cast<double>(records);
    start = std::chrono::steady_clock::now();
    const std::string answer(200, 'x');
    for (const auto& it : requests)
        table.settle({it.team, it.key, it.attempt_id, claims::claim_outcome::done, answer}, now);
    const auto settled_us = elapsed_us(start) / static_cast<double>(records);
    const auto bytes = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(records);
    start = std::chrono::steady_clock::now();
    for (const auto& it : requests)
        table.claim(it, own, now);
    const auto repeated_us = elapsed_us(start) / static_cast<double>(records);
    if (FLAGS_json)
        fmt::print("{}\n", nlohmann::ordered_json{{"records", records},
                                                  {"grant_us", granted_us},
                                                  {"settle_us", settled_us},
                                                  {"repeat_us", repeated_us},
                                                  {"bytes_per_record", bytes}}
                               .dump());
    return fmt::format("{:8} {:9.2f} {:9.2f} {:9.2f} {:12.0f}\n", records, granted_us, settled_us,
                       repeated_us, bytes);
}

std::string measure_witness()
{
    constexpr std::size_t names = 1000;
    claims::claims_section section{1, {}, std::chrono::minutes(10), std::chrono::seconds(2), 1};
    for (std::size_t n = 0; n < names; ++n)
        section.owners.push_back(fmt::format("entry-{:04}", n));
    const time_point begin{std::chrono::hours(1)};
    claims::witness witness(section, begin);
    const auto end = begin + std::chrono::minutes(1);
    for (int s = 0; s < 20; ++s)
        witness.update_own_lease({std::nullopt, {}, {}, {}, end}, begin + std::chrono::seconds(s));
    const auto now = begin + std::chrono::seconds(20);
    const auto before = mallinfo2().uordblks;
    const auto start = std::chrono::steady_clock::now();
    std::size_t supported = 0;
    for (const auto& it : section.owners)
        supported += witness.support(it, 1'700'000'000'000, 1, now) ? 1 : 0;
    const auto us = elapsed_us(start) / static_cast<double>(names);
    const auto bytes = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(names);
    if (FLAGS_json)
        fmt::print("{}\n", nlohmann::ordered_json{{"witness_entries", supported},
                                                  {"vouch_us", us},
                                                  {"bytes_per_entry", bytes}}
                               .dump());
    return fmt::format("witness: {} entries, {:.2f} us per vouch, {:.0f} bytes per entry\n", supported, us,
                       bytes);
}

std::string measure_records()
{
    auto text = fmt::format("{:>8} {:>9} {:>9} {:>9} {:>12}\n", "records", "grant us", "settle us",
                            "repeat us", "bytes/record");
    for (const std::size_t records : {1'000U, 10'000U, 100'000U})
        text += measure_table(records);
    return text + measure_witness();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("compares policies for at-most-once execution and measures claim records");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto text = compare_policies();
    if (FLAGS_records)
        text += "\n" + measure_records();
    fmt::print("\n{}", text);
    return 0;
}
