"""Stand-ins of the platform for the cases review/6 to review/10: its store, its servers and its consumers.

They speak what PROTOCOL.md says. The gateways are started as separate processes with the command of the deploy file.
Everything listens on free ports of loopback addresses.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "desk.example"
KEY = "key-one"
BEAT_S = 1.2  # beatMs
TENANT = "tenant-one"


def free_ports(count):
    """Returns free ports below the range from which outgoing channels take theirs. Scripts that start at the same moment
    begin at different ports, since a port is free again until the gateway takes it."""
    sockets = []
    port = 10000 + os.getpid() % 300 * 64
    try:
        while len(sockets) < count:
            it = socket.socket()
            port += 1
            try:
                it.bind(("127.0.0.1", port))
                sockets.append(it)
            except OSError:
                it.close()
        return [it.getsockname()[1] for it in sockets]
    finally:
        for it in sockets:
            it.close()


class Message:
    """The start line, headers and body of one HTTP message."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_message(reader):
    """Reads a message. Raises EOFError or ConnectionError if the channel ends before it does."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Message(lines[0], headers, body)
    except asyncio.IncompleteReadError as it:
        raise EOFError("the channel ended") from it


def format_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'X'}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def format_json(status, value):
    return format_answer(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Listener:
    """A listener whose channels are served by handle(channel, message)."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = 0
        self.channels = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the listener and resets all its channels."""
        self.server.close()
        for it in list(self.channels):
            it.reset()

    async def _serve(self, reader, writer):
        channel = Channel(reader, writer)
        self.channels.add(channel)
        try:
            while True:
                message = await read_message(reader)
                if channel.silent:
                    await asyncio.sleep(3600)
                await self.handle(channel, message)
        except (EOFError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(channel)
            if not channel.silent:
                writer.close()

    async def handle(self, channel, message):
        raise NotImplementedError

    @property
    def addr(self):
        return f"{self.address}:{self.port}"


class Channel:
    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.silent = False

    async def send(self, data):
        if self.silent:
            await asyncio.sleep(3600)
        self.writer.write(data)
        await self.writer.drain()

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        self.writer.transport.abort()


class Store(Listener):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.calls = {}

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": text, "rev": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        self._append(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._append({"key": key, "rev": self.revision, "deleted": True})

    def _append(self, event):
        self.history.append(event)
        waiting, self.changed = self.changed, asyncio.Event()
        waiting.set()

    def silence_open_channels(self):
        """The channels that are open now stay open, but nothing passes on them any more. New ones work."""
        for it in self.channels:
            it.silent = True
        return len(self.channels)

    async def handle(self, channel, message):
        path, _, query = message.target.partition("?")
        fields = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        self.calls[path] = self.calls.get(path, 0) + 1
        if path == "/v1/kv-key":
            item = self.items.get(fields.get("key", ""))
            answer = format_json(200, dict(item, asOf=self.revision)) if item else format_json(404, {})
        elif path == "/v1/kv-range":
            prefix, after = fields.get("prefix", ""), fields.get("after", "")
            found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            answer = format_json(200, {"items": found, "morePages": False, "asOf": self.revision})
        elif path == "/v1/kv-watch":
            answer = await self._watch(channel, fields)
        else:
            answer = format_json(404, {})
        await channel.send(answer)

    async def _watch(self, channel, fields):
        prefix, after = fields.get("prefix", ""), int(fields.get("after", "0"))
        end = time.monotonic() + min(30000, int(fields.get("waitMs", "0"))) / 1000
        while True:
            events = [e for e in self.history if e["rev"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return format_json(200, {"events": events, "asOf": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class StoreAddress(Listener):
    """An address of the store for one gateway, so that the store knows who calls."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.watches = 0  # that are open

    async def handle(self, channel, message):
        watch = message.target.startswith("/v1/kv-watch")
        self.watches += watch
        try:
            await self.store.handle(channel, message)
        finally:
            self.watches -= watch


