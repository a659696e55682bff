"""Stand-ins for the platform's store, servers and consumers, and a frame that runs a case. All addresses are loopback
addresses, and all ports are free ones. Standard library only."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
BINARY = os.path.join(ROOT, "target/bin/limpetlock")  # built by the command of deploy/system.toml
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_SECONDS = 100  # of one run
now = time.monotonic


taken = set()


def free_port(ip):
    """A free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randint(20000, 32000)
        with socket.socket() as it:
            try:
                it.bind((ip, port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        for k, v in self.headers:
            if k.lower() == name.lower():
                return v
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = [tuple(p.strip() for p in l.split(":", 1)) for l in lines[1:] if l]
    return Message(lines[0], headers, b"")


async def read_request(reader):
    it = await read_head(reader)
    n = int(it.get("Content-Length", "0"))
    it.body = await reader.readexactly(n) if n else b""
    return it


def answer(status, body=b"", headers=(), reason="x"):
    text = f"HTTP/1.1 {status} {reason}\r\n"
    for k, v in headers:
        text += f"{k}: {v}\r\n"
    return text.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Store:
    """The platform's store: kv-key, kv-range and kv-watch."""

    def __init__(self):
        self.items, self.history, self.rev = {}, [], 10
        self.first = 10
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def _add(self, ev):
        self.history.append(ev)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        if not isinstance(value, (bytes, str)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        self.rev += 1
        old = self.items.get(key)
        it = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.rev,
              "created": old["created"] if old else self.rev, "lease": 0}
        self.items[key] = it
        self._add(it)
        return now()

    def delete(self, key):
        self.rev += 1
        self.items.pop(key, None)
        self._add({"key": key, "rev": self.rev, "deleted": True})
        return now()

    async def serve(self, reader, writer):
        try:
            while True:
                req = await read_request(reader)
                self.calls += 1
                path, _, query = req.first.split(" ")[1].partition("?")
                q = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
                writer.write(await self.handle(path, q))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, path, q):
        ct = [("Content-Type", "application/json")]
        if path == "/v1/kv-key":
            it = self.items.get(q.get("key", ""))
            if it is None:
                return answer(404, b"{}", ct)
            return answer(200, json.dumps({**it, "asOf": self.rev}).encode(), ct)
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(q.get("prefix", "")) and k > q.get("after", ""))
            body = {"items": [self.items[k] for k in keys[:500]], "morePages": len(keys) > 500, "asOf": self.rev}
            return answer(200, json.dumps(body).encode(), ct)
        if path == "/v1/kv-watch":
            after, end = int(q["after"]), now() + int(q.get("waitMs", "0")) / 1000
            while True:
                events = [e for e in self.history if e["rev"] > after and e["key"].startswith(q.get("prefix", ""))]
                left = end - now()
                if events or left <= 0:
                    return answer(200, json.dumps({"events": events, "asOf": self.rev}).encode(), ct)
                ev = self.changed
                try:
                    await asyncio.wait_for(ev.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return answer(404, b"{}", ct)


class Server:
    """A server of the platform. `act` is a coroutine (server, request, reader, writer) -> keep; the default answers."""

    def __init__(self, store, sid, service, zone="z-a", slots=64, act=None, work_s=0.005, ip="127.0.0.1"):
        self.store, self.id, self.service, self.zone, self.slots = store, sid, service, zone, slots
        self.act, self.work_s, self.ip = act, work_s, ip
        self.seq, self.runs, self.state, self.arrivals = 0, [], "ready", []
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 22)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beat()
        self.beating = asyncio.create_task(self.beats())

    def entry(self):
        self.seq += 1
        return {"service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq}

    def beat(self):
        return self.store.put("servers/" + self.id, self.entry())

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    async def serve(self, reader, writer):
        try:
            keep = True
            while keep:
                req = await read_head(reader)
                if self.act is not None:
                    keep = await self.act(self, req, reader, writer)
                    continue
                n = int(req.get("Content-Length", "0"))
                req.body = await reader.readexactly(n) if n else b""
                keep = await self.run(req, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def common(self, req):
        out = [("Limpetlock-Response-Stamp", "s.%s.%s" % (self.id, req.get("Limpetlock-Request-Id", "-"))),
               ("Limpetlock-Instance-Id", self.id)]
        if req.get("Limpetlock-Request-Id"):
            out.append(("Limpetlock-Request-Id", req.get("Limpetlock-Request-Id")))
        return out

    async def run(self, req, writer):
        if req.first.split(" ")[1] == "/healthz":
            writer.write(answer(200, b"", [("Limpetlock-Instance-Id", self.id)]))
            return True
        if req.get("Limpetlock-Expect-Instance") not in (None, self.id):
            writer.write(answer(421, b"", [("Limpetlock-Instance-Id", self.id), ("Limpetlock-Not-Run", "1")]))
            return True
        self.runs.append((now(), req.get("Limpetlock-Request-Id"), req))
        await asyncio.sleep(self.work_s)
        body = ("answer of %s to %s" % (self.id, req.get("Limpetlock-Request-Id"))).encode()
        writer.write(answer(200, body, self.common(req)))
        await writer.drain()
        return True


class ColdServer(Server):
    """A server that is cold for `cold_s` after its start and says so in its entry and its health answers."""

    cold_s = 3.0

    async def start(self):
        self.born = int(time.time() * 1000)
        self.cold_until = now() + self.cold_s
        await super().start()

    def cold_left_ms(self):
        return max(0, int((self.cold_until - now()) * 1000))

    def entry(self):
        return {**super().entry(), "coldLeftMs": self.cold_left_ms(), "born": self.born}

    async def run(self, req, writer):
        if req.first.split(" ")[1] == "/healthz":
            writer.write(answer(200, b"", [("Limpetlock-Instance-Id", self.id),
                                           ("Limpetlock-Cold-Ms", str(self.cold_left_ms()))]))
            return True
        if self.cold_left_ms() > 0 and req.get("Limpetlock-Expect-Instance") == self.id:
            self.arrivals.append((now(), req.get("Limpetlock-Request-Id")))
        return await super().run(req, writer)


def most_in_a_second(arrivals, sent):
    """Most requests that were sent and arrived within one second. `sent` is when the consumer sent them, which is
    earlier than the machine did, so fewer are counted than the rule counts."""
    best = 0
    for begin in sorted(sent[i] for _, i in arrivals):
        best = max(best, sum(1 for at, i in arrivals if sent[i] >= begin and at < begin + 1))
    return best


def route(name, host, prefix, service, kind="idempotent", timeout=2000, goal=500, attempts=2, **more):
    out = {"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "goalMs": goal,
           "priority": 1, "service": service, "attempts": attempts, "public": False}
    out.update(more)
    return out


def config(version, routes, services, tenants, limits=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000,
                                 "idleTimeoutMs": 15000}, "tenants": tenants}


def service(name, **more):
    return {"name": name, "healthPath": "/healthz", "maxConns": 500, "protocol": "h1", "tls": False, **more}


BOUNDS = {"seedLagS": 3, "reuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lostMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": True,
          "revokeMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "recoverS": 12, "passMs": 120,
          "reuseWindowS": 10}


started = []  # every Gateway of the run


class Gateway:
    """One machine of the system: `limpetlock platform` as the deploy file starts it."""

    def __init__(self, dir_, name, store_addr, zone="z-a", ip="127.0.0.1", bounds=None):
        self.name, self.dir, self.zone, self.ip = name, dir_, zone, ip
        self.front, self.ready, self.control = (f"{ip}:{free_port(ip)}" for _ in range(3))
        self.store_addr, self.bounds = store_addr, bounds or BOUNDS
        self.process = None
        started.append(self)

    def write(self, seeds):
        p = free_port(self.ip)
        s = {"node": self.name, "role": "gateway", "class": "edge", "serves": ["edge", "control"], "ip": self.ip,
             "zone": self.zone, "region": "r", "zones": {"z-a": "r", "z-b": "r", "z-c": "r"},
             "listen": {"front": self.front, "ready": self.ready, "control": self.control}, "portRange": [p, p],
             "seeds": seeds, "bootstrap": True, "inTolerance": False,
             "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
             "dataDir": None, "discovery": "platform", "entry": "vip", "beatMs": 1200, "contracts": [],
             "tolerate": {"machines": 2, "zones": 0, "regions": 0}, "bounds": self.bounds,
             "provider": {"addr": self.store_addr, "form": "read", "writesPerS": 400, "readsPerS": 2000,
                          "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
        self.path = os.path.join(self.dir, self.name + ".json")
        with open(self.path, "w") as f:
            json.dump(s, f)

    def start(self):
        self.log = open(os.path.join(self.dir, self.name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["LIMPETLOCK_CONFIG"] = self.path
        self.process = subprocess.Popen([BINARY, "platform"], cwd=ROOT, env=env, stdout=self.log, stderr=self.log)

    def kill(self, sig=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(sig)
            if sig == signal.SIGKILL:
                self.process.wait()

    async def is_ready(self):
        try:
            it = await call(self.ready, "GET", "/v1/readyz", [("Host", "r")], timeout=1)
            return it is not None and it.status == 200
        except OSError:
            return False

    async def wait_ready(self, seconds=15):
        end = now() + seconds
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def get(self, name):
        return Message("", self.headers, b"").get(name)


class Channel:
    """A consumer's channel to one node."""

    async def open(self, addr, timeout=1.0):
        host, port = addr.split(":")
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22),
                                                          timeout)
        return self

    def send(self, method, target, headers, body=b""):
        text = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        self.writer.write(text.encode("latin-1") + b"\r\n" + body)

    async def read(self):
        """Reads one answer; None if the channel ended before its head."""
        try:
            head = await read_head(self.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        status = int(head.first.split(" ")[1])
        body, ok = b"", True
        try:
            if (head.get("Transfer-Encoding") or "").lower() == "chunked":
                while True:
                    n = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                    part = await self.reader.readexactly(n + 2)
                    body += part[:n]
                    if n == 0:
                        break
            elif head.get("Content-Length") is not None:
                body = await self.reader.readexactly(int(head.get("Content-Length")))
        except (asyncio.IncompleteReadError, ConnectionError):
            ok = False
        return Answer(status, head.headers, body, ok)

    def close(self):
        self.writer.close()


async def call(addr, method, target, headers, body=b"", timeout=5.0):
    ch = await Channel().open(addr)
    try:
        ch.send(method, target, headers, body)
        return await asyncio.wait_for(ch.read(), timeout)
    except asyncio.TimeoutError:
        return None
    finally:
        ch.close()


def rid():
    return "%016x" % random.getrandbits(64)


async def consume(gateway, rate, end, sent, results, record):
    """Sends requests at a rate, each on a channel of its own, while the machine takes channels."""
    async def one():
        i = rid()
        sent[i] = now()
        record.add("sent %s to %s" % (i, gateway.name))
        try:
            it = await call(gateway.front, "POST", "/book/x",
                            [("Host", "h.example"), ("Limpetlock-Request-Id", i), ("Limpetlock-Deadline-Ms", "1500"),
                             ("Authorization", "Bearer k1")], b"x", timeout=3)
            status = it.status if it else None
        except (OSError, asyncio.TimeoutError):
            status = None
        record.add("answered %s %s" % (i, status))
        return status

    while now() < end:
        results.append(asyncio.create_task(one()))
        await asyncio.sleep(1 / rate)


class Record:
    """Lines of record.txt: seconds since the start of the run, and what was sent, answered or run."""

    def __init__(self, folder):
        self.begin = now()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def add(self, text, at=None):
        self.file.write("%8.3f %s\n" % ((now() if at is None else at) - self.begin, text))


def run_case(folder, case):
    """Runs the coroutine `case`(directory, record), which returns whether the rule held, and exits with the status of
    a case: 0 if it held, 1 if it was broken, 2 if the case could not run."""
    directory = tempfile.mkdtemp(prefix="review-")
    record = Record(folder)
    status = 2

    async def bounded():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(directory, record), MAX_SECONDS)

    def interrupted(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupted)
    try:
        if not os.path.exists(BINARY):
            raise RuntimeError("target/bin/limpetlock is missing: run the build of deploy/system.toml first")
        loop = asyncio.new_event_loop()
        held = loop.run_until_complete(bounded())
        status = 0 if held else 1
    except BaseException as failure:  # whatever it is, the processes have to end
        record.add("could not run: %r" % failure)
        print("could not run: %r" % failure)
    for it in started:
        it.kill()
    record.add("exit status %d" % status)
    record.file.close()
    shutil.rmtree(directory, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)


async def start_all(gateways, record, seconds=15):
    for it in gateways:
        it.start()
    for it in gateways:
        if not await it.wait_ready(seconds):
            raise RuntimeError(it.name + " is not ready")
    record.add("%d instances are ready" % len(gateways))
