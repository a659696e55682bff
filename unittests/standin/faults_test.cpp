#include "testkit/endpoint.hpp"
#include "testkit/outputs.hpp"
#include "testkit/platform.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <criterion/criterion.h>

#include <chrono>
#include <future>
#include <thread>

using namespace limpetlock::testkit;
using nlohmann::json;
namespace net = boost::asio;
namespace bhttp = boost::beast::http;
using tcp = net::ip::tcp;

namespace {

struct reply {
    int status{0}; ///< 0: no whole answer
    std::string text;
    json body;
};

/// A blocking HTTP connection.
class caller {
public:
    explicit caller(std::uint16_t port) : stream_(context_)
    {
        boost::system::error_code ec;
        stream_.connect(tcp::endpoint(net::ip::address_v4::loopback(), port), ec);
    }

    reply call(const std::string& path, const json& body = nullptr)
    {
        bhttp::request<bhttp::string_body> message(body.is_null() ? bhttp::verb::get : bhttp::verb::post,
                                                   path, 11);
        message.body() = body.is_null() ? "" : body.dump();
        message.prepare_payload();
        boost::system::error_code ec;
        bhttp::write(stream_, message, ec);
        bhttp::response_parser<bhttp::string_body> parser;
        bhttp::read(stream_, buffer_, parser, ec);
        reply out;
        out.status = ec ? 0 : static_cast<int>(parser.get().result_int());
        out.text = parser.get().body();
        out.body = json::parse(out.text, nullptr, false);
        return out;
    }

    /// Closes the connection under a call that blocks another thread.
    void hang_up()
    {
        boost::system::error_code ec;
        stream_.shutdown(tcp::socket::shutdown_both, ec);
    }

private:
    net::io_context context_;
    tcp::socket stream_;
    boost::beast::flat_buffer buffer_;
};

reply call(std::uint16_t port, const std::string& path, const json& body = nullptr)
{
    return caller(port).call(path, body);
}

/// One endpoint of pool "p" with its control port, on a thread of its own.
struct endpoint_fixture {
    explicit endpoint_fixture(const pool_settings& settings = {.service_ms = 5, .token_ms = 2})
        : host(context, 0, 7), port(host.add("p-1", "p", 0, settings).port()),
          thread([this] { context.run(); })
    {
    }
    ~endpoint_fixture()
    {
        context.stop();
        thread.join();
    }

    void fault(json change)
    {
        change["endpoint"] = "p-1";
        cr_assert_eq(call(host.control_port(), "/control/fault", change).status, 200);
    }
    reply stage() const { return call(port, "/v1/stage", stage_body); }
    reply generate(std::int64_t from = 0) const { return call(port, "/v1/completions", completion(from)); }
    static json completion(std::int64_t from)
    {
        return {{"user", "c1"}, {"prompt", "x"}, {"max_tokens", 6}, {"stream", true}, {"resume_from", from}};
    }
    std::int64_t total(const std::string& name)
    {
        return call(host.control_port(), "/control/runs").body["totals"]["p-1"].value(name, std::int64_t{0});
    }

    const json stage_body = {{"call_id", "c1"}, {"stage", "encode"}, {"input", "x"}};
    net::io_context context;
    endpoint_host host;
    std::uint16_t port;
    std::thread thread;
};

std::size_t events(const std::string& text)
{
    std::size_t n = 0;
    for (auto at = text.find("\"position\""); at != std::string::npos; at = text.find("\"position\"", at + 1))
        ++n;
    return n;
}

} // namespace

// Guards against answers, records of runs and load reports that do not follow their formats.
Test(endpoint, answers_and_records)
{
    endpoint_fixture it;
    const auto got = it.stage();
    cr_assert_eq(got.body, json({{"call_id", "c1"}, {"output", "encode(x)"}}));
    const json body = {{"a", 1}};
    const auto booked = call(it.port, "/v1/call/book", {{"call_id", "c2"}, {"key", "k"}, {"body", body}});
    cr_assert_eq(booked.body["result"], service_result("book", body));
    const auto page = call(it.port, "/control/runs?after=1").body;
    cr_assert_eq(page["runs"].size(), 1U);
    cr_assert_eq(page["runs"][0]["input"], body_digest(body));
    cr_assert_eq(page["keys"]["k"], 1);
    cr_assert_eq(call(it.port, "/v1/load").body, json({{"running", 0}, {"queued", 0}, {"age_ms", 0}}));
}

