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
                                 http::client& client, endpoint_statements& statements,
                                 const evacuations& orders, permit_issuer& issuer, metrics::registry& metrics)
    : executor_(std::move(executor)), codec_(codec), client_(client), statements_(statements),
      evacuations_(orders), issuer_(issuer),
      dropped_(metrics.get_counter("limpetlock_releases_evacuated_total",
                                   "results that expire by themselves in an evacuated failure domain"))
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

/// Whether the producer's results are left to expire, since nothing may be sent to its failure domain. That
/// of a producer which is no longer listed is unknown, so it is left alone while any order is in force.
bool result_releaser::drop_if_evacuated(const http::address& producer, std::size_t results)
{
    if (evacuations_.count() == 0)
        return false;
    const endpoint* const it = statements_.listed(statements_.endpoint_at(producer));
    if (it != nullptr && !evacuations_.contains(it->domain))
        return false;
    dropped_.add(results);
    return true;
}

awaitable<void> result_releaser::flush_later()
{
    co_await sleep_for(flush_delay);
    flushing_ = false;
    const time_point now = boot_clock::now();
    for (auto& [producer, handles] : std::exchange(pending_, {})) {
        if (drop_if_evacuated(producer, handles.size()))
            continue;
        const std::string id = statements_.endpoint_at(producer);
        const auto limit = statements_.limit_of(id, now);
        const auto paused_until = statements_.paused_until(id, now);
        if (!limit && !paused_until) {
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
        if (granted && limit) {
            const auto given = issuer_.request(
                {id, limit->max_rate, max_permit_wait, {}, limit->max_saved, limit->cold}, now);
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
    if (drop_if_evacuated(producer, handles.size()))
        co_return;
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
