#include "raw_endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace limpetlock::test {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// By which a new entry of the store is known to all instances.
constexpr std::chrono::milliseconds entry_time{800};

/// Value of a header in a request, or an empty text.
std::string value_of(const std::string& head, const std::string& name)
{
    const auto begin = head.find(name + ": ");
    if (begin == std::string::npos)
        return {};
    const auto first = begin + name.size() + 2;
    return head.substr(first, head.find("\r\n", first) - first);
}

} // namespace

void write_bytes(tcp::socket& socket, const std::string& bytes)
{
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
}

std::size_t write_endlessly(tcp::socket& socket, const std::string& bytes)
{
    boost::system::error_code ec;
    std::size_t n = 0;
    while (!ec)
        n += asio::write(socket, asio::buffer(bytes), ec);
    return n;
}

raw_endpoint::raw_endpoint(handler answer, upload body)
    : answer_(std::move(answer)), body_(body), acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
{
    // Otherwise the buffers of the loopback device take the whole upload.
    if (body_ == upload::left_unread)
        acceptor_.set_option(asio::socket_base::receive_buffer_size(4'096));
    thread_ = std::thread([this] { accept(); });
}

raw_endpoint::~raw_endpoint()
{
    stopping_ = true;
    boost::system::error_code ec;
    tcp::socket(context_).connect(acceptor_.local_endpoint(), ec);
    thread_.join();
    for (auto& it : connections_)
        it.join();
}

void raw_endpoint::publish(platform_fleet& fleet, const std::string& pool, const std::string& id)
{
    list(fleet, pool, id);
    std::this_thread::sleep_for(entry_time);
}

void raw_endpoint::list(platform_fleet& fleet, const std::string& pool, const std::string& id)
{
    static std::atomic<int> published{0};
    const int number = ++published;
    const nlohmann::json entry{{"service", pool}, {"addr", "127.0.0.1:" + std::to_string(port())},
                               {"zone", "a"},     {"version", "v1"},
                               {"slots", 8},      {"state", "ready"},
                               {"coldLeftMs", 0}, {"seq", number},
                               {"born", number}};
    fleet.with_site([&](platformkit::site& it) { it.state.put("servers/" + id, entry.dump()); });
}

std::string raw_endpoint::head(const raw_request& request, const std::string& status)
{
    return "HTTP/1.1 " + status + "\r\nLimpetlock-Request-Id: " + request.id +
           "\r\nLimpetlock-Response-Stamp: s\r\n";
}

void raw_endpoint::accept()
{
    while (!stopping_) {
        tcp::socket socket(context_);
        boost::system::error_code ec;
        acceptor_.accept(socket, ec);
        if (!stopping_ && !ec)
            connections_.emplace_back([this, it = std::move(socket)]() mutable { serve(it); });
    }
}

void raw_endpoint::serve(tcp::socket& socket)
{
    boost::system::error_code ec;
    raw_request request;
    const std::size_t n = asio::read_until(socket, asio::dynamic_buffer(request.text), "\r\n\r\n", ec);
    request.id = value_of(request.text, "Limpetlock-Request-Id");
    if (ec)
        return;
    const std::string length = value_of(request.text, "Content-Length");
    const std::size_t body = length.empty() ? 0 : std::stoul(length);
    // Closing a connection with unread bytes would reset it.
    if (body_ == upload::read && request.text.size() < n + body)
        asio::read(socket, asio::dynamic_buffer(request.text),
                   asio::transfer_exactly(n + body - request.text.size()), ec);
    request.number = requests_++;
    answer_(socket, request);
    // The destructor of a socket turns its linger option off.
    socket.close(ec);
}

} // namespace limpetlock::test
