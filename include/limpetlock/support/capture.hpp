/// \file
/// Results of coroutines that may end with an exception.
#pragma once

#include <boost/asio/awaitable.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace limpetlock {

/// The result of a coroutine, or the exception that it ended with.
template <typename T>
struct captured {
    std::optional<T> value;
    std::exception_ptr failure;

    /// Returns the result, or throws the exception.
    T take()
    {
        if (failure)
            std::rethrow_exception(failure);
        return std::move(*value);
    }
};

template <>
struct captured<void> {
    std::exception_ptr failure;

    void take() const
    {
        if (failure)
            std::rethrow_exception(failure);
    }
};

/// Makes an exception part of the result. Asio's operator || waits for the other operand when one of them
/// ends with an exception, so an operand that may throw has to be wrapped.
template <typename T>
boost::asio::awaitable<captured<T>> capture(boost::asio::awaitable<T> work)
{
    captured<T> out;
    try {
        out.value.emplace(co_await std::move(work));
    } catch (...) {
        out.failure = std::current_exception();
    }
    co_return out;
}

inline boost::asio::awaitable<captured<void>> capture(boost::asio::awaitable<void> work)
{
    captured<void> out;
    try {
        co_await std::move(work);
    } catch (...) {
        out.failure = std::current_exception();
    }
    co_return out;
}

} // namespace limpetlock
