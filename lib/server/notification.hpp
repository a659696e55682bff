/// \file
/// One-shot wake-up of a coroutine from any thread.
#pragma once

#include <limpetlock/support/sleep_for.hpp>
#include <limpetlock/support/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace limpetlock::server {

inline constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Created by the waiting coroutine on its own strand, held by shared_ptr by both sides.
class notification : public std::enable_shared_from_this<notification> {
public:
    explicit notification(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Safe from any thread; later calls do nothing.
    void notify()
    {
        boost::asio::post(timer_.get_executor(), [it = shared_from_this()] {
            it->notified_ = true;
            it->timer_.cancel();
        });
    }

    boost::asio::any_io_executor executor() { return timer_.get_executor(); }

    /// True when notified, false when the deadline came first. Called on the strand of construction.
    boost::asio::awaitable<bool> wait(time_point deadline)
    {
        while (!notified_) {
            const duration left = deadline - boot_clock::now();
            if (left <= duration{0})
                co_return false;
            timer_.expires_after(left);
            co_await timer_.async_wait(use_tuple);
        }
        co_return true;
    }

private:
    boost::asio::steady_timer timer_;
    bool notified_{false};
};

} // namespace limpetlock::server
