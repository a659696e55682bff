"""A machine that is stopping gets SIGTERM once more, one second after the first."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from runner import run
from standins import ask, new_id

PER_S = 10.0
STOP_AT_S = 4.0
AGAIN_AFTER_S = 1.0
GRACE_S = 8.0


async def case(site, trouble):
    for it in site.engines:
        it.events, it.gap_s = 30, 0.1
    await site.start(6)
    node = site.nodes[0]
    start = time.monotonic() + 0.2

    async def consumer(number):
        await asyncio.sleep(max(0.0, start + number / PER_S - time.monotonic()))
        return await ask(node, new_id(), "/tag/1", body=b"p", deadline_ms=6000)

    async def stop():
        await asyncio.sleep(max(0.0, start + STOP_AT_S - time.monotonic()))
        node.signal(signal.SIGTERM)
        if trouble:
            await asyncio.sleep(AGAIN_AFTER_S)
            node.signal(signal.SIGTERM)
        await asyncio.sleep(max(0.0, start + STOP_AT_S + GRACE_S - time.monotonic()))
        if node.alive():
            node.signal(signal.SIGKILL)

    # All requests are sent before the first signal.
    results = await asyncio.gather(stop(), *[consumer(n) for n in range(int(PER_S * (STOP_AT_S - 0.2)))])
    answers = results[1:]
    run_ids = {request for server in site.engines for _, request, _ in server.runs}
    lost = [it for it in answers if not it.complete]
    site.record.line("requests=%d begun by engines=%d ended without a whole answer=%d" % (
        len(answers), len(run_ids), len(lost)))
    # LOST: around the SIGTERM of the machine, a request that was passed on ends without a complete answer.
    return not lost


run(case)
