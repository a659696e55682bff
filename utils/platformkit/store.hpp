/// \file
/// Stand-in for the platform's store. It speaks the store's protocol and fails on demand.
#pragma once

#include <limpetlock/http/server.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpetlock::platformkit {

/// How the store answers: normally, with status 503 at once, with 503 after 30 s, or so to watches only.
enum class store_mode : std::uint8_t { serving, refusing, silent, silent_watches };

/// The store's server and its content.
class store {
public:
    /// Listens on a free port of the address.
    store(boost::asio::any_io_executor executor, const std::string& address);

    std::uint16_t port() const { return server_->port(); }
    std::uint16_t second_port() const { return second_server_->port(); }

    /// Whether the second listener answers all requests with status 503.
    void turn_second_away(bool yes) { second_turned_away_ = yes; }

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void set_mode(store_mode mode) { mode_ = mode; }

    /// From now on the body of the answer to a read of one key takes this long after its header, as over a
    /// slow link.
    void set_body_time(std::chrono::milliseconds length) { body_time_ = length; }

    /// The same for the answers to watches.
    void set_watch_body_time(std::chrono::milliseconds length) { watch_body_time_ = length; }

    /// The next `count` requests whose target begins with the prefix get no answer for 30 s. Replaces an
    /// earlier call.
    void lose_answers(const std::string& target_prefix, std::size_t count)
    {
        lost_prefix_ = target_prefix;
        lost_answers_ = count;
    }

    /// Discards all past changes, so that a watch from an earlier revision gets status 410.
    void forget_history();

    /// Keeps a copy of the present content, to which restore_copy() returns.
    void take_copy();

    /// Loses everything that was written since the copy was taken: revisions go back and are given out again,
    /// and the era rises by one.
    void restore_copy();

    std::int64_t revision() const { return now_.revision; }
    /// Number of requests received.
    std::size_t calls() const { return calls_; }

private:
    struct change {
        std::string key;
        std::string value;
        std::int64_t revision{0};
        bool removed{false};
    };

    /// What a copy holds.
    struct content {
        std::map<std::string, change> entries;
        std::vector<change> history;
        std::int64_t revision{1};
        std::int64_t first_history_revision{1}; ///< earlier changes have been discarded
    };

    boost::asio::awaitable<void> serve(http::exchange& io);
    boost::asio::awaitable<void> serve_second(http::exchange& io);
    boost::asio::awaitable<void> respond(http::exchange& io, http::response answer) const;
    boost::asio::awaitable<void> serve_watch(http::exchange& io);
    boost::asio::awaitable<void> hang(http::exchange& io);
    boost::asio::awaitable<void> send_slowly(http::exchange& io, http::response answer,
                                             std::chrono::milliseconds length);
    http::response read_key(const std::string& target) const;
    http::response read_range(const std::string& target) const;
    static nlohmann::json to_json(const change& it);

    /// Applies a change under the next revision and wakes the watches.
    void append_change(change it);
    void wake_watches();

    boost::asio::any_io_executor executor_;
    content now_;
    content copy_;
    std::int64_t era_{1}; ///< rises when a copy is restored
    store_mode mode_{store_mode::serving};
    std::chrono::milliseconds body_time_{0};
    std::chrono::milliseconds watch_body_time_{0};
    std::string lost_prefix_;
    std::size_t lost_answers_{0};
    std::size_t calls_{0};
    std::set<boost::asio::steady_timer*> watches_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::server> second_server_;
    bool second_turned_away_{false};
};

} // namespace limpetlock::platformkit
