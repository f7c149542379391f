"""A registration that cannot be read, written by another writer."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import standins  # noqa: E402

# Bytes that no reader of registrations can read: 1,000 opening brackets, well
# below the 65,536 bytes that a row may have.
UNREADABLE = b"[" * 1000
# LOST: more than three times.
ALLOWED_LOSSES = 3
RESTART_DELAY_S = 1.0


class Case(standins.World):
    def __init__(self):
        super().__init__(FOLDER)
        self.lost = []
        self.ends = []
        self.served = 0

    def on_answer(self, client, request, outcome, kept):
        if outcome == 200:
            self.served += 1
        if outcome == "closed" and kept and request in self.runs:
            self.lost.append(request)

    async def keep_running(self, gateway):
        """The platform: starts a process that ended again after a short delay."""
        while True:
            if gateway.has_ended():
                self.record.write("gateway ended by itself", gateway=gateway.name,
                                  code=gateway.process.poll())
                self.ends.append(gateway.name)
                await asyncio.sleep(RESTART_DELAY_S)
                gateway.start()
            await asyncio.sleep(0.02)


async def run():
    random.seed(1)
    world = Case()
    try:
        await world.start(
            [standins.Server(world, f"cat{i}", "catalogue", f"zone-{'abc'[i % 3]}",
                             True) for i in range(6)] +
            [standins.Server(world, f"bil{i}", "billing", f"zone-{'abc'[i % 3]}",
                             False) for i in range(3)])
        if not await world.until_serving():
            print("the gateways did not begin to serve")
            return standins.NOT_RUN
        for gateway in world.gateways:
            world.task(world.keep_running(gateway))
        for i in range(18):
            client = standins.Client(world, world.gateways[i % 3], "/order/",
                                     "POST", True, work_s=0.15, body=b"order")
            world.clients.append(client)
            world.task(client.loop(0.02, lambda: random.randrange(standins.KEYS)))
        await asyncio.sleep(5)
        before = world.served
        if standins.trouble_enabled():
            world.record.write("another writer writes an entry",
                               key="servers/other", bytes=len(UNREADABLE))
            world.store.put("servers", "other", UNREADABLE)
        await asyncio.sleep(10)
        after = world.served - before
    finally:
        await world.stop()
    print(f"served in the 5 s before: {before}, in the 10 s after: {after}")
    print(f"processes that ended by themselves: {len(world.ends)}")
    print(f"LOST: {len(world.lost)} requests of kept connections were passed on "
          f"and got no answer; {ALLOWED_LOSSES} are allowed")
    if before < 50:
        return standins.NOT_RUN
    return (standins.BROKEN if len(world.lost) > ALLOWED_LOSSES
            else standins.HELD)


standins.main(run)
