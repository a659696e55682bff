/// \file
/// Sends the requests of a test's callers.
#pragma once

#include "fleet.hpp"

#include <limpetlock/http/client.hpp>

#include <boost/asio/awaitable.hpp>

namespace limpetlock::test {

/// Sends a request and waits for the complete answer.
boost::asio::awaitable<answer> send_request(http::client& client, http::address to, http::request message,
                                            duration timeout);

/// Sends a request and reads its event stream until it ends, for at most 60 s.
boost::asio::awaitable<streamed_answer> read_stream(http::client& client, http::address to,
                                                    http::request message);

} // namespace limpetlock::test