class Server(Listener):
    """A server of a plain service. It runs each request for a few milliseconds."""

    def __init__(self, ident, service, slots=8, work_s=0.005):
        super().__init__()
        self.ident = ident
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.seq = 0
        self.runs = []  # (time, request id)
        self.running = 0
        self.leaving = False

    def entry(self, state="ready"):
        self.seq += 1
        return {"service": self.service, "addr": self.addr, "zone": "a", "version": "v1", "slots": self.slots,
                "state": state, "coldLeftMs": 0, "seq": self.seq}

    async def handle(self, channel, message):
        load = [("Limpetlock-Server-Load", f"{self.running},0,{self.slots}")]
        if self.leaving:  # "A server that leaves says so in all its answers too"
            load.append(("Server-Leaving", "1"))
        if message.target == "/healthz":
            await channel.send(format_answer(200, [("Limpetlock-Instance-Id", self.ident)] + load, b"{}"))
            return
        ident = message.get("Limpetlock-Request-Id")
        echo = ("Limpetlock-Request-Id", ident)
        if message.get("Limpetlock-Expect-Instance", self.ident) != self.ident:
            not_run = [("Limpetlock-Not-Run", "1"), ("Limpetlock-Instance-Id", self.ident), echo]
            await channel.send(format_answer(421, not_run + load))
            return
        await self.run(channel, message, ident, echo, load)

    async def run(self, channel, message, ident, echo, load):
        self.runs.append((time.monotonic(), ident))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        stamp = ("Limpetlock-Response-Stamp", f"{self.ident}.{ident}")
        await channel.send(format_answer(200, [echo, stamp] + load, f"answer to {ident}".encode()))


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 500, "protocol": "h1", "tls": False}


def plain_route(name, prefix, kind, service, timeout_ms=1500, attempts=2, goal_ms=100, **more):
    return dict({"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "goalMs": goal_ms,
                 "priority": 2, "service": service, "attempts": attempts, "public": False}, **more)


def engine_service(name):
    return dict(plain_service(name), engine={"slots": 12, "kvTokens": 785915, "kvTokenBytes": 18432})


def prompt_headers(prompt, tokens):
    return [("Limpetlock-Model", "m"), ("Limpetlock-Token-Count", tokens), ("Limpetlock-Prefix-Hash", prompt)]


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}]}


class Fleet:
    """Gateway processes, started with the command of the deploy file."""

    def __init__(self, store_addr, names, folder, bounds=None):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as it:
            self.command = tomllib.load(it)["roles"]["gateway"]["run"].split(" ")
        self.folder = folder
        self.names = names
        self.processes = {}
        self.settings = {}
        ports = free_ports(4 * len(names))
        self.ports = {name: ports[4 * n:4 * n + 4] for n, name in enumerate(names)}
        seeds = [f"127.0.0.1:{self.ports[name][2]}" for name in names[:3]]
        for name in names:
            front, ready, control, metrics = (f"127.0.0.1:{it}" for it in self.ports[name])
            self.settings[name] = {
                "node": name, "role": "gateway", "class": "edge", "serves": ["edge", "control"], "ip": "127.0.0.1",
                "zone": "a", "region": "r", "zones": {"a": "r"},
                "listen": {"front": front, "ready": ready, "control": control},
                "portRange": [self.ports[name][3], self.ports[name][3]], "seeds": seeds, "bootstrap": True,
                "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                           "diskMb": 0},
                "dataDir": None, "discovery": "platform", "entry": "vip", "beatMs": int(BEAT_S * 1000),
                "bounds": dict({"seedLagS": 3, "reuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                                "drainMs": 2000, "graceS": 8, "lostMs": 200, "configMs": 2000,
                                "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": True, "revokeMs": 5000,
                                "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "recoverS": 12,
                                "passMs": 120, "reuseWindowS": 10}, **(bounds or {})),
                "provider": {"addr": store_addr, "form": "read", "writesPerS": 400, "readsPerS": 2000,
                             "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}

    def start(self, name):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as it:
            json.dump(self.settings[name], it)
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.command, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                     "LIMPETLOCK_CONFIG": path})

    def start_all(self):
        for it in self.names:
            self.start(it)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def stop_all(self):
        for it in self.processes.values():
            if it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
        for it in self.processes.values():
            it.wait()

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def front(self, name):
        return self.ports[name][0]

    async def is_ready(self, name):
        try:
            answer = await asyncio.wait_for(ask(self.ports[name][1], "GET", "/v1/readyz", []), 1)
            return answer.status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(await asyncio.gather(*(self.is_ready(it) for it in self.names))):
                return True
            await asyncio.sleep(0.2)
        return False


