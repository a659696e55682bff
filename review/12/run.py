"""Case 12: restarted machines don't know that a server is cold until its next entry, and send to it without a limit."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from kit import *  # noqa: E402

MACHINES, KILLED = 6, 3  # herd_kill: a share of at most 0.55 of the machines
RESTART_DELAY_S = 0.2
RATE = 14.0  # requests a second at each machine
COLD_PER_S = 11.0  # of model-pool in the site file
COLD_OVER, COLD_SLACK = 1.5, 5  # bounds of the site


async def case(directory, record):
    store = Store()
    await store.start()
    bounds = {**BOUNDS, "coldOver": COLD_OVER, "coldSlack": COLD_SLACK, "evacMs": 5000}
    gateways = [Gateway(directory, "edge-%d" % n, store.addr, bounds=bounds) for n in range(MACHINES)]
    for it in gateways:
        it.write([seed.control for seed in gateways[:3]])
    store.put("op/config", config(3, [route("book", "h.example", "/book/", "s1", kind="non_idempotent", attempts=1)],
                                  [service("s1", coldS=ColdServer.cold_s, coldPerS=COLD_PER_S)],
                                  [{"name": "t1", "apiKeys": ["k1"]}]))
    await start_all(gateways, record)
    await asyncio.sleep(3)
    sent, results = {}, []
    end = now() + 4.5
    consumers = [asyncio.create_task(consume(it, RATE, end, sent, results, record)) for it in gateways]
    await asyncio.sleep(0.5)
    server = ColdServer(store, "i-7f3a91c2", "s1", slots=12)
    await server.start()
    record.add("server %s starts cold" % server.id)
    if TROUBLE:
        await asyncio.sleep(0.3)
        for it in gateways[MACHINES - KILLED:]:
            it.kill()
        # With one missed check at most, they stay in the platform's rotation.
        await asyncio.sleep(RESTART_DELAY_S)
        for it in gateways[MACHINES - KILLED:]:
            it.start()
            record.add("%s was killed and starts again" % it.name)
    await asyncio.gather(*consumers)
    statuses = await asyncio.gather(*results)
    for at, i in server.arrivals:
        record.add("arrived at the cold server: %s" % i, at)
    bound = COLD_PER_S * COLD_OVER + COLD_SLACK
    most = most_in_a_second(server.arrivals, sent)
    text = "%d requests, %d answered with 200; most in one second at the cold server: %d, bound %g" % (
        len(statuses), statuses.count(200), most, bound)
    record.add(text)
    print(text)
    if not server.arrivals:
        raise RuntimeError("no request reached the cold server")
    return most <= bound


run_case(os.path.dirname(os.path.abspath(__file__)), case)
