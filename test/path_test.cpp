#include "fleet/fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <testkit/outputs.hpp>

using namespace limpetlock;
using limpetlock::test::fleet;
using nlohmann::json;

namespace {

std::string expected_prompt(const std::string& input)
{
    std::string out = input;
    for (const char* stage : {"encode", "retrieve", "rerank"})
        out = testkit::stage_output(stage, out);
    return out;
}

} // namespace

// Guards against a request path that is broken from end to end. Sends a streamed and a plain pipeline
// request, a repeatable service call and a booking through six processes.
Test(path, serves_from_end_to_end)
{
    fleet it;
    cr_assert(it.wait_ready());
    auto stream = it.stream_async(0, "stock-answer", "how much ice?", 12).get();
    cr_assert(stream.done, "%s %s", stream.failure.c_str(), stream.error.c_str());
    const std::string prompt = expected_prompt("how much ice?");
    for (std::size_t n = 0; n < stream.tokens.size(); ++n)
        cr_assert_eq(stream.tokens[n], testkit::token_text(prompt, static_cast<std::int64_t>(n)));
    cr_assert_eq(stream.tokens.size(), 12U);

    const auto correct = it.post(1, "/v1/pipelines/stock-answer", {{"input", "other"}, {"max_tokens", 5}});
    cr_assert_eq(correct.status, 200, "%s", correct.body.c_str());
    cr_assert_eq(correct.json()["answer"], testkit::generation(expected_prompt("other"), 5));

    const json body{{"truck", 7}};
    const auto lookup = it.post(2, "/v1/services/dispatch/lookup", body);
    cr_assert_eq(lookup.status, 200, "%s", lookup.body.c_str());
    cr_assert_eq(lookup.json()["result"], testkit::service_result("lookup", body));

    cr_assert(it.wait_owners_grant(false));
    const auto booked = it.book(3, "first", 1, body);
    cr_assert_eq(booked.status, 200, "%s", booked.body.c_str());
    cr_assert_eq(booked.json()["result"], testkit::service_result("book", body));
    const auto again = it.book(4, "first", 2, body);
    cr_assert_eq(again.json()["result"], booked.json()["result"]);
    cr_assert_eq(it.executions("first"), 1, "%s", it.runs().dump().c_str());
}

// Guards against lost, duplicate and crossed answers of many concurrent callers at all instances.
Test(path, gives_each_caller_its_own_answer)
{
    constexpr int requests = 1000;
    fleet it;
    cr_assert(it.wait_ready());
    std::vector<std::future<test::answer>> answers;
    answers.reserve(requests);
    for (int n = 0; n < requests; ++n)
        answers.push_back(it.post_async(static_cast<std::size_t>(n) % it.size(),
                                        "/v1/services/plant-feed/stock", {{"plant", n}}, {},
                                        duration{30'000}));
    int correct = 0;
    for (int n = 0; n < requests; ++n) {
        const auto out = answers[static_cast<std::size_t>(n)].get();
        if (out.status != 200) {
            cr_assert_eq(out.ran(), "no", "%s", out.body.c_str());
            continue;
        }
        ++correct;
        cr_assert_eq(out.json()["result"], testkit::service_result("stock", {{"plant", n}}));
    }
    std::int64_t ran = 0;
    const json page = it.runs();
    for (const auto& run : page["runs"])
        ran += run.value("call", "") == "stock" ? 1 : 0;
    cr_assert_eq(ran, correct, "ran %ld, answered %d", ran, correct);
}
