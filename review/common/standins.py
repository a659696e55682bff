"""Stand-ins of the users' platform on loopback: the store, plain services, model engines and stage servers, the
consumer's side, and the processes of the gateway.

Everything runs in one asyncio loop. A server stand-in behaves like a sound server; a case changes that through
the hook `Server.trouble`. All that is sent, run and answered goes to a record.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "bin", "limpetlock")
IP = "127.0.0.1"
HOST = "pule25.example"
KEY = "key-one-9dnn2ctnfzs989"
TENANT = "bozi300"


def free_ports(count):
    """Free ports below the range from which the system takes those of outgoing channels. Cases that run beside one
    another search from different places."""
    first, size = 15000, 15000
    out = []
    at = os.getpid() * 64 % size
    while len(out) < count:
        port = first + at
        at = (at + 1) % size
        with socket.socket() as probe:
            try:
                probe.bind((IP, port))
            except OSError:
                continue
        out.append(port)
    return out


class Record:
    """Lines with the time since the start, for record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, fallback=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return fallback


async def read_message(reader, head_only=False):
    """Reads a message with Content-Length, chunks or none of both. None if the channel ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for it in lines[1:]:
        if it:
            name, _, value = it.partition(":")
            headers.append((name, value.strip()))
    out = Message(lines[0], headers, b"")
    if head_only:
        return out
    length = out.get("Content-Length")
    try:
        if "chunked" in out.get("Transfer-Encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                out.body += data[:-2]
        elif length:
            out.body = await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return out


def answer_bytes(status, headers, body):
    head = "HTTP/1.1 %s X\r\n" % status
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode("latin-1") + body


class Store:
    """The platform's store: read of a key, listing and watch."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.down = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.revision += 1
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                           "created": self.revision, "lease": 0}
        self.history.append(self.items[key])
        self.wake()

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "rev": self.revision, "deleted": True})
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                while self.down:
                    await asyncio.sleep(0.05)
                target = urlsplit(message.first.split()[1])
                query = {k: v[0] for k, v in parse_qs(target.query, keep_blank_values=True).items()}
                status, body = await self.answer(target.path, query)
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def answer(self, path, query):
        if path == "/v1/kv-key":
            it = self.items.get(query["key"])
            return (200, dict(it, asOf=self.revision)) if it else (404, {"asOf": self.revision})
        prefix = query.get("prefix", "")
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = keys[:500]
            return 200, {"items": [self.items[k] for k in page], "morePages": len(keys) > 500, "asOf": self.revision}
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [it for it in self.history if it["rev"] > after and it["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A server of a service: kind is plain, engine or stage."""

    def __init__(self, site, kind, service, name, zone="a", slots=8):
        self.site, self.kind, self.service, self.id, self.zone, self.slots = site, kind, service, name, zone, slots
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.work_s = 0.015
        self.events = 8
        self.gap_s = 0.02
        self.stage_s = 0.05
        self.handles = 0
        self.running = 0
        self.runs = []
        self.trouble = None  # async function(server, message, writer); returns True if it has answered
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        self.seq += 1
        return {"service": self.service, "addr": "%s:%d" % (IP, self.port), "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born}

    def publish(self):
        self.site.store.put("servers/" + self.id, self.entry())

    def common_headers(self, message):
        return [("Limpetlock-Request-Id", message.get("Limpetlock-Request-Id")),
                ("Limpetlock-Server-Load", "%d,0,%d" % (self.running, self.slots))]

    def stamp(self, message):
        return "3e1b.07.%s.%s" % (self.id, message.get("Limpetlock-Request-Id"))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                self.running += 1
                try:
                    work = asyncio.ensure_future(self.answer(message, writer))
                    closed = asyncio.ensure_future(self.wait_closed(reader))
                    await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                    closed.cancel()
                    if not work.done():
                        if self.kind == "stage":
                            await work
                        work.cancel()
                        break
                    if work.result() is False:
                        break
                finally:
                    self.running -= 1
        except ConnectionError:
            pass
        self.writers.discard(writer)
        writer.close()

    @staticmethod
    async def wait_closed(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def answer(self, message, writer):
        """Returns False if the channel shall be closed."""
        method, target = message.first.split()[:2]
        request = message.get("Limpetlock-Request-Id")
        expected = message.get("Limpetlock-Expect-Instance")
        if target == "/v1/stage-free":
            writer.write(answer_bytes(200, [], b"{}"))
            await writer.drain()
            return True
        if expected and expected != self.id:
            writer.write(answer_bytes(421, self.common_headers(message) + [("Limpetlock-Not-Run", "1")], b"{}"))
            await writer.drain()
            return True
        if self.trouble is not None:
            handled = await self.trouble(self, message, writer)
            if handled is not None:
                return handled
        if self.kind == "stage":
            return await self.run_pieces(message, writer)
        if not request:
            writer.write(answer_bytes(400, [("Limpetlock-Not-Run", "1")], b"{}"))
            await writer.drain()
            return True
        self.begin(message)
        if self.kind == "engine":
            return await self.stream(message, writer)
        await asyncio.sleep(self.work_s)
        writer.write(self.whole_answer(message))
        await writer.drain()
        return True

    def begin(self, message):
        request = message.get("Limpetlock-Request-Id")
        message.body = b""  # large bodies need not be kept
        self.runs.append((time.monotonic(), request, message))
        self.site.record.line("run server=%s request=%r" % (self.id, request))

    def whole_answer(self, message, status=200):
        body = ("answer to " + message.get("Limpetlock-Request-Id")).encode("latin-1").ljust(800, b".")
        headers = self.common_headers(message) + [("Limpetlock-Response-Stamp", self.stamp(message))]
        return answer_bytes(status, headers, body)

    def stream_head(self, message):
        out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in self.common_headers(message) + [("Limpetlock-Response-Stamp", self.stamp(message))]:
            out += "%s: %s\r\n" % (name, value)
        return (out + "\r\n").encode("latin-1")

    @staticmethod
    def chunk(data):
        return b"%x\r\n%s\r\n" % (len(data), data)

    def event(self, number, message):
        text = "id: %d\ndata: %s of %s\n\n" % (number, number, message.get("Limpetlock-Request-Id"))
        return text.encode("latin-1")

    async def stream(self, message, writer):
        await asyncio.sleep(self.work_s)
        writer.write(self.stream_head(message))
        first = int(message.get("Last-Event-Id", "0") or 0) + 1
        for number in range(first, self.events + 1):
            writer.write(self.chunk(self.event(number, message)))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def run_pieces(self, message, writer):
        items = json.loads(message.body)["items"]
        self.runs.append((time.monotonic(), [it["id"] for it in items], message))
        self.site.record.line("pieces server=%s items=%s" % (self.id, json.dumps(items)))
        await asyncio.sleep(self.stage_s)
        results = []
        for _ in items:
            self.handles += 1
            results.append({"handle": "%s:%d/%s%06x" % (IP, self.port, self.id.replace("-", ""), self.handles)})
        writer.write(answer_bytes(200, [("Content-Type", "application/json"),
                                        ("Limpetlock-Server-Load", "1,0,1")],
                                  json.dumps({"items": results}).encode()))
        await writer.drain()
        return True

    async def crash(self):
        """Cuts all channels with a reset, and refuses new ones."""
        self.server.close()
        for it in list(self.writers):
            sock = it.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            it.transport.abort()


class Site:
    """The store, a configuration and servers, and the gateway processes before them."""

    def __init__(self, folder, record, engines=3, plain=3, stages=2):
        self.folder, self.record = folder, record
        self.store = Store()
        self.engines = [Server(self, "engine", "limpet-pool", "i-e%d" % n, "abc"[n % 3]) for n in range(engines)]
        self.plain = [Server(self, "plain", "dispatch", "i-d%d" % n, "abc"[n % 3]) for n in range(plain)]
        self.stage = [Server(self, "stage", "billing", "i-b%d" % n, "abc"[n % 3], 1) for n in range(stages)]
        self.nodes = []
        self.version = 0
        self.config = {
            "routes": [
                self.route("book", "/book/", "non_idempotent", "dispatch", 800, 100, 1, 2),
                self.route("stock", "/stock/", "idempotent", "dispatch", 800, 100, 2, 2),
                dict(self.route("digest", "/digest/", "stream", "limpet-pool", 15000, 1200, 1, 0), sticky=True,
                     gapGoalMs=400, stages=[{"service": "billing", "after": [], "bytes": 8000}]),
                dict(self.route("chat", "/chat/", "stream", "limpet-pool", 15000, 2000, 2, 1), sticky=True,
                     gapGoalMs=400, resumable=True),
                dict(self.route("tag", "/tag/", "stream", "limpet-pool", 6000, 4000, 1, 2), sticky=True, gapGoalMs=400),
            ],
            "services": [
                {"name": "limpet-pool", "healthPath": "/healthz", "maxConns": 500,
                 "engine": {"slots": 128, "kvTokens": 785915}},
                {"name": "dispatch", "healthPath": "/healthz", "maxConns": 48},
                {"name": "billing", "healthPath": "/healthz", "maxConns": 500,
                 "pieces": {"slots": 1, "queue": 2, "batch": 12, "callMs": 50.0, "itemMs": 1.0, "headroomMb": 14.0,
                            "handleS": 4.0, "linkMbps": 10000.0}},
            ],
            "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}, {"name": "other", "apiKeys": ["key-two-8j3k2l1m0n"]}],
        }

    @staticmethod
    def route(name, prefix, kind, service, timeout_ms, goal_ms, attempts, priority):
        return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
                "timeoutMs": timeout_ms, "goalMs": goal_ms, "attempts": attempts, "priority": priority,
                "public": False}

    def publish_config(self):
        self.version += 3
        self.store.put("op/config", dict(self.config, version=self.version))

    @property
    def servers(self):
        return self.engines + self.plain + self.stage

    async def start(self, nodes=3):
        await self.store.start()
        for it in self.servers:
            await it.start()
        self.publish_config()
        for it in self.servers:
            it.publish()
        ports = free_ports(4 * nodes)
        for n in range(nodes):
            self.nodes.append(Node(self, n, ports[4 * n:4 * n + 4]))
        seeds = ["%s:%d" % (IP, it.control) for it in self.nodes[:3]]
        for it in self.nodes:
            it.seeds = seeds
            it.start()
        self.beats = asyncio.ensure_future(self.beat())
        for it in self.nodes:
            await it.wait_ready()

    async def beat(self):
        """Servers write their entries again at each liveness report interval."""
        while True:
            await asyncio.sleep(1.2)
            for it in self.servers:
                if it.server is not None and it.server.is_serving() and it.state != "gone":
                    it.publish()

    def stop(self):
        for it in self.nodes:
            it.end()


class Node:
    """One gateway process with settings like those of a machine of the site."""

    def __init__(self, site, number, ports):
        self.site, self.number = site, number
        self.front, self.ready, self.control, self.metrics = ports
        self.name = "edge-%s-%d" % ("abc"[number % 3], number)
        self.process = None
        self.seeds = []

    def settings(self):
        at = lambda port: "%s:%d" % (IP, port)
        return {
            "node": self.name, "role": "gateway", "class": "edge", "serves": ["edge", "control"], "ip": IP,
            "zone": "abc"[self.number % 3], "region": "r", "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": {"front": at(self.front), "ready": at(self.ready), "control": at(self.control)},
            "portRange": [self.metrics, self.metrics], "seeds": self.seeds, "bootstrap": True, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "beatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform", "stages"],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
                       "graceS": 8, "lostMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
                       "strictRevoke": True, "revokeMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10,
                       "budgetExtra": 52, "recoverS": 12, "passMs": 120, "reuseWindowS": 10},
            "provider": {"addr": at(self.site.store.port), "form": "read", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }

    def start(self):
        path = os.path.join(self.site.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([BINARY, "platform"], cwd=ROOT, stdout=log, stderr=log,
                                        env={"LIMPETLOCK_CONFIG": path, "PATH": os.environ.get("PATH", "")})
        log.close()
        self.site.record.line("start node=%s pid=%d" % (self.name, self.process.pid))

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.site.record.line("signal node=%s signal=%s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        raise RuntimeError(self.name + " did not become ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(IP, self.ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message.first
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    """What a consumer got: status 0 without a header."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.took, self.end = 0, [], b"", False, 0.0, ""

    def get(self, name, fallback=""):
        return Message("", self.headers, b"").get(name, fallback)


class Channel:
    """A consumer's channel to one node."""

    def __init__(self, node):
        self.node, self.reader, self.writer = node, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(IP, self.node.front)
        return self

    def close(self):
        if self.writer is not None:
            self.writer.close()

    async def ask(self, request, path, method="POST", body=b"", deadline_ms=1500, wait_s=None, headers=(),
                  key=KEY, on_event=None):
        """Sends a request and reads its answer for `wait_s` at most (the time limit, if left out)."""
        out = Answer()
        record = self.node.site.record
        head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, HOST)
        fields = [("Limpetlock-Request-Id", request), ("Limpetlock-Deadline-Ms", str(deadline_ms)),
                  ("Authorization", "Bearer " + key)] + list(headers)
        if method != "GET":
            fields.append(("Content-Length", str(len(body))))
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        started = time.monotonic()
        record.line("send node=%s request=%r path=%s" % (self.node.name, request, path))
        try:
            self.writer.write((head + "\r\n").encode("latin-1") + body)
            await asyncio.wait_for(self.read_answer(out, method), wait_s or deadline_ms / 1000)
        except asyncio.TimeoutError:
            out.end = "nothing more until the consumer left"
        except (ConnectionError, asyncio.IncompleteReadError) as failure:
            out.end = "channel ended: " + type(failure).__name__
        out.took = time.monotonic() - started
        record.line("answer request=%r status=%d complete=%s bytes=%d took_ms=%d%s" % (
            request, out.status, out.complete, len(out.body), out.took * 1000, out.end and " end=" + out.end))
        return out

    async def read_answer(self, out, method):
        head = await read_message(self.reader, head_only=True)
        if head is None:
            raise ConnectionError
        out.status = int(head.first.split()[1])
        out.headers = head.headers
        length = head.get("Content-Length")
        if "chunked" in head.get("Transfer-Encoding").lower():
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                out.body += data[:-2]
        elif length and method != "HEAD":
            out.body = await self.reader.readexactly(int(length))
        out.complete = True


async def ask(node, *args, **kwargs):
    """A request on a channel of its own."""
    channel = Channel(node)
    try:
        await channel.open()
    except OSError as failure:
        out = Answer()
        out.end = "no channel: " + type(failure).__name__
        node.site.record.line("answer request=%r no channel" % (args[0],))
        return out
    out = await channel.ask(*args, **kwargs)
    channel.close()
    return out


def new_id(source=random.SystemRandom()):
    return "%016x" % source.getrandbits(64)
