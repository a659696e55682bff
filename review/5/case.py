"""One part of a prompt crashes each engine that begins to write an answer on it, in the middle of the answer's head."""
import asyncio
import os
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from runner import run
from standins import ask, new_id

LENGTH_S = 30.0
SOUND_PER_S = 20.0
DEADLY_FROM_S, DEADLY_FOR_S, DEADLY_PER_S = 4.0, 22.0, 1.0
BACK_AFTER_S = 3.0
HEAD_BYTES = 40      # of the answer's head that leave the engine before it crashes
CONTACT_S = 3.0      # contactMs
DEADLY_PART = "91bd3f06"
FIRST_PARTS = ["5c1e07a2", "5c1e07a3", "5c1e07a4"]


def prompt(number, part):
    return [("Limpetlock-Model", "m"), ("Limpetlock-Token-Count", "6610,80"),
            ("Limpetlock-Prefix-Hash", "%s:512,%s:4870,%s:1228" % (FIRST_PARTS[number % 3], part, new_id()[:8]))]


async def case(site, trouble):
    arrivals, crashes = [], []

    async def crash(server):
        """Resets all channels and refuses new ones; starts again after BACK_AFTER_S as a new lifetime."""
        crashes.append(time.monotonic())
        site.record.line("crash server=%s number=%d" % (server.id, len(crashes)))
        server.server.close()
        for it in list(server.writers):
            it.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            it.transport.abort()
        await asyncio.sleep(BACK_AFTER_S)
        await server.start()
        server.born = int(time.time() * 1000)
        server.publish()

    async def engine(server, message, writer):
        if DEADLY_PART not in message.get("Limpetlock-Prefix-Hash"):
            return None
        arrivals.append(time.monotonic())
        if not trouble:
            return None
        server.begin(message)
        await asyncio.sleep(server.work_s)
        writer.write(server.stream_head(message)[:HEAD_BYTES])
        await writer.drain()
        await asyncio.sleep(0.01)
        asyncio.ensure_future(crash(server))
        return False

    for it in site.engines:
        it.trouble = engine
        it.events, it.gap_s = 20, 0.05
    await site.start(6)
    start = time.monotonic() + 0.2

    async def sound(number):
        await asyncio.sleep(max(0.0, start + number / SOUND_PER_S - time.monotonic()))
        return await ask(site.nodes[number % 6], new_id(), "/tag/1", body=b"p", deadline_ms=6000,
                         headers=prompt(number, "%08x" % (1 + number % 40)))

    async def deadly(number):
        await asyncio.sleep(max(0.0, start + DEADLY_FROM_S + number / DEADLY_PER_S - time.monotonic()))
        return await ask(site.nodes[number % 6], new_id(), "/tag/1", body=b"p", deadline_ms=6000,
                         headers=prompt(number, DEADLY_PART))

    work = [sound(n) for n in range(int(LENGTH_S * SOUND_PER_S))]
    answers = await asyncio.gather(*work, *[deadly(n) for n in range(int(DEADLY_FOR_S * DEADLY_PER_S))])
    cut = [it for it in answers[:len(work)] if it.status == 200 and not it.complete]
    late = [it for it in arrivals if len(crashes) >= 5 and it > crashes[4] + CONTACT_S]
    site.record.line("deadly requests that reached servers=%d crashes=%d later than contactMs after the fifth=%d; "
                     "sound streams=%d cut midway=%d" % (len(arrivals), len(crashes), len(late), len(work), len(cut)))
    # BUDGET: more than three requests with the part reach servers later than contactMs after the fifth crash.
    return len(late) <= 3


run(case, engines=12)
