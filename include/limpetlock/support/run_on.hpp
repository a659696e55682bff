/// \file
/// Running a coroutine on another executor.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace limpetlock {

namespace detail {

/// Clears a flag when the work returns, throws or is destroyed. That happens on the executor of the work.
class running_guard {
public:
    explicit running_guard(std::shared_ptr<bool> flag) : flag_(std::move(flag)) {}
    running_guard(const running_guard&) = delete;
    running_guard& operator=(const running_guard&) = delete;
    ~running_guard() { *flag_ = false; }

private:
    std::shared_ptr<bool> flag_;
};

template <typename T>
boost::asio::awaitable<T> run_guarded(boost::asio::awaitable<T> work, std::shared_ptr<bool> flag)
{
    const running_guard guard(std::move(flag));
    co_return co_await std::move(work);
}

} // namespace detail

/// Runs `work` on `executor` and waits for its result. If the caller is cancelled in the meantime, `cancel`
/// is called on `executor` and must make the work end. Asio's own forwarding of a cancellation to a spawned
/// coroutine isn't used: if the coroutine ends at the same time, it accesses the coroutine's memory after its
/// release (Boost 1.81, co_spawn_cancellation_handler).
template <typename T>
boost::asio::awaitable<T> run_on(boost::asio::any_io_executor executor, boost::asio::awaitable<T> work,
                                 std::function<void()> cancel)
{
    namespace asio = boost::asio;
    auto running = std::make_shared<bool>(true);
    const auto state = co_await asio::this_coro::cancellation_state;
    auto slot = state.slot();
    if (slot.is_connected())
        slot.assign([executor, running, cancel = std::move(cancel)](asio::cancellation_type) {
            asio::post(executor, [running, cancel] {
                if (*running)
                    cancel();
            });
        });
    auto guarded = detail::run_guarded(std::move(work), running);
    co_return co_await asio::co_spawn(
        executor, std::move(guarded),
        asio::bind_cancellation_slot(asio::cancellation_slot(), asio::use_awaitable));
}

} // namespace limpetlock