// Guards against a resumed stream that repeats or omits tokens.
Test(endpoint, streams_and_resumes)
{
    endpoint_fixture it;
    const auto whole = it.generate().text;
    const auto rest = it.generate(4).text;
    cr_assert_eq(events(whole), 6U);
    cr_assert_eq(events(rest), 2U);
    cr_assert(whole.ends_with(rest));
    cr_assert(whole.ends_with("data: [DONE]\n\n"));
    cr_assert_neq(whole.find(token_text("x", 5)), std::string::npos);
    cr_assert_eq(events(it.generate(6).text), 1U);
    cr_assert_eq(it.total("resumed"), 2);
}

// Guards against faults before the run of a call that nevertheless run it.
Test(endpoint, faults_before_the_work)
{
    endpoint_fixture it;
    it.fault({{"fail", 1}});
    cr_assert_eq(it.stage().status, 500);
    it.fault({{"clear", true}, {"die_before", 1}});
    cr_assert_eq(it.stage().status, 0);
    it.fault({{"clear", true}, {"refuse", true}});
    cr_assert_eq(it.stage().status, 0);
    it.fault({{"clear", true}, {"down", true}});
    cr_assert_eq(it.stage().status, 0);
    it.fault({{"clear", true}, {"leaving", true}});
    cr_assert_eq(it.stage().body, json({{"error", "leaving"}}));
    cr_assert_eq(it.total("runs"), 0);
    it.fault({{"clear", true}});
    cr_assert_eq(it.stage().status, 200);
    cr_assert_eq(it.total("runs"), 1);
    cr_assert_eq(it.total("refused_leaving"), 1);
}

// Guards against a lost answer whose run is not counted, and a swapped answer that has the caller's own id or
// output.
Test(endpoint, faults_after_the_work)
{
    endpoint_fixture it;
    it.fault({{"die_after", 1}, {"times", 1}});
    cr_assert_eq(it.stage().status, 0);
    cr_assert_eq(it.total("runs"), 1);
    cr_assert_eq(it.stage().status, 200, "the fault fires once");
    it.fault({{"wrong_id", 1}});
    const auto got = it.stage();
    cr_assert_neq(got.body["call_id"], "c1");
    cr_assert_neq(got.body["output"], "encode(x)");
    cr_assert_eq(it.generate().text.find("\"c1\""), std::string::npos);
    it.fault({{"clear", true}, {"die_after", 1}});
    cr_assert_eq(it.generate().text, "");
    cr_assert_eq(it.total("runs"), 5);
}

