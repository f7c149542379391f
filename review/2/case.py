"""The store is silent for seconds and then no longer has its history."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import standins  # noqa: E402

# The dose of the site file: platform_down, for_s = 4.5.
SILENCE_S = 4.5
# Bounds of the site file. The longest stretch is added, although the store has
# been stable for contact_s when the configuration is written.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
OBSERVED_S = 12.0


class Case(standins.World):
    def __init__(self):
        super().__init__(FOLDER)
        self.counting = False
        self.old_version = 0
        self.new_version = 0
        self.keyed = 0
        self.keyed_served = 0

    def configuration(self):
        configuration = super().configuration()
        if self.version > 1:
            configuration["routes"].append(
                {"name": "r-new", "host": standins.HOST, "prefix": "/new/",
                 "route_type": "safe", "timeout_s": 1, "target_latency_s": 0.4,
                 "priority": 2, "service": "billing", "max_attempts": 2,
                 "public": True})
        return configuration

    def on_answer(self, client, request, outcome, kept):
        if not self.counting:
            return
        if client.route == "/new/":
            self.old_version += outcome == 404
            self.new_version += outcome == 200
        else:
            self.keyed += 1
            self.keyed_served += outcome == 200


async def run():
    random.seed(4)
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
        for i in range(9):
            client = standins.Client(world, world.gateways[i % 3], "/order/",
                                     "POST", True, work_s=0.05)
            world.clients.append(client)
            world.task(client.loop(0.1, lambda: random.randrange(standins.KEYS)))
        await asyncio.sleep(5)
        if standins.trouble_enabled():
            world.record.write("the store falls silent")
            world.store.begin_silence()
        await asyncio.sleep(SILENCE_S)
        if standins.trouble_enabled():
            # The operator or a server has written meanwhile, and the store has
            # discarded its history.
            world.store.put_json("servers", "i-cat0", world.servers[0].entry())
            world.store.drop_history()
            world.store.end_silence()
            world.record.write("the store answers again, without its history")
        await asyncio.sleep(CONTACT_S + 1)
        world.store.put_json("op", "config", world.configuration())
        world.record.write("configuration acked", version=world.version)
        await asyncio.sleep(CONFIG_APPLY_S + MAX_STRETCH_S)
        world.counting = True
        for i in range(3):
            client = standins.Client(world, world.gateways[i], "/new/", "GET",
                                     False, work_s=0.02)
            world.clients.append(client)
            world.task(client.loop(0.2, lambda: 0))
        await asyncio.sleep(OBSERVED_S)
    finally:
        await world.stop()
    print(f"requests with a key, later than {CONFIG_APPLY_S + MAX_STRETCH_S} s "
          f"after the ack: {world.keyed}, of them served: {world.keyed_served}")
    print(f"CONFIG: requests on the new route in that time: "
          f"{world.new_version} served, {world.old_version} refused with 404 as "
          f"only the older version allows")
    if world.old_version + world.new_version < 50:
        return standins.NOT_RUN
    return standins.BROKEN if world.old_version else standins.HELD


standins.main(run)
