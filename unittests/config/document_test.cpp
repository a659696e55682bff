#include "test_support.hpp"

#include <limpetlock/config/document.hpp>

#include <criterion/criterion.h>

#include <array>
#include <string>

using namespace limpetlock;
using namespace limpetlock::config;
using namespace limpetlock::config::testing;

namespace {

document must_parse(const std::string& text)
{
    error_slot<errc> last;
    auto it = document::parse(text, last);
    cr_assert(it.has_value(), "%s", last.last().reason.c_str());
    return *it;
}

std::string reason_for(const std::string& patch)
{
    error_slot<errc> last;
    const auto it = document::parse(base_text(patch), last);
    cr_assert(!it.has_value(), "accepted: %s", patch.c_str());
    return last.last().reason;
}

struct refusal {
    const char* patch;
    const char* reason;
};

/// One patch for each rule of the format, with the path and reason that operators see.
constexpr std::array refusals{
    refusal{R"({"x":1})", "x: is not a known key"},
    refusal{R"({"teams":null})", "teams: is missing"},
    refusal{R"({"teams":{"a":{}}})", "teams.a.token: is missing"},
    refusal{R"({"teams":{"a":{"token":"a b"}}})", "teams.a.token: must be 1 to 256 visible ASCII characters"},
    refusal{R"({"teams":{"a":{"token":"t1"}}})", "teams.plant-01.token: is also the token of teams.a"},
    refusal{R"({"teams":{"a b":{"token":"x"}}})",
            "teams.a b: must be named with 1 to 64 letters, digits or any of -_"},
    refusal{R"({"teams":{"plant-01":{"weight":0}}})",
            "teams.plant-01.weight: must be from 0.001 to 1000, is 0"},
    refusal{R"({"teams":{"plant-01":{"weight":"1"}}})", "teams.plant-01.weight: must be a number, is string"},
    refusal{R"({"teams":{"plant-01":{"class":""}}})",
            "teams.plant-01.class: must be 1 to 64 letters, digits or any of -_.:/"},
    refusal{R"({"teams":{"plant-01":{"wieght":1}}})", "teams.plant-01.wieght: is not a known key"},
    refusal{R"({"ranks":{"urgent":null}})", "ranks.urgent: is missing"},
    refusal{R"({"ranks":{"urgent":{"min_share":0.8}}})",
            "ranks: the sum of min_share must be at most 1, is 1.1"},
    refusal{R"({"ranks":{"idle":{"min_share":0}}})", "ranks.idle: is not a known key"},
    refusal{R"({"pipelines":{"stock-answer":{"rank":"now"}}})",
            "pipelines.stock-answer.rank: \"now\" is not a rank; ranks are urgent, standard and background"},
    refusal{R"({"pipelines":{"stock-answer":{"deadline_ms":100}}})",
            "pipelines.stock-answer.deadline_ms: is less than the 115 ms that the stages cost"},
    refusal{R"({"pipelines":{"stock-answer":{"deadline_ms":3000.0}}})",
            "pipelines.stock-answer.deadline_ms: must be an integer, is number"},
    refusal{R"({"pipelines":{"stock-answer":{"deadline_ms":18446744073709551615}}})",
            "pipelines.stock-answer.deadline_ms: must be from 1 to 60000, is 18446744073709551615"},
    refusal{R"({"pipelines":{"stock-answer":{"stages":[]}}})",
            "pipelines.stock-answer.stages: must have 1 to 16 elements, has 0"},
    refusal{R"({"pipelines":{"stock-answer":{"callers":["plant-01","nobody"]}}})",
            "pipelines.stock-answer.callers[1]: \"nobody\" is not a team"},
    refusal{R"({"pipelines":{"p":{"rank":"urgent","deadline_ms":9,"stages":[
        {"name":"a","pool":"p","cost_ms":1,"timeout_ms":5},{"name":"b","pool":"","cost_ms":1,"timeout_ms":5}]}}})",
            "pipelines.p.stages[1].pool: must be 1 to 64 letters, digits or any of -_.:/"},
    refusal{R"({"pipelines":{"p":{"rank":"urgent","deadline_ms":9,"stages":[
        {"name":"a","pool":"p","cost_ms":1,"timeout_ms":5},{"name":"a","pool":"p","cost_ms":1,"timeout_ms":5}]}}})",
            "pipelines.p.stages[1].name: \"a\" is used twice"},
    refusal{R"({"pipelines":{"p":{"rank":"urgent","deadline_ms":9,"stages":[
        {"name":"a","pool":"p","cost_ms":1,"timeout_ms":5,"model":"m","streamed":true},
        {"name":"b","pool":"entry","cost_ms":1,"timeout_ms":5}]}}})",
            "pipelines.p.stages[0].streamed: only the last stage may be streamed; "
            "pipelines.p.stages[1].pool: \"entry\" is the pool of the system's own instances"},
    refusal{R"({"pipelines":{"p":{"rank":"urgent","deadline_ms":9,"stages":[
        {"name":"a","pool":"p","cost_ms":1,"timeout_ms":5,"streamed":true}]}}})",
            "pipelines.p.stages[0].streamed: needs a model, since only model engines stream"},
    refusal{R"({"services":{"dispatch":{"calls":{"book":{"timeout_ms":3001}}}}})",
            "services.dispatch.calls.book.timeout_ms: must be from 1 to 3000, is 3001"},
    refusal{R"({"services":{"dispatch":{"calls":{"book":{"repeatable":null}}}}})",
            "services.dispatch.calls.book.repeatable: is missing"},
    refusal{R"({"limits":{"retry_share":0.2}})", "limits.retry_share: must be from 0 to 0.1, is 0.2"},
    refusal{R"({"limits":[]})", "limits: must be an object, is array"},
    refusal{R"({"claims":{"owners":null}})", "claims.owners: is missing"},
    refusal{R"({"claims":{"owners":[]}})", "claims.owners: must have 1 to 99 elements, has 0"},
    refusal{R"({"claims":{"owners":["a","b","a"]}})", "claims.owners[2]: \"a\" is listed twice"},
    refusal{R"({"claims":{"key_lifetime_ms":1500}})",
            "claims.key_lifetime_ms: must be at least lease_ms, which is 2000"},
};

} // namespace

