/// \file
/// Coroutines that run in the background, without a caller that waits for their result. They are started only
/// by the functions here: Asio's `detached` drops an exception without a trace.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace limpetlock {

/// Text of an exception, for a log line.
std::string describe(const std::exception_ptr& failure);

/// Starts work that runs once. If it ends with an exception, a log line names it. Marks that others rely on
/// must be undone by scope guards in the work itself.
void spawn_background(const boost::asio::any_io_executor& executor, std::string_view name,
                      boost::asio::awaitable<void> work);

/// Starts a loop. If it ends with an exception, a log line names it, and `make` begins it again after a short
/// pause. `make` must not capture what ends before the loop.
void spawn_loop(const boost::asio::any_io_executor& executor, std::string_view name,
                std::function<boost::asio::awaitable<void>()> make);

/// Number of coroutines in the background that ended with an exception.
std::uint64_t background_failure_count();

} // namespace limpetlock
