#include "fleet/fleet.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <testkit/outputs.hpp>

#include <chrono>
#include <future>
#include <iterator>
#include <string>
#include <vector>

using namespace limpetlock;
using limpetlock::test::fleet;
using nlohmann::json;

namespace {

constexpr std::int64_t tokens = 40;
constexpr const char* pipeline = "/v1/pipelines/stock-answer";

std::string prompt_of(const std::string& input)
{
    std::string out = input;
    for (const char* stage : {"encode", "retrieve", "rerank"})
        out = testkit::stage_output(stage, out);
    return out;
}

bool is_correct(const test::answer& it, const std::string& input)
{
    return it.json()["answer"] == testkit::generation(prompt_of(input), tokens);
}

json request_of(const std::string& input)
{
    return {{"input", input}, {"max_tokens", tokens}};
}

/// Checks that a stream has each token once and in order, and its end event.
void check_complete_stream(const test::streamed_answer& it, const std::string& input)
{
    const std::string prompt = prompt_of(input);
    cr_assert(it.done, "%s: %s %s after %zu tokens", input.c_str(), it.failure.c_str(), it.error.c_str(),
              it.tokens.size());
    cr_assert_eq(static_cast<std::int64_t>(it.tokens.size()), testkit::generation_length(prompt, tokens));
    for (std::size_t n = 0; n < it.tokens.size(); ++n) {
        cr_assert_eq(it.positions[n], static_cast<std::int64_t>(n));
        cr_assert_eq(it.tokens[n], testkit::token_text(prompt, static_cast<std::int64_t>(n)));
    }
}

/// Sends calls whose successes fill the budget for the retries and resumptions that follow.
void fill_retry_budget(const fleet& it)
{
    constexpr int rounds = 60;
    std::vector<std::future<test::answer>> answers;
    answers.reserve(rounds);
    for (int n = 0; n < rounds; ++n)
        answers.push_back(it.post_async(0, pipeline, request_of(fmt::format("earlier {}", n))));
    for (auto& each : answers)
        cr_assert_eq(each.get().status, 200);
}

std::int64_t answers_counter(const fleet& it, std::size_t instance, const char* name)
{
    return it.state(instance)["answers"].value(name, std::int64_t{0});
}

std::int64_t pool_total(const fleet& it, const std::string& pool, const char* count)
{
    std::int64_t out = 0;
    for (const auto& name : it.endpoint_names(pool))
        out += it.endpoint_totals(name).value(count, std::int64_t{0});
    return out;
}

/// Sends bytes to a port and returns the bytes received until the other side closes.
std::string send_bytes(const std::string& address, std::uint16_t port, const std::string& bytes)
{
    constexpr std::chrono::seconds timeout{15};
    boost::asio::ip::tcp::iostream stream;
    stream.expires_after(timeout);
    stream.connect(address, std::to_string(port));
    stream << bytes << std::flush;
    boost::system::error_code ec;
    stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    return {std::istreambuf_iterator<char>(stream), {}};
}

std::string request_bytes(const std::string& target, const std::string& token, const std::string& body,
                          std::size_t length)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       target, token, length, body);
}

void check_serves(const fleet& it, std::size_t instance)
{
    const auto got = it.post(instance, pipeline, request_of("after it"));
    cr_assert_eq(got.status, 200, "%s%s", got.body.c_str(), got.failure.c_str());
    cr_assert(is_correct(got, "after it"));
}

} // namespace

// Guards against a caller that gets the answer of another call. An answer with the id of another call must be
// dropped.
Test(answers, drops_crossed_answers)
{
    constexpr int requests = 60;
    fleet it;
    cr_assert(it.wait_ready());
    fill_retry_budget(it);
    for (const char* pool : {"encoder", "model", "plant-feed"})
        it.endpoint_fault({{"pool", pool}, {"wrong_id", 0.2}});
    std::vector<std::future<test::answer>> answers;
    std::vector<std::future<test::answer>> services;
    for (int n = 0; n < requests; ++n) {
        answers.push_back(it.post_async(0, pipeline, request_of(fmt::format("crossed {}", n))));
        services.push_back(it.post_async(0, "/v1/services/plant-feed/stock", {{"plant", n}}));
    }
    int correct = 0;
    for (int n = 0; n < requests; ++n) {
        const auto got = answers[static_cast<std::size_t>(n)].get();
        cr_assert(got.status == 200 ? is_correct(got, fmt::format("crossed {}", n)) : !got.code().empty(),
                  "%s%s", got.body.c_str(), got.failure.c_str());
        const auto result = services[static_cast<std::size_t>(n)].get();
        cr_assert(result.status == 200
                      ? result.json()["result"] == testkit::service_result("stock", {{"plant", n}})
                      : !result.code().empty(),
                  "%s%s", result.body.c_str(), result.failure.c_str());
        correct += got.status == 200 ? 1 : 0;
    }
    cr_assert_gt(correct, 0);
    cr_assert_gt(answers_counter(it, 0, "wrong_call"), 0);
}

