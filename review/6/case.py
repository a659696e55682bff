"""The open channels to the store go silent once. In touch again, a server leaves without a report."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import *  # noqa: E402,F403

DRAIN_S = 2.0  # drainMs
CONTACT_S = 3.0  # contactMs
SERVES_ON_S = 6.0  # how long the server serves after its entry was removed
RATE = 100  # requests a second


async def scenario(record, folder, trouble):
    store = Store()
    await store.start()
    servers = [Server(f"i-read-{n}", "read") for n in range(8)]
    for it in servers:
        await it.start()
    store.put("op/config", configuration(3, [plain_route("stock", "/stock/", "idempotent", "read")],
                                         [plain_service("read")]))
    for it in servers:
        store.put("servers/" + it.ident, it.entry())
    names = [f"edge-{n}" for n in range(6)]
    fleet = Fleet(store.addr, names, folder)
    consumers = Consumers(fleet)
    try:
        fleet.start_all()
        if not await fleet.wait_ready():
            raise CannotRun("the gateways did not become ready")
        record.note("all gateways are ready")
        traffic = asyncio.ensure_future(consumers.send_all("GET", "/stock/", RATE, 13))
        await asyncio.sleep(3)
        if trouble:
            record.note(f"{store.silence_open_channels()} open channels to the store go silent; new ones work")
        await asyncio.sleep(CONTACT_S + 0.1)
        leaving = servers[0]
        store.remove("servers/" + leaving.ident)
        acked = time.monotonic()
        record.note(f"the store accepts that the entry of {leaving.ident} is removed; it serves on")
        await traffic
        consumers.write_to(record)
        for it in servers:
            for at, ident in it.runs:
                record.add(f"{it.ident} runs {ident}, sent by {consumers.sent[ident][1]}", at)
        after = [(at - acked, ident) for at, ident in leaving.runs if 0 < at - acked < SERVES_ON_S]
        late = [ident for at, ident in after if at > DRAIN_S]
        record.note(f"{len(consumers.answers)} requests, {consumers.count(200)} answered 200")
        last = f"{max(after)[0]:.3f} s after it" if after else "none"
        record.note(f"requests at {leaving.ident} after the removal: {len(after)}, the last {last}")
        by = sorted({consumers.sent[it][1] for it in late})
        record.note(f"requests at it later than drainMs after the removal: {len(late)}, sent by {by}")
        record.note("DRAIN broken" if late else "DRAIN held")
        return 1 if late else 0
    finally:
        fleet.stop_all()


play(HERE, scenario)
