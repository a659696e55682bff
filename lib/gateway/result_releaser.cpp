#include "result_releaser.hpp"

#include <limpetlock/support/log.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Time for which releases are gathered. A result occupies storage at its producer until then.
constexpr duration flush_delay{12};
constexpr duration call_timeout{600};

} // namespace

result_releaser::result_releaser(asio::any_io_executor executor, const platform_codec& codec,
                                 http::client& client, stated_limits& limits)
    : executor_(std::move(executor)), codec_(codec), client_(client), limits_(limits)
{
}

void result_releaser::release(const std::vector<std::string>& handles)
{
    for (const auto& it : handles)
        if (const auto producer = codec_.producer_of(it))
            pending_[*producer].push_back(it);
    if (pending_.empty() || flushing_)
        return;
    flushing_ = true;
    asio::co_spawn(executor_, flush_later(), asio::detached);
}

awaitable<void> result_releaser::flush_later()
{
    co_await sleep_for(flush_delay);
    flushing_ = false;
    for (auto& [producer, handles] : std::exchange(pending_, {}))
        asio::co_spawn(executor_, send(producer, std::move(handles)), asio::detached);
}

/// A release that fails isn't repeated, since results expire on their own.
awaitable<void> result_releaser::send(http::address producer, std::vector<std::string> handles)
{
    http::call_error error;
    const time_point sent = boot_clock::now();
    const std::string endpoint_id = limits_.endpoint_at(producer);
    const auto answer = co_await client_.call(producer, codec_.encode_release_call(handles),
                                              sent + call_timeout, http::connection_policy::pooled, error);
    if (answer)
        limits_.record_answer(endpoint_id, codec_.decode_answer_metadata(answer->status, answer->headers),
                              answer->status == 200, sent, boot_clock::now());
    else
        log::info("release_failed", {{"maker", fmt::format("{}:{}", producer.host, producer.port)},
                                     {"results", fmt::to_string(handles.size())},
                                     {"reason", error.reason}});
}

} // namespace limpetlock::gateway