// Guards against a stream that breaks off, or repeats or skips a token, when its engine closes the connection
// or stops sending in the middle.
Test(answers, resumes_cut_and_stalled_streams)
{
    for (const char* fault : {"cut_after", "stall_after"}) {
        fleet it;
        cr_assert(it.wait_ready());
        fill_retry_budget(it);
        // The retry budget of a stage holds two tokens, so more faults at once could end a stream.
        constexpr int faults = 2;
        constexpr int most_streams = 60;
        const std::string broken = it.endpoint_names("model").front();
        const char* count = std::string(fault) == "cut_after" ? "cut" : "stalled";
        it.endpoint_fault({{"endpoint", broken}, {fault, 5}, {"times", faults}});
        for (int n = 0; n < most_streams && it.endpoint_totals(broken).value(count, 0) < faults; ++n) {
            const std::string input = fmt::format("{} {}", fault, n);
            check_complete_stream(it.stream_async(0, "stock-answer", input, tokens).get(), input);
        }
        cr_assert_eq(it.endpoint_totals(broken).value(count, 0), faults, "%s",
                     it.endpoint_totals(broken).dump().c_str());
        cr_assert_eq(answers_counter(it, 0, "resumed_streams"), faults, "%s", fault);
        cr_assert_eq(pool_total(it, "model", "resumed"), faults, "%s", fault);
    }
}

// Guards against callers that lose most of their answers because one of two endpoints fails all its calls.
Test(answers, retries_around_a_failing_endpoint)
{
    constexpr int requests = 100;
    fleet it;
    cr_assert(it.wait_ready());
    fill_retry_budget(it);
    it.endpoint_fault({{"endpoint", it.endpoint_names("encoder").front()}, {"fail", 1.0}});
    int correct = 0;
    for (int n = 0; n < requests; ++n) {
        const std::string input = fmt::format("failing {}", n);
        const auto got = it.post(0, pipeline, request_of(input));
        cr_assert(got.status == 200 ? is_correct(got, input) : !got.code().empty(), "%s%s", got.body.c_str(),
                  got.failure.c_str());
        correct += got.status == 200 ? 1 : 0;
    }
    fmt::print("one endpoint of two fails: {} of {} answers correct\n", correct, requests);
    cr_assert_gt(correct, requests / 2);
    check_serves(it, 0);
}

// Guards against an answer that reaches a caller of another team when both call at the same time.
Test(answers, keeps_two_teams_apart)
{
    constexpr int requests = 60;
    fleet it;
    cr_assert(it.wait_ready());
    const test::headers second{{"Authorization", "Bearer token-plant-02"}};
    std::vector<std::future<test::answer>> answers;
    answers.reserve(requests);
    for (int n = 0; n < requests; ++n)
        answers.push_back(it.post_async(static_cast<std::size_t>(n / 2) % it.size(), pipeline,
                                        request_of(fmt::format("team {} asks {}", n % 2, n / 2)),
                                        n % 2 == 0 ? test::headers{} : second));
    for (int n = 0; n < requests; ++n) {
        const auto got = answers[static_cast<std::size_t>(n)].get();
        cr_assert_eq(got.status, 200, "%s%s", got.body.c_str(), got.failure.c_str());
        cr_assert(is_correct(got, fmt::format("team {} asks {}", n % 2, n / 2)));
    }
}

// Guards against an engine that keeps generating after its caller has disconnected.
Test(answers, cancels_the_stream_of_a_caller_that_left)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.endpoint_fault({{"pool", "model"}, {"slow", 20}});
    {
        const std::string body = json{{"input", "left"}, {"stream", true}}.dump();
        boost::asio::ip::tcp::iostream stream;
        stream.expires_after(std::chrono::seconds{15});
        stream.connect(it.address(), std::to_string(it.caller_port(0)));
        stream << request_bytes(pipeline, "token-plant-01", body, body.size()) << std::flush;
        std::string line;
        while (line.find("event: token") == std::string::npos)
            cr_assert(std::getline(stream, line), "the stream ends without a token");
    }
    cr_assert(it.wait_until([&] { return pool_total(it, "model", "cancelled") == 1; }));
    cr_assert_eq(pool_total(it, "model", "running"), 0);
    cr_assert(it.wait_until([&] { return it.state(0).value("requests_in_flight", -1) == 0; }));
}

