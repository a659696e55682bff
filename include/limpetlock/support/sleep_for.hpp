/// \file
/// Suspending a coroutine for a duration.
#pragma once

#include <limpetlock/support/time.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace limpetlock {

/// Suspends the calling coroutine for a duration, or until it is cancelled.
inline boost::asio::awaitable<void> sleep_for(duration it)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(std::max(it, duration{0}));
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace limpetlock
