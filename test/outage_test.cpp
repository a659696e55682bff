#include "fleet/fleet.hpp"

#include <criterion/criterion.h>

using namespace limpetlock;
using limpetlock::test::fleet;
using nlohmann::json;

// Guards against an instance that starts while the platform's service is down and becomes ready without the
// configuration in force, or never becomes ready. It must learn the configuration from its peers.
Test(outage, lets_a_new_instance_learn_from_peers)
{
    fleet it;
    cr_assert(it.wait_ready());
    it.publish({{"kind", "patch"}, {"base", 1}, {"patch", {{"limits", {{"queue_per_team", 71}}}}}});
    const auto config_number_at = [&](std::size_t n) {
        const json page = it.state(n);
        return page.is_object() ? page["config"].value("number", std::int64_t{0}) : std::int64_t{0};
    };
    for (std::size_t n = 0; n < it.size(); ++n)
        cr_assert(it.wait_until([&] { return config_number_at(n) == 2; }));
    it.platform_fault({{"mode", "down"}});
    it.kill(3);
    it.start(3);
    cr_assert(it.wait_until(
                  [&] {
                      const bool ready = it.ready(3);
                      cr_assert(!ready || config_number_at(3) == 2,
                                "ready without the configuration in force");
                      return ready;
                  },
                  duration{30'000}),
              "%s", it.state(3)["config"].dump().c_str());
}
