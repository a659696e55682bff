#include "testkit/checker.hpp"
#include "testkit/outputs.hpp"
#include "testkit/report.hpp"
#include "testkit/strict_json.hpp"

#include <limpetlock/config/document.hpp>

#include <criterion/criterion.h>

#include <filesystem>

using namespace limpetlock;
using namespace limpetlock::testkit;
using nlohmann::json;

namespace {

const std::string utils = LIMPETLOCK_UTILS_DIR;

json steppe_ice()
{
    return read_json(utils + "/deployments/steppe-ice.json");
}

std::vector<arrival> small_arrivals()
{
    const auto deployment = steppe_ice();
    const auto from = parse_scenario(read_json(utils + "/scenarios/small.json"), deployment);
    return make_arrivals(from, deployment, "test", 1);
}

expected_answer expected_answer_to(const std::string& input)
{
    return expected_pipeline_answer(steppe_ice()["pipelines"]["stock-answer"], input, 8);
}

/// Feeds the checker of `expected` the tokens of `source` at `indices` and returns its verdict.
verdict check_stream(const expected_answer& expected, const expected_answer& source,
                     const std::vector<std::int64_t>& indices)
{
    stream_checker check(expected);
    for (const auto n : indices)
        check.check_token(n, token_text(source.last_prompt, n));
    return check.finish(static_cast<std::int64_t>(indices.size()));
}

request_result make_book_result(verdict final_verdict, const std::string& ran)
{
    for (const auto& it : small_arrivals()) {
        if (it.what.name != "book")
            continue;
        request_result out;
        out.request = it;
        out.verdict = final_verdict;
        attempt record;
        record.ran = ran;
        record.sent_ms = 1000;
        record.answered_ms = 1100;
        out.attempts = {record};
        return out;
    }
    return {};
}

json make_run(const request_result& it, std::int64_t at_ms)
{
    return {{"call", it.request.what.call},
            {"input", body_digest(service_body(it.request))},
            {"done", true},
            {"at_ms", at_ms},
            {"ms", 10.0},
            {"tokens", 1}};
}

evaluation evaluate_one(const request_result& it, const std::vector<json>& runs)
{
    return evaluate({it}, steppe_ice(), runs, true, false);
}

} // namespace

// Guards against a checker that accepts a wrong, incomplete or repeated stream.
Test(checker, detects_wrong_streams)
{
    const auto own = expected_answer_to("mine");
    const auto other = expected_answer_to("theirs");
    cr_assert_eq(own.tokens, 8);
    cr_assert_eq(check_stream(own, own, {0, 1, 2, 3, 4, 5, 6, 7}), verdict::whole);
    cr_assert_eq(check_stream(own, other, {0, 1, 2, 3, 4, 5, 6, 7}), verdict::wrong, "swapped");
    cr_assert_eq(check_stream(own, own, {0, 1, 2, 2, 3, 4, 5, 6, 7}), verdict::doubled, "doubled");
    cr_assert_eq(check_stream(own, own, {0, 1, 2, 4, 5, 6, 7}), verdict::shortened, "gap");
    cr_assert_eq(check_stream(own, own, {0, 1, 2}), verdict::shortened, "cut but called done");
    cr_assert_eq(check_stream(own, own, {0, 1, 2, 3, 4, 5, 6, 7, 8}), verdict::wrong,
                 "longer than asked for");
    stream_checker broken(own);
    broken.check_token(0, token_text(own.last_prompt, 0));
    cr_assert_eq(broken.interrupted(verdict::cut), verdict::cut);
    broken.check_token(0, token_text(own.last_prompt, 0));
    cr_assert_eq(broken.interrupted(verdict::cut), verdict::doubled, "a fault before the cut stays");
}

// Guards against a checker that accepts a wrong or incomplete text.
Test(checker, detects_wrong_texts)
{
    const auto own = expected_answer_to("mine");
    cr_assert_eq(check_text(own.text, generation("rerank(retrieve(encode(mine)))", 8)), verdict::whole);
    cr_assert_eq(check_text(own.text, expected_answer_to("theirs").text), verdict::wrong);
    cr_assert_eq(check_text(own.text, own.text.substr(0, 20)), verdict::shortened);
    cr_assert_eq(check_text(own.text, own.text + own.text), verdict::wrong);
}

