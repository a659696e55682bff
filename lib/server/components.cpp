#include "components.hpp"

#include <utility>

namespace limpetlock::server {

namespace {

lifecycle::stop_settings to_stop_settings(const instance_settings& settings)
{
    lifecycle::stop_settings out;
    out.announce_time = settings.balancer_lag;
    out.stop_timeout = settings.stop_timeout;
    return out;
}

} // namespace

components::components(instance_settings local_settings, std::int64_t own_incarnation)
    : settings(std::move(local_settings)), incarnation(own_incarnation), started(boot_clock::now()),
      io(static_cast<int>(settings.threads)), client(io.get_executor(), {}), in_force(nullptr),
      members(std::make_shared<const membership::snapshot>()), table(static_cast<std::uint64_t>(incarnation)),
      membership(io.get_executor(), settings, client, table, members),
      peers(io.get_executor(), settings, incarnation),
      configuration(io.get_executor(), settings, incarnation, client, peers, in_force),
      claims(io.get_executor(), settings, incarnation, peers), admission(io.get_executor(), table),
      runner(client, table, membership, admission, costs), stop(to_stop_settings(settings))
{
}

lifecycle::stop_state components::stop_state() const
{
    const std::lock_guard lock(stop_mutex);
    return stop.state();
}

bool components::accepts_work() const
{
    const std::lock_guard lock(stop_mutex);
    return stop.accepts_work();
}

} // namespace limpetlock::server
