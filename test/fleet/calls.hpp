/// \file
/// Calls of a test's callers: one whole exchange, and one streamed answer.
#pragma once

#include "fleet.hpp"

#include <limpetlock/http/client.hpp>

#include <boost/asio/awaitable.hpp>

namespace limpetlock::test {

boost::asio::awaitable<answer> send_request(http::client& client, http::address to, http::request message,
                                            duration timeout);

boost::asio::awaitable<streamed_answer> read_stream(http::client& client, http::address to,
                                                    http::request message);

} // namespace limpetlock::test
