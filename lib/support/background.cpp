#include <limpetlock/support/background.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/co_spawn.hpp>

#include <atomic>
#include <utility>

namespace limpetlock {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Pause before a failed loop begins again, so that a fault that persists doesn't keep the thread busy.
constexpr duration restart_pause{200};

std::atomic<std::uint64_t> failures{0};

void record_failure(std::string_view name, const std::exception_ptr& failure, std::string_view consequence)
{
    failures.fetch_add(1, std::memory_order_relaxed);
    log::error("background_failed", {{"work", std::string(name)},
                                     {"reason", describe(failure)},
                                     {"consequence", std::string(consequence)}});
}

awaitable<void> run_loop(std::string name, std::function<awaitable<void>()> make)
{
    for (;;) {
        std::exception_ptr failure;
        try {
            co_await make();
            co_return;
        } catch (...) {
            failure = std::current_exception();
        }
        record_failure(name, failure, "begins again");
        co_await sleep_for(restart_pause);
    }
}

} // namespace

std::string describe(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& it) {
        return it.what();
    } catch (...) {
        return "unknown exception";
    }
}

void spawn_background(const asio::any_io_executor& executor, std::string_view name, awaitable<void> work)
{
    asio::co_spawn(executor, std::move(work), [name = std::string(name)](const std::exception_ptr& failure) {
        if (failure)
            record_failure(name, failure, "ended");
    });
}

void spawn_loop(const asio::any_io_executor& executor, std::string_view name,
                std::function<awaitable<void>()> make)
{
    spawn_background(executor, name, run_loop(std::string(name), std::move(make)));
}

std::uint64_t background_failure_count()
{
    return failures.load(std::memory_order_relaxed);
}

} // namespace limpetlock