// Guards against malformed requests of callers that crash the process or get no clear error.
Test(answers, refuses_malformed_calls)
{
    constexpr std::size_t too_long = std::size_t{2} * 1024 * 1024;
    fleet it;
    cr_assert(it.wait_ready());
    struct bad_call {
        std::string bytes;
        const char* status;
        const char* code;
    };
    const std::string good = request_of("x").dump();
    const std::vector<bad_call> calls{
        {request_bytes(pipeline, "token-plant-01", "{\"input\":", 9), "400", "bad_request"},
        {request_bytes(pipeline, "token-nobody", good, good.size()), "401", "unauthorized"},
        {request_bytes("/v1/pipelines/none", "token-plant-01", good, good.size()), "404", "not_found"},
        {request_bytes(pipeline, "token-plant-01", "{", too_long), "413", "too_large"},
    };
    for (const auto& call : calls) {
        const std::string reply = send_bytes(it.address(), it.caller_port(0), call.bytes);
        cr_assert(reply.starts_with(std::string("HTTP/1.1 ") + call.status), "%s", reply.c_str());
        cr_assert(reply.find(fmt::format("\"code\":\"{}\"", call.code)) != std::string::npos, "%s",
                  reply.c_str());
        cr_assert(reply.find("\"ran\":\"no\"") != std::string::npos, "%s", reply.c_str());
        check_serves(it, 0);
    }
    send_bytes(it.address(), it.caller_port(0), request_bytes(pipeline, "token-plant-01", "{\"inp", 50));
    send_bytes(it.address(), it.caller_port(0), "\x16\x03\x01 no HTTP at all\r\n\r\n");
    check_serves(it, 0);
    cr_assert_eq(it.state(0).value("requests_in_flight", -1), 0);
}

// Guards against malformed input at the admin and peer ports that crashes the process or stops its service.
Test(answers, survives_malformed_input_at_the_other_ports)
{
    constexpr std::size_t too_long = std::size_t{2} * 1024 * 1024;
    fleet it;
    cr_assert(it.wait_ready());
    const char* check = "/admin/v1/config/check";
    const auto reply_to = [&](const std::string& bytes) {
        return send_bytes(it.address(), it.admin_port(0), bytes);
    };
    cr_assert(reply_to(request_bytes(check, "", "{\"base\":", 8)).starts_with("HTTP/1.1 400"));
    cr_assert(reply_to(request_bytes("/admin/none", "", "{}", 2)).starts_with("HTTP/1.1 404"));
    cr_assert(reply_to(request_bytes(check, "", "{", too_long)).starts_with("HTTP/1.1 413"));
    reply_to(request_bytes(check, "", "{\"ba", 50));
    reply_to("\x16\x03\x01 no HTTP at all\r\n\r\n");
    cr_assert(it.ready(0));

    const auto malformed = [&] { return it.state(0)["peers"].value("malformed", std::int64_t{0}); };
    const std::vector<std::string> frames{
        std::string("\xff\xff\xff\xff too long", 13),
        std::string("\x00\x00\x00\x08 garbage", 12),
        std::string("\x00\x00\x10\x00 half a frame", 17),
    };
    const auto before = malformed();
    for (const auto& frame : frames)
        send_bytes(it.address(), it.peer_port(0), frame);
    cr_assert(it.wait_until([&] { return malformed() >= before + 2; }), "%ld", malformed());
    check_serves(it, 0);
    cr_assert(it.wait_owners_grant(false), "the peer port no longer serves");
    const auto booked = it.book(0, "after-garbage", 1);
    cr_assert_eq(booked.status, 200, "%s%s", booked.body.c_str(), booked.failure.c_str());
}

// Guards against a body of a caller that overflows the stack when it is copied or written, which ends the
// process.
Test(answers, refuses_deeply_nested_bodies)
{
    constexpr std::size_t levels = 400'000;
    fleet it;
    cr_assert(it.wait_ready());
    const std::string deep = std::string(levels, '[') + std::string(levels, ']');
    for (const char* path : {pipeline, "/v1/services/plant-feed/stock"}) {
        const std::string reply = send_bytes(it.address(), it.caller_port(0),
                                             request_bytes(path, "token-plant-01", deep, deep.size()));
        cr_expect(reply.starts_with("HTTP/1.1 400"), "%s: %s", path, reply.substr(0, 200).c_str());
    }
    const std::string patch = R"({"base":1,"patch":)" + deep + "}";
    send_bytes(it.address(), it.admin_port(0),
               request_bytes("/admin/v1/config/check", "", patch, patch.size()));
    check_serves(it, 0);
}