async def ask(port, method, target, headers, body=b"", host=HOST):
    """Sends one request on a channel of its own and returns the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"] + [f"{k}: {v}" for k, v in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.transport.abort()


class Consumers:
    """Sends requests to all gateways in turn, each on a channel of its own."""

    def __init__(self, fleet, deadline_ms=1500):
        self.fleet = fleet
        self.deadline_ms = deadline_ms
        self.sent = {}  # id -> (time, gateway)
        self.answers = {}  # id -> (time, status or what went wrong)

    async def send(self, ident, name, method, target, more=()):
        self.sent[ident] = (time.monotonic(), name)
        headers = [("Limpetlock-Request-Id", ident), ("Limpetlock-Deadline-Ms", str(self.deadline_ms)),
                   ("Authorization", "Bearer " + KEY), *more]
        try:
            answer = await asyncio.wait_for(ask(self.fleet.front(name), method, target, headers),
                                            self.deadline_ms / 1000 + 1)
            result = answer.status
        except (OSError, EOFError, asyncio.TimeoutError) as it:
            result = type(it).__name__
        self.answers[ident] = (time.monotonic(), result)
        return result

    async def send_clump(self, method, prefix, count, gap_s=0.002):
        """Sends a clump of requests and returns when all are answered."""
        tasks = []
        for _ in range(count):
            n = len(self.sent) + 1
            name = self.fleet.names[n % len(self.fleet.names)]
            tasks.append(asyncio.ensure_future(self.send(f"{n:016x}", name, method, f"{prefix}{n}")))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)

    def count(self, result):
        return sum(1 for _, it in self.answers.values() if it == result)

    def write_to(self, record):
        for ident, (at, name) in self.sent.items():
            record.add(f"{ident} is sent to {name}", at)
        for ident, (at, result) in self.answers.items():
            record.add(f"{ident} is answered {result}", at)


class Record:
    """Collects the lines of record.txt."""

    def __init__(self, case_folder):
        self.path = os.path.join(case_folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []

    def at(self, moment=None):
        return (time.monotonic() if moment is None else moment) - self.began

    def add(self, text, moment=None):
        self.lines.append((self.at(moment), text))

    def note(self, text):
        self.add(text)
        print(f"{self.at():8.3f} {text}", flush=True)

    def write(self):
        with open(self.path, "w") as it:
            for moment, text in sorted(self.lines, key=lambda line: line[0]):
                it.write(f"{moment:9.3f} {text}\n")


class CannotRun(Exception):
    """The case could not run, which says nothing of the rule."""


def play(case_folder, scenario, limit_s=110):
    """Runs scenario(record, folder, trouble) and exits with its result: 0, 1, or 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = tempfile.mkdtemp(prefix="limpetlock-case-")
    record = Record(case_folder)
    record.note(f"trouble={'yes' if trouble else 'no'}")
    code = 2
    try:
        code = asyncio.run(asyncio.wait_for(scenario(record, folder, trouble), limit_s))
    except (CannotRun, asyncio.TimeoutError, OSError) as it:
        record.note(f"could not run: {type(it).__name__} {it}")
    finally:
        record.write()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


class Engine(Server):
    """A model server. A request whose prompt has the deadly part crashes it when it begins to write the answer: all its
    channels are reset, and new ones are refused until it is back under its id with another `born`. With `begun`, the head
    of the answer and the begin of its first event have left by then, otherwise nothing."""

    def __init__(self, ident, service, store, deadly_part="", down_s=4.0, begun=False, events=10, gap_s=0.03):
        super().__init__(ident, service, slots=12)
        self.store = store
        self.deadly_part = deadly_part
        self.down_s = down_s
        self.begun = begun
        self.lapse_s = 3 * BEAT_S
        self.events = events
        self.gap_s = gap_s
        self.born = int(time.time() * 1000)
        self.crashes = []  # times
        self.cut_streams = 0  # sound ones that a crash cut

    def entry(self, state="ready"):
        return dict(super().entry(state), born=self.born)

    def publish(self):
        self.store.put("servers/" + self.ident, self.entry())

    async def crash(self):
        self.crashes.append(time.monotonic())
        self.cut_streams += max(0, self.running - 1)
        self.stop()
        lapse = asyncio.get_running_loop().call_later(self.lapse_s, self.store.remove, "servers/" + self.ident)
        await asyncio.sleep(self.down_s)
        lapse.cancel()
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.start()
        self.publish()

    async def run(self, channel, message, ident, echo, load):
        self.runs.append((time.monotonic(), ident))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            parts = [it.split(":")[0].strip() for it in message.get("Limpetlock-Prefix-Hash").split(",")]
            lines = [f"{k}: {v}" for k, v in [echo, ("Limpetlock-Response-Stamp", f"{self.ident}.{ident}")] + load]
            head = ["HTTP/1.1 200 OK"] + lines + ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            head = ("\r\n".join(head) + "\r\n\r\n").encode()
            if self.deadly_part in parts[:-1]:
                if self.begun:
                    await channel.send(head + b"4\r\nid: \r\n")
                    await asyncio.sleep(0.02)
                if self.server.is_serving():
                    asyncio.ensure_future(self.crash())
                return
            await channel.send(head)
            for n in range(1, self.events + 1):
                event = f"id: {n}\ndata: {ident} {n}\n\n".encode()
                await channel.send(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(self.gap_s)
            await channel.send(b"0\r\n\r\n")
        finally:
            self.running -= 1
