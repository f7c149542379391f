"""Small stand-ins for the platform's store and the backend servers, and the
gateway as a process. All of it runs on loopback addresses, on one event loop.
"""

import asyncio
import base64
import json
import os
import re
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib.parse import parse_qsl, urlsplit

# The event loop holds only weak references to tasks.
TASKS = set()

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ID = b"x-foxtailcart-request-id"


def spawn(coroutine):
    task = asyncio.ensure_future(coroutine)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)
    return task


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, one line each, with the time."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the header fields, with lower-case names."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].split(b"\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields[name.strip().lower()] = value.strip()
    return lines[0].decode(), fields


class Store:
    """The row calls of PROTOCOL.md. Rows have no part."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.began = time.monotonic()
        self.era = 0
        self.away = False

    def take_copy(self):
        self.copy = dict(self.rows), self.version

    def come_back(self):
        """The store is back from its copy, in the next era."""
        self.rows, self.version = dict(self.copy[0]), self.copy[1]
        self.era += 1
        self.away = False
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, backlog=512, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Writes a row, as an operator or a server does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.commit([(table, key, text)])

    def drop(self, table, key):
        self.commit([(table, key, None)])

    def commit(self, writes):
        self.version += 1
        for table, key, text in writes:
            self.rows[table, key] = (self.version, text)
        self.changed.set()
        self.changed = asyncio.Event()

    def common(self):
        return {"ver": self.version, "now_s": time.monotonic() - self.began}

    def listed(self, table, first, end, after):
        rows = []
        for (of_table, key), (version, text) in self.rows.items():
            if of_table != table or key < first or (end and key >= end):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            if after is None and text is not None:
                rows.append({**row, "value": text})
            elif after is not None and version > after:
                rows.append({**row, "removed": True} if text is None
                            else {**row, "value": text})
        rows.sort(key=lambda row: row["key"] if after is None else row["ver"])
        return rows

    def transact(self, body):
        for row in body.get("expected_rev") or []:
            version, text = self.rows.get((row["table"], row["key"]), (0, None))
            if (version if text is not None else 0) != row["ver"]:
                return 412, {**self.common(), "rows": []}
        self.commit([(w["table"], w["key"], w["value"])
                     for w in body.get("writes") or []] +
                    [(d["table"], d["key"], None) for d in body.get("drop") or []])
        return 200, self.common()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if self.away:
            return 503, {}
        if url.path == "/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        if url.path == "/rows-get":
            rows = self.listed(query["table"], query.get("from", ""),
                               query.get("target", ""), None)
            return 200, {**self.common(), "rows": rows, "has_more": False}
        if url.path == "/rows-feed":
            after = int(query["after"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                if after > self.version:
                    return 410, {}
                rows = self.listed(query["table"], "", "", after)
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {**self.common(), "rows": rows}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(
                    int(fields.get(b"content-length", b"0")))
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\n%sContent-Length: %d\r\n\r\n%s" %
                             (status, b"Store-Era: %d\r\n" % self.era
                              if self.era else b"", len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def entry(port, service, zone, slots, born, state="ready"):
    """A server's registration."""
    return {"address": f"127.0.0.1:{port}", "born": born,
            "info": {"service": service, "version": "v1", "zone": zone,
                     "slots": slots},
            "status": {"state": state, "sequence": 1, "warmup_left_s": 0}}


class Gateway:
    """`foxtail-gateway`, started with the command of the deploy file."""

    def __init__(self, store_port, zone, limits):
        ports = {"front": free_port(), "ready": free_port()}
        internal = [free_port(), free_port()]
        values = {"listen.front": f"127.0.0.1:{ports['front']}",
                  "listen.ready": f"127.0.0.1:{ports['ready']}",
                  "ip": "127.0.0.1", "internal_ports.0": str(internal[0]),
                  "internal_ports.1": str(internal[1]),
                  "platform.address": f"127.0.0.1:{store_port}", "zone": zone}
        values.update({f"limits.{name}": str(limit)
                       for name, limit in limits.items()})
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"]
        words = [re.sub(r"\{\{([^}]*)\}\}", lambda m: values[m.group(1)], word)
                 for word in command.split(" ")]
        self.front, self.ready_port, self.metrics = (
            ports["front"], ports["ready"], internal[1])
        # The log goes to a temporary file that has no name.
        self.log = tempfile.TemporaryFile()
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=self.log,
                                        stderr=subprocess.STDOUT)

    async def status(self, port, path="/ready"):
        """Returns the status and the body of a GET, or 0 without an answer."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", port), 2)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            line, fields = await asyncio.wait_for(read_head(reader), 2)
            body = await reader.readexactly(
                int(fields.get(b"content-length", b"0")))
            writer.close()
            return int(line.split(" ")[1]), body.decode()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return 0, ""

    async def await_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if (await self.status(self.ready_port))[0] == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def alive(self):
        return self.process.poll() is None

    def stop(self):
        if self.alive():
            self.process.kill()
        self.process.wait()


def run_case(run, broken_rule):
    """Runs `run(record, trouble)`, which returns 0, 1 or 2, and exits the
    process with that."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record("record.txt")
    record(f"{broken_rule}: TROUBLE={int(trouble)}")

    async def body():
        try:
            code = await run(record, trouble)
        except Exception as failure:
            record(f"the case could not run: {failure!r}")
            code = 2
        record({0: "the rule held", 1: "the rule was broken",
                2: "the case could not run"}[code])
        os._exit(code)

    asyncio.run(body())
