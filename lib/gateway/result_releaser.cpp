#include "result_releaser.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/log.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <fmt/format.h>

#include <algorithm>
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
                                 http::client& client, endpoint_statements& statements, permit_issuer& issuer)
    : executor_(std::move(executor)), codec_(codec), client_(client), statements_(statements), issuer_(issuer)
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
    spawn_background(executor_, "release_flush", flush_later());
}

awaitable<void> result_releaser::flush_later()
{
    co_await sleep_for(flush_delay);
    flushing_ = false;
    const time_point now = boot_clock::now();
    for (auto& [producer, handles] : std::exchange(pending_, {})) {
        const std::string id = statements_.endpoint_at(producer);
        const auto* const limit = statements_.find(id);
        const auto paused_until = statements_.paused_until(id, now);
        if (limit == nullptr && !paused_until) {
            spawn_background(executor_, "release", send(producer, std::move(handles)));
            continue;
        }
        auto& gathered = without_permit_[producer];
        const bool first = gathered.empty();
        gathered.insert(gathered.end(), handles.begin(), handles.end());
        if (!first)
            continue;
        duration wait = paused_until ? *paused_until - now : duration{0};
        bool granted = wait <= max_permit_wait;
        if (granted && limit != nullptr) {
            const auto given = issuer_.request({id, *limit->max_rate, max_permit_wait, {}}, now);
            granted = given.granted;
            wait = std::max(wait, given.wait);
        }
        if (granted) {
            spawn_background(executor_, "release", send_with_permit(producer, wait));
            continue;
        }
        log::info("release_failed",
                  {{"maker", fmt::format("{}:{}", producer.host, producer.port)},
                   {"results", fmt::to_string(gathered.size())},
                   {"reason", paused_until ? "the producer takes no requests" : "no permit in time"}});
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
    const std::string endpoint_id = statements_.endpoint_at(producer);
    const auto answer = co_await client_.call(producer, codec_.encode_release_call(handles),
                                              sent + call_timeout, http::connection_policy::pooled, error);
    if (answer)
        statements_.record_answer(endpoint_id, codec_.decode_answer_metadata(answer->status, answer->headers),
                                  answer->status == 200, sent, boot_clock::now());
    else
        log::info("release_failed", {{"maker", fmt::format("{}:{}", producer.host, producer.port)},
                                     {"results", fmt::to_string(handles.size())},
                                     {"reason", error.reason}});
}

} // namespace limpetlock::gateway
