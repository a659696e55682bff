"""One of three servers hands out wrong bytes: the status line of some answers isn't one of HTTP."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from runner import run
from standins import ask, new_id

LENGTH_S = 16.0
PER_S = 60.0
GARBLE_FROM_S, GARBLE_FOR_S = 4.0, 5.0
GARBLED_EVERY = 20        # x = 0.05 of the answers of a third of the servers
TIMEOUT_S = 0.8           # timeoutMs of the route
LATE_S = TIMEOUT_S + 0.5  # by which a request that is unanswered at the timeout has to be answered


async def case(site, trouble):
    await site.start(6)
    start = time.monotonic() + 0.2
    counts = {"answers": 0, "garbled": 0}

    async def garble(server, message, writer):
        since = time.monotonic() - start
        if not (GARBLE_FROM_S <= since < GARBLE_FROM_S + GARBLE_FOR_S):
            return None
        counts["answers"] += 1
        if counts["answers"] % GARBLED_EVERY != 0:
            return None
        counts["garbled"] += 1
        server.begin(message)
        await asyncio.sleep(server.work_s)
        site.record.line("garbled server=%s request=%r" % (server.id, message.get("Limpetlock-Request-Id")))
        writer.write(server.whole_answer(message).replace(b"HTTP/1.1 200", b"HTTP/1.1 800", 1))
        await writer.drain()
        return True

    if trouble:
        site.plain[0].trouble = garble

    async def consumer(number):
        await asyncio.sleep(max(0.0, start + number / PER_S - time.monotonic()))
        return await ask(site.nodes[number % len(site.nodes)], new_id(), "/book/1", body=b"b", deadline_ms=1500)

    answers = await asyncio.gather(*[consumer(n) for n in range(int(LENGTH_S * PER_S))])
    # A consumer leaves at its time limit of 1,500 ms, after LATE_S.
    open_at_timeout = [it for it in answers if it.took > TIMEOUT_S]
    late = [it for it in open_at_timeout if it.took > LATE_S]
    never = [it for it in late if it.status == 0]
    site.record.line("requests=%d garbled=%d unanswered at timeoutMs=%d unanswered 0.5 s later=%d never answered=%d" % (
        len(answers), counts["garbled"], len(open_at_timeout), len(late), len(never)))
    # CONFIG: of the requests still unanswered at timeoutMs, more than half have no answer half a second later.
    return not open_at_timeout or len(late) <= len(open_at_timeout) / 2


run(case)
