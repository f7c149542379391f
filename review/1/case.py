"""A server starts again behind a cut; later the leader is killed."""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import standins  # noqa: E402

# OWNER: two servers that are up hold the same keys for over half a second.
ALLOWED_OVERLAP_S = 0.5
SAMPLED_KEYS = range(0, standins.KEYS, 128)
HEARTBEAT_S = 0.87
# srv_cut: share 0.22 of the servers; here one of six.
CUT_S = 4.0
RESTART_DELAY_S = 0.4


class Case(standins.World):
    def __init__(self):
        super().__init__(FOLDER)
        self.overlap_since = {}
        self.longest = 0.0
        self.keys_held_twice = set()
        self.begun = {}
        self.begun_by_both = set()
        self.served = 0

    def on_answer(self, client, request, outcome, kept):
        self.served += outcome == 200

    def on_run(self, server, request, key):
        super().on_run(server, request, key)
        if key in self.overlap_since:
            begun = self.begun.setdefault(key, set())
            begun.add(server.id)
            if len(begun) > 1:
                self.begun_by_both.add(key)

    async def watch_holders(self):
        servers = [server for server in self.servers if server.sharded]
        while True:
            now = time.monotonic()
            for key in SAMPLED_KEYS:
                holders = [s for s in servers if s.held_until[key] > now]
                if len(holders) < 2:
                    self.overlap_since.pop(key, None)
                    continue
                since = self.overlap_since.setdefault(key, now)
                if now - since > ALLOWED_OVERLAP_S and key not in self.keys_held_twice:
                    self.keys_held_twice.add(key)
                    self.record.write("held by two", key=key,
                                      servers=[s.id for s in holders])
                self.longest = max(self.longest, now - since)
            await asyncio.sleep(0.01)


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
        world.task(world.watch_holders())
        for i in range(12):
            client = standins.Client(world, world.gateways[i % 3], "/order/",
                                     "POST", True, work_s=0.1, body=b"order")
            world.clients.append(client)
            world.task(client.loop(0.02, lambda: random.choice(SAMPLED_KEYS)))
        await asyncio.sleep(3)
        server = world.servers[0]
        if standins.trouble_enabled():
            # Behind the cut the entry lapses, and the server starts again.
            world.record.write("server cut off from the store", server=server.id)
            await asyncio.sleep(3 * HEARTBEAT_S)
            world.store.drop("servers", server.id)
            old_entry = server.start_again("cat0-again")
            await asyncio.sleep(CUT_S - 3 * HEARTBEAT_S)
            # The cut heals: the new life registers, and what the old one had
            # still sent arrives.
            server.register()
            await asyncio.sleep(0.3)
            world.store.put_json("servers", "i-cat0", old_entry)
            world.record.write("late entry of the life that has ended",
                               key="servers/i-cat0", value=old_entry)
        await asyncio.sleep(1.2)
        leader = world.find_leader()
        leader.signal(signal.SIGKILL)
        leader.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        leader.start()
        await asyncio.sleep(1.0)
        if standins.trouble_enabled():
            # Three intervals of silence have passed since the late entry.
            world.store.drop("servers", "i-cat0")
        await asyncio.sleep(5)
    finally:
        await world.stop()
    print(f"requests served: {world.served}")
    print(f"OWNER: {len(world.keys_held_twice)} of {len(SAMPLED_KEYS)} sampled "
          f"keys were held by two servers that are up for over "
          f"{ALLOWED_OVERLAP_S} s; longest {world.longest:.2f} s; on "
          f"{len(world.begun_by_both)} of them both began requests meanwhile")
    if world.served < 50:
        return standins.NOT_RUN
    return standins.BROKEN if world.keys_held_twice else standins.HELD


standins.main(run)
