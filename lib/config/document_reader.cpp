#include "document_reader.hpp"

#include "reader.hpp"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace limpetlock::config {

namespace {

/// The pool of the system's own instances in the platform's instance list.
constexpr std::string_view entry_pool = "entry";

constexpr std::int64_t day_ms = 86'400'000;
constexpr std::size_t max_callers = 1000;

// Bounds of the values. docs/configuration.md lists them.
constexpr range<double> weight_range{0.001, 1000};
constexpr range<double> share_range{0, 1};
/// Retries add at most 10% to the load of a stage. Hedged requests count against the same budget.
constexpr range<double> retry_share_range{0, 0.1};
constexpr range<double> cost_ms_range{0.001, 60'000};
constexpr range<std::int64_t> deadline_ms_range{1, 60'000};
constexpr range<std::int64_t> call_timeout_ms_range{1, max_call_timeout.count()};
constexpr range<std::size_t> stages_range{1, 16};
constexpr range<std::int64_t> concurrency_range{1, 10'000};
constexpr range<std::int64_t> queue_range{1, 100'000};
constexpr range<std::int64_t> stream_buffer_bytes_range{1024, 16'777'216};
constexpr range<std::size_t> owners_range{1, 99};
constexpr range<std::int64_t> key_lifetime_ms_range{1000, day_ms};
constexpr range<std::int64_t> max_claims_range{1, 1'000'000};
constexpr range<std::int64_t> lease_ms_range{100, 60'000};

/// Tolerance for the rounding of decimal fractions: shares that add up to 1 may have a slightly larger sum.
constexpr double rounding_tolerance = 1e-9;

/// Reads each member of a section with keys that operators choose.
template <typename T, typename Read>
section<T> read_section(object_reader& parent, std::string_view key, bool required, problem_list& problems,
                        Read read)
{
    section<T> found;
    const json* value = parent.object(key, required);
    if (value == nullptr)
        return found;
    for (const auto& it : value->items()) {
        const std::string path = member_path(parent.path_of(key), it.key());
        if (!is_key_name(it.key()))
            problems.push_back({path, "must be named with 1 to 64 letters, digits or any of -_"});
        found.emplace(it.key(), read(it.value(), path, problems));
    }
    return found;
}

rank read_rank(object_reader& from, std::string_view key)
{
    const std::string name = from.name(key);
    const auto it = parse_rank(name);
    if (!it && !name.empty())
        from.report(key,
                    fmt::format("\"{}\" is not a rank; ranks are urgent, standard and background", name));
    return it.value_or(rank::background);
}

std::string read_pool(object_reader& from)
{
    std::string name = from.name("pool");
    if (name == entry_pool)
        from.report("pool", "\"entry\" is the pool of the system's own instances");
    return name;
}

std::vector<std::string> read_callers(object_reader& from)
{
    return from.names("callers", {1, max_callers}, false);
}

team read_team(const json& value, const std::string& path, problem_list& problems)
{
    object_reader from(&value, path, problems);
    team it;
    it.token = from.token("token");
    it.weight = from.number("weight", weight_range, it.weight);
    it.size_class = from.name("class", it.size_class);
    from.report_unknown_keys();
    return it;
}

stage read_stage(const json& value, const std::string& path, problem_list& problems)
{
    object_reader from(&value, path, problems);
    stage it;
    it.name = from.name("name");
    it.pool = read_pool(from);
    it.cost_ms = from.number("cost_ms", cost_ms_range);
    it.timeout = duration(from.integer("timeout_ms", deadline_ms_range));
    it.model = from.name("model", "");
    it.streamed = from.boolean("streamed", false);
    if (it.streamed && it.model.empty())
        from.report("streamed", "needs a model, since only model engines stream");
    from.report_unknown_keys();
    return it;
}

std::vector<stage> read_stages(object_reader& from, problem_list& problems)
{
    std::vector<stage> stages;
    const json* list = from.array("stages", true);
    if (list == nullptr)
        return stages;
    if (list->size() < stages_range.min || list->size() > stages_range.max)
        from.report("stages", fmt::format("must have {} to {} elements, has {}", stages_range.min,
                                          stages_range.max, list->size()));
    std::set<std::string> names;
    for (std::size_t n = 0; n < list->size(); ++n) {
        const std::string path = element_path(from.path_of("stages"), n);
        stages.push_back(read_stage((*list)[n], path, problems));
        if (!stages.back().name.empty() && !names.insert(stages.back().name).second)
            problems.push_back(
                {member_path(path, "name"), fmt::format("\"{}\" is used twice", stages.back().name)});
        if (stages.back().streamed && n + 1 < list->size())
            problems.push_back({member_path(path, "streamed"), "only the last stage may be streamed"});
    }
    return stages;
}

pipeline read_pipeline(const json& value, const std::string& path, problem_list& problems)
{
    object_reader from(&value, path, problems);
    pipeline it;
    const std::size_t problems_before = problems.size();
    it.work_rank = read_rank(from, "rank");
    it.deadline = duration(from.integer("deadline_ms", deadline_ms_range));
    it.stages = read_stages(from, problems);
    it.callers = read_callers(from);
    // A comparison with an invalid value would only add a second, misleading problem.
    const bool is_sound = problems.size() == problems_before;
    if (is_sound && it.cost_ms() > static_cast<double>(it.deadline.count()))
        from.report("deadline_ms", fmt::format("is less than the {} ms that the stages cost", it.cost_ms()));
    from.report_unknown_keys();
    return it;
}

call read_call(const json& value, const std::string& path, problem_list& problems)
{
    object_reader from(&value, path, problems);
    call it;
    it.repeatable = from.boolean("repeatable");
    it.work_rank = read_rank(from, "rank");
    it.timeout = duration(from.integer("timeout_ms", call_timeout_ms_range));
    it.cost_ms = from.number("cost_ms", cost_ms_range, it.cost_ms);
    from.report_unknown_keys();
    return it;
}

service read_service(const json& value, const std::string& path, problem_list& problems)
{
    object_reader from(&value, path, problems);
    service it;
    it.pool = read_pool(from);
    it.calls = read_section<call>(from, "calls", true, problems, read_call);
    it.callers = read_callers(from);
    from.report_unknown_keys();
    return it;
}

std::array<rank_settings, rank_count> read_ranks(object_reader& top, problem_list& problems)
{
    std::array<rank_settings, rank_count> ranks{};
    const json* value = top.object("ranks", true);
    if (value == nullptr)
        return ranks;
    object_reader from(value, top.path_of("ranks"), problems);
    double sum = 0;
    for (std::size_t n = 0; n < rank_count; ++n) {
        const std::string_view name = to_string(static_cast<rank>(n));
        object_reader one(from.object(name, true), from.path_of(name), problems);
        ranks[n].min_share = one.number("min_share", share_range);
        one.report_unknown_keys();
        sum += ranks[n].min_share;
    }
    from.report_unknown_keys();
    if (sum > 1 + rounding_tolerance)
        top.report("ranks", fmt::format("the sum of min_share must be at most 1, is {}", sum));
    return ranks;
}

limit_settings read_limits(object_reader& top, problem_list& problems)
{
    object_reader from(top.object("limits", false), top.path_of("limits"), problems);
    limit_settings it;
    it.endpoint_concurrency =
        from.integer("endpoint_concurrency", concurrency_range, it.endpoint_concurrency);
    it.queue_per_team = from.integer("queue_per_team", queue_range, it.queue_per_team);
    it.retry_share = from.number("retry_share", retry_share_range, it.retry_share);
    it.hedge_share = from.number("hedge_share", retry_share_range, it.hedge_share);
    it.ejection_max_share = from.number("ejection_max_share", share_range, it.ejection_max_share);
    it.stream_buffer_bytes =
        from.integer("stream_buffer_bytes", stream_buffer_bytes_range, it.stream_buffer_bytes);
    from.report_unknown_keys();
    return it;
}

claim_settings read_claims(object_reader& top, problem_list& problems)
{
    object_reader from(top.object("claims", true), top.path_of("claims"), problems);
    const std::size_t problems_before = problems.size();
    claim_settings it;
    it.owners = from.names("owners", owners_range, true);
    it.key_lifetime =
        duration(from.integer("key_lifetime_ms", key_lifetime_ms_range, it.key_lifetime.count()));
    it.max_claims = from.integer("max_claims", max_claims_range, it.max_claims);
    it.lease = duration(from.integer("lease_ms", lease_ms_range, it.lease.count()));
    if (problems.size() == problems_before && it.key_lifetime < it.lease)
        from.report("key_lifetime_ms",
                    fmt::format("must be at least lease_ms, which is {}", it.lease.count()));
    from.report_unknown_keys();
    return it;
}

void check_callers(const std::vector<std::string>& callers, const section<team>& teams,
                   const std::string& path, problem_list& problems)
{
    for (std::size_t n = 0; n < callers.size(); ++n)
        if (teams.find(callers[n]) == teams.end())
            problems.push_back({element_path(member_path(path, "callers"), n),
                                fmt::format("\"{}\" is not a team", callers[n])});
}

void check_references(const document_contents& it, problem_list& problems)
{
    for (const auto& [name, pipeline] : it.pipelines)
        check_callers(pipeline.callers, it.teams, member_path("pipelines", name), problems);
    for (const auto& [name, service] : it.services)
        check_callers(service.callers, it.teams, member_path("services", name), problems);
}

/// Reports tokens that two teams share. Requests of such teams could not be distinguished, and one team would
/// get the answers of the other.
void check_tokens(const document_contents& it, problem_list& problems)
{
    section<std::string> seen;
    for (const auto& [name, team] : it.teams) {
        if (team.token.empty())
            continue;
        const auto [first, is_new] = seen.emplace(team.token, name);
        if (!is_new)
            problems.push_back({member_path(member_path("teams", name), "token"),
                                fmt::format("is also the token of teams.{}", first->second)});
    }
}

} // namespace

document_contents read_contents(const json& value, problem_list& problems)
{
    object_reader top(&value, "", problems);
    document_contents it;
    it.teams = read_section<team>(top, "teams", true, problems, read_team);
    it.ranks = read_ranks(top, problems);
    it.pipelines = read_section<pipeline>(top, "pipelines", true, problems, read_pipeline);
    it.services = read_section<service>(top, "services", false, problems, read_service);
    it.limits = read_limits(top, problems);
    it.claims = read_claims(top, problems);
    top.report_unknown_keys();
    check_references(it, problems);
    check_tokens(it, problems);
    return it;
}

} // namespace limpetlock::config
