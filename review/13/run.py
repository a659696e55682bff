"""Case 13: a route whose first stage is an input of two later stages is never served."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from kit import *  # noqa: E402

REQUESTS = 30  # on each route; the rule asks for 20 or more
INTERVAL_S = 0.5  # between the requests of a route: the stage servers are idle most of the time
PIECES = {"slots": 1, "queue": 2, "batch": 12, "callMs": 240.0, "itemMs": 17.0, "headroomMb": 14.0, "handleS": 4.0,
          "linkMbps": 10000}  # of billing in the site file

made = {}  # handle: time at which its call ended
freed = set()


class StageServer(Server):
    """Makes one call at a time. It fetches the inputs of a call when its turn comes, at once for all of its items."""

    async def start(self):
        self.turn, self.waiting = asyncio.Lock(), 0
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
        if self.waiting >= PIECES["queue"]:
            writer.write(answer(503, b"", [("Limpetlock-Not-Run", "1")]))
            return True
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            items = json.loads(req.body)["items"]
            out = []
            for it in items:
                missing = [h for h in it.get("inputs", []) if h in freed or now() - made[h] > PIECES["handleS"]]
                out.append({"reason": "gone"} if missing else
                           {"handle": "%s/%x" % (self.addr, random.getrandbits(44))})
                record_.add("piece %s stage %d piece %d: %s" % (it["id"], it["stage"], it["piece"], out[-1]))
            await asyncio.sleep((PIECES["callMs"] + PIECES["itemMs"] * len(items)) / 1000)
            for it in out:
                if "handle" in it:
                    made[it["handle"]] = now()
        writer.write(answer(200, json.dumps({"items": out}).encode(), [("Content-Type", "application/json")]))
        await writer.drain()
        return True


class ModelServer(Server):
    """Requires the handles of the last stages, and that none of them is gone."""

    async def run(self, req, writer):
        if req.first.split(" ")[1] != "/healthz" and req.get("Limpetlock-Expect-Instance") == self.id:
            handles = [it for it in (req.get("Limpetlock-Inputs") or "").split(",") if it]
            if not handles or any(it in freed for it in handles):
                writer.write(answer(409 if handles else 400, b"", self.common(req) + [("Limpetlock-Not-Run", "1")]))
                return True
        return await super().run(req, writer)


async def send(gateway, name, record):
    i = rid()
    record.add("sent %s on %s" % (i, name))
    it = await call(gateway.front, "POST", "/%s/x" % name,
                    [("Host", "h.example"), ("Limpetlock-Request-Id", i), ("Limpetlock-Deadline-Ms", "6000"),
                     ("Authorization", "Bearer k1"), ("Limpetlock-Model", "m"), ("Limpetlock-Token-Count", "100,20"),
                     ("Limpetlock-Prefix-Hash", "%x:100" % random.getrandbits(32)), ("Limpetlock-Pieces", "2,2,2"),
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

    def staged(name, *after):
        stages = [{"service": "p%d" % n, "after": list(it), "bytes": 8000} for n, it in enumerate(after)]
        return route(name, "h.example", "/%s/" % name, "m", stages=stages, sticky=True, timeout=6000, goal=3000)

    chain = staged("chain", (), (0,), (1,))
    later_chain = staged("later-chain", (), (0,), (1,))
    both = staged("later-both", (), (0,), (0, 1))  # the last stage needs the results of the first one too
    services = [service("m", engine={"slots": 64, "kvTokens": 500000, "kvTokenBytes": 100, "linkMbps": 1000.0})]
    services += [service("p%d" % n, pieces=PIECES) for n in range(3)]
    tenants = [{"name": "t1", "apiKeys": ["k1"]}]
    store.put("op/config", config(3, [chain], services, tenants))
    for n in range(3):
        for k in range(2):
            await StageServer(store, "i-p%d%d" % (n, k), "p%d" % n).start()
    for k in range(2):
        await ModelServer(store, "i-m%d" % k, "m").start()
    await start_all(gateways, record)
    await asyncio.sleep(4)
    names = ["chain"]
    if TROUBLE:
        store.put("op/config", config(8, [chain, later_chain, both], services, tenants))
        record.add("the configuration changes: two routes are added")
        names += ["later-chain", "later-both"]
        await asyncio.sleep(6)  # steady state: more than configMs and contactMs
    served = {}
    for name in names:
        sendings = []
        for _ in range(REQUESTS):
            sendings.append(asyncio.create_task(send(random.choice(gateways), name, record)))
            await asyncio.sleep(INTERVAL_S)
        served[name] = sum(await asyncio.gather(*sendings)) / REQUESTS
    text = ", ".join("%s: %.2f of %d served" % (name, share, REQUESTS) for name, share in served.items())
    record.add(text)
    print(text)
    if served["chain"] < 0.9:
        raise RuntimeError("the first route isn't served")
    return all(served[name] >= served["chain"] / 4 for name in names)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