// Guards against cut and stalled streams that end like complete ones, and runs that outlive their caller.
Test(endpoint, stream_faults)
{
    endpoint_fixture it;
    it.fault({{"cut_after", 3}, {"times", 1}});
    const auto cut = it.generate();
    cr_assert_eq(cut.status, 0);
    cr_assert_eq(events(cut.text), 3U);
    cr_assert_eq(it.total("unfinished"), 1);
    it.fault({{"cut_after", 6}, {"times", 1}});
    const auto at_end = it.generate();
    cr_assert_eq(at_end.status, 0);
    cr_assert_eq(events(at_end.text), 6U);
    cr_assert_eq(at_end.text.find("[DONE]"), std::string::npos);
    it.fault({{"clear", true}, {"stall_after", 2}});
    caller waiting(it.port);
    auto stalled =
        std::async(std::launch::async, [&] { return waiting.call("/v1/completions", it.completion(0)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cr_assert_eq(it.total("stalled"), 1);
    cr_assert_eq(it.total("running"), 1);
    waiting.hang_up();
    cr_assert_eq(events(stalled.get().text), 2U);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    cr_assert_eq(it.total("cancelled"), 1);
    cr_assert_eq(it.total("running"), 0);
}

// Guards against a fault of reused connections that also affects new ones.
Test(endpoint, closes_idle_connections)
{
    endpoint_fixture it;
    caller kept(it.port);
    cr_assert_eq(kept.call("/v1/stage", it.stage_body).status, 200);
    it.fault({{"close_idle", true}});
    cr_assert_eq(kept.call("/v1/stage", it.stage_body).status, 0);
    cr_assert_eq(it.total("runs"), 1);
    cr_assert_eq(it.stage().status, 200);
}

// Guards against endpoints that ignore their concurrency or queue limit, the lag of load reports, or
// slowness.
Test(endpoint, limits_and_reports_load)
{
    endpoint_fixture it({.service_ms = 150, .concurrency = 1, .queue = 1});
    it.fault({{"load_lag_ms", 2000}});
    std::vector<std::future<reply>> calls;
    for (int n = 0; n < 3; ++n)
        calls.push_back(std::async(std::launch::async, [&] { return it.stage(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert_eq(call(it.port, "/v1/load").body, json({{"running", 0}, {"queued", 0}, {"age_ms", 2000}}));
    it.fault({{"clear", true}});
    cr_assert_eq(call(it.port, "/v1/load").body, json({{"running", 1}, {"queued", 1}, {"age_ms", 0}}));
    int good = 0;
    for (auto& each : calls)
        good += each.get().status == 200 ? 1 : 0;
    cr_assert_eq(good, 2);
    cr_assert_eq(it.total("refused_overloaded"), 1);
    it.fault({{"slow", 2}});
    const auto start = std::chrono::steady_clock::now();
    it.stage();
    cr_assert_geq(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(290));
}

// Guards against a control call that is accepted although its key or pool is unknown.
Test(endpoint, rejects_unknown_faults)
{
    endpoint_fixture it;
    cr_assert_eq(call(it.host.control_port(), "/control/fault", {{"all", true}, {"slwo", 2}}).status, 400);
    cr_assert_eq(call(it.host.control_port(), "/control/fault", {{"pool", "none"}, {"slow", 2}}).status, 404);
}

// Guards against long polls that miss a change, and faults of the platform that have no effect.
Test(platform, polls_and_faults)
{
    net::io_context context;
    platform it(context, 0);
    std::thread thread([&] { context.run(); });
    const auto port = it.port();
    const auto publish = [&] {
        call(port, "/control/publish", {{"kind", "patch"}, {"base", 1}, {"patch", {}}});
    };

    auto poll = std::async(std::launch::async, [&] { return call(port, "/v1/config?after=0&wait_ms=4000"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    publish();
    cr_assert_eq(poll.get().body["entries"].size(), 1U);
    cr_assert_eq(call(port, "/v1/config?after=1&wait_ms=50").body,
                 json({{"revision", 1}, {"entries", json::array()}}));

    call(port, "/control/fault", {{"mode", "stale"}});
    publish();
    cr_assert_eq(call(port, "/v1/config?after=0").body["revision"], 1);
    call(port, "/control/fault", {{"mode", "down"}});
    cr_assert_eq(call(port, "/v1/config?after=0").status, 0);
    call(port, "/control/fault", {{"mode", "ok"}, {"instances_lag_ms", 200}});
    cr_assert_eq(call(port, "/v1/config?after=0").body["revision"], 2);

    call(port, "/control/instances", {{"update", {{{"name", "a"}, {"state", "live"}}}}});
    cr_assert_eq(call(port, "/v1/instances?after=0").body["version"], 1, "the list lags");
    const auto late = call(port, "/v1/instances?after=1&wait_ms=2000").body;
    cr_assert_eq(late["version"], 2);
    cr_assert_eq(late["instances"][0]["name"], "a");
    cr_assert_eq(call(port, "/control/calls").body["while_down"], 1);
    context.stop();
    thread.join();
}
