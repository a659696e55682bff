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
CLUMP = 120  # requests in a clump
NEXT_CLUMP_S = 2.1  # from the removal to the next clump


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
        await asyncio.sleep(3)
        if trouble:
            record.note(f"{store.silence_open_channels()} open channels to the store go silent; new ones work")
        silent = time.monotonic()
        await asyncio.sleep(CONTACT_S - 0.7)
        await consumers.send_clump("GET", "/stock/", CLUMP)
        record.note(f"a clump of {CLUMP} requests is answered")
        await asyncio.sleep(silent + CONTACT_S + 0.1 - time.monotonic())
        leaving = servers[0]
        leaving.leaving = True
        store.remove("servers/" + leaving.ident)
        acked = time.monotonic()
        record.note(f"the store accepts that the entry of {leaving.ident} is removed; it serves on, and says that it leaves")
        await asyncio.sleep(NEXT_CLUMP_S)
        await consumers.send_clump("GET", "/stock/", CLUMP)
        record.note(f"a clump of {CLUMP} requests is answered")
        consumers.write_to(record)
        for it in servers:
            for at, ident in it.runs:
                record.add(f"{it.ident} runs {ident}, sent by {consumers.sent[ident][1]}", at)
        late = [(at - acked, ident) for at, ident in leaving.runs if at - acked > DRAIN_S]
        record.note(f"{len(consumers.answers)} requests, {consumers.count(200)} answered 200")
        by = sorted({consumers.sent[it][1] for _, it in late})
        record.note(f"requests at {leaving.ident} later than drainMs after the removal: {len(late)}, sent by {by}")
        record.note("DRAIN broken" if late else "DRAIN held")
        return 1 if late else 0
    finally:
        fleet.stop_all()


play(HERE, scenario)
