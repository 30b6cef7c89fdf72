"""The node list runs behind for some seconds: the director goes on sending to a cache node that drains."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import Client, Director, Record, SlowPath, World, play, trouble

BEHIND = 3.0  # seconds; the brief: 2.7 to 9 s
BEHIND_FOR = 20.0  # seconds; the brief: 14 to 26 s
TOLD_AT_THE_LATEST = 7.0  # seconds
GRACE = 0.5  # seconds, as in the settings
SLACK = 0.05  # seconds
INTERVAL = 0.03  # seconds between requests
RECEIPT_INTERVAL, RECEIPT_TIME = 0.02, 0.5  # of requests that must never run twice: between two, and for each
ENDS_AFTER = 10.0  # seconds from the drain to the end of the node's process; what was sent in time has ended by then


async def main(record: Record, folder: Path, directors: list[Director]) -> int:
    world = World(record)
    await world.start(caches=4)
    path = SlowPath(world.coordinator.port)
    await path.start()
    director = Director(world, folder)
    directors.append(director)
    director.coordinator_port = path.port
    await director.start()
    draw = random.Random(6)
    objects = [f"{draw.getrandbits(64):016x}" for _ in range(200)]
    answers: dict[str, list[str]] = {"video-part": [], "rent-receipt": []}
    for node in world.nodes:
        node.write_delay = RECEIPT_TIME

    async def ask(client: Client, route: str) -> None:
        try:
            answers[route].append((await client.ask(route, draw.choice(objects), patience=2500)).name)
        except (OSError, TimeoutError) as error:
            answers[route].append(type(error).__name__)

    async def load(route: str, interval: float, until: float) -> None:
        clients, tasks, count = [await Client.connect(world, director.port) for _ in range(8)], [], 0
        while time.time() < until:
            count += 1
            index = count % len(clients)
            client = clients[index]
            if not client.may_send or client.is_lost:
                client = clients[index] = await Client.connect(world, director.port)
            tasks.append(asyncio.ensure_future(ask(client, route)))
            await asyncio.sleep(interval)
        await asyncio.gather(*tasks)

    end = time.time() + 3 + BEHIND_FOR
    loads = [asyncio.ensure_future(load("video-part", INTERVAL, end)),
             asyncio.ensure_future(load("rent-receipt", RECEIPT_INTERVAL, end))]
    await asyncio.sleep(3)
    if trouble():
        path.delay = BEHIND
        record.say(f"from now on the list runs {BEHIND} s behind")
    await asyncio.sleep(2)
    drained = world.nodes[0]
    drained.status = "DRAINING"
    told_at = time.time()
    world.coordinator.tell_nodes([drained])
    record.say(f"the coordinator holds the drain of {drained.name}")
    await asyncio.sleep(ENDS_AFTER)
    cut = [command.id for link in drained.links for command in link.open.values() if command.fields["kind"] == "rent-receipt"]
    drained.die()
    drained.status = "DELETED"
    world.coordinator.tell_nodes([drained])
    record.say(f"{drained.name} has done what was sent to it in time, and its process ends; {len(cut)} receipts were at work")
    await asyncio.gather(*loads)
    await director.end(signal.SIGTERM)

    limit = told_at + TOLD_AT_THE_LATEST + GRACE + SLACK
    sent = [command.first_byte_at - told_at for command in drained.commands if command.first_byte_at > told_at]
    late = [span for span in sent if told_at + span > limit]
    before = sum(command.first_byte_at <= told_at for command in drained.commands)
    for route, names in answers.items():
        record.say(f"{route}: { {name: names.count(name) for name in sorted(set(names))} }")
    record.say(f"commands to {drained.name}: {before} before the drain, {len(sent)} after it, the last "
               f"{max(sent, default=0.0):.3f} s after it; {len(late)} later than {limit - told_at:.2f} s after it")
    if not before:
        record.say("the cache node got nothing before the drain: the case says nothing")
        return 2
    return 1 if late else 0


play(main, Path(__file__).resolve().parent)
