"""Case 14: the inputs of a request are freed while it waits at its model server, so a later route with stages is hardly
served where requests usually wait."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from kit import *  # noqa: E402

REQUESTS = 30  # on each later route; the rule asks for 20 or more
INTERVAL_S = 0.8  # between the requests of a route: the stage servers are idle most of the time
SLOTS, QUEUE = 12, 36  # of a model server, as limpet-pool has at steppe-ice-grown
WORK_S = 0.4  # of a request at its model server
CONSUMERS = 48  # on the first route, each with one request at a time, for 24 slots of two model servers
LOAD_S = 28.0
PIECES = {"slots": 1, "queue": 2, "batch": 12, "callMs": 240.0, "itemMs": 17.0, "headroomMb": 14.0, "handleS": 4.0,
          "linkMbps": 10000}  # of billing in the site file

made = {}  # handle: time at which its call ended
freed = set()


class StageServer(Server):
    """Makes one call at a time."""

    async def start(self):
        self.turn = asyncio.Lock()
        await super().start()

    async def run(self, req, writer):
        path = req.first.split(" ")[1]
        if path == "/v1/stage-free":
            freed.update(json.loads(req.body)["handles"])
            record_.add("freed %s" % ",".join(json.loads(req.body)["handles"]))
            writer.write(answer(200, b"{}"))
            return True
        if path != "/v1/stage-run":
            return await super().run(req, writer)
        if req.get("Limpetlock-Expect-Instance") not in (None, self.id):
            writer.write(answer(421))
            return True
        async with self.turn:
            items = json.loads(req.body)["items"]
            out = [{"handle": "%s/%x" % (self.addr, random.getrandbits(44))} for _ in items]
            await asyncio.sleep((PIECES["callMs"] + PIECES["itemMs"] * len(items)) / 1000)
            for item, it in zip(items, out):
                made[it["handle"]] = now()
                record_.add("piece %s stage %d piece %d: %s" % (item["id"], item["stage"], item["piece"], it["handle"]))
        load = [("Content-Type", "application/json"), ("Limpetlock-Server-Load", "0,0,1")]
        writer.write(answer(200, json.dumps({"items": out}).encode(), load))
        await writer.drain()
        return True


class ModelServer(Server):
    """Runs SLOTS requests and lets others wait. It fetches the inputs of a request when its turn comes."""

    async def start(self):
        self.turns, self.running, self.waiting = asyncio.Semaphore(SLOTS), 0, 0
        await super().start()

    async def run(self, req, writer):
        path = req.first.split(" ")[1]
        if path == "/v1/report":
            writer.write(answer(200, json.dumps({
                "stage": "both", "models": [], "busy": False, "seq": 1, "queued": self.waiting,
                "running": self.running, "kvUsed": 0, "kvTotal": 500000, "handles": 0}).encode()))
            return True
        if path == "/healthz" or req.get("Limpetlock-Expect-Instance") != self.id:
            return await super().run(req, writer)
        if self.waiting >= QUEUE:
            writer.write(answer(503, b"", self.common(req) + [("Limpetlock-Not-Run", "1")]))
            return True
        self.waiting += 1
        begin = now()
        async with self.turns:
            self.waiting -= 1
            self.running += 1
            try:
                return await self.run_in_turn(req, writer, now() - begin)
            finally:
                self.running -= 1

    async def run_in_turn(self, req, writer, waited):
        handles = [it for it in (req.get("Limpetlock-Inputs") or "").split(",") if it]
        gone = [it for it in handles if it in freed or now() - made[it] > PIECES["handleS"]]
        if "staged" in req.first:
            record_.add("turn of %s at %s after %d ms, %d of %d inputs gone" % (
                req.get("Limpetlock-Request-Id"), self.id, waited * 1000, len(gone), len(handles)))
            if gone or not handles:
                status = 409 if gone else 400
                writer.write(answer(status, b"", self.common(req) + [("Limpetlock-Not-Run", "1")]))
                return True
        await asyncio.sleep(WORK_S)
        writer.write(answer(200, b"answer to " + req.get("Limpetlock-Request-Id").encode(), self.common(req)))
        await writer.drain()
        return True


async def send(gateway, name, record):
    i = rid()
    record.add("sent %s on %s" % (i, name))
    it = await call(gateway.front, "POST", "/%s/x" % name,
                    [("Host", "h.example"), ("Limpetlock-Request-Id", i), ("Limpetlock-Deadline-Ms", "6000"),
                     ("Authorization", "Bearer k1"), ("Limpetlock-Model", "m"), ("Limpetlock-Token-Count", "100,20"),
                     ("Limpetlock-Prefix-Hash", "%x:100" % random.getrandbits(32)), ("Limpetlock-Pieces", "2"),
                     ("Limpetlock-Piece-Key", rid())], b"x", timeout=8)
    record.add("answered %s on %s: %s %s" % (i, name, it and it.status, it.body if it and it.status != 200 else ""))
    return it is not None and it.status == 200


async def case(directory, record):
    global record_
    record_ = record
    store = Store()
    await store.start()
    gateways = [Gateway(directory, "edge-%d" % n, store.addr) for n in range(3)]
    for it in gateways:
        it.write([seed.control for seed in gateways])

    def to_models(name, **more):
        return route(name, "h.example", "/%s/" % name, "m", sticky=True, timeout=6000, goal=3000, **more)

    services = [service("m", engine={"slots": SLOTS, "kvTokens": 500000, "kvTokenBytes": 100, "linkMbps": 370000.0}),
                service("p", pieces=PIECES)]
    tenants = [{"name": "t1", "apiKeys": ["k1"]}]
    routes = [to_models("first")]
    store.put("op/config", config(3, routes, services, tenants))
    for k in range(2):
        await StageServer(store, "i-p%d" % k, "p").start()
        await ModelServer(store, "i-m%d" % k, "m", slots=SLOTS).start()
    await start_all(gateways, record)
    await asyncio.sleep(4)
    later = []
    if TROUBLE:
        later = ["later-plain", "later-staged"]
        routes += [to_models("later-plain"),
                   to_models("later-staged", stages=[{"service": "p", "after": [], "bytes": 800000}])]
        store.put("op/config", config(8, routes, services, tenants))
        record.add("the configuration changes: two routes are added")
        await asyncio.sleep(6)  # steady state: more than configMs and contactMs
    first, end = [], now() + LOAD_S

    async def consume_first():
        while now() < end:
            first.append(await send(random.choice(gateways), "first", record))
            if not first[-1]:
                await asyncio.sleep(0.3)

    consumers = [asyncio.create_task(consume_first()) for _ in range(CONSUMERS)]
    await asyncio.sleep(2)
    sendings = {name: [] for name in later}
    for _ in range(REQUESTS):
        for name in later:
            sendings[name].append(asyncio.create_task(send(random.choice(gateways), name, record)))
        await asyncio.sleep(INTERVAL_S)
    served = {name: sum(await asyncio.gather(*it)) / REQUESTS for name, it in sendings.items()}
    await asyncio.gather(*consumers)
    share = sum(first) / len(first)
    text = ", ".join(["first: %.2f of %d served" % (share, len(first))] +
                     ["%s: %.2f of %d served" % (name, it, REQUESTS) for name, it in served.items()])
    record.add(text)
    print(text)
    if share < 0.9:
        raise RuntimeError("the first route isn't served")
    return all(it >= share / 4 for it in served.values())


run_case(os.path.dirname(os.path.abspath(__file__)), case)
