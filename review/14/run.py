"""Case 14: results of a stage are freed while the model server still fetches them, if the makers' links are slower."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from kit import *  # noqa: E402

REQUESTS = 30  # on each route; the rule asks for 20 or more
INTERVAL_S = 0.6  # between the requests of a route: the servers are idle most of the time
COUNT, BYTES = 5, 800000  # pieces of a request, and bytes of a result as for contract-digest in the site file
FAST, SLOW = 10000, 200  # linkMbps of the makers: as in the site file, and of smaller servers

made = {}  # handle: (time at which its call ended, linkMbps of its maker)
freed = set()


def pieces(link_mbps):
    return {"slots": 1, "queue": 2, "batch": 12, "callMs": 240.0, "itemMs": 17.0, "headroomMb": 14.0, "handleS": 4.0,
            "linkMbps": link_mbps}


def is_gone(handle):
    return handle in freed or now() - made[handle][0] > 4.0


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
            await asyncio.sleep((240 + 17 * len(items)) / 1000)
            for item, it in zip(items, out):
                made[it["handle"]] = now(), self.link_mbps
                record_.add("piece %s stage %d piece %d: %s" % (item["id"], item["stage"], item["piece"], it["handle"]))
        writer.write(answer(200, json.dumps({"items": out}).encode(), [("Content-Type", "application/json")]))
        await writer.drain()
        return True


class ModelServer(Server):
    """Fetches the inputs before it reads the prompt. The results of a request lie at one maker, whose link they share,
    so they arrive one after the other. A result has to be there until its own transfer begins, and no longer."""

    async def run(self, req, writer):
        if req.first.split(" ")[1] != "/healthz" and req.get("Limpetlock-Expect-Instance") == self.id:
            handles = [it for it in (req.get("Limpetlock-Inputs") or "").split(",") if it]
            for n, it in enumerate(handles):
                if is_gone(it):
                    record_.add("not run %s: input %d of %d is gone" % (req.get("Limpetlock-Request-Id"), n + 1,
                                                                        len(handles)))
                    writer.write(answer(409, b"", self.common(req) + [("Limpetlock-Not-Run", "1")]))
                    return True
                await asyncio.sleep(BYTES * 8 / (made[it][1] * 1e6))
            if not handles:
                writer.write(answer(400, b"", self.common(req) + [("Limpetlock-Not-Run", "1")]))
                return True
        return await super().run(req, writer)


async def send(gateway, name, record):
    i = rid()
    record.add("sent %s on %s" % (i, name))
    it = await call(gateway.front, "POST", "/%s/x" % name,
                    [("Host", "h.example"), ("Limpetlock-Request-Id", i), ("Limpetlock-Deadline-Ms", "6000"),
                     ("Authorization", "Bearer k1"), ("Limpetlock-Model", "m"), ("Limpetlock-Token-Count", "100,20"),
                     ("Limpetlock-Prefix-Hash", "%x:100" % random.getrandbits(32)),
                     ("Limpetlock-Pieces", str(COUNT)), ("Limpetlock-Piece-Key", rid())], b"x", timeout=8)
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

    def staged(name, maker):
        return route(name, "h.example", "/%s/" % name, "m", sticky=True, timeout=6000, goal=3000,
                     stages=[{"service": maker, "after": [], "bytes": BYTES}])

    services = [service("m", engine={"slots": 64, "kvTokens": 500000, "kvTokenBytes": 100, "linkMbps": 370000.0}),
                service("fast", pieces=pieces(FAST))]
    tenants = [{"name": "t1", "apiKeys": ["k1"]}]
    first = staged("first", "fast")
    store.put("op/config", config(3, [first], services, tenants))
    for name, link in (("fast", FAST), ("slow", SLOW)):
        for k in range(2):
            it = StageServer(store, "i-%s%d" % (name, k), name)
            it.link_mbps = link
            await it.start()
    for k in range(2):
        await ModelServer(store, "i-m%d" % k, "m").start()
    await start_all(gateways, record)
    await asyncio.sleep(4)
    names = ["first"]
    if TROUBLE:
        store.put("op/config", config(8, [first, staged("later-fast", "fast"), staged("later-slow", "slow")],
                                      services + [service("slow", pieces=pieces(SLOW))], tenants))
        record.add("the configuration changes: two routes and a service are added")
        names += ["later-fast", "later-slow"]
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
    if served["first"] < 0.9:
        raise RuntimeError("the first route isn't served")
    return all(served[name] >= served["first"] / 4 for name in names)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
