"""Stand-ins for a small deployment on loopback: the platform's store, backend
servers, and the processes of foxtail-gateway. Standard library only."""

import asyncio
import base64
import json
import logging
import os
import re
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Seconds after which a case ends as one that could not run.
CASE_TIMEOUT_S = 110

_claimed = set()


def free_port():
    """Returns a loopback port that is free for TCP and UDP, a different one at
    each call."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _claimed:
            _claimed.add(port)
            return port


class Record:
    """Writes what happened, with the seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Message:
    """A request or a response head with its body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    @property
    def status(self):
        return int(self.first.split()[1])

    @property
    def method(self):
        return self.first.split()[0]

    @property
    def target(self):
        return self.first.split()[1]


async def read_message(reader):
    """Reads one message; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers, b"")
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            if size == 0:
                await reader.readline()
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        message.body = body
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif lines[0].startswith("HTTP/") and "connection" in headers:
        message.body = await reader.read()
    return message


def build(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: tables of rows, feeds and conditional
    transactions."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.history_start = 0
        self.era = 0
        self.copy = None
        self.changed = asyncio.Condition()
        self.port = free_port()
        # Called with a request; returns "" to serve it, "busy" for 503,
        # "silent", "reset", "lost" to serve it and lose the answer, or a number
        # of seconds to delay it.
        self.policy = lambda request: ""

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 22)

    async def put(self, table, key, value):
        """A write of the operator or of a server; returns at the ack."""
        async with self.changed:
            self.version += 1
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.rows[(table, key)] = (
                self.version, base64.b64encode(data).decode(), False)
            self.changed.notify_all()
        return self.version

    async def remove(self, table, key):
        async with self.changed:
            if (table, key) in self.rows:
                self.version += 1
                self.rows[(table, key)] = (self.version, "", True)
                self.changed.notify_all()

    def take_copy(self):
        self.copy = (dict(self.rows), self.version)

    async def restore_copy(self):
        async with self.changed:
            self.rows, self.version = dict(self.copy[0]), self.copy[1]
            self.era += 1
            self.changed.notify_all()

    def common(self):
        return {"ver": self.version, "now_s": round(time.monotonic(), 3)}

    def row_json(self, table, key, row):
        version, value, removed = row
        out = {"table": table, "part": "", "key": key, "ver": version}
        if removed:
            out["removed"] = True
        else:
            out["value"] = value
        return out

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                policy = self.policy(request)
                if isinstance(policy, (int, float)):
                    await asyncio.sleep(policy)
                    policy = ""
                if policy == "silent":
                    await asyncio.sleep(3600)
                if policy == "reset":
                    writer.transport.abort()
                    return
                status, body = (503, {}) if policy == "busy" else \
                    await self.handle(request)
                if policy == "lost":
                    writer.transport.abort()
                    return
                data = json.dumps(body).encode()
                headers = {"Content-Type": "application/json",
                           "Content-Length": len(data)}
                if self.era:
                    headers["Store-Era"] = self.era
                writer.write(build(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(
            url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if url.path == "/rows-tx":
            return await self.transact(json.loads(request.body))
        if url.path == "/rows-get":
            return self.get(query)
        if url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def get(self, query):
        rows = [self.row_json(t, k, r) for (t, k), r in sorted(self.rows.items())
                if t == query["table"] and not r[2] and k >= query.get("from", "")
                and not ("target" in query and k >= query["target"])]
        return 200, {"rows": rows[:500], "has_more": len(rows) > 500, **self.common()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        async with self.changed:
            while True:
                if after < self.history_start or after > self.version or era != self.era:
                    return 410, self.common()
                rows = sorted((r[0], k) for (t, k), r in self.rows.items()
                              if t == table and r[0] > after)
                left = until - time.monotonic()
                if rows or left <= 0:
                    out = [self.row_json(table, k, self.rows[(table, k)])
                           for _, k in rows]
                    return 200, {"rows": out, **self.common()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        async with self.changed:
            for expected in body.get("expected_rev", []):
                row = self.rows.get((expected["table"], expected["key"]))
                version = 0 if row is None or row[2] else row[0]
                if version != expected["ver"]:
                    return 412, {"rows": [], **self.common()}
            self.version += 1
            for write in body.get("writes", []):
                self.rows[(write["table"], write["key"])] = (
                    self.version, write["value"], False)
            for drop in body.get("drop", []):
                self.rows[(drop["table"], drop["key"])] = (self.version, "", True)
            self.changed.notify_all()
        return 200, self.common()


class Server:
    """A backend server. `answer` may be replaced to misbehave as the pages
    allow."""

    def __init__(self, record, store, service, name, zone="z1", slots=8,
                 sharded=False, port=None, born=None, work_s=0.02):
        self.record, self.store = record, store
        self.service, self.id, self.zone = service, name, zone
        self.slots, self.sharded, self.work_s = slots, sharded, work_s
        self.port = port or free_port()
        self.born = born or int(time.time() * 1000)
        self.state, self.written_state = "ready", None
        self.sequence = 0
        self.runs = []          # (request id, start, end, message)
        self.holds = []         # [first, last, fence, until]
        self.fences = []        # (first, last, fence)
        self.running = set()    # (key, id) of requests at work
        self.connections = set()
        self.answer = None
        self.grant_log = []

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self, register=True):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 22)
        if register:
            await self.register()

    async def register(self):
        """Writes the entry. The row changes only when more than the sequence
        does."""
        self.sequence += 1
        if self.state == self.written_state:
            return
        self.written_state = self.state
        await self.store.put("servers", self.id, {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "warmup_left_s": 0}})
        self.record("registered", server=self.id, state=self.state)

    async def beat(self, heartbeat_s, first_s):
        """Writes the entry about every `heartbeat_s`."""
        await asyncio.sleep(first_s)
        while True:
            await self.register()
            await asyncio.sleep(heartbeat_s)

    async def stop(self):
        """Ends the process of the server."""
        self.record("server ended", server=self.id)
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def holds_key(self, key):
        now = time.monotonic()
        return any(f <= key <= l and now < until for f, l, _, until in self.holds)

    def highest_fence(self, first, last):
        return max([fence for f, l, fence in self.fences
                    if f <= last and first <= l], default=0)

    def cut_holds(self, first, last):
        kept = []
        for f, l, fence, until in self.holds:
            if l < first or last < f:
                kept.append([f, l, fence, until])
                continue
            if f < first:
                kept.append([f, first - 1, fence, until])
            if last < l:
                kept.append([last + 1, l, fence, until])
        self.holds = kept

    def grant(self, call, arrived):
        first, last, fence = call["from"], call["target"], call["fence"]
        if fence < self.highest_fence(first, last):
            return 409
        self.fences.append((first, last, fence))
        if len(self.fences) > 2000:
            self.fences = self.fences[-1000:]
        self.cut_holds(first, last)
        self.holds.append([first, last, fence, arrived + call["hold_s"]])
        return 200

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                arrived = time.monotonic()
                wanted = request.get("x-foxtailcart-target-instance")
                if wanted and wanted != self.id:
                    writer.write(build("HTTP/1.1 421 Misdirected Request", {
                        "X-Foxtailcart-Instance-Id": self.id,
                        "X-Foxtailcart-Not-Executed": 1,
                        "X-Foxtailcart-Request-Id":
                            request.get("x-foxtailcart-request-id"),
                        "Content-Length": 0}))
                    continue
                if request.target in ("/grant", "/release"):
                    await self.serve_control(request, writer, arrived)
                    continue
                if await self.serve_request(request, writer) == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_control(self, request, writer, arrived):
        call = json.loads(request.body)
        first, last = call["from"], call["target"]
        headers = {"Content-Length": 0}
        if request.target == "/grant":
            status = self.grant(call, arrived)
        else:
            self.cut_holds(first, last)
            while any(first <= key <= last for key, _ in self.running):
                await asyncio.sleep(0.005)
            status = 200
            headers["X-Foxtailcart-Handover"] = "0011223344556677"
        self.grant_log.append((arrived, request.target, first, last,
                               call["fence"], call.get("hold_s"), status))
        writer.write(build(f"HTTP/1.1 {status} X", headers))
        await writer.drain()

    def head(self, request, status=200, extra=None):
        headers = {
            "X-Foxtailcart-Request-Id": request.get("x-foxtailcart-request-id"),
            "X-Foxtailcart-Response-Stamp": f"stamp-{self.id}",
            "X-Foxtailcart-Server-Load": f"{len(self.running)},0,{self.slots}",
        }
        headers.update(extra or {})
        return f"HTTP/1.1 {status} X", headers

    async def serve_request(self, request, writer):
        name = request.get("x-foxtailcart-request-id")
        key = int(request.get("x-foxtailcart-shard-key", "-1"))
        if self.sharded and not self.holds_key(key):
            first, headers = self.head(request, 421, {
                "X-Foxtailcart-Not-Executed": 1, "Content-Length": 0})
            writer.write(build(first, headers))
            await writer.drain()
            return ""
        began = time.monotonic()
        self.running.add((key, name))
        self.record("run", server=self.id, id=name, path=request.target,
                    tenant=request.get("x-foxtailcart-tenant"))
        run = [name, began, None, request]
        self.runs.append(run)
        try:
            if self.answer:
                return await self.answer(self, request, writer)
            await asyncio.sleep(self.work_s)
            body = f"body of {name} by {self.id}".encode()
            first, headers = self.head(request, 200, {"Content-Length": len(body)})
            writer.write(build(first, headers, body))
            await writer.drain()
            return ""
        finally:
            run[2] = time.monotonic()
            self.running.discard((key, name))


class Gateway:
    """One process of foxtail-gateway, started with the command of the deploy
    file. Its limits are those of a machine of ceras-ros, but for
    `cpu_share`: the host with the most becomes leader."""

    def __init__(self, record, store_address, zone="z1", log=None,
                 cpu_share=0.2):
        self.record = record
        self.zone, self.log = zone, log
        self.front, self.ready = free_port(), free_port()
        self.process = None
        at = "127.0.0.1:{}".format
        fields = {
            "ip": "127.0.0.1", "zone": zone,
            "listen.front": at(self.front), "listen.ready": at(self.ready),
            "internal_ports.0": free_port(), "internal_ports.1": free_port(),
            "platform.address": store_address, "limits.cpu_share": cpu_share,
            "limits.memory_mb": 260, "limits.max_fds": 4100}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        run = deploy["roles"]["gateway"]["run"]
        self.command = [
            re.sub(r"{{([^}]+)}}", lambda found: str(fields[found[1]]), word)
            for word in run.split()]

    async def start(self):
        output = open(self.log, "ab") if self.log else asyncio.subprocess.DEVNULL
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdout=output, stderr=output,
            stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", "")})
        self.record("gateway started", front=self.front, zone=self.zone,
                    pid=self.process.pid)

    def send_signal(self, number):
        self.record("signal", front=self.front,
                    number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            if writer:
                writer.close()

    async def until_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Client:
    """A connection of a requester, kept open for several requests."""

    def __init__(self, record, port, host="shop.example"):
        self.record, self.port, self.host = record, port, host
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=1 << 24)

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None

    def bytes_of(self, method, path, name, deadline_ms, headers=None, body=b""):
        fields = {"Host": self.host, "X-Foxtailcart-Request-Id": name,
                  "X-Foxtailcart-Request-Deadline": deadline_ms}
        fields.update(headers or {})
        if body or method != "GET":
            fields["Content-Length"] = len(body)
        return build(f"{method} {path} HTTP/1.1", fields, body)

    async def ask(self, method, path, name, deadline_ms=1000, headers=None, body=b""):
        """Returns the response, or None if the connection ended without one."""
        if not self.writer:
            await self.open()
        self.record("sent", id=name, method=method, path=path, front=self.port)
        try:
            self.writer.write(self.bytes_of(method, path, name, deadline_ms,
                                            headers, body))
            answer = await asyncio.wait_for(read_message(self.reader),
                                            deadline_ms / 1000 + 3)
        except (ConnectionError, asyncio.TimeoutError,
                asyncio.IncompleteReadError, ValueError) as failure:
            self.record("no answer", id=name, cause=type(failure).__name__)
            self.close()
            return None
        self.record("answered", id=name,
                    status=answer.status if answer else "none",
                    stamp=answer.get("x-foxtailcart-response-stamp") if answer else "",
                    body=answer.body[:60] if answer else "")
        if answer is None or answer.get("connection").lower() == "close":
            self.close()
        return answer


def configuration(version, routes, services, tenants=None, limits=None):
    return {
        "version": f"{version:08x}", "routes": routes, "services": services,
        "limits": limits or {"header_bytes": 16384, "body_bytes": 67108864,
                             "header_timeout_s": 3, "idle_timeout_s": 15},
        **({"tenants": tenants} if tenants is not None else {})}


def route(name, prefix, service, kind="safe", timeout_s=1.0, attempts=2,
          public=False, **more):
    return {"name": name, "host": "shop.example", "prefix": prefix,
            "route_type": kind, "timeout_s": timeout_s, "target_latency_s": 0.4,
            "priority": 1, "service": service, "max_attempts": attempts,
            "public": public, **more}


def service(name, sharded=False, **more):
    return {"name": name, "health_path": "/health", "max_conns": 120,
            "protocol": "h1", "tls": False, "warmup_s": 3.0, "warmup_per_s": 4.9,
            **({"sharded": True, "warm_s": 2.0, "grants": "rpc"} if sharded else {}),
            **more}


def run_case(folder, case):
    """Runs `case(record, trouble, logs)`, a coroutine that returns an exit
    code, and exits with it. `logs` is a temporary folder."""
    logging.disable(logging.CRITICAL)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as logs:
        try:
            code = asyncio.run(asyncio.wait_for(
                case(record, trouble, Path(logs)), CASE_TIMEOUT_S))
        except Exception:  # the reason goes into the record
            record("could not run", reason=repr(traceback.format_exc()))
    record("result", code=code, trouble=int(trouble))
    record.close()
    names = {HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "could not run"}
    print(f"{Path(folder).name}: trouble={int(trouble)} {names[code]}")
    sys.exit(code)


async def start_all(gateways):
    """Starts gateways and waits until all are ready."""
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        if not await gateway.until_ready():
            raise RuntimeError("a gateway did not become ready")


async def kill_all(gateways):
    for gateway in gateways:
        await gateway.kill()
