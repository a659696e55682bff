#include "pool.hpp"

#include "socket_state.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace limpetlock::http {

void endpoint_connection::close_on_strand()
{
    timer.stop();
    boost::system::error_code ec;
    socket.close(ec);
}

void endpoint_connection::post_close()
{
    boost::asio::post(socket.get_executor(), [self = shared_from_this()] { self->close_on_strand(); });
}

connection_pool::connection_pool(boost::asio::any_io_executor executor, client_limits limits)
    : executor_(std::move(executor)), limits_(limits), sweep_timer_(executor_)
{
}

connection_ptr connection_pool::create(const address& to) const
{
    return std::make_shared<endpoint_connection>(executor_, to);
}

connection_ptr connection_pool::pop_idle(const address& to)
{
    for (;;) {
        connection_ptr it;
        {
            const std::lock_guard lock(mutex_);
            const auto found = idle_.find(to);
            if (found == idle_.end())
                return nullptr;
            it = std::move(found->second.back());
            found->second.pop_back();
            if (found->second.empty())
                idle_.erase(found);
        }
        const bool fresh = boot_clock::now() - it->idle_since < limits_.idle_timeout;
        if (fresh && peek_peer_state(it->socket) == peer_state::idle)
            return it;
        it->post_close();
    }
}

void connection_pool::add_idle(connection_ptr it)
{
    it->timer.clear();
    it->idle_since = boot_clock::now();
    {
        const std::lock_guard lock(mutex_);
        if (!closed_ && limits_.max_idle_per_address > 0) {
            auto& list = idle_[it->peer];
            if (list.size() < limits_.max_idle_per_address) {
                list.push_back(std::move(it));
                schedule_sweep();
                return;
            }
        }
    }
    it->close_on_strand();
}

void connection_pool::close_idle(const address& to, time_point since)
{
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(to);
    if (found == idle_.end())
        return;
    auto& list = found->second;
    const auto end = std::stable_partition(
        list.begin(), list.end(), [since](const connection_ptr& it) { return it->idle_since > since; });
    std::for_each(end, list.end(), [](const connection_ptr& it) { it->post_close(); });
    list.erase(end, list.end());
    if (list.empty())
        idle_.erase(found);
}

void connection_pool::close()
{
    std::map<address, std::vector<connection_ptr>> idle;
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        idle.swap(idle_);
        sweep_timer_.cancel();
    }
    for (const auto& [to, list] : idle)
        for (const auto& it : list)
            it->post_close();
}

std::size_t connection_pool::idle_count() const
{
    std::size_t n = 0;
    const std::lock_guard lock(mutex_);
    for (const auto& [to, list] : idle_)
        n += list.size();
    return n;
}

/// Requires that the mutex is held.
void connection_pool::schedule_sweep()
{
    if (sweep_pending_)
        return;
    sweep_pending_ = true;
    sweep_timer_.expires_after(std::max(limits_.idle_timeout, duration(1)));
    sweep_timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (self && !ec)
            self->sweep();
    });
}

/// Closes the connections that were idle for too long or were closed by their endpoint, so that no socket
/// stays open after the traffic to an address ends.
void connection_pool::sweep()
{
    const auto limit = boot_clock::now() - limits_.idle_timeout;
    const auto is_stale = [limit](const connection_ptr& it) {
        return it->idle_since <= limit || peek_peer_state(it->socket) != peer_state::idle;
    };
    const std::lock_guard lock(mutex_);
    sweep_pending_ = false;
    for (auto& [to, list] : idle_) {
        const auto end = std::stable_partition(list.begin(), list.end(), std::not_fn(is_stale));
        std::for_each(end, list.end(), [](const connection_ptr& it) { it->post_close(); });
        list.erase(end, list.end());
    }
    std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
    if (!idle_.empty() && !closed_)
        schedule_sweep();
}

} // namespace limpetlock::http
