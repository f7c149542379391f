"""Stand-ins for the platform, the backend servers and the clients.

They follow the users' pages PROTOCOL.md and DEPLOY.md. All of them run in one
process on loopback addresses; the gateways are separate processes, started with
the command line of deploy/system.toml. Every observation is a line of JSON in
the record, with the seconds since the start.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "shop.example"
API_KEY = "k3yk3yk3yk3yk3yk3y01"
TENANT = "tenant1"
KEYS = 65536
# Exit codes of a case.
BROKEN, HELD, NOT_RUN = 1, 0, 2


def trouble_enabled():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        if self.file.closed:
            return
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")

    def close(self):
        self.file.close()


class Message:
    """An HTTP/1.1 request or response."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    def get(self, name, fallback=None):
        return self.headers.get(name.lower(), fallback)


async def read_message(reader):
    """Returns the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(await reader.readline(), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Message(lines[0], headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def response(status, headers=None, body=b""):
    reasons = {200: "OK", 401: "Unauthorized", 409: "Conflict", 410: "Gone",
               412: "Precondition Failed", 421: "Misdirected Request",
               503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: rows, transactions and the change feed."""

    DELAY = 0.004  # seconds an answer takes

    def __init__(self):
        self.rows = {}
        self.changes = {}
        self.ver = 0
        self.changed = asyncio.Event()
        self.address = None
        self.server = None
        # While it is silent, the store takes calls and answers none; the
        # connections of these calls deliver nothing further.
        self.silent = False
        self.outages = 0
        # Changes up to this version are no longer in the history.
        self.dropped_to = 0

    def begin_silence(self):
        self.silent = True
        self.outages += 1

    def end_silence(self):
        self.silent = False

    def drop_history(self):
        self.dropped_to = self.ver

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value, part=""):
        """Writes a row on behalf of an operator, a server or another writer."""
        self.apply([(table, part, key, base64.b64encode(value).decode())])

    def put_json(self, table, key, value):
        self.put(table, key, json.dumps(value).encode())

    def drop(self, table, key, part=""):
        self.apply([(table, part, key, None)])

    def apply(self, writes):
        self.ver += 1
        for table, part, key, value in writes:
            name = (table, part, key)
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.ver)
            self.changes[name] = (self.ver, value)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                method, target, _ = message.start_line.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                outages = self.outages
                await asyncio.sleep(self.DELAY)
                if not self.silent:
                    status, body = await self.answer(path, query, message.body)
                if self.silent or self.outages != outages:
                    await reader.read()  # until the caller gives up
                    break
                writer.write(response(status, {"Content-Type": "application/json"},
                                      json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        if path == "/rows-get":
            return 200, self.read(query)
        if path == "/rows-feed":
            if int(query["after"]) < self.dropped_to:
                return 410, self.stamp({})
            return 200, await self.feed(query)
        return 404, {}

    def stamp(self, body):
        return {**body, "ver": self.ver, "now_s": time.monotonic()}

    def transact(self, body):
        current = []
        matches = True
        for row in body.get("expected_rev", []):
            name = (row["table"], row["part"], row["key"])
            value, ver = self.rows.get(name, (None, 0))
            matches = matches and ver == row["ver"]
            if value is not None:
                current.append({"table": name[0], "part": name[1], "key": name[2],
                                "value": value, "ver": ver})
        if not matches:
            return 412, self.stamp({"rows": current})
        writes = [(w["table"], w["part"], w["key"], w["value"])
                  for w in body.get("writes", [])]
        writes += [(d["table"], d["part"], d["key"], None)
                   for d in body.get("drop", [])]
        self.apply(writes)
        return 200, self.stamp({})

    def read(self, query):
        found = sorted(name for name in self.rows
                       if name[0] == query["table"]
                       and name[1] == query.get("part", "")
                       and name[2] >= query.get("from", "")
                       and ("target" not in query or name[2] < query["target"]))
        limit = min(500, int(query.get("limit", 500)))
        rows = [{"table": n[0], "part": n[1], "key": n[2],
                 "value": self.rows[n][0], "ver": self.rows[n][1]}
                for n in found[:limit]]
        return self.stamp({"rows": rows, "has_more": len(found) > limit})

    async def feed(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            changed = sorted((ver, name, value)
                             for name, (ver, value) in self.changes.items()
                             if name[0] == query["table"] and ver > after)
            left = until - time.monotonic()
            if changed or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for ver, name, value in changed:
            row = {"table": name[0], "part": name[1], "key": name[2], "ver": ver}
            if value is None:
                row["removed"] = True
            else:
                row["value"] = value
            rows.append(row)
        return self.stamp({"rows": rows})


class Server:
    """A backend server. With `sharded` it runs requests only for keys it holds."""

    QUEUE = 8

    def __init__(self, world, name, service, zone, sharded, slots=2, work_s=0.1):
        self.world = world
        self.record = world.record
        self.id = "i-" + name
        self.service = service
        self.zone = zone
        self.sharded = sharded
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.up = True
        self.seen_fence = [0] * KEYS
        self.held_until = [0.0] * KEYS
        self.running = {}
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.address = None
        self.listener = None
        self.connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0,
                                                   limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        self.register()

    def entry(self):
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": 1,
                           "warmup_left_s": 0}}

    def register(self):
        self.world.store.put_json("servers", self.id, self.entry())

    def drain(self):
        self.state = "draining"
        self.register()
        self.record.write("server draining", server=self.id)

    def start_again(self, name):
        """Crashes and starts again at the same address under another id.

        The new life holds no keys and knows nothing of before. Neither the end
        nor the start is known to the store yet. Returns the entry of the life
        that has ended.
        """
        entry = self.entry()
        for writer in list(self.connections):
            writer.transport.abort()
        self.id = "i-" + name
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.seen_fence = [0] * KEYS
        self.held_until = [0.0] * KEYS
        self.running = {}
        self.record.write("server started again", server=self.id)
        return entry

    def holds(self, key):
        return self.up and self.held_until[key] > time.monotonic()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while message := await read_message(reader):
                writer.write(await self.handle(message))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, message):
        method, target, _ = message.start_line.split(" ")
        wanted = message.get("X-Foxtailcart-Target-Instance", self.id)
        if wanted != self.id:
            return response(421, {"X-Foxtailcart-Instance-Id": self.id})
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return response(status, {"X-Foxtailcart-Instance-Id": self.id,
                                     "X-Foxtailcart-Server-Load": self.load()})
        if target == "/grant":
            return self.grant(json.loads(message.body))
        if target == "/release":
            return await self.release(json.loads(message.body))
        return await self.run(method, target, message)

    def load(self):
        return f"{len(self.running)},{self.waiting},{self.slots}"

    def grant(self, call):
        first, last, fence = call["from"], call["target"], call["fence"]
        if max(self.seen_fence[first:last + 1]) > fence:
            self.record.write("grant refused", server=self.id, first=first,
                              last=last, fence=fence)
            return response(409)
        count = last - first + 1
        self.seen_fence[first:last + 1] = [fence] * count
        ends = time.monotonic() + call["hold_s"]
        self.held_until[first:last + 1] = [ends] * count
        self.record.write("granted", server=self.id, first=first, last=last,
                          fence=fence, hold_s=call["hold_s"])
        return response(200)

    async def release(self, call):
        first, last = call["from"], call["target"]
        self.held_until[first:last + 1] = [0.0] * (last - first + 1)
        self.record.write("release asked", server=self.id, first=first, last=last)
        while any(first <= key <= last for key in self.running.values()):
            await asyncio.sleep(0.005)
        self.record.write("released", server=self.id, first=first, last=last)
        return response(200, {"X-Foxtailcart-Handover": "5c0e7a21d94b36f8"})

    async def run(self, method, target, message):
        request = message.get("X-Foxtailcart-Request-Id", "")
        echo = {"X-Foxtailcart-Request-Id": request}
        not_run = {**echo, "X-Foxtailcart-Not-Executed": "1"}
        self.record.write("arrived", server=self.id, request=request)
        if not request:
            return response(400, {"X-Foxtailcart-Not-Executed": "1"})
        if self.waiting >= self.QUEUE:
            return response(503, not_run)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            key = int(message.get("X-Foxtailcart-Shard-Key", 0))
            if self.sharded and not self.holds(key):
                self.record.write("not held", server=self.id, request=request, key=key)
                return response(421, not_run)
            self.running[request] = key
            self.record.write("run", server=self.id, request=request, key=key)
            self.world.on_run(self, request, key)
            work = float(message.get("X-Work-Seconds", self.work_s))
            await asyncio.sleep(work)
            self.running.pop(request, None)
            self.record.write("ran", server=self.id, request=request, key=key)
        return response(200, {**echo,
                              "X-Foxtailcart-Response-Stamp": f"{self.id}.{request}",
                              "X-Foxtailcart-Server-Load": self.load()},
                        f"{request} by {self.id}".encode())


