"""Three of six processes are killed at once and start again. In between, a server leaves without a report."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins import *  # noqa: E402,F403

DRAIN_S = 2.0  # drainMs
RESTART_S = 0.7  # "restarted after a short delay"
CLUMP = 120  # requests in a clump
NEXT_CLUMP_S = 4.0  # from the restart to the next clump; all machines are in touch then


async def scenario(record, folder, trouble):
    store = Store()
    servers = [Server(f"i-read-{n}", "read") for n in range(8)]
    for it in servers:
        await it.start()
    store.put("op/config", configuration(3, [plain_route("stock", "/stock/", "idempotent", "read")],
                                         [plain_service("read")]))
    for it in servers:
        store.put("servers/" + it.ident, it.entry())
    # The first three are the seeds. They also watch the store, which follows from the names.
    names = ["edge-0", "edge-2", "edge-5", "edge-1", "edge-3", "edge-4"]
    fleet = Fleet("127.0.0.1:1", names, folder)
    addresses = {}
    for name in names:
        addresses[name] = StoreAddress(store)
        await addresses[name].start()
        fleet.settings[name]["provider"]["addr"] = addresses[name].addr
    consumers = Consumers(fleet)
    try:
        fleet.start_all()
        if not await fleet.wait_ready():
            raise CannotRun("the gateways did not become ready")
        record.note("all gateways are ready")
        await asyncio.sleep(10)  # the watches of the start have ended by then
        watching = [name for name in names if addresses[name].watches > 0]
        record.note(f"gateways that watch the store: {watching}; seeds: {names[:3]}")
        killed = watching[:3]
        await consumers.send_clump("GET", "/stock/", CLUMP)
        record.note(f"a clump of {CLUMP} requests is answered")
        if trouble:
            for it in killed:
                fleet.kill(it)
            record.note(f"the processes of {killed} are killed")
        await asyncio.sleep(RESTART_S / 2)
        leaving = servers[0]
        leaving.leaving = True
        store.remove("servers/" + leaving.ident)
        acked = time.monotonic()
        record.note(f"the store accepts that the entry of {leaving.ident} is removed; it serves on, and says that it leaves")
        await asyncio.sleep(RESTART_S / 2)
        if trouble:
            for it in killed:
                fleet.start(it)
            record.note("they start again")
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
