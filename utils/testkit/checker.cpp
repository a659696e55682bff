#include "testkit/checker.hpp"

#include "testkit/outputs.hpp"

#include <limpetlock/support/hash.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <unordered_map>

namespace limpetlock::testkit {

using nlohmann::json;

const char* to_text(verdict it)
{
    static constexpr std::array names{"whole", "refused", "failed", "cut", "wrong", "doubled", "shortened"};
    return names[static_cast<std::size_t>(it)];
}

std::string work_key(const std::string& call, const std::string& input_digest)
{
    return call + "/" + input_digest;
}

expected_answer expected_pipeline_answer(const json& pipeline, const std::string& input,
                                         std::int64_t max_tokens)
{
    expected_answer out;
    out.text = input;
    for (const auto& stage : pipeline.at("stages")) {
        const std::string name = stage.at("name");
        const bool engine = stage.contains("model");
        out.last_prompt = out.text;
        out.tokens = engine ? generation_length(out.last_prompt, max_tokens) : 0;
        out.text = engine ? generation(out.last_prompt, max_tokens) : stage_output(name, out.last_prompt);
        out.work_units[work_key(engine ? "completion" : name, digest128(out.last_prompt))] =
            engine ? out.tokens : 1;
    }
    return out;
}

verdict check_text(const std::string& expected, const std::string& got)
{
    if (got == expected)
        return verdict::whole;
    return expected.starts_with(got) ? verdict::shortened : verdict::wrong;
}

void stream_checker::check_token(std::int64_t index, const std::string& text)
{
    if (fault_ != verdict::whole)
        return;
    if (index < next_)
        fault_ = verdict::doubled;
    else if (index > next_)
        fault_ = verdict::shortened;
    else if (index >= expected_.tokens || text != token_text(expected_.last_prompt, index))
        fault_ = verdict::wrong;
    ++next_;
}

verdict stream_checker::finish(std::int64_t tokens)
{
    if (fault_ == verdict::whole && (next_ != expected_.tokens || tokens != expected_.tokens))
        fault_ = verdict::shortened;
    return fault_;
}

json to_json_line(const request_result& it)
{
    json out = it.request;
    out["end"] = to_text(it.verdict);
    out["attained"] = it.attained;
    out["send_delay_ms"] = it.send_delay_ms;
    out["latency_ms"] = it.latency_ms;
    out["first_token_ms"] = it.first_token_ms;
    out["attempts"] = it.attempts;
    return out;
}

namespace {

/// Completed runs of the same work.
struct completed_runs {
    std::int64_t done{0};
    std::vector<std::int64_t> starts_ms;
};

using runs_by_work = std::unordered_map<std::string, completed_runs>;

runs_by_work count_runs(const std::vector<json>& runs)
{
    runs_by_work out;
    for (const auto& it : runs) {
        if (!it.at("done").get<bool>())
            continue;
        auto& entry = out[work_key(it.at("call"), it.at("input"))];
        ++entry.done;
        entry.starts_ms.push_back(it.at("at_ms"));
    }
    return out;
}

/// True if an answer stated "not run" although a run had started before the answer, or started later and no
/// further attempt was sent that could have caused it.
bool has_false_not_run(const request_result& it, const completed_runs& ran)
{
    for (std::size_t n = 0; n < it.attempts.size(); ++n) {
        if (it.attempts[n].ran != "no")
            continue;
        const bool last = n + 1 == it.attempts.size();
        const auto until = it.attempts[n].answered_ms;
        if (std::any_of(ran.starts_ms.begin(), ran.starts_ms.end(),
                        [&](auto at) { return last || at < until; }))
            return true;
    }
    return false;
}

void evaluate_service(const request_result& it, const json& deployment, const runs_by_work& runs,
                      evaluation& out)
{
    const auto& what = it.request.what;
    const auto& call = deployment.at("services").at(what.service).at("calls").at(what.call);
    const auto found = runs.find(work_key(what.call, body_digest(service_body(it.request))));
    const completed_runs ran = found == runs.end() ? completed_runs{} : found->second;
    const auto report = [&](const char* kind, const std::string& text) {
        ++out.counts[kind];
        out.violations.push_back(
            fmt::format("{}: request {} ({}) {}", kind, it.request.input_id, what.name, text));
    };
    if (it.verdict == verdict::whole && ran.done == 0)
        report("lost", "was answered but never ran");
    if (call.at("repeatable").get<bool>())
        return;
    ++out.counts["bookings"];
    if (ran.done > 1)
        report("ran_twice", fmt::format("ran {} times", ran.done));
    if (has_false_not_run(it, ran))
        report("false_not_run", "was answered \"not run\" but ran");
}

/// Work units that a request needs, by work_key().
std::map<std::string, std::int64_t> needed_work(const request_result& it, const json& deployment)
{
    const auto& what = it.request.what;
    if (what.pipeline.empty())
        return {{work_key(what.call, body_digest(service_body(it.request))), 1}};
    return expected_pipeline_answer(deployment.at("pipelines").at(what.pipeline), input_text(it.request),
                                    what.max_tokens)
        .work_units;
}

void add_stage_costs(const std::vector<request_result>& results, const json& deployment,
                     const std::vector<json>& runs, evaluation& out)
{
    /// Work units of one key.
    struct use {
        std::int64_t needed{0};
        std::int64_t done{0};
    };
    std::unordered_map<std::string, use> uses;
    for (const auto& it : results)
        for (const auto& [key, units] : needed_work(it, deployment))
            uses[key].needed = it.verdict == verdict::whole ? units : 0;
    for (const auto& it : runs)
        if (const auto at = uses.find(work_key(it.at("call"), it.at("input"))); at != uses.end())
            at->second.done += std::max<std::int64_t>(1, it.at("tokens").get<std::int64_t>());
    for (const auto& it : runs) {
        const std::string call = it.at("call");
        const auto at = uses.find(work_key(call, it.at("input")));
        if (at == uses.end())
            continue; // belongs to another load run
        const double seconds = it.at("ms").get<double>() / 1000;
        const auto& [needed, done] = at->second;
        const double share = std::min(1.0, static_cast<double>(needed) / static_cast<double>(done));
        auto& cost = out.stages[call];
        cost.useful_s += seconds * share;
        (needed > 0 ? cost.repeated_s : cost.abandoned_s) += seconds * (1 - share);
    }
}

} // namespace

evaluation evaluate(const std::vector<request_result>& results, const json& deployment,
                    const std::vector<json>& runs, bool have_runs, bool strict_cuts)
{
    evaluation out;
    const auto by_work = count_runs(runs);
    for (const auto& it : results) {
        ++out.counts[to_text(it.verdict)];
        const bool is_violation = it.verdict >= verdict::wrong || (strict_cuts && it.verdict == verdict::cut);
        if (is_violation)
            out.violations.push_back(fmt::format("{}: request {} ({})", to_text(it.verdict),
                                                 it.request.input_id, it.request.what.name));
        if (have_runs && it.request.what.pipeline.empty())
            evaluate_service(it, deployment, by_work, out);
    }
    if (have_runs)
        add_stage_costs(results, deployment, runs, out);
    return out;
}

} // namespace limpetlock::testkit
