"""A gateway is stopped as planned while downloads are on their way. Some of the
servers' answers say `Connection: close`. The rule LOST is checked at the
requesters and the servers."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import world  # noqa: E402

CLIENTS = 40
DEADLINE_MS = 6000
GRACE_S = 6.0
CONTACT_S = 3.0

# A download as on the sheet of agendaplein-be-grown: 90 KB in the mean, here
# 160 KB, sent in pieces over half a second.
PIECES, PIECE = 10, 16_000
PIECE_S = 0.05

# With the disruption, one answer in so many ends its connection.
ONE_CLOSES_IN = 4

# LOST names no number for a planned stop; a few are asked for here, so that no
# single request decides.
MIN_LOST = 3


class Download:
    """What one server did for one attempt at a request."""

    def __init__(self):
        self.began = time.monotonic()
        self.ended = None
        self.whole = False


def build_answer(trouble, downloads, draw):
    """Returns how the servers answer."""

    async def answer(server, request, writer):
        name = request.get("x-foxtailcart-request-id")
        download = Download()
        downloads.setdefault(name, []).append(download)
        closes = trouble and draw.randrange(ONE_CLOSES_IN) == 0
        extra = {"Content-Length": PIECES * PIECE}
        if closes:
            extra["Connection"] = "close"
        first, headers = server.head(request, 200, extra)
        try:
            writer.write(world.build(first, headers))
            for _ in range(PIECES):
                writer.write(b"x" * PIECE)
                await writer.drain()
                await asyncio.sleep(PIECE_S)
                if writer.transport.is_closing():
                    raise ConnectionResetError
            download.whole = True
        finally:
            download.ended = time.monotonic()
            server.record("server done", id=name, server=server.id,
                          whole=download.whole, closes=closes)
        return "close" if closes else ""

    return answer


class Asked:
    """What a requester saw of one request."""

    def __init__(self, name, sent):
        self.name, self.sent = name, sent
        self.ended, self.status, self.stamp, self.whole = None, None, "", False


async def ask_in_turn(record, gateway, number, asked, until):
    """A requester that keeps its connection open for many requests."""
    client, count = world.Client(record, gateway.front), 0
    while time.monotonic() < until:
        count += 1
        request = Asked(f"download-{number}-{count}", time.monotonic())
        try:
            answer = await client.ask(
                "GET", "/export/a", request.name, DEADLINE_MS,
                {"X-Foxtailcart-Credential": "key-1"})
        except OSError:
            break  # the gateway takes no more connections
        request.ended = time.monotonic()
        if answer:
            request.status = answer.status
            request.stamp = answer.get("x-foxtailcart-response-stamp")
            request.whole = len(answer.body) == PIECES * PIECE
        asked.append(request)
        await asyncio.sleep(0.05)
    client.close()


def find_lost(asked, downloads, stopped_at):
    """Returns the requests around the stop that a server was at work on when
    the gateway broke them off, and whose answer was cut or the gateway's own."""
    lost = []
    for request in asked:
        around = (request.ended >= stopped_at and
                  request.sent <= stopped_at + GRACE_S + 1)
        late = request.ended > stopped_at + GRACE_S * 5 / 6
        timed_out = request.ended - request.sent >= DEADLINE_MS / 1000
        answered = request.stamp and request.whole
        broken_off = any(not download.whole and download.ended and
                         download.ended >= stopped_at
                         for download in downloads.get(request.name, []))
        if around and broken_off and not (answered or late or timed_out):
            lost.append(request)
    return lost


async def case(record, trouble, logs):
    store = world.Store(record)
    await store.start()
    await store.put("op", "config", world.configuration(
        7, [world.route("export", "/export/", "vault", kind="download",
                        timeout_s=6.0)],
        [world.service("vault")],
        [{"name": "desk", "api_keys": ["key-1"], "rate_per_s": 0, "burst": 0}]))
    downloads, asked = {}, []
    answer = build_answer(trouble, downloads, random.Random(8))
    servers = [world.Server(record, store, "vault", f"vault-{n}", slots=20)
               for n in range(3)]
    for server in servers:
        server.answer = answer
        await server.start()
    gateways = [world.Gateway(record, store.address, log=logs / f"{n}.log")
                for n in range(2)]
    try:
        await world.start_all(gateways)
        await asyncio.sleep(CONTACT_S)
        until = time.monotonic() + 14
        asking = [asyncio.create_task(
            ask_in_turn(record, gateways[0], n, asked, until))
            for n in range(CLIENTS)]
        await asyncio.sleep(CONTACT_S + 1)
        stopped_at = time.monotonic()
        gateways[0].send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(gateways[0].process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            gateways[0].send_signal(signal.SIGKILL)
        record("gateway ended", seconds=f"{time.monotonic() - stopped_at:.2f}")
        await asyncio.gather(*asking)
        lost = find_lost(asked, downloads, stopped_at)
        for request in lost:
            record("lost", id=request.name, status=request.status,
                   sent_after_stop=f"{request.sent - stopped_at:.2f}",
                   ended_after_stop=f"{request.ended - stopped_at:.2f}")
        around = [request for request in asked if request.ended >= stopped_at]
        record("around the stop", requests=len(around), lost=len(lost),
               answered=sum(bool(r.stamp and r.whole) for r in around))
        return world.BROKEN if len(lost) >= MIN_LOST else world.HELD
    finally:
        await world.kill_all(gateways)


world.run_case(FOLDER, case)