// Guards against a wrong key that is accepted silently, or refused by a message without its path.
Test(document, refuses_each_wrong_key)
{
    for (const refusal& it : refusals) {
        const std::string reason = reason_for(it.patch);
        cr_expect(reason == it.reason, "%s: %s", it.patch, reason.c_str());
    }
}

// Guards against a message that hides all problems but the first, or that grows without bound.
Test(document, names_several_problems)
{
    const std::string reason = reason_for(R"({"a":1,"b":1,"c":1,"d":1,"e":1,"f":1,"g":1,"h":1,"i":1,"j":1})");
    cr_assert_neq(reason.find("a: is not a known key; b: is not a known key"), reason.npos);
    cr_assert_neq(reason.find("; and 2 more"), reason.npos);
}

// Guards against defaults that differ from the reference documentation.
Test(document, fills_in_defaults)
{
    const document it = must_parse(base_text());
    cr_assert(it.limits() == limit_settings{});
    cr_assert_eq(it.claims().lease.count(), 2000);
    cr_assert_eq(it.claims().key_lifetime.count(), 600'000);
    cr_assert_eq(it.teams().find("plant-01")->second.weight, 1);
    cr_assert(it.teams().find("plant-01")->second.size_class == "small");
    cr_assert(it.pipelines().find("stock-answer")->second.allows("anybody"));
    cr_assert_eq(it.pipelines().find("stock-answer")->second.cost_ms(), 115);
    cr_assert(!it.services().find("dispatch")->second.calls.find("book")->second.repeatable);
}

// Guards against digests that differ between instances with the same content, which would be reported as a
// divergence.
Test(document, digest_depends_on_content_only)
{
    const document a = must_parse(base_text());
    const document b = must_parse(nlohmann::json::parse(base_text()).dump(4));
    const document c = must_parse(a.text());
    const document other = must_parse(base_text(R"({"teams":{"plant-01":{"weight":2}}})"));
    cr_assert(a.digest() == b.digest().c_str());
    cr_assert(a == c && a == b);
    cr_assert_neq(a.digest(), other.digest());
    cr_assert(!(a == other));
}

// Guards against a token that reaches logs or the administration API.
Test(document, redacts_tokens)
{
    const document it = must_parse(base_text(R"({"teams":{"plant-01":{"token":"very-secret"}}})"));
    cr_assert_eq(it.redacted_text().find("very-secret"), std::string::npos);
    cr_assert_neq(it.redacted_text().find("plant-01"), std::string::npos);
    cr_assert_eq(reason_for(R"({"teams":{"a":{"token":"very secret"}}})").find("very secret"),
                 std::string::npos);
    const document other = must_parse(base_text(R"({"teams":{"plant-01":{"token":"other"}}})"));
    const auto paths = changed_paths(it, other);
    cr_assert_eq(paths.size(), 1U);
    cr_assert(paths[0] == "teams.plant-01.token");
}

// Guards against a request that is attributed to another team.
Test(document, finds_teams_by_token)
{
    const document it = must_parse(base_text());
    cr_assert(*it.find_team_by_token("t2") == "plant-02");
    cr_assert_null(it.find_team_by_token("t3"));
    cr_assert_null(it.find_team_by_token(""));
}

// Guards against text that exhausts the stack, and against text that is accepted in part.
Test(document, refuses_unsafe_json)
{
    error_slot<errc> last;
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    cr_assert(!document::parse(R"({"teams":)" + deep + "}", last));
    cr_assert_neq(last.last().reason.find("is nested too deeply"), std::string::npos);
    std::string nested = "1";
    for (int n = 0; n < 40; ++n)
        nested = R"({"a":)" + nested + R"(,"a":[{"a":2}]})";
    cr_assert(!document::parse(nested, last));
    cr_assert(!document::parse(R"({"teams":{"a":{"token":"x","token":"y"}}})", last));
    cr_assert(last.last().reason == "teams.a.token: appears more than once");
    cr_assert_eq(last.last().code, errc::malformed);
    for (const char* text : {"", "{", "[]", "null", "{\"teams\":\"\xff\"}"})
        cr_assert(!document::parse(text, last), "accepted: %s", text);
}

// Guards against a document that patches enlarge until it no longer fits one frame between peers.
Test(document, refuses_documents_above_the_size_limit)
{
    const document it = must_parse(base_text());
    std::string patch = R"({"teams":{)";
    for (int n = 0; n < 4000; ++n)
        patch += (n == 0 ? "\"" : ",\"") + std::to_string(n) + R"(":{"token":")" + std::string(240, 'x') +
                 std::to_string(n) + R"("})";
    error_slot<errc> last;
    cr_assert(!it.merge(patch + "}}", last));
    cr_assert_neq(last.last().reason.find("at most 1048576 bytes"), std::string::npos);
}

// Guards against an invalid example in the documentation.
Test(document, parses_the_example)
{
    const document it = must_parse(read_file(LIMPETLOCK_EXAMPLE_CONFIG));
    cr_assert_eq(it.pipelines().size(), 2U);
    cr_assert(!it.pipelines().find("contract-summary")->second.allows("plant-01"));
    cr_assert(it.services().find("dispatch")->second.allows("plant-01"));
    cr_assert(!it.services().find("dispatch")->second.allows("contract-desk"));
}