// Guards against an evaluation that misses a call that ran twice, one that was answered but never ran, or a
// "not run" although the call ran.
Test(checker, detects_repeated_lost_and_denied_runs)
{
    const auto answered = make_book_result(verdict::whole, "");
    cr_assert(evaluate_one(answered, {make_run(answered, 1010)}).violations.empty());
    cr_assert_eq(
        evaluate_one(answered, {make_run(answered, 1010), make_run(answered, 1050)}).counts["ran_twice"], 1);
    cr_assert_eq(evaluate_one(answered, {}).counts["lost"], 1);

    const auto refused = make_book_result(verdict::refused, "no");
    cr_assert(evaluate_one(refused, {}).violations.empty());
    cr_assert_eq(evaluate_one(refused, {make_run(refused, 1050)}).counts["false_not_run"], 1);
    cr_assert_eq(evaluate_one(refused, {make_run(refused, 1500)}).counts["false_not_run"], 1,
                 "ran after the answer");

    auto retried = make_book_result(verdict::whole, "no");
    retried.attempts.push_back({"", 200, "", "", 1200, 1300});
    cr_assert(evaluate_one(retried, {make_run(retried, 1250)}).violations.empty(),
              "the second attempt may run");
    cr_assert_eq(evaluate_one(retried, {make_run(retried, 1050)}).counts["false_not_run"], 1);

    const auto unknown = make_book_result(verdict::failed, "unknown");
    cr_assert(evaluate_one(unknown, {make_run(unknown, 1050)}).violations.empty());
}

// Guards against endpoint time counted as useful for repeated runs or failed requests.
Test(checker, separates_useful_from_wasted_endpoint_time)
{
    const auto good = make_book_result(verdict::whole, "");
    auto sums = evaluate_one(good, {make_run(good, 1010), make_run(good, 1020)}).stages["book"];
    cr_assert_float_eq(sums.useful_s, 0.010, 1e-9);
    cr_assert_float_eq(sums.repeated_s, 0.010, 1e-9);
    const auto bad = make_book_result(verdict::failed, "unknown");
    sums = evaluate_one(bad, {make_run(bad, 1010)}).stages["book"];
    cr_assert_float_eq(sums.useful_s, 0, 1e-9);
    cr_assert_float_eq(sums.abandoned_s, 0.010, 1e-9);
}

// Guards against quantiles from the wrong tail or from a part of the values.
Test(report, quantiles_are_exact)
{
    std::vector<double> values;
    for (int n = 1000; n > 0; --n)
        values.push_back(n);
    const auto it = quantiles(values);
    cr_assert_float_eq(it["p50"].get<double>(), 500, 1.01);
    cr_assert_float_eq(it["p95"].get<double>(), 950, 1.01);
    cr_assert_float_eq(it["p99"].get<double>(), 990, 1.01);
    cr_assert(quantiles({}).is_null());
    for (const auto* name : {"p50", "p95", "p99"}) {
        cr_assert_eq(quantiles({7})[name], 7.0);
        cr_assert(quantiles({7, 8})[name].get<double>() >= 7.0);
    }
}

// Guards against a summary that counts a late answer as attained, or an answer in the wrong group or second.
Test(report, summary_counts_attainment)
{
    auto good = make_book_result(verdict::whole, "");
    good.attained = true;
    good.request.at_ms = 1500;
    auto late = good;
    late.attained = false;
    const auto it =
        summarize({good, late}, evaluate({good, late}, steppe_ice(), {}, false, false), steppe_ice(), 2);
    cr_assert_eq(it["groups"]["rank urgent"]["attainment"], 0.5);
    cr_assert_eq(it["groups"]["request book"]["goodput_per_s"], 0.5);
    cr_assert_eq(it["series"]["urgent"]["sent"], json({0, 2}));
    cr_assert_eq(it["series"]["urgent"]["attained"], json({0, 1}));
    cr_assert_neq(to_table(it).find("send_delay_ms"), std::string::npos);
}

// Guards against arrivals that neither the seed nor a file of arrivals reproduces, or that ignore the seed.
Test(scenario, arrivals_are_reproducible)
{
    const auto first = small_arrivals();
    cr_assert_gt(first.size(), 100U);
    cr_assert_eq(json(first), json(small_arrivals()));
    cr_assert_eq(json(json(first).get<std::vector<arrival>>()), json(first));
    const auto deployment = steppe_ice();
    auto other = parse_scenario(read_json(utils + "/scenarios/small.json"), deployment);
    ++other.seed;
    cr_assert_neq(json(make_arrivals(other, deployment, "test", 1)), json(first));
}

// Guards against a misspelt key or name that changes the load without an error.
Test(scenario, rejects_unknown_names)
{
    const auto deployment = steppe_ice();
    auto text = read_json(utils + "/scenarios/small.json");
    text["phases"][0]["rates"]["no-such-class"] = 1;
    cr_assert_throw(parse_scenario(text, deployment), std::invalid_argument);
    text = read_json(utils + "/scenarios/small.json");
    text["classes"][0]["straemed"] = 1;
    cr_assert_throw(parse_scenario(text, deployment), std::invalid_argument);
}

// Guards against deployment and scenario files that the system or the load tool rejects.
Test(scenario, files_are_valid)
{
    for (const std::string it : {"steppe-ice", "haneul"}) {
        const auto deployment = read_json(utils + "/deployments/" + it + ".json");
        error_slot<config::errc> last;
        cr_assert(config::document::parse(deployment.dump(), last), "%s", last.last().reason.c_str());
        for (const std::string name : {"-day.json", "-flood.json"})
            parse_scenario(read_json(utils + "/scenarios/" + it + name), deployment);
    }
}
