#include <limpetlock/support/background.hpp>
#include <limpetlock/support/capture.hpp>
#include <limpetlock/support/scope_exit.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>

#include <chrono>
#include <stdexcept>

namespace asio = boost::asio;
using asio::awaitable;
using namespace limpetlock;
using namespace std::chrono_literals;

namespace {

awaitable<int> throw_error()
{
    throw std::runtime_error("unexpected");
    co_return 0;
}

awaitable<void> wait(asio::steady_timer& timer)
{
    co_await timer.async_wait(asio::use_awaitable);
}

/// Throws in its first two rounds.
awaitable<void> run_round(int& rounds)
{
    if (++rounds < 3)
        throw std::runtime_error("unexpected");
    co_return;
}

awaitable<void> fail_with_mark(bool& mark)
{
    const scope_exit done([&mark] { mark = false; });
    co_await throw_error();
}

/// Sets `seen` if the exception of the first operand ends the wait.
awaitable<void> wait_for_either(asio::steady_timer& timer, bool& seen)
{
    using namespace asio::experimental::awaitable_operators;
    auto first = co_await (capture(throw_error()) || wait(timer));
    try {
        std::get<0>(first).take();
    } catch (const std::runtime_error&) {
        seen = true;
    }
}

} // namespace

// Guards against a loop that ends for good at the first unexpected error, so that its instance stops to
// follow the configuration or its peers without a trace.
Test(background, failed_loop_is_counted_and_begins_again)
{
    asio::io_context context;
    const auto before = background_failure_count();
    int rounds = 0;
    spawn_loop(context.get_executor(), "loop", [&rounds] { return run_round(rounds); });
    context.run_for(5s);
    cr_expect_eq(rounds, 3);
    cr_expect_eq(background_failure_count() - before, 2);
}

// Guards against the mark of work in progress that stays set after the work failed.
Test(background, failed_work_is_counted_and_undoes_its_mark)
{
    asio::io_context context;
    const auto before = background_failure_count();
    bool busy = true;
    spawn_background(context.get_executor(), "work", fail_with_mark(busy));
    context.run();
    cr_expect_not(busy);
    cr_expect_eq(background_failure_count() - before, 1);
}

// Guards against a request that waits for the other operand of Asio's operator ||, such as the departure of
// its caller, after the one that serves it has thrown.
Test(background, captured_exception_ends_a_wait_for_either_of_two)
{
    asio::io_context context;
    asio::steady_timer never(context, 1h);
    bool thrown = false;
    spawn_background(context.get_executor(), "work", wait_for_either(never, thrown));
    context.run_for(5s);
    cr_expect(thrown);
}
