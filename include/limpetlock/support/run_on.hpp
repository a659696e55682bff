/// \file
/// Runs a coroutine on another executor and waits for it.
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

/// Clears the flag on the executor of the work when the work ends, in whatever way.
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

/// When the caller is cancelled while the work runs, `cancel` is called on the executor of the work, which
/// must make the work end. Asio's own forwarding of a cancellation to a spawned coroutine uses memory of the
/// coroutine after its end when both cross (Boost 1.81, co_spawn_cancellation_handler).
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
