#include "result_returns.hpp"

#include <limpetlock/support/background.hpp>
#include <limpetlock/support/sleep_for.hpp>

#include <utility>

namespace limpetlock::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Time for which returns are gathered. A result occupies storage at its producer until then.
constexpr duration flush_delay{10};
constexpr duration call_timeout{400};

} // namespace

result_returns::result_returns(asio::any_io_executor executor, fleet& peers, stage_scheduler& local,
                               result_releaser& releaser)
    : executor_(std::move(executor)), fleet_(peers), scheduler_(local), releaser_(releaser)
{
}

void result_returns::return_results(result_group group)
{
    if (group.handles.empty())
        return;
    auto& list = pending_[group.scheduler];
    list.insert(list.end(), group.handles.begin(), group.handles.end());
    if (std::exchange(flushing_, true))
        return;
    spawn_background(executor_, "return_flush", flush_later());
}

awaitable<void> result_returns::flush_later()
{
    co_await sleep_for(flush_delay);
    flushing_ = false;
    for (auto& [instance_name, handles] : std::exchange(pending_, {})) {
        if (instance_name == fleet_.view().own().name)
            scheduler_.release(handles);
        else
            spawn_background(executor_, "result_return", send(instance_name, std::move(handles)));
    }
}

/// Returns the results to the instance. If it doesn't answer, releases them at their producers directly.
awaitable<void> result_returns::send(std::string instance_name, std::vector<std::string> handles)
{
    wire::frame message;
    wire::stage_release_message body;
    body.handles = handles;
    message.__set_stage_release(body);
    const auto answer =
        co_await fleet_.call(std::move(instance_name), std::move(message), boot_clock::now() + call_timeout);
    if (!answer.reply)
        releaser_.release(handles);
}

} // namespace limpetlock::gateway
