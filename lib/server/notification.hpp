/// \file
/// One-shot notification of a coroutine from any thread.
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

/// Completion token with which an operation returns its error code instead of throwing it.
inline constexpr auto as_tuple_awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Lets any thread end the wait of one coroutine. Created by the waiting coroutine with its own strand as the
/// executor. Both sides hold it by shared_ptr.
class notification : public std::enable_shared_from_this<notification> {
public:
    explicit notification(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Ends the wait. Safe for use from any thread; later calls have no effect.
    void notify()
    {
        boost::asio::post(timer_.get_executor(), [it = shared_from_this()] {
            it->notified_ = true;
            it->timer_.cancel();
        });
    }

    boost::asio::any_io_executor executor() { return timer_.get_executor(); }

    /// Waits for notify(). Returns false if the deadline passes first. Call it on the executor of this
    /// object.
    boost::asio::awaitable<bool> wait(time_point deadline)
    {
        while (!notified_) {
            const duration left = deadline - boot_clock::now();
            if (left <= duration{0})
                co_return false;
            timer_.expires_after(left);
            co_await timer_.async_wait(as_tuple_awaitable);
        }
        co_return true;
    }

private:
    boost::asio::steady_timer timer_;
    bool notified_{false};
};

} // namespace limpetlock::server
