#include "result_returns.hpp"

#include <limpetlock/support/sleep_for.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Returns are gathered for this long. A result occupies room at its maker until then.
constexpr duration flush_delay{10};
constexpr duration call_timeout{400};

} // namespace

result_returns::result_returns(asio::any_io_executor executor, fleet& peers, feeder& local,
                               result_releaser& releaser)
    : executor_(std::move(executor)), fleet_(peers), feeder_(local), releaser_(releaser)
{
}

void result_returns::give_back(result_group group)
{
    if (group.handles.empty())
        return;
    auto& list = pending_[group.producer];
    list.insert(list.end(), group.handles.begin(), group.handles.end());
    if (std::exchange(flushing_, true))
        return;
    asio::co_spawn(executor_, flush_later(), asio::detached);
}

awaitable<void> result_returns::flush_later()
{
    co_await sleep_for(flush_delay);
    flushing_ = false;
    for (auto& [place, handles] : std::exchange(pending_, {})) {
        if (place == fleet_.view().own().name)
            feeder_.release(handles);
        else
            asio::co_spawn(executor_, send(place, std::move(handles)), asio::detached);
    }
}

/// When that instance is gone, the makers are told directly.
awaitable<void> result_returns::send(std::string place, std::vector<std::string> handles)
{
    wire::frame message;
    wire::stage_release_message body;
    body.handles = handles;
    message.__set_stage_release(body);
    const auto reply =
        co_await fleet_.call(std::move(place), std::move(message), boot_clock::now() + call_timeout);
    if (!reply)
        releaser_.release(handles);
}

} // namespace limpetlock::gateway
