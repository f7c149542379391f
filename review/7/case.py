"""All servers of one zone leave, and with them both servers of a service that
has no others. Requests for another service, which has servers elsewhere, must
be answered. The rule CONFIG is checked at the requesters."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import world  # noqa: E402

ZONES = ["z1", "z2", "z3"]
HEARTBEAT_S = 0.87

# Time from the notice until the servers are gone (kinds: scale_in, reclaim).
NOTICE_S = 2.5

# Times on the routes and of the requesters.
TIMEOUT_S = 1.0

# CONFIG: answered at most so long after the route's timeout.
LATE_S = 0.5

# CONFIG names no number for this rule; the next one on timeouts says eight.
MIN_UNANSWERED = 8

WARM_UP_S = 5
TRAFFIC_S = 14


class Requests:
    """What was asked at one gateway, and when each request ended."""

    def __init__(self):
        self.ended = []  # (path, sent, seconds until the answer or None)

    def count(self, since):
        """Returns how many requests had no answer at the timeout, and how many
        of these had none `LATE_S` later."""
        unanswered = [took for _, sent, took in self.ended
                      if sent >= since and (took is None or took > TIMEOUT_S)]
        never = [took for took in unanswered
                 if took is None or took > TIMEOUT_S + LATE_S]
        return len(unanswered), len(never)


async def ask_once(record, gateway, requests, path, name):
    client = world.Client(record, gateway.front)
    sent = time.monotonic()
    answer = None
    try:
        answer = await asyncio.wait_for(
            client.ask("GET", path, name, int(TIMEOUT_S * 1000)),
            TIMEOUT_S + 2 * LATE_S)
    except (OSError, asyncio.TimeoutError):
        record("no answer", id=name)
    requests.ended.append(
        (path, sent, time.monotonic() - sent if answer else None))
    client.close()


async def ask(record, gateway, requests, until):
    """Asks for the archive and for the shop in turn, each on a connection of
    its own."""
    number, tasks = 0, []
    while time.monotonic() < until:
        number += 1
        path = "/archive/a" if number % 2 else "/shop/a"
        tasks.append(asyncio.create_task(
            ask_once(record, gateway, requests, path,
                     f"{gateway.zone}-{number}")))
        await asyncio.sleep(0.025)
    await asyncio.gather(*tasks)


async def leave(record, servers):
    """The servers say in all answers that they leave, report it to the store
    with their next heartbeats, and are gone at the end of the notice."""

    async def answer(server, request, writer):
        await asyncio.sleep(server.work_s)
        body = b"ok"
        first, headers = server.head(request, 200, {
            "Content-Length": len(body), "Server-Leaving": 1})
        writer.write(world.build(first, headers, body))
        await writer.drain()
        return ""

    for server in servers:
        record("leaves", server=server.id)
        server.answer = answer
        server.state = "draining"
    await asyncio.sleep(NOTICE_S)
    for server in servers:
        await server.store.remove("servers", server.id)
        await server.stop()


async def case(record, trouble, logs):
    store = world.Store(record)
    await store.start()
    await store.put("op", "config", world.configuration(
        7, [world.route("archive", "/archive/", "archive", timeout_s=TIMEOUT_S),
            world.route("shop", "/shop/", "shop", timeout_s=TIMEOUT_S)],
        [world.service("archive"), world.service("shop")]))
    servers = [world.Server(record, store, "archive", f"archive-{n}", zone="z1")
               for n in range(2)]
    servers += [world.Server(record, store, "shop", f"shop-{zone}", zone=zone)
                for zone in ZONES]
    beats = []
    for number, server in enumerate(servers):
        await server.start()
        beats.append(asyncio.create_task(
            server.beat(HEARTBEAT_S, HEARTBEAT_S * (number + 0.5) / len(servers))))
    # The machine in z2 has more processor time, so it becomes the leader.
    gateways = [world.Gateway(record, store.address, zone=zone,
                              log=logs / f"gateway-{zone}.log",
                              cpu_share=0.5 if zone == "z2" else 0.2)
                for zone in ZONES]
    try:
        await world.start_all(gateways)
        await asyncio.sleep(WARM_UP_S)
        began = time.monotonic()
        asked = {gateway.zone: Requests() for gateway in gateways}
        asking = [asyncio.create_task(ask(record, gateway, asked[gateway.zone],
                                          began + TRAFFIC_S))
                  for gateway in gateways]
        await asyncio.sleep(4)
        notice = time.monotonic()
        leaving = [server for server in servers if server.zone == "z1"]
        if trouble:
            await leave(record, leaving)
        await asyncio.gather(*asking)
        broken = False
        for gateway in gateways:
            requests = asked[gateway.zone]
            unanswered, never = requests.count(notice)
            shop = [took for path, sent, took in requests.ended
                    if sent >= notice and path.startswith("/shop")]
            record("gateway", zone=gateway.zone,
                   asked=len(requests.ended), unanswered_at_timeout=unanswered,
                   unanswered_later=never, shop_asked=len(shop),
                   shop_answered=sum(took is not None for took in shop),
                   ready=await gateway.is_ready(),
                   running=gateway.process.returncode is None)
            broken = broken or (unanswered >= MIN_UNANSWERED and
                                never > unanswered / 2)
        return world.BROKEN if broken else world.HELD
    finally:
        for beat in beats:
            beat.cancel()
        await world.kill_all(gateways)


world.run_case(FOLDER, case)
