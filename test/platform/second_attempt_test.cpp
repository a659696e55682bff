/// \file
/// Tests of second attempts against slow answers, with real processes.
#include "raw_endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;
using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

namespace {

const std::string slow_id = "00000000000000ff";
const std::vector<std::string> on{"--second_attempt_share=0.2"};

site_options options()
{
    site_options out;
    out.engines = 0;
    out.plain = 0;
    out.retry_extra = 1'000;
    return out;
}

/// A whole answer that names its sender.
std::string whole(const raw_request& request, const std::string& sender, const std::string& status = "200 OK")
{
    const std::string body = sender + " " + request.id;
    return raw_endpoint::head(request, status) +
           fmt::format("Connection: close\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

/// A stream of two events whose data names their sender.
std::string stream(const raw_request& request, const std::string& sender)
{
    const std::string body = fmt::format("id: 1\ndata: {0}\n\nid: 2\ndata: {0}\n\n", sender);
    return raw_endpoint::head(request) +
           fmt::format("Connection: close\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{}",
                       body.size(), body);
}

/// Waits until the other side closes the connection. Returns after how long.
milliseconds wait_closed(tcp::socket& socket)
{
    const auto begin = clock_type::now();
    boost::system::error_code ec;
    char byte = 0;
    while (!ec)
        socket.read_some(boost::asio::buffer(&byte, 1), ec);
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - begin);
}

/// One instance and two endpoints of a pool that answer at once, except to the request under test: its first
/// and its further attempts are answered by the functions of the test.
class arena {
public:
    using handler = raw_endpoint::handler;

    /// `stated` are further header lines of the usual answers, each after a line end.
    arena(const std::string& route, std::vector<std::string> flags, handler first, handler second,
          std::string stated = "")
        : route_(route == "staged" ? "resumable" : route), staged_(route == "staged"),
          stated_(std::move(stated)), first_(std::move(first)), second_(std::move(second)),
          fleet(1, options(), std::move(flags)),
          one_([this](auto& socket, const auto& it) { serve(socket, it); }),
          two_([this](auto& socket, const auto& it) { serve(socket, it); })
    {
        if (staged_)
            fleet.with_site([](site& it) {
                it.config["routes"][1]["stages"] = it.config["routes"][0]["stages"];
                it.publish_config();
            });
        cr_assert(fleet.wait_ready());
        const std::string pool = is_stream() ? "engine" : "plain";
        one_.list(fleet, pool, "i-raw-one");
        two_.publish(fleet, pool, "i-raw-two");
        learn(40);
    }
    arena(const arena&) = delete;
    arena& operator=(const arena&) = delete;
    ~arena() = default;

    /// Sends requests that are answered at once, so that the instance knows the usual time.
    void learn(int requests)
    {
        for (int n = 0; n < requests; ++n)
            cr_assert_eq(fleet.send_and_wait(0, call(fmt::format("{:016x}", 0x1000 + sent_++))).status, 200);
    }

    platform_call call(const std::string& id) const
    {
        platform_call out;
        out.path = "/" + route_ + "/x";
        out.request_id = id;
        if (is_stream())
            out.prefix_hashes = "1:50,2:80";
        if (staged_)
            out.pieces = "1,1";
        return out;
    }

    platform_answer ask()
    {
        const auto begin = clock_type::now();
        auto out = fleet.send_and_wait(0, call(slow_id));
        took = std::chrono::duration_cast<milliseconds>(clock_type::now() - begin);
        return out;
    }

    void wait_asked(int n) const
    {
        for (int k = 0; k < 300 && asked < n; ++k)
            std::this_thread::sleep_for(milliseconds(10));
        cr_assert_geq(asked.load(), n);
    }

private:
    bool is_stream() const { return route_ == "resumable"; }

    void serve(tcp::socket& socket, const raw_request& request)
    {
        if (request.id != slow_id)
            write_bytes(socket,
                        is_stream() ? stream(request, "any") : whole(request, "any", "200 OK" + stated_));
        else if (asked++ == 0)
            first_(socket, request);
        else
            second_(socket, request);
    }

    const std::string route_;
    const bool staged_;
    const std::string stated_;
    const handler first_;
    const handler second_;
    int sent_{0};

public:
    std::atomic<int> asked{0};
    milliseconds took{0};
    platform_fleet fleet;

private:
    raw_endpoint one_;
    raw_endpoint two_;
};

void answer_second(tcp::socket& socket, const raw_request& request)
{
    write_bytes(socket, whole(request, "second"));
}

} // namespace

// Guards against a caller that waits for a slow endpoint while another one would answer at once, against a
// cancelled attempt whose connection stays open, and against its late answer for another request. The
// endpoint must not count as failed for it.
Test(second_attempt, slow_answer_is_overtaken)
{
    std::atomic<std::int64_t> closed_after{-1};
    arena it(
        "lookup", on,
        [&](tcp::socket& socket, const raw_request& request) {
            closed_after = wait_closed(socket).count();
            std::this_thread::sleep_for(milliseconds(200));
            write_bytes(socket, whole(request, "first"));
        },
        answer_second);
    const auto answer = it.ask();
    cr_expect_eq(answer.status, 200);
    cr_expect_eq(answer.body, "second " + slow_id);
    cr_expect_eq(it.asked.load(), 2);
    cr_expect_lt(it.took.count(), 400);
    std::this_thread::sleep_for(milliseconds(300));
    cr_expect_geq(closed_after.load(), 0);
    cr_expect_lt(closed_after.load(), 500);
    it.learn(20);
}

// Guards against two answers, a mixture of them or none when both come at the same moment.
Test(second_attempt, answers_that_cross)
{
    for (const int lead : {-2, 0, 2}) {
        std::atomic<bool> second_asked{false};
        arena it(
            "lookup", on,
            [&](tcp::socket& socket, const raw_request& request) {
                while (!second_asked)
                    std::this_thread::yield();
                std::this_thread::sleep_for(milliseconds(std::max(0, lead)));
                write_bytes(socket, whole(request, "first"));
            },
            [&](tcp::socket& socket, const raw_request& request) {
                second_asked = true;
                std::this_thread::sleep_for(milliseconds(std::max(0, -lead)));
                write_bytes(socket, whole(request, "second"));
            });
        const auto answer = it.ask();
        cr_expect_eq(answer.status, 200);
        cr_expect(answer.complete);
        cr_expect(answer.body == "first " + slow_id || answer.body == "second " + slow_id, "'%s'",
                  answer.body.c_str());
        cr_expect_eq(it.asked.load(), 2);
        it.learn(5);
    }
}

// Guards against a refusal or a failure of one attempt that ends the request while the other one is open, and
// against a third run when both have failed.
Test(second_attempt, failure_does_not_win_over_an_open_attempt)
{
    const auto refuse = [](tcp::socket& socket, const raw_request& request) {
        write_bytes(socket, raw_endpoint::head(request, "503 Busy") +
                                "Connection: close\r\nLimpetlock-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const auto fail = [](tcp::socket& socket, const raw_request& request) {
        write_bytes(socket, whole(request, "second", "500 Failed"));
    };
    const auto break_off = [](tcp::socket&, const raw_request&) {};
    const auto late = [](const char* status) {
        return [status](tcp::socket& socket, const raw_request& request) {
            std::this_thread::sleep_for(milliseconds(250));
            write_bytes(socket, whole(request, "first", status));
        };
    };
    for (const arena::handler& second :
         {arena::handler(refuse), arena::handler(fail), arena::handler(break_off)}) {
        arena it("lookup", on, late("200 OK"), second);
        const auto answer = it.ask();
        cr_expect_eq(answer.status, 200);
        cr_expect_eq(answer.body, "first " + slow_id);
        cr_expect_eq(it.asked.load(), 2);
    }
    arena it("lookup", on, late("500 Failed"), break_off);
    const auto answer = it.ask();
    cr_expect_eq(answer.status, 500);
    cr_expect_eq(answer.body, "first " + slow_id);
    cr_expect_eq(it.asked.load(), 2);
}

// Guards against attempts that outlive their request: when the caller leaves, and when the instance stops.
Test(second_attempt, caller_and_stop_end_both)
{
    std::atomic<int> closed{0};
    const auto hang = [&closed](tcp::socket& socket, const raw_request&) {
        wait_closed(socket);
        ++closed;
    };
    arena it("lookup", on, hang, hang);
    it.fleet.with_site([](site& platform) {
        platform.config["routes"][2]["timeoutMs"] = 20'000;
        platform.publish_config();
    });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    auto leaving = it.call(slow_id);
    leaving.deadline = milliseconds(15'000);
    leaving.disconnect_after = milliseconds(300);
    it.fleet.send_and_wait(0, leaving);
    std::this_thread::sleep_for(milliseconds(500));
    cr_expect_eq(it.asked.load(), 2);
    cr_expect_eq(closed.load(), 2);

    it.asked = closed = 0;
    auto staying = it.call(slow_id);
    staying.deadline = milliseconds(15'000);
    auto answer = it.fleet.send(0, staying);
    it.wait_asked(2);
    it.fleet.signal(0, SIGTERM);
    cr_expect_eq(answer.get().status, 502);
    it.fleet.wait_exit(0, std::chrono::seconds(3));
    std::this_thread::sleep_for(milliseconds(100));
    cr_expect_eq(it.asked.load(), 2);
    cr_expect_eq(closed.load(), 2);
}

// Guards against a booking that is sent twice because it is slow, and against second attempts that nobody has
// turned on, or not for this kind.
Test(second_attempt, only_where_allowed)
{
    const auto late = [](tcp::socket& socket, const raw_request& request) {
        std::this_thread::sleep_for(milliseconds(300));
        write_bytes(socket, whole(request, "first"));
    };
    const std::vector<std::string> streams_only{"--second_attempt_share=0.2",
                                                "--second_attempt_kinds=stream"};
    const std::vector<std::pair<std::string, std::vector<std::string>>> cases{
        {"booking", on}, {"lookup", {}}, {"lookup", streams_only}};
    for (const auto& [route, flags] : cases) {
        arena it(route, flags, late, answer_second);
        const auto answer = it.ask();
        cr_expect_eq(answer.status, 200);
        cr_expect_eq(answer.body, "first " + slow_id);
        cr_expect_eq(it.asked.load(), 1);
    }
}

// Guards against second attempts at endpoints that limit the rate of their requests.
Test(second_attempt, limited_endpoints_get_none)
{
    const auto late = [](tcp::socket& socket, const raw_request& request) {
        std::this_thread::sleep_for(milliseconds(300));
        write_bytes(socket, whole(request, "first"));
    };
    arena it("lookup", on, late, answer_second, "\r\nServer-Limit: 2000");
    cr_expect_eq(it.ask().body, "first " + slow_id);
    cr_expect_eq(it.asked.load(), 1);
}

// Guards against a stream with events of two runs, and against a wait for an engine that has sent its header
// but no event.
Test(second_attempt, stream_has_the_events_of_one_run)
{
    arena it(
        "resumable", on,
        [](tcp::socket& socket, const raw_request& request) {
            const std::string text = stream(request, "first");
            const auto head = text.find("\r\n\r\n") + 4;
            write_bytes(socket, text.substr(0, head + 8));
            std::this_thread::sleep_for(milliseconds(700));
            write_bytes(socket, text.substr(head + 8));
        },
        [](tcp::socket& socket, const raw_request& request) {
            write_bytes(socket, stream(request, "second"));
        });
    const auto answer = it.ask();
    cr_expect_eq(answer.status, 200);
    cr_expect(answer.complete);
    cr_expect_eq(answer.body, "id: 1\ndata: second\n\nid: 2\ndata: second\n\n");
    cr_expect_lt(it.took.count(), 500);
    cr_expect_eq(it.asked.load(), 2);
}

// Guards against results of stages that are released while the second attempt still needs them, and against a
// second attempt without them, since the first engine has fetched them.
Test(second_attempt, uses_stage_results_only_while_they_are_held)
{
    const auto inputs_of = [](const raw_request& request) {
        const auto begin = request.text.find("Limpetlock-Inputs: ");
        return begin == std::string::npos
                   ? ""
                   : request.text.substr(begin, request.text.find('\r', begin) - begin);
    };
    const std::vector<std::string> early{"--second_attempt_share=0.2", "--second_attempt_min_delay_ms=10"};
    for (const auto& flags : {early, on}) {
        std::string first_inputs;
        std::string second_inputs;
        std::size_t held = 0;
        const auto count_held = [](site& it) {
            return it.first_stage[0]->held_results() + it.first_stage[1]->held_results() +
                   it.second_stage[0]->held_results() + it.second_stage[1]->held_results();
        };
        platform_fleet* fleet = nullptr;
        arena it(
            "staged", flags,
            [&](tcp::socket& socket, const raw_request& request) {
                first_inputs = inputs_of(request);
                std::this_thread::sleep_for(milliseconds(400));
                write_bytes(socket, stream(request, "first"));
            },
            [&](tcp::socket& socket, const raw_request& request) {
                second_inputs = inputs_of(request);
                std::this_thread::sleep_for(milliseconds(150));
                fleet->with_site([&](site& platform) { held = count_held(platform); });
                write_bytes(socket, stream(request, "second"));
            });
        fleet = &it.fleet;
        const bool is_early = flags == early;
        const auto answer = it.ask();
        const std::string winner = is_early ? "second" : "first";
        cr_expect_eq(answer.body, fmt::format("id: 1\ndata: {0}\n\nid: 2\ndata: {0}\n\n", winner));
        cr_expect_eq(it.asked.load(), is_early ? 2 : 1);
        cr_expect_neq(first_inputs, "");
        if (is_early) {
            cr_expect_eq(second_inputs, first_inputs);
            cr_expect_gt(held, 0U);
        }
        cr_expect(it.fleet.wait_until([&](site& platform) { return count_held(platform) == 0; }));
    }
}
