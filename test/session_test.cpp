#include "fleet/fleet.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

using namespace limpetlock;
using limpetlock::test::answer;
using limpetlock::test::fleet;
using nlohmann::json;

namespace {

constexpr int repetitions = 20;

/// Returns the parts of an answer that do not depend on the process that sent it.
std::string describe(const answer& it)
{
    json body = it.json();
    if (body.is_object())
        body.erase("request_id");
    return fmt::format("{} {}\n", it.status, body.dump());
}

std::string describe(const test::streamed_answer& it)
{
    std::string out = fmt::format("{} ", it.status);
    for (std::size_t n = 0; n < it.tokens.size(); ++n)
        out += fmt::format("[{} {}]", it.positions[n], it.tokens[n]);
    return out + (it.done ? " done\n" : fmt::format(" error={}\n", it.error));
}

/// A fixed sequence of calls, recorded as text.
class session {
public:
    explicit session(const fleet& it, int number) : fleet_(it), number_(number) {}

    std::string run()
    {
        record("stream", describe(fleet_.stream_async(instance(), "stock-answer", "how much ice?", 6).get()));
        post("pipeline", "/v1/pipelines/stock-answer", {{"input", "a summary"}, {"max_tokens", 3}});
        post("repeatable call", "/v1/services/plant-feed/stock", {{"plant", 4}});
        book("first attempt", 1, {{"truck", 7}});
        book("second attempt elsewhere", 2, {{"truck", 7}});
        book("same key, other body", 3, {{"truck", 8}});
        post("call without key", "/v1/services/dispatch/book", {{"truck", 7}});
        post("unknown pipeline", "/v1/pipelines/none", {{"input", "x"}});
        post("unknown call", "/v1/services/dispatch/none", json::object());
        post("missing input", "/v1/pipelines/stock-answer", json::object());
        post("unknown member", "/v1/pipelines/stock-answer", {{"input", "x"}, {"temperature", 1}});
        post("wrong rank", "/v1/pipelines/stock-answer", {{"input", "x"}, {"rank", "first"}});
        return text_;
    }

private:
    /// Returns the instance of the next step. Steps go to all instances in turn, as behind a balancer.
    std::size_t instance() { return step_++ % fleet_.size(); }

    void record(const std::string& step_name, const std::string& seen) { text_ += step_name + ": " + seen; }

    void post(const std::string& step_name, const std::string& target, const json& body)
    {
        record(step_name, describe(fleet_.post(instance(), target, body)));
    }

    void book(const std::string& step_name, int attempt, const json& body)
    {
        record(step_name,
               describe(fleet_.book(instance(), fmt::format("session-{}", number_), attempt, body)));
    }

    const fleet& fleet_;
    int number_;
    std::size_t step_{0};
    std::string text_;
};

std::string read(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

// Guards against answers of the request path that change unintentionally or differ between repetitions.
Test(session, matches_its_golden_file_in_every_repetition)
{
    const std::string path = std::string(LIMPETLOCK_GOLDEN_DIR) + "/session.txt";
    fleet it;
    cr_assert(it.wait_ready());
    cr_assert(it.wait_owners_grant(false));
    if (std::getenv("LIMPETLOCK_REWRITE_GOLDEN") != nullptr)
        std::ofstream(path) << session(it, 0).run();
    const std::string golden = read(path);
    cr_assert_not(golden.empty());
    for (int n = 1; n <= repetitions; ++n) {
        const std::string seen = session(it, n).run();
        cr_assert_eq(seen, golden, "repetition %d:\n%s\ninstead of\n%s", n, seen.c_str(), golden.c_str());
    }
}
