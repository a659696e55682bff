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

/// Longest wait for a permit. Results whose release would come later expire on their own about then.
constexpr duration max_permit_wait{4'000};

} // namespace

result_releaser::result_releaser(asio::any_io_executor executor, const platform_codec& codec,
                                 http::client& client, stated_limits& limits, permit_issuer& issuer)
    : executor_(std::move(executor)), codec_(codec), client_(client), limits_(limits), issuer_(issuer)
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
    const time_point now = boot_clock::now();
    for (auto& [producer, handles] : std::exchange(pending_, {})) {
        const auto* const limit = limits_.find(limits_.endpoint_at(producer));
        if (limit == nullptr) {
            asio::co_spawn(executor_, send(producer, std::move(handles)), asio::detached);
            continue;
        }
        auto& gathered = without_permit_[producer];
        const bool first = gathered.empty();
        gathered.insert(gathered.end(), handles.begin(), handles.end());
        if (!first)
            continue;
        const auto given = issuer_.request({limit->endpoint, *limit->max_rate, max_permit_wait, {}}, now);
        if (given.granted) {
            asio::co_spawn(executor_, send_with_permit(producer, given.wait), asio::detached);
            continue;
        }
        log::info("release_failed", {{"maker", fmt::format("{}:{}", producer.host, producer.port)},
                                     {"results", fmt::to_string(gathered.size())},
                                     {"reason", "no permit in time"}});
        without_permit_.erase(producer);
    }
}

awaitable<void> result_releaser::send_with_permit(http::address producer, duration wait)
{
    co_await sleep_for(wait);
    auto gathered = without_permit_.extract(producer);
    co_await send(std::move(producer), std::move(gathered.mapped()));
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
