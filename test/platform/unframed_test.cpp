/// \file
/// Tests of endpoints whose answers have neither a length nor chunks and end with their connection.
#include "platform_fleet.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace limpetlock::test;
using limpetlock::platformkit::site;
using limpetlock::platformkit::site_options;

namespace {

/// An endpoint that answers each request with the given body after a header without a length, and closes or
/// resets the connection then.
class unframed_endpoint {
public:
    unframed_endpoint(std::string body, bool reset)
        : body_(std::move(body)), reset_(reset),
          acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}), thread_([this] { serve(); })
    {
    }
    unframed_endpoint(const unframed_endpoint&) = delete;
    unframed_endpoint& operator=(const unframed_endpoint&) = delete;
    ~unframed_endpoint()
    {
        stopping_ = true;
        boost::system::error_code ec;
        tcp::socket(context_).connect(acceptor_.local_endpoint(), ec);
        thread_.join();
    }

    /// Lists the endpoint as the only one of its pool.
    void publish(platform_fleet& fleet, const std::string& pool)
    {
        const nlohmann::json entry{{"service", pool}, {"addr", "127.0.0.1:" + std::to_string(port())},
                                   {"zone", "a"},     {"version", "v1"},
                                   {"slots", 8},      {"state", "ready"},
                                   {"coldLeftMs", 0}, {"seq", 1},
                                   {"born", 1}};
        fleet.with_site([&](site& it) { it.state.put("servers/i-unframed", entry.dump()); });
    }

private:
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    void serve()
    {
        while (!stopping_) {
            tcp::socket socket(context_);
            boost::system::error_code ec;
            acceptor_.accept(socket, ec);
            if (!stopping_ && !ec)
                answer(socket);
        }
    }

    void answer(tcp::socket& socket) const
    {
        boost::system::error_code ec;
        std::string text;
        const std::size_t n = asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
        const std::string name = "Limpetlock-Request-Id: ";
        const auto begin = text.find(name);
        if (ec || begin == std::string::npos)
            return;
        const std::string id =
            text.substr(begin + name.size(), text.find("\r\n", begin) - begin - name.size());
        const std::string length = "Content-Length: ";
        const auto at = text.find(length);
        const std::size_t rest = at == std::string::npos ? 0 : std::stoul(text.substr(at + length.size()));
        // Closing a connection with unread bytes would reset it.
        if (text.size() < n + rest)
            asio::read(socket, asio::dynamic_buffer(text), asio::transfer_exactly(n + rest - text.size()),
                       ec);
        const std::string out = "HTTP/1.1 200 OK\r\nLimpetlock-Request-Id: " + id +
                                "\r\nLimpetlock-Response-Stamp: s\r\n\r\n" + body_;
        asio::write(socket, asio::buffer(out), ec);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        // The destructor of a socket turns its linger option off.
        if (reset_)
            socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
    }

    std::string body_;
    bool reset_;
    std::atomic<bool> stopping_{false};
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

platform_answer ask(const std::string& pool, const std::string& path, std::string body, bool reset)
{
    site_options options;
    options.engines = 0;
    options.plain = 0;
    platform_fleet fleet(1, options);
    cr_assert(fleet.wait_ready());
    unframed_endpoint endpoint(std::move(body), reset);
    endpoint.publish(fleet, pool);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    platform_call call;
    call.path = path;
    call.request_id = "00000000000000a1";
    if (pool == "engine")
        call.prefix_hashes = "1:50,2:80";
    return fleet.send_and_wait(0, call);
}

const std::string two_events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

} // namespace

// Guards against answers that are refused because they end with their connection.
Test(unframed, answers_that_end_with_their_connection_are_complete)
{
    const auto stream = ask("engine", "/resumable/x", two_events, false);
    cr_expect_eq(stream.status, 200);
    cr_expect(stream.complete);
    cr_expect_eq(stream.body, two_events);
    const auto whole = ask("plain", "/lookup/x", "the answer", false);
    cr_expect_eq(whole.status, 200);
    cr_expect(whole.complete);
    cr_expect_eq(whole.body, "the answer");
}

// Guards against an answer that broke off and reaches the caller as a complete success: a stream that ends
// inside an event, and answers whose connection is reset.
Test(unframed, broken_answers_are_never_complete)
{
    const auto inside = ask("engine", "/resumable/x", two_events + "id: 3\nda", false);
    cr_expect_not(inside.status == 200 && inside.complete, "%s", inside.body.c_str());
    cr_expect_eq(inside.body.find("id: 3"), std::string::npos, "no part of an event is passed on");
    const auto cut = ask("engine", "/resumable/x", two_events, true);
    cr_expect_not(cut.status == 200 && cut.complete, "%s", cut.body.c_str());
    const auto whole = ask("plain", "/lookup/x", "the first half of", true);
    cr_expect_neq(whole.status, 200);
}
