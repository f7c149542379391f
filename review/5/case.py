"""SIGHUP during a planned stop."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import standins  # noqa: E402

# The settings file changes this long after SIGTERM.
HANG_UP_AFTER_S = 0.5
GRACE_S = 6.0


class Case(standins.World):
    def __init__(self):
        super().__init__(FOLDER)
        self.stopping = False
        self.lost = []
        self.served = 0

    def on_answer(self, client, request, outcome, kept):
        self.served += outcome == 200
        if (self.stopping and client.gateway is self.gateways[0]
                and outcome == "closed" and request in self.runs):
            self.lost.append(request)


async def run():
    random.seed(5)
    world = Case()
    try:
        await world.start(
            [standins.Server(world, f"cat{i}", "catalogue", f"zone-{'abc'[i % 3]}",
                             True) for i in range(18)] +
            [standins.Server(world, f"bil{i}", "billing", f"zone-{'abc'[i % 3]}",
                             False) for i in range(3)])
        if not await world.until_serving():
            print("the gateways did not begin to serve")
            return standins.NOT_RUN
        # Twelve clients at each gateway, so that requests are under way at any moment.
        for i in range(36):
            client = standins.Client(world, world.gateways[i % 3], "/order/",
                                     "POST", True, work_s=0.25, body=b"order")
            world.clients.append(client)
            world.task(client.loop(0.02, lambda: random.randrange(standins.KEYS)))
        await asyncio.sleep(4)
        gateway = world.gateways[0]
        world.stopping = True
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(HANG_UP_AFTER_S)
        if standins.trouble_enabled():
            gateway.signal(signal.SIGHUP)
        await asyncio.sleep(GRACE_S - HANG_UP_AFTER_S)
        code = gateway.process.poll()
        world.record.write("gateway ended", gateway=gateway.name, code=code)
    finally:
        await world.stop()
    print(f"requests served: {world.served}; the stopped process ended with {code}")
    print(f"LOST: {len(world.lost)} requests that the stopping process had passed "
          f"on got no answer")
    if world.served < 50:
        return standins.NOT_RUN
    return standins.BROKEN if world.lost else standins.HELD


standins.main(run)