class Gateway:
    """A foxtail-gateway process with the command line of the deploy file."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.process = None
        self.starts = 0
        self.front, self.ready, self.internal, self.metrics = (
            free_port() for _ in range(4))

    def command(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            words = tomllib.load(file)["roles"]["gateway"]["run"].split()
        values = {"listen.front": f"127.0.0.1:{self.front}",
                  "listen.ready": f"127.0.0.1:{self.ready}",
                  "ip": "127.0.0.1",
                  "internal_ports.0": str(self.internal),
                  "internal_ports.1": str(self.metrics),
                  "platform.address": self.world.store.address,
                  "zone": self.zone, "limits.cpu_share": "0.2"}
        return [re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: values[m[1]], word)
                for word in words]

    def start(self):
        self.starts += 1
        log = open(os.path.join(self.world.logs, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(self.command(), cwd=ROOT, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.world.record.write("gateway started", gateway=self.name,
                                pid=self.process.pid)

    def signal(self, number):
        self.world.record.write("signal", gateway=self.name,
                                signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def has_ended(self):
        return self.process is None or self.process.poll() is not None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer.start_line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A client that keeps one connection and sends one request after the other."""

    ids = itertools.count(1)

    def __init__(self, world, gateway, route, method, sharded, work_s=None,
                 deadline_ms=1200, body=b""):
        self.world = world
        self.gateway = gateway
        self.route = route
        self.method = method
        self.sharded = sharded
        self.work_s = work_s
        self.deadline_ms = deadline_ms
        self.body = body
        self.reader = None
        self.writer = None
        self.stopping = False

    async def loop(self, pause_s, pick_key):
        while not self.stopping:
            await self.send(pick_key())
            await asyncio.sleep(pause_s)
        self.close()

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, key=0):
        """Sends a request and returns its outcome: a status or "closed"."""
        record = self.world.record
        request = "%016x" % next(self.ids)
        kept = self.writer is not None
        try:
            if not kept:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self.gateway.front), 1)
        except (OSError, asyncio.TimeoutError):
            record.write("no connection", gateway=self.gateway.name)
            await asyncio.sleep(0.1)
            return "no connection"
        lines = [f"{self.method} {self.route}item HTTP/1.1", f"Host: {HOST}",
                 f"X-Foxtailcart-Request-Id: {request}",
                 f"X-Foxtailcart-Request-Deadline: {self.deadline_ms}",
                 f"X-Foxtailcart-Credential: {API_KEY}"]
        if self.sharded:
            lines.append(f"X-Foxtailcart-Shard-Key: {key}")
        if self.work_s is not None:
            lines.append(f"X-Work-Seconds: {self.work_s}")
        if self.body or self.method != "GET":
            lines.append(f"Content-Length: {len(self.body)}")
        record.write("sent", request=request, gateway=self.gateway.name,
                     method=self.method, key=key, kept=kept,
                     bytes=len(self.body))
        outcome = "closed"
        keeps = False
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + self.body)
            await self.writer.drain()
            record.write("all sent", request=request)
            answer = await asyncio.wait_for(read_message(self.reader),
                                            self.deadline_ms / 1000 + 1)
            if answer:
                outcome = int(answer.start_line.split(" ")[1])
                keeps = answer.get("connection", "").lower() != "close"
        except asyncio.TimeoutError:
            outcome = "no answer"
        except ConnectionError:
            outcome = "closed"
        record.write("answered", request=request, outcome=outcome, kept=kept,
                     gateway=self.gateway.name)
        self.world.on_answer(self, request, outcome, kept)
        if not keeps:
            self.close()
        return outcome


