/// \file
/// Deadline for the current operation of a connection. The timer is rearmed only if the new deadline is
/// earlier than the pending wakeup, so setting a deadline on a busy connection usually costs no timer
/// operation.
#pragma once

#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

namespace limpetlock::http {

/// Cancels the operations of a socket when the deadline passes. For use on the socket's strand only. A
/// pending wakeup keeps the owner alive.
class deadline_timer {
public:
    using clock = std::chrono::steady_clock;

    explicit deadline_timer(boost::asio::ip::tcp::socket& socket)
        : socket_(socket), timer_(socket.get_executor())
    {
    }

    /// Returns the time after a wait, which is bounded so that an unlimited wait doesn't overflow the clock.
    static clock::time_point after(duration wait)
    {
        return clock::now() + std::clamp(wait, duration(0), duration(std::chrono::hours(24)));
    }

    /// Converts a deadline of boot_clock.
    static clock::time_point at(time_point deadline)
    {
        const auto now = boot_clock::now();
        return deadline <= now ? clock::now() : after(deadline - now);
    }

    void set(clock::time_point deadline, std::shared_ptr<void> owner)
    {
        deadline_ = deadline;
        if (deadline < wakeup_)
            arm(std::move(owner));
    }

    /// Removes the deadline; a pending wakeup stays and has no effect.
    void clear() { deadline_ = clock::time_point::max(); }

    /// Clears the deadline and cancels the pending wakeup, so that it no longer keeps the owner alive.
    void stop()
    {
        clear();
        ++generation_;
        wakeup_ = clock::time_point::max();
        timer_.cancel();
    }

    /// True once a deadline has passed; the connection can't be used any further then.
    bool expired() const { return expired_; }

private:
    void arm(std::shared_ptr<void> owner)
    {
        wakeup_ = deadline_;
        timer_.expires_at(deadline_);
        timer_.async_wait([this, owner = std::move(owner), generation = ++generation_](auto ec) mutable {
            if (!ec && generation == generation_)
                wake(std::move(owner));
        });
    }

    void wake(std::shared_ptr<void> owner)
    {
        wakeup_ = clock::time_point::max();
        if (deadline_ == clock::time_point::max())
            return;
        if (clock::now() < deadline_) {
            arm(std::move(owner));
            return;
        }
        expired_ = true;
        clear();
        boost::system::error_code ec;
        socket_.cancel(ec);
    }

    boost::asio::ip::tcp::socket& socket_;
    boost::asio::steady_timer timer_;
    clock::time_point deadline_{clock::time_point::max()};
    clock::time_point wakeup_{clock::time_point::max()};
    std::uint64_t generation_{0};
    bool expired_{false};
};

} // namespace limpetlock::http
