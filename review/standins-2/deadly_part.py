"""Requests whose prompt has a part that crashes engines, beside sound ones."""
import asyncio
import random
import time

from standins import (CannotRun, Consumers, Engine, Fleet, Store, configuration, engine_service, plain_route,
                      prompt_headers)

CONTACT_S = 3.0  # contactMs
ALLOWED = 3  # requests that may reach servers later than contactMs after the fifth crash
DOWN_S = 3.0  # "the server is back after some seconds"
LENGTH_S = 40.0
DEADLY_GAP_S = 2.0
SOUND_GAP_S = 0.1
DEADLY_PART = "dead"
FIRST_SOUND_ID = 1 << 20


async def play_deadly_part(record, folder, trouble, engine_count, begun, parts_before):
    """Returns 1 if more requests with the part reached engines than the rule allows, else 0. `parts_before` is the number
    of shared parts that stand before the deadly one in its prompts."""
    store = Store()
    await store.start()
    crashing = DEADLY_PART if trouble else ""
    engines = [Engine(f"i-llm-{n}", "llm", store, crashing, DOWN_S, begun, events=30, gap_s=0.1) for n in range(engine_count)]
    for it in engines:
        await it.start()
    route = plain_route("digest", "/digest/", "stream", "llm", timeout_ms=6000, attempts=1, goal_ms=1200, sticky=True,
                        resumable=False, gapGoalMs=400)
    store.put("op/config", configuration(3, [route], [engine_service("llm")]))
    for it in engines:
        it.publish()
    names = [f"edge-{n}" for n in range(6)]
    fleet = Fleet(store.addr, names, folder)
    consumers = Consumers(fleet, 6000)
    chance = random.Random(9)

    def prompt(n, part, before):
        shared = [f"{n * 1024 + k:x}:30" for k in range(before)]
        return ",".join(shared + [f"{part}:512", f"{chance.getrandbits(32):08x}:900"])

    async def send_for(first_id, gap_s, next_prompt):
        tasks = []
        n = first_id
        end = time.monotonic() + LENGTH_S
        while time.monotonic() < end:
            n += 1
            tasks.append(asyncio.ensure_future(consumers.send(f"{n:016x}", chance.choice(names), "POST", f"/digest/{n}",
                                                              prompt_headers(next_prompt(n), "1500,60"))))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)

    try:
        fleet.start_all()
        if not await fleet.wait_ready():
            raise CannotRun("the gateways did not become ready")
        record.note("all gateways are ready")
        await asyncio.sleep(4)
        await asyncio.gather(send_for(0, DEADLY_GAP_S, lambda n: prompt(n, DEADLY_PART, parts_before)),
                             send_for(FIRST_SOUND_ID, SOUND_GAP_S, lambda n: prompt(n, f"{chance.randrange(1, 40):x}", 1)))
        consumers.write_to(record)
        for it in engines:
            for at, ident in it.runs:
                record.add(f"{it.ident} begins {ident}", at)
            for at in it.crashes:
                record.add(f"{it.ident} crashes", at)
        crashes = sorted(at for it in engines for at in it.crashes)
        deadly = [ident for it in engines for _, ident in it.runs if int(ident, 16) < FIRST_SOUND_ID]
        late = []
        if len(crashes) >= 5:
            late = [it for it in deadly if consumers.sent[it][0] > crashes[4] + CONTACT_S]
        sound = [result for ident, (_, result) in consumers.answers.items() if int(ident, 16) > FIRST_SOUND_ID]
        record.note(f"sound requests: {len(sound)}, {sound.count(200)} came whole, "
                    f"{sum(it.cut_streams for it in engines)} were cut by the crashes")
        record.note(f"requests with the part that reached engines: {len(deadly)}; crashes: {len(crashes)}")
        record.note(f"of these requests, sent later than contactMs after the fifth crash: {len(late)}")
        broken = len(late) > ALLOWED
        record.note("BUDGET broken" if broken else "BUDGET held")
        return 1 if broken else 0
    finally:
        fleet.stop_all()