class World:
    """The platform, the servers, the gateways and the clients of a case."""

    def __init__(self, folder):
        self.temporary = tempfile.TemporaryDirectory(prefix="foxtail-review-")
        self.logs = self.temporary.name
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = None
        self.servers = []
        self.gateways = []
        self.clients = []
        self.tasks = []
        self.version = 0
        self.runs = {}

    # Hooks of the cases.
    def on_run(self, server, request, key):
        self.runs.setdefault(request, []).append(server)

    def on_answer(self, client, request, outcome, kept):
        pass

    def configuration(self):
        self.version += 1
        return {
            "version": "%08x" % self.version,
            "routes": [
                {"name": "r-stock", "host": HOST, "prefix": "/stock/",
                 "route_type": "safe", "timeout_s": 1, "target_latency_s": 0.4,
                 "priority": 2, "service": "catalogue", "max_attempts": 2,
                 "public": False},
                {"name": "r-order", "host": HOST, "prefix": "/order/",
                 "route_type": "unsafe", "timeout_s": 1.2,
                 "target_latency_s": 0.5, "priority": 1, "service": "catalogue",
                 "max_attempts": 2, "public": False},
                {"name": "r-settle", "host": HOST, "prefix": "/settle/",
                 "route_type": "unsafe", "timeout_s": 1.2,
                 "target_latency_s": 0.5, "priority": 0, "service": "billing",
                 "max_attempts": 2, "public": False}],
            "services": [
                {"name": "catalogue", "health_path": "/health", "max_conns": 120,
                 "protocol": "h1", "tls": False, "warmup_s": 3.0,
                 "warmup_per_s": 4.9, "sharded": True, "warm_s": 2.0,
                 "grants": "rpc"},
                {"name": "billing", "health_path": "/health", "max_conns": 120,
                 "protocol": "h1", "tls": False, "warmup_s": 3.0,
                 "warmup_per_s": 4.9}],
            "limits": {"header_bytes": 16384, "body_bytes": 67108864,
                       "header_timeout_s": 3, "idle_timeout_s": 15},
            "tenants": [{"name": TENANT, "api_keys": [API_KEY], "priority": 1,
                         "rate_per_s": 0, "burst": 0}]}

    async def start(self, servers, gateways=3):
        self.store = Store()
        await self.store.start()
        self.store.put_json("op", "config", self.configuration())
        self.servers = servers
        for server in servers:
            await server.start()
        zones = ["zone-a", "zone-b", "zone-c"]
        self.gateways = [Gateway(self, f"gateway-{i}", zones[i % 3])
                         for i in range(gateways)]
        for gateway in self.gateways:
            gateway.start()

    async def until_serving(self, timeout_s=20):
        """Waits until all gateways are ready and all keys have one holder."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            ready = [await gateway.is_ready() for gateway in self.gateways]
            sharded = [s for s in self.servers if s.sharded]
            owned = all(any(s.holds(k) for s in sharded)
                        for k in range(0, KEYS, 512))
            if all(ready) and owned:
                await asyncio.sleep(1.5)
                return True
            await asyncio.sleep(0.2)
        return False

    def find_leader(self):
        """Returns the gateway whose log says last that it leads."""
        last, leader = 0, None
        for gateway in self.gateways:
            with open(os.path.join(self.logs, f"{gateway.name}.log"),
                      encoding="utf-8") as log:
                for line in log:
                    if '"control_lease_acquired"' in line:
                        time_ms = json.loads(line)["time_ms"]
                        if time_ms > last:
                            last, leader = time_ms, gateway
        return leader

    def task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def stop(self):
        """Ends all processes that the case has started."""
        for client in self.clients:
            client.stopping = True
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            if not gateway.has_ended():
                gateway.process.kill()
                gateway.process.wait()
        self.record.close()
        self.temporary.cleanup()


def main(case):
    """Runs a case, a coroutine function that returns BROKEN, HELD or NOT_RUN."""
    async def bounded():
        return await asyncio.wait_for(case(), 110)

    try:
        code = asyncio.run(bounded())
    except Exception as failure:  # pylint: disable=broad-except
        print(f"the case could not run: {failure!r}")
        code = NOT_RUN
    # Connections that are still open need no orderly end.
    sys.stdout.flush()
    os._exit(code)
